//! Output of the commands: text for people, or JSON for programs.

use std::io::{self, Write};

use eyre::{Report, Result};
use serde::Serialize;
use serde_json::json;

use crate::rpc::client;

/// The output format.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    json: bool,
}

impl Output {
    pub(super) const fn new(json: bool) -> Self {
        Self { json }
    }

    pub(super) const fn is_json(self) -> bool {
        self.json
    }

    /// Prints `value` as JSON, or the text that `text` makes of it.
    pub(super) fn print<T, F>(self, value: &T, text: F) -> Result<()>
    where
        T: Serialize,
        F: FnOnce(&T) -> String,
    {
        let line = if self.json {
            serde_json::to_string(value)?
        } else {
            text(value)
        };
        write_line(line.trim_end())
    }

    /// Prints an error to standard error.
    pub(super) fn error(self, report: &Report) {
        let text = if self.json {
            let refusal = match report.downcast_ref::<client::Error>() {
                Some(client::Error::Refused(refusal)) => Some(refusal),
                _ => None,
            };
            json!({"error": format!("{report:#}"), "refusal": refusal}).to_string()
        } else {
            format!("auburnspoke: {report:#}")
        };
        // If the terminal is closed, there is nowhere to report the error.
        let _ = writeln!(io::stderr(), "{text}");
    }
}

/// Writes a line to standard output.
///
/// A reader such as `head` may close the pipe early; that is not an error.
pub(super) fn write_line(line: &str) -> Result<()> {
    write(&format!("{line}\n"))
}

/// Writes and flushes text unchanged, so that a streamed answer shows without delay.
pub(super) fn write(text: &str) -> Result<()> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(e.into()),
        _ => Ok(()),
    }
}

/// Formats rows under their headings, each column as wide as its longest cell.
pub(super) fn table<const N: usize>(headings: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = headings.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: [&str; N]| {
        let padded = cells
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    let mut text = line(headings);
    for row in rows {
        text.push_str(&line(row.each_ref().map(String::as_str)));
    }
    text
}

/// Joins lines, each indented by `indent`.
pub(super) fn lines(indent: &str, lines: &[String]) -> String {
    lines
        .iter()
        .fold(String::new(), |text, line| text + indent + line + "\n")
}
