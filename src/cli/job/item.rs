//! Items of a job as JSON lines: `{"key": "k", "prompt": "p", "max_tokens": 9}`.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;

use crate::rpc::v1;

/// Most errors that are named; a file in another format would have one a line.
const MAX_ERRORS: usize = 20;

/// What is wrong with the items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// There is no item at all.
    Empty,
    /// Lines that are wrong, each with its number from 1.
    Lines(Vec<(usize, String)>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("there are no items; write one JSON object a line"),
            Self::Lines(lines) => {
                let shown = lines.iter().take(MAX_ERRORS);
                for (at, (line, message)) in shown.enumerate() {
                    let newline = if at == 0 { "" } else { "\n" };
                    write!(f, "{newline}line {line}: {message}")?;
                }
                if lines.len() > MAX_ERRORS {
                    write!(f, "\nand {} more lines", lines.len() - MAX_ERRORS)?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for Error {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    #[serde(default)]
    key: String,
    prompt: String,
    #[serde(default)]
    max_tokens: u32,
}

/// Reads every line that is not blank.
///
/// # Errors
/// [`Error`] names every wrong line, so that one pass is enough to mend a file.
/// A job with one wrong item is refused whole: an item that was left out in
/// silence would be missed only when its result is.
pub fn read(text: &str) -> Result<Vec<v1::Item>, Error> {
    let mut items = Vec::new();
    let mut faults = Vec::new();
    let mut keys: HashMap<String, usize> = HashMap::new();
    for (at, line) in text.lines().enumerate() {
        let number = at + 1;
        if line.trim().is_empty() {
            continue;
        }
        match parse(line) {
            Err(message) => faults.push((number, message)),
            Ok(item) => {
                if let Some(first) = known(&mut keys, &item.key, number) {
                    faults.push((
                        number,
                        format!("key `{}` is that of line {first}", item.key),
                    ));
                }
                items.push(item);
            }
        }
    }
    if !faults.is_empty() {
        return Err(Error::Lines(faults));
    }
    if items.is_empty() {
        return Err(Error::Empty);
    }
    Ok(items)
}

/// The line that has used this key before.
fn known(keys: &mut HashMap<String, usize>, key: &str, number: usize) -> Option<usize> {
    if key.is_empty() {
        return None;
    }
    let first = keys.get(key).copied();
    keys.entry(key.to_owned()).or_insert(number);
    first
}

fn parse(line: &str) -> Result<v1::Item, String> {
    let line: Line = serde_json::from_str(line).map_err(|e| {
        // The reader sees one line at a time and calls each of them line 1.
        let cause = e.to_string().replace("at line 1 column", "at column");
        format!("is no item: {cause}; write {{\"prompt\": \"...\"}}")
    })?;
    if line.prompt.is_empty() {
        return Err("the prompt is empty".to_owned());
    }
    Ok(v1::Item {
        key: line.key,
        prompt: line.prompt,
        max_tokens: line.max_tokens,
    })
}
