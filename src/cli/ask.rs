//! `ask`: sends one question and prints the answer as it arrives.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;

use super::remote::{self, Invalid};
use super::{Exit, Output, output};
use crate::rpc::client::Client;
use crate::rpc::v1;
use crate::settings;

pub(super) fn command() -> Command {
    let command = Command::new("ask")
        .about("Ask one question and print the answer as it arrives")
        .arg(
            Arg::new("service")
                .long("service")
                .required(true)
                .help("The service that should answer"),
        )
        .arg(organisation())
        .arg(
            Arg::new("key")
                .long("key")
                .help("Your identity of this request; required with --once"),
        )
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .requires("key")
                .help("Run it at most once; never repeat it"),
        )
        .arg(
            Arg::new("deadline")
                .long("deadline")
                .value_name("DURATION")
                .value_parser(settings::duration)
                .help("Give up after this time; the service's own bound by default"),
        )
        .arg(
            Arg::new("max-tokens")
                .long("max-tokens")
                .value_parser(value_parser!(u32))
                .help("Most tokens to generate; the service's own bound by default"),
        )
        .arg(
            Arg::new("path")
                .long("path")
                .requires("body")
                .help("For a plain service: the path to POST to"),
        )
        .arg(
            Arg::new("body")
                .long("body")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .requires("path")
                .conflicts_with("prompt")
                .help("For a plain service: the body to POST; - for the standard input"),
        )
        .arg(
            Arg::new("prompt")
                .required_unless_present("body")
                .help("The question; - for the standard input"),
        );
    remote::options(command)
}

/// The option for the organisation on whose behalf a request is sent.
pub(super) fn organisation() -> Arg {
    Arg::new("organisation")
        .long("organisation")
        .visible_alias("org")
        .env("AUBURNSPOKE_ORGANISATION")
        .default_value("default")
        .help("The organisation that asks")
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let request = request(matches)?;
    let client = remote::client(matches);
    remote::block_on(ask(&client, &request, out))
}

fn request(matches: &ArgMatches) -> Result<v1::AskRequest> {
    let prompt = match matches.get_one::<String>("prompt") {
        Some(dash) if dash == "-" => remote::read(Path::new("-"))?,
        Some(prompt) => prompt.clone(),
        None => String::new(),
    };
    let body = match matches.get_one::<PathBuf>("body") {
        Some(path) => remote::read(path)?,
        None => String::new(),
    };
    if prompt.is_empty() && !matches.contains_id("body") {
        return Err(Invalid("the question is empty; nothing was sent".into()).into());
    }
    Ok(v1::AskRequest {
        service: remote::text(matches, "service"),
        organisation: remote::text(matches, "organisation"),
        key: remote::text(matches, "key"),
        once: matches.get_flag("once"),
        deadline_ms: u32::try_from(remote::millis(matches, "deadline"))
            .map_err(|_| Invalid("the deadline is too long; the limit is 4294967295 ms".into()))?,
        prompt,
        max_tokens: matches.get_one("max-tokens").copied().unwrap_or_default(),
        path: remote::text(matches, "path"),
        body: body.into(),
    })
}

/// Prints each piece as it arrives, or the complete answer as one JSON document.
async fn ask(client: &Client, request: &v1::AskRequest, out: Output) -> Result<Exit> {
    let mut answer = client.ask(request).await?;
    let mut text = String::new();
    let mut end = v1::AskResponse::default();
    while let Some(piece) = answer.next().await? {
        if out.is_json() {
            text.push_str(&piece.text);
        } else {
            output::write(&piece.text)?;
        }
        if let Some(last) = piece.end {
            end = last;
        }
    }
    if out.is_json() {
        if end.text.is_empty() {
            end.text = text;
        }
        out.print(&end, |_| String::new())?;
    } else {
        output::write_line(&String::from_utf8_lossy(&end.body))?;
    }
    Ok(Exit::Done)
}
