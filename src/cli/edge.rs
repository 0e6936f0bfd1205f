//! `edge`: runs a node whose settings file is written by the platform.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;

use super::{Exit, Output};
use crate::platform::settings;
use crate::{edge, logger};

pub(super) fn command() -> Command {
    Command::new("edge")
        .about("Run a node with the settings file that the platform wrote, until SIGTERM")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The settings file; by default the one that the environment names"),
        )
        .arg(
            Arg::new("metrics")
                .long("metrics")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .help("Serve metrics as text on this port of the node's address"),
        )
}

pub(super) fn run(matches: &ArgMatches, _output: Output) -> Result<Exit> {
    let path = match matches.get_one::<PathBuf>("settings") {
        Some(path) => path.clone(),
        None => settings::path()?,
    };
    logger::init_stdout();
    edge::run(&path, matches.get_one("metrics").copied())?;
    Ok(Exit::Done)
}
