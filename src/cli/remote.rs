//! What the commands that talk to a node share.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use eyre::{Result, WrapErr};

use crate::rpc::client::{Client, Timeouts};
use crate::settings;

/// The node that is asked when neither option nor environment names one.
const SERVER: &str = "127.0.0.1:7001";
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(3);
/// Names of the author of a change, in the environment.
const AUTHOR: [&str; 2] = ["AUBURNSPOKE_AUTHOR", "USER"];

/// What a user gave us is wrong, and nothing was sent.
#[derive(Clone, Debug)]
pub(super) struct Input(pub(super) String);

impl fmt::Display for Input {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Input {}

/// Adds the options that name a node.
pub(super) fn options(command: Command) -> Command {
    command
        .arg(
            Arg::new("server")
                .long("server")
                .value_name("IP:PORT")
                .env("AUBURNSPOKE_SERVER")
                .default_value(SERVER)
                .value_delimiter(',')
                .value_parser(address)
                .help(
                    "The node to ask; further ones after commas are tried when it takes no calls",
                ),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("DURATION")
                .default_value("30s")
                .value_parser(settings::duration)
                .help("Longest wait for an answer to begin"),
        )
}

/// Adds the options that go into the history of the configuration.
pub(super) fn change_options(command: Command) -> Command {
    command
        .arg(
            Arg::new("author")
                .long("author")
                .help("Who makes the change; $AUBURNSPOKE_AUTHOR or $USER by default"),
        )
        .arg(
            Arg::new("note")
                .long("note")
                .default_value("")
                .hide_default_value(true)
                .help("Why it is made"),
        )
}

/// The author of a change.
pub(super) fn author(matches: &ArgMatches) -> Result<String> {
    if let Some(author) = matches.get_one::<String>("author") {
        return Ok(author.clone());
    }
    AUTHOR
        .iter()
        .find_map(|name| std::env::var(name).ok().filter(|value| !value.is_empty()))
        .ok_or_else(|| Input("nobody is named as the author; give --author NAME".into()).into())
}

/// The text of a string option; empty when it was not given.
pub(super) fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// The time of a duration option in milliseconds; 0 when it was not given.
pub(super) fn millis(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<Duration>(name).map_or(0, |wait| {
        u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
    })
}

/// A client for the node that the options name.
pub(super) fn client(matches: &ArgMatches) -> Client {
    let servers = matches
        .get_many::<SocketAddr>("server")
        .map(|servers| servers.copied().collect())
        .unwrap_or_default();
    let answer = matches
        .get_one::<Duration>("timeout")
        .copied()
        .unwrap_or(CONNECT);
    Client::new(
        servers,
        Timeouts {
            connect: CONNECT.min(answer),
            answer,
        },
    )
}

/// Runs a command's conversation on a runtime of its own.
pub(super) fn block_on<F, T>(future: F) -> T
where
    F: Future<Output = T>,
{
    actix_rt::System::new().block_on(future)
}

/// Reads a file, or the standard input when the path is `-`.
pub(super) fn read(path: &Path) -> Result<String> {
    if path == Path::new("-") {
        return std::io::read_to_string(std::io::stdin())
            .map_err(|e| Input(format!("can't read the standard input: {e}")).into());
    }
    std::fs::read_to_string(path)
        .map_err(|e| Input(e.to_string()))
        .wrap_err_with(|| format!("can't read {}", path.display()))
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is no address; write ip:port, as in {SERVER}"))
}

/// The option that makes a change of the configuration only a trial.
pub(super) fn dry_run(help: &'static str) -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .action(clap::ArgAction::SetTrue)
        .help(help)
}
