//! `completion`: prints a completion script for a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use eyre::Result;

use super::{Exit, Output, output};

pub(super) fn command() -> Command {
    Command::new("completion")
        .about("Print a completion script for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("The shell that reads the script"),
        )
}

pub(super) fn run(matches: &ArgMatches, _output: Output) -> Result<Exit> {
    let shell: Shell = *matches.get_one("shell").expect("clap requires the shell");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut super::command(), "auburnspoke", &mut script);
    output::write(&String::from_utf8_lossy(&script))?;
    Ok(Exit::Done)
}
