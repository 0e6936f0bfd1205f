//! `serve`: runs a node until SIGTERM or Ctrl-C.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;

use super::{Exit, Output};
use crate::settings::Settings;
use crate::{logger, node};

pub(super) fn command() -> Command {
    Command::new("serve")
        .about("Run a node until SIGTERM or Ctrl-C")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The node's settings in TOML; see examples/"),
        )
}

pub(super) fn run(matches: &ArgMatches, _output: Output) -> Result<Exit> {
    let path: &PathBuf = matches
        .get_one("settings")
        .expect("clap requires the settings");
    let settings = Settings::read(path)?;
    logger::init(&settings.log);
    node::run(&settings)?;
    Ok(Exit::Done)
}
