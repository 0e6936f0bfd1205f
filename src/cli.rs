//! The command line. docs/CLI.md shows every command with its output.

use std::ffi::OsString;

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;

mod ask;
mod check;
mod completion;
mod config;
mod drain;
mod edge;
mod endpoint;
mod exit;
mod job;
mod locate;
mod member;
mod output;
mod remote;
mod serve;
mod service;
mod status;
pub mod trace;
mod try_out;

pub use exit::Exit;
pub use job::{item, items};
use output::Output;

/// A command with its help group and the function that runs it.
struct Entry {
    group: &'static str,
    command: fn() -> Command,
    run: fn(&ArgMatches, Output) -> Result<Exit>,
}

const NODE: &str = "Run a node";
const CALLER: &str = "Ask";
const OPERATOR: &str = "Operate";
const SHELL: &str = "Shell";

/// All commands, in the order in which the help lists them.
const ENTRIES: &[Entry] = &[
    Entry::new(NODE, serve::command, serve::run),
    Entry::new(NODE, edge::command, edge::run),
    Entry::new(NODE, check::command, check::run),
    Entry::new(NODE, try_out::command, try_out::run),
    Entry::new(CALLER, locate::command, locate::run),
    Entry::new(CALLER, ask::command, ask::run),
    Entry::new(CALLER, job::command, job::run),
    Entry::new(OPERATOR, status::command, status::run),
    Entry::new(OPERATOR, config::command, config::run),
    Entry::new(OPERATOR, service::command, service::run),
    Entry::new(OPERATOR, endpoint::command, endpoint::run),
    Entry::new(OPERATOR, member::command, member::run),
    Entry::new(OPERATOR, drain::command, drain::run),
    Entry::new(OPERATOR, trace::command, trace::run),
    Entry::new(SHELL, completion::command, completion::run),
];

impl Entry {
    const fn new(
        group: &'static str,
        command: fn() -> Command,
        run: fn(&ArgMatches, Output) -> Result<Exit>,
    ) -> Self {
        Self {
            group,
            command,
            run,
        }
    }
}

/// Parses the arguments, runs the command and returns how the program should exit.
pub fn main<A>(args: A) -> Exit
where
    A: IntoIterator<Item = OsString>,
{
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => {
            // If the terminal is closed, there is nowhere to report the error.
            let _ = e.print();
            return if e.use_stderr() {
                Exit::Usage
            } else {
                Exit::Done
            };
        }
    };
    let output = Output::new(matches.get_flag("json"));
    match run(&matches, output) {
        Ok(exit) => exit,
        Err(report) => {
            output.error(&report);
            Exit::of(&report)
        }
    }
}

/// Builds the definition of the whole command line, for parsing and for shell completion.
pub fn command() -> Command {
    let root = Command::new("auburnspoke")
        .version(clap::crate_version!())
        .about("Serves online questions and batch jobs to language models on one shared fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .disable_help_subcommand(true)
        .help_template(
            "{about-with-newline}\n{usage-heading} {usage}{after-help}\nOptions:\n{options}",
        )
        .after_help(groups())
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON, one document or one object a line"),
        );
    ENTRIES
        .iter()
        .fold(root, |root, entry| root.subcommand((entry.command)()))
}

fn run(matches: &ArgMatches, output: Output) -> Result<Exit> {
    let (name, matches) = matches
        .subcommand()
        .ok_or_else(|| eyre::eyre!("no command was given; try --help"))?;
    let entry = ENTRIES
        .iter()
        .find(|entry| (entry.command)().get_name() == name)
        .ok_or_else(|| eyre::eyre!("there is no command {name}; try --help"))?;
    (entry.run)(matches, output)
}

/// Lists the commands by group; clap's own list has no groups.
fn groups() -> String {
    [NODE, CALLER, OPERATOR, SHELL].map(group).join("\n") + "\n"
}

fn group(name: &str) -> String {
    let entries = ENTRIES.iter().filter(|entry| entry.group == name);
    entries.fold(format!("{name}:\n"), |text, entry| {
        let command = (entry.command)();
        let about = command.get_about().map(ToString::to_string);
        let about = about.unwrap_or_default();
        format!("{text}  {:<12}{about}\n", command.get_name())
    })
}
