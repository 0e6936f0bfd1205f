//! `job submit`: submits the items of a file as one job.

use std::fmt::Write as _;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use sha2::{Digest, Sha256};

use super::{exit, item, status_text, wait};
use crate::cli::remote::{self, Invalid};
use crate::cli::{Exit, Output, ask, output};
use crate::rpc::client::{Client, Error};
use crate::rpc::v1;
use crate::settings;

/// Bytes of the content's digest that are used as the idempotency key.
const KEY_BYTES: usize = 16;
/// Maximum number of retries of a submission whose response was lost.
const MAX_RETRIES: u32 = 3;

pub(super) fn command() -> Command {
    let command = Command::new("submit")
        .about("Submit a file of items as one job")
        .arg(
            Arg::new("service")
                .long("service")
                .required(true)
                .help("The service that should answer"),
        )
        .arg(ask::organisation())
        .arg(
            Arg::new("key")
                .long("key")
                .help("Your identity of the job: the same key is the same job; made from the content by default"),
        )
        .arg(
            Arg::new("due")
                .long("due")
                .value_name("DURATION")
                .value_parser(settings::duration)
                .help("Due this long from now; a day by default"),
        )
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Run each item at most once"),
        )
        .arg(wait::option())
        .arg(
            Arg::new("items")
                .value_name("FILE")
                .default_value("-")
                .value_parser(value_parser!(PathBuf))
                .help("JSON lines such as {\"key\": \"k\", \"prompt\": \"p\"}; - for the standard input"),
        );
    remote::options(command)
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let path: &PathBuf = matches.get_one("items").expect("clap has a default");
    let text = remote::read(path)?;
    let items = item::read(&text)
        .map_err(|e| Invalid(e.to_string()))
        .wrap_err_with(|| format!("{} can't be used, nothing was sent", path.display()))?;
    let request = request(matches, items);
    let client = remote::client(matches);
    remote::block_on(async {
        let accepted = submit(&client, &request).await?;
        if !matches.get_flag("wait") {
            out.print(&accepted, accepted_text)?;
            return Ok(Exit::Done);
        }
        if !out.is_json() {
            output::write_line(&accepted_text(&accepted))?;
        }
        let status = wait::until_ended(&client, &accepted.job).await?;
        out.print(&status, status_text)?;
        Ok(exit(&status))
    })
}

fn request(matches: &ArgMatches, items: Vec<v1::Item>) -> v1::SubmitJobRequest {
    let mut request = v1::SubmitJobRequest {
        service: remote::text(matches, "service"),
        organisation: remote::text(matches, "organisation"),
        key: remote::text(matches, "key"),
        items,
        due_ms: remote::millis(matches, "due"),
        once: matches.get_flag("once"),
    };
    if request.key.is_empty() {
        request.key = key(&request);
    }
    request
}

/// Derives an idempotency key from the content of the request.
///
/// Without a key, a user who repeats a command after its response was lost would start a second
/// job and get every result twice.
fn key(request: &v1::SubmitJobRequest) -> String {
    let digest = Sha256::digest(prost::Message::encode_to_vec(request));
    let mut key = String::from("content-");
    for byte in &digest[..KEY_BYTES] {
        // Writing to a string can't fail.
        let _ = write!(key, "{byte:02x}");
    }
    key
}

/// Submits the job, and retries when the response was lost. The idempotency key ensures that it is
/// accepted only once.
async fn submit(client: &Client, request: &v1::SubmitJobRequest) -> Result<v1::SubmitJobResponse> {
    let mut retries = 0;
    loop {
        match client.call(request).await {
            Err(Error::Lost(_)) if retries < MAX_RETRIES => retries += 1,
            answer => return answer.map_err(|e| with_retry_advice(e, &request.key)),
        }
    }
}

/// Adds how to retry safely to an error that leaves open whether the job was accepted.
fn with_retry_advice(error: Error, key: &str) -> eyre::Report {
    let is_lost = matches!(&error, Error::Lost(_));
    let report = eyre::Report::new(error);
    if is_lost {
        report.wrap_err(format!(
            "send the same command again, with --key {key}: it stays one job"
        ))
    } else {
        report
    }
}

fn accepted_text(answer: &v1::SubmitJobResponse) -> String {
    let again = if answer.resent {
        " (this key was accepted before; it is the same job)"
    } else {
        ""
    };
    format!(
        "job {} accepted with {} items{again}",
        answer.job, answer.items
    )
}
