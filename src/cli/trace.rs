//! `trace`: collects the lines about one request, job or item from several nodes' logs, in order
//! of time, and describes how it ended.

use std::collections::BTreeSet;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr as _, bail};
use serde_json::json;

use super::output::write_line;
use super::{Exit, Output};

pub(super) fn command() -> Command {
    Command::new("trace")
        .about("Show what logs say of a request, a job or an item, and how it ended")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The id that the caller sent, or that a refusal or a result names"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of nodes; all that served that day"),
        )
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// Its time by the node's clock; the clocks of nodes may differ.
    pub time: String,
    /// The log file that contains it.
    pub file: String,
    /// The complete line.
    pub text: String,
}

/// Returns the lines that mention `id`, and those of the jobs that these lines name, in order of
/// time.
pub fn gather(id: &str, files: &[(String, String)]) -> Vec<Line> {
    let mut wanted = BTreeSet::from([id.to_owned()]);
    // The line of an item names its job, whose lines show which nodes owned it.
    for (_, text) in files {
        for line in text.lines().filter(|line| mentions(line, id)) {
            wanted.extend(field(line, "job").map(ToOwned::to_owned));
        }
    }
    let mut lines = Vec::new();
    for (file, text) in files {
        for line in text.lines() {
            let is_direct = mentions(line, id);
            // Lines about other items of the same job are left out.
            let subject = field(line, "id").or_else(|| field(line, "job"));
            let is_of_job = subject.is_some_and(|subject| wanted.contains(subject));
            if is_direct || is_of_job {
                lines.push(Line {
                    time: line.split(' ').next().unwrap_or_default().to_owned(),
                    file: file.clone(),
                    text: line.to_owned(),
                });
            }
        }
    }
    // The sort is stable: lines of the same millisecond keep the order in which they were written.
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    lines
}

fn mentions(line: &str, id: &str) -> bool {
    field(line, "id") == Some(id) || field(line, "job") == Some(id)
}

/// Returns the value of a `key=value` field.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ')
        .filter_map(|word| word.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}

/// Describes in a sentence how the request, job or item ended.
pub fn verdict(lines: &[Line]) -> String {
    let last = |event: &str| {
        let found = lines.iter().rev().find(|line| line.text.contains(event));
        found.map(|line| line.text.as_str())
    };
    let value = |line: &str, key| field(line, key).unwrap_or("?").to_owned();
    if let Some(line) = last(" item_failed ") {
        return format!("the item was given up: {}", value(line, "why"));
    }
    if last(" item_done ").is_some() {
        return "the item was done".into();
    }
    if let Some(line) = last(" request_done ") {
        return format!(
            "it was answered whole by endpoint {} after {} ms",
            value(line, "endpoint"),
            value(line, "took_ms")
        );
    }
    if let Some(line) = last(" request_refused ") {
        let what = match value(line, "answer").as_str() {
            "Refuse" => "refused as not run",
            "Break" => "broken off after its answer had begun",
            "Pass" => "answered with the endpoint's own error",
            _ => "answered that it may have run",
        };
        return format!(
            "it was {what}, because of {}, after {} ms",
            value(line, "why"),
            value(line, "waited_ms")
        );
    }
    if let Some(line) = last(" job_refused ") {
        return format!("the job was not accepted: {}", value(line, "why"));
    }
    if last(" job_ended ").is_some() {
        return "the job ended".into();
    }
    if last(" job_accepted ").is_some() {
        return "the job was accepted and has not ended".into();
    }
    if last(" request_granted ").is_some() {
        return "it got a place and has no end: its node was lost, or its caller left".into();
    }
    "no line tells how it ended".into()
}

pub(super) fn run(matches: &ArgMatches, output: Output) -> Result<Exit> {
    let id: &String = matches.get_one("id").expect("clap requires the id");
    let mut files = Vec::new();
    for path in matches.get_many::<PathBuf>("file").unwrap_or_default() {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("can't read the log {}", path.display()))?;
        files.push((path.display().to_string(), text));
    }
    let lines = gather(id, &files);
    if lines.is_empty() {
        bail!("no line mentions {id}; give the logs of every node, and look for dropped lines");
    }
    if output.is_json() {
        for line in &lines {
            write_line(&json!({"file": line.file, "line": line.text}).to_string())?;
        }
        write_line(&json!({ "verdict": verdict(&lines) }).to_string())?;
        return Ok(Exit::Done);
    }
    for line in &lines {
        write_line(&format!("{}: {}", line.file, line.text))?;
    }
    write_line(&format!("{id}: {}", verdict(&lines)))?;
    Ok(Exit::Done)
}
