//! Options, input and the client that the commands which call a node have in common.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use eyre::{Result, WrapErr};

use crate::rpc::client::{Client, Timeouts};
use crate::settings;

/// The node that is called when neither option nor environment names one.
const DEFAULT_SERVER: &str = "127.0.0.1:7001";
/// Time-out of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Environment variables that name the author of a change, in order of precedence.
const AUTHOR_VARIABLES: [&str; 2] = ["AUBURNSPOKE_AUTHOR", "USER"];

/// The user's input is invalid, and nothing was sent.
#[derive(Clone, Debug)]
pub(super) struct Invalid(pub(super) String);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Invalid {}

/// Adds the options that select a node.
pub(super) fn options(command: Command) -> Command {
    command
        .arg(
            Arg::new("server")
                .long("server")
                .value_name("IP:PORT")
                .env("AUBURNSPOKE_SERVER")
                .default_value(DEFAULT_SERVER)
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

/// Adds the options that are recorded in the history of the configuration.
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

/// Returns the author of a change.
pub(super) fn author(matches: &ArgMatches) -> Result<String> {
    if let Some(author) = matches.get_one::<String>("author") {
        return Ok(author.clone());
    }
    AUTHOR_VARIABLES
        .iter()
        .find_map(|name| std::env::var(name).ok().filter(|value| !value.is_empty()))
        .ok_or_else(|| Invalid("no author is given; use --author NAME".into()).into())
}

/// Returns a string option, empty if it was not given.
pub(super) fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Returns a duration option in milliseconds, 0 if it was not given.
pub(super) fn millis(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<Duration>(name).map_or(0, |wait| {
        u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Creates a client for the nodes that the options name.
pub(super) fn client(matches: &ArgMatches) -> Client {
    let servers = matches
        .get_many::<SocketAddr>("server")
        .map(|servers| servers.copied().collect())
        .unwrap_or_default();
    let answer = matches
        .get_one::<Duration>("timeout")
        .copied()
        .unwrap_or(CONNECT_TIMEOUT);
    Client::new(
        servers,
        Timeouts {
            connect: CONNECT_TIMEOUT.min(answer),
            answer,
        },
    )
}

/// Runs a command's calls on a runtime of their own.
pub(super) fn block_on<F, T>(future: F) -> T
where
    F: Future<Output = T>,
{
    actix_rt::System::new().block_on(future)
}

/// Reads a file, or standard input if the path is `-`.
pub(super) fn read(path: &Path) -> Result<String> {
    if path == Path::new("-") {
        return std::io::read_to_string(std::io::stdin())
            .map_err(|e| Invalid(format!("can't read the standard input: {e}")).into());
    }
    std::fs::read_to_string(path)
        .map_err(|e| Invalid(e.to_string()))
        .wrap_err_with(|| format!("can't read {}", path.display()))
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an address; write ip:port, as in {DEFAULT_SERVER}"))
}

/// The option that validates and compares a change without committing it.
pub(super) fn dry_run(help: &'static str) -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .action(clap::ArgAction::SetTrue)
        .help(help)
}
