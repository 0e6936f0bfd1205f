//! `drain`: shuts a node down gracefully, as SIGTERM does.

use clap::{Arg, ArgMatches, Command};
use eyre::Result;

use super::{Exit, Output, remote};
use crate::rpc::v1;

pub(super) fn command() -> Command {
    let command = Command::new("drain")
        .about("Make a node finish its work and stop, as SIGTERM would")
        .arg(
            Arg::new("node")
                .default_value("")
                .hide_default_value(true)
                .help("The node's name; the node that is asked by default"),
        );
    remote::options(command)
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let request = v1::DrainRequest {
        node: remote::text(matches, "node"),
    };
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&request).await })?;
    out.print(&answer, |answer| {
        format!("leaving; {} requests and items in flight", answer.in_flight)
    })?;
    Ok(Exit::Done)
}
