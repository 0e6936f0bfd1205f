//! `service`: lists and changes services.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;

use super::config::print_applied;
use super::remote::{self, Invalid};
use super::{Exit, Output, output};
use crate::rpc::v1;
use crate::settings;

pub(super) fn command() -> Command {
    Command::new("service")
        .about("List, add and change services")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(remote::options(
            Command::new("list").about("List the services"),
        ))
        .subcommand(apply())
}

fn apply() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u32))
            .default_value("0")
            .hide_default_value(true)
            .help(help)
    };
    let command = Command::new("apply")
        .about("Add a service, or replace the one of that name")
        .arg(Arg::new("name").required(true).help("The service's name"))
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(["model", "plain"])
                .default_value("model")
                .help("What answers it: model engines, or plain HTTP services"),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .required_if_eq("kind", "model")
                .help("The model that its endpoints must have loaded"),
        )
        .arg(
            Arg::new("model-version")
                .long("model-version")
                .required_if_eq("kind", "model")
                .help("The model's version"),
        )
        .arg(
            Arg::new("adapter")
                .long("adapter")
                .action(ArgAction::Append)
                .help("An adapter that its endpoints must have loaded; may be given again"),
        )
        .arg(
            Arg::new("deadline")
                .long("deadline")
                .value_name("DURATION")
                .value_parser(settings::duration)
                .help("Bound on a question when the caller names none"),
        )
        .arg(number(
            "max-tokens",
            "Most tokens of an answer when the caller names none",
        ))
        .arg(number(
            "replicas",
            "Wanted endpoints that hold the model; 0 leaves them as they are",
        ))
        .arg(
            Arg::new("latency-weight")
                .long("latency-weight")
                .value_parser(value_parser!(u32).range(0..=100))
                .default_value("50")
                .help("0 favours batch throughput, 100 online tail latency"),
        )
        .arg(remote::dry_run("Check and compare only"));
    remote::options(remote::change_options(command))
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    match matches.subcommand() {
        Some(("apply", matches)) => run_apply(matches, out),
        Some((_, matches)) => run_list(matches, out),
        None => Ok(Exit::Usage),
    }
}

fn run_list(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&v1::GetConfigRequest {}).await })?;
    let services = answer.config.unwrap_or_default().services;
    out.print(&services, |services| text(services))?;
    Ok(Exit::Done)
}

fn run_apply(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let kind = match remote::text(matches, "kind").as_str() {
        "plain" => v1::ServiceKind::Plain,
        _ => v1::ServiceKind::Model,
    };
    let service = v1::Service {
        name: remote::text(matches, "name"),
        kind: kind.into(),
        model: remote::text(matches, "model"),
        model_version: remote::text(matches, "model-version"),
        adapters: matches
            .get_many::<String>("adapter")
            .map(|adapters| adapters.cloned().collect())
            .unwrap_or_default(),
        deadline_ms: u32::try_from(remote::millis(matches, "deadline"))
            .map_err(|_| Invalid("the deadline is too long; the limit is 4294967295 ms".into()))?,
        max_tokens: number("max-tokens"),
        replicas: number("replicas"),
        latency_weight: number("latency-weight"),
    };
    let request = v1::ApplyServiceRequest {
        service: Some(service),
        author: remote::author(matches)?,
        note: remote::text(matches, "note"),
        dry_run: matches.get_flag("dry-run"),
    };
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&request).await })?;
    print_applied(&answer, out)
}

/// Formats the services as a table.
pub(super) fn text(services: &[v1::Service]) -> String {
    let rows: Vec<_> = services.iter().map(row).collect();
    output::table(
        [
            "SERVICE",
            "KIND",
            "MODEL",
            "REPLICAS",
            "DEADLINE",
            "MAX TOKENS",
            "LATENCY WEIGHT",
        ],
        &rows,
    )
}

fn row(service: &v1::Service) -> [String; 7] {
    let kind = match service.kind() {
        v1::ServiceKind::Unspecified => "unknown",
        v1::ServiceKind::Model => "model",
        v1::ServiceKind::Plain => "plain",
    };
    let version = if service.model_version.is_empty() {
        String::new()
    } else {
        format!("@{}", service.model_version)
    };
    [
        service.name.clone(),
        kind.to_owned(),
        format!("{}{version}", service.model),
        service.replicas.to_string(),
        format!("{} ms", service.deadline_ms),
        service.max_tokens.to_string(),
        service.latency_weight.to_string(),
    ]
}
