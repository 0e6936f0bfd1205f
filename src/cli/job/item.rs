//! Parses the items of a job from JSON lines: `{"key": "k", "prompt": "p", "max_tokens": 9}`.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;

use crate::rpc::v1;

/// Maximum number of errors listed; a file in another format has one on every line.
const MAX_ERRORS: usize = 20;

/// Why a file of items is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The file has no items.
    Empty,
    /// The invalid lines, as line number (from 1) and message.
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

/// Parses every line that is not blank.
///
/// # Errors
/// Lists all invalid lines at once, so that a file can be corrected in one pass. One invalid item
/// refuses the whole job: an item that was silently skipped would be noticed only when its result
/// is missing.
pub fn read(text: &str) -> Result<Vec<v1::Item>, Error> {
    let mut items = Vec::new();
    let mut errors = Vec::new();
    let mut keys: HashMap<String, usize> = HashMap::new();
    for (at, line) in text.lines().enumerate() {
        let number = at + 1;
        if line.trim().is_empty() {
            continue;
        }
        match parse(line) {
            Err(message) => errors.push((number, message)),
            Ok(item) => {
                if let Some(first) = find_duplicate(&mut keys, &item.key, number) {
                    errors.push((
                        number,
                        format!("key `{}` is already used on line {first}", item.key),
                    ));
                }
                items.push(item);
            }
        }
    }
    if !errors.is_empty() {
        return Err(Error::Lines(errors));
    }
    if items.is_empty() {
        return Err(Error::Empty);
    }
    Ok(items)
}

/// Records the key, and returns the earlier line that uses it, if any.
fn find_duplicate(keys: &mut HashMap<String, usize>, key: &str, number: usize) -> Option<usize> {
    if key.is_empty() {
        return None;
    }
    let first = keys.get(key).copied();
    keys.entry(key.to_owned()).or_insert(number);
    first
}

fn parse(line: &str) -> Result<v1::Item, String> {
    let line: Line = serde_json::from_str(line).map_err(|e| {
        // Each line is parsed on its own, so serde_json reports every position as line 1.
        let cause = e.to_string().replace("at line 1 column", "at column");
        format!("is not an item: {cause}; write {{\"prompt\": \"...\"}}")
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
