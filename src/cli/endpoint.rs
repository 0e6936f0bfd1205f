//! `endpoint`: lists, adds and removes endpoints.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;

use super::config::print_applied;
use super::{Exit, Output, output, remote};
use crate::rpc::v1;

pub(super) fn command() -> Command {
    Command::new("endpoint")
        .about("List, add and remove endpoints")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(remote::options(
            Command::new("list").about("List the endpoints as their dispatchers see them"),
        ))
        .subcommand(add())
        .subcommand(remote::options(remote::change_options(
            Command::new("remove")
                .about("Take an endpoint out of the configuration")
                .arg(Arg::new("name").required(true).help("The endpoint's name")),
        )))
}

fn add() -> Command {
    let command = Command::new("add")
        .about("Add an endpoint, or replace the one of that name")
        .arg(Arg::new("name").required(true).help("The endpoint's name"))
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("IP:PORT")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Where it listens"),
        )
        .arg(
            Arg::new("zone")
                .long("zone")
                .required(true)
                .help("Its availability zone"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .required(true)
                .action(ArgAction::Append)
                .help("A service that it answers; may be given again"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_parser(value_parser!(u32).range(1..))
                .required(true)
                .help("Sequences or calls that it can run at the same time"),
        )
        .arg(
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue)
                .help("It refuses an order that carries an old fencing number"),
        )
        .arg(
            Arg::new("leaving")
                .long("leaving")
                .action(ArgAction::SetTrue)
                .help("Give it no new work"),
        )
        .arg(remote::dry_run("Check and compare only"));
    remote::options(remote::change_options(command))
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    match matches.subcommand() {
        Some(("add", matches)) => run_add(matches, out),
        Some(("remove", matches)) => run_remove(matches, out),
        Some((_, matches)) => run_list(matches, out),
        None => Ok(Exit::Usage),
    }
}

fn run_list(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&v1::ListEndpointsRequest {}).await })?;
    out.print(&answer, |answer| text(&answer.endpoints))?;
    Ok(Exit::Done)
}

fn run_add(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let endpoint = v1::Endpoint {
        name: remote::text(matches, "name"),
        address: matches
            .get_one::<SocketAddr>("address")
            .map(ToString::to_string)
            .unwrap_or_default(),
        zone: remote::text(matches, "zone"),
        services: matches
            .get_many::<String>("service")
            .map(|services| services.cloned().collect())
            .unwrap_or_default(),
        checks_fencing: matches.get_flag("checks-fencing"),
        slots: matches.get_one("slots").copied().unwrap_or_default(),
        leaving: matches.get_flag("leaving"),
    };
    let request = v1::AddEndpointRequest {
        endpoint: Some(endpoint),
        author: remote::author(matches)?,
        note: remote::text(matches, "note"),
        dry_run: matches.get_flag("dry-run"),
    };
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&request).await })?;
    print_applied(&answer, out)
}

fn run_remove(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let request = v1::RemoveEndpointRequest {
        name: remote::text(matches, "name"),
        author: remote::author(matches)?,
        note: remote::text(matches, "note"),
    };
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&request).await })?;
    print_applied(&answer, out)
}

/// Formats the endpoints as a table.
pub(super) fn text(endpoints: &[v1::EndpointStatus]) -> String {
    let rows: Vec<_> = endpoints.iter().map(row).collect();
    output::table(
        [
            "ENDPOINT",
            "STATE",
            "ZONE",
            "SERVICES",
            "SLOTS",
            "ONLINE",
            "BATCH",
            "QUEUED",
            "DISPATCHER",
        ],
        &rows,
    )
}

fn row(status: &v1::EndpointStatus) -> [String; 9] {
    let endpoint = status.endpoint.clone().unwrap_or_default();
    let state = if endpoint.leaving { "leaving" } else { "open" };
    [
        endpoint.name,
        state.to_owned(),
        endpoint.zone,
        endpoint.services.join(","),
        endpoint.slots.to_string(),
        status.online_running.to_string(),
        status.batch_running.to_string(),
        status.queued.to_string(),
        status.dispatcher.clone(),
    ]
}
