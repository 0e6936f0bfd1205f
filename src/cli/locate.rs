//! `locate`: prints the addresses that a caller should use.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;

use super::{Exit, Output, remote};
use crate::rpc::v1;

pub(super) fn command() -> Command {
    let command = Command::new("locate")
        .about("Ask which addresses to use, and for how long")
        .arg(
            Arg::new("zone")
                .long("zone")
                .help("Your availability zone, if you know it"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u32))
                .default_value("3")
                .help("How many addresses to name"),
        );
    remote::options(command)
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let request = v1::LocateRequest {
        zone: remote::text(matches, "zone"),
        count: matches.get_one("count").copied().unwrap_or_default(),
    };
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&request).await })?;
    out.print(&answer, |answer| {
        let addresses = answer.addresses.join("\n");
        format!("{addresses}\nkeep for {} ms", answer.keep_ms)
    })?;
    Ok(Exit::Done)
}
