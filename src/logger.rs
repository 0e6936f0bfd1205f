//! Log output: text lines for people, or one JSON object per line for programs. docs/EVENTS.md
//! describes the fields.

use std::io::Write as _;

use env_logger::fmt::Formatter;
use log::{LevelFilter, Record};
use serde_json::{Map, Value, json};

pub mod buffer;
mod pipe;

use crate::clock;
use crate::settings::{Format, Log};

/// Starts logging to the standard error stream. Later calls have no effect.
///
/// `RUST_LOG` overrides the settings, so that one module can be logged in detail without a change
/// of the file.
pub fn init(settings: &Log) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(settings.level);
    // Invalid requests are answered and counted. If they were logged as well, any caller could
    // fill the log.
    builder.filter_module("actix_http", LevelFilter::Off);
    builder.parse_default_env();
    match settings.format {
        Format::Text => builder.format(write_text),
        Format::Json => builder.format(write_json),
    };
    // Fails only when a logger is already installed.
    let _ = builder.try_init();
}

/// Starts logging to the standard output stream, for nodes whose platform collects it. Writing
/// never blocks a caller, and the volume is bounded; see [`pipe`]. Later calls have no effect.
pub fn init_stdout() {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(LevelFilter::Info);
    builder.parse_default_env();
    builder.format(write_text);
    builder.target(env_logger::Target::Pipe(Box::new(pipe::Pipe)));
    // Fails only when a logger is already installed.
    let _ = builder.try_init();
}

/// Writes the lines that the logger of [`init_stdout`] still buffers.
pub fn flush() {
    pipe::drain();
}

fn write_text(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let time = out.timestamp_millis();
    writeln!(out, "{time} {:<5} {}", record.level(), record.args())
}

fn write_json(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut line = fields(&record.args().to_string());
    line.insert("time_ms".into(), clock::unix_millis().into());
    line.insert(
        "level".into(),
        record.level().as_str().to_lowercase().into(),
    );
    line.insert("module".into(), record.target().into());
    writeln!(out, "{}", Value::Object(line))
}

/// Parses the fields of a line such as `E101 node_started node=n1 why="a b"`.
///
/// The event's number and name are the fields `event` and `name`, each `key=value` pair is a
/// separate field, and the rest is `message`. A pair can't overwrite the event.
pub fn fields(line: &str) -> Map<String, Value> {
    let mut fields = Map::new();
    let mut rest = line;
    if let Some((event, name, after)) = event(line) {
        fields.insert("event".into(), event.into());
        fields.insert("name".into(), name.into());
        rest = after;
    }
    let mut message = Vec::new();
    for word in words(rest) {
        match word.split_once('=') {
            Some((key, value)) if is_key(key) && !fields.contains_key(key) => {
                fields.insert(key.into(), value_of(value));
            }
            _ => message.push(word),
        }
    }
    if !message.is_empty() {
        fields.insert("message".into(), message.join(" ").into());
    }
    fields
}

/// Returns the number, the name and the rest when the line starts with an event.
fn event(line: &str) -> Option<(&str, &str, &str)> {
    let (event, rest) = line.split_once(' ')?;
    let digits = event.strip_prefix('E')?;
    if digits.len() != 3 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let (name, after) = rest.split_once(' ').unwrap_or((rest, ""));
    Some((event, name, after))
}

/// Splits a line into words; spaces within double quotes do not split a word.
fn words(line: &str) -> Vec<&str> {
    let mut words = Vec::new();
    let mut start = 0;
    let mut quoted = false;
    let mut escaped = false;
    for (at, letter) in line.char_indices() {
        match letter {
            '\\' if quoted && !escaped => {
                escaped = true;
                continue;
            }
            '"' if !escaped => quoted = !quoted,
            ' ' if !quoted => {
                words.push(&line[start..at]);
                start = at + 1;
            }
            _ => {}
        }
        escaped = false;
    }
    words.push(&line[start..]);
    words.retain(|word| !word.is_empty());
    words
}

fn is_key(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
}

/// Converts a number to a JSON number, and any other text to a string without its quotes.
fn value_of(text: &str) -> Value {
    if let Ok(number) = text.parse::<i64>() {
        return json!(number);
    }
    match text
        .strip_prefix('"')
        .and_then(|text| text.strip_suffix('"'))
    {
        Some(inner) => json!(inner.replace("\\\"", "\"").replace("\\\\", "\\")),
        None => json!(text),
    }
}
