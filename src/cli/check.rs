//! `check`: reads a settings file and lists every problem in it.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use serde_json::json;

use super::remote::{self, Invalid};
use super::{Exit, Output, output};
use crate::platform;
use crate::settings::{Problem, Settings};

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Check a settings file and name everything that is wrong in it")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("A node's settings, its own or those that the platform writes; - for the standard input"),
        )
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let path: &PathBuf = matches.get_one("file").expect("clap requires the file");
    let text = remote::read(path)?;
    let checked = if platform::settings::is_platform_format(&text) {
        platform::settings::parse(&text).map(drop)
    } else {
        Settings::parse(&text).map(drop)
    };
    let problems = match checked {
        Ok(()) => Vec::new(),
        Err(invalid) => invalid.0,
    };
    if out.is_json() {
        let problems: Vec<_> = problems.iter().map(object).collect();
        let document = json!({"file": path.to_string_lossy(), "problems": problems});
        output::write_line(&document.to_string())?;
    } else if problems.is_empty() {
        output::write_line(&format!("{}: ok", path.display()))?;
    } else {
        for problem in &problems {
            output::write_line(&format!("{}:{problem}", path.display()))?;
        }
    }
    if problems.is_empty() {
        return Ok(Exit::Done);
    }
    let count = problems.len();
    let noun = if count == 1 { "problem" } else { "problems" };
    Err(Invalid(format!(
        "{}: {count} {noun}; nothing was started",
        path.display()
    ))
    .into())
}

fn object(problem: &Problem) -> serde_json::Value {
    json!({
        "line": problem.line,
        "column": problem.column,
        "place": problem.place,
        "message": problem.message,
    })
}
