//! `config`: shows and changes the configuration.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};

use super::remote::{self, Invalid};
use super::{Exit, Output, output};
use crate::rpc::v1;

mod document;

use document::Document;

pub(super) fn command() -> Command {
    Command::new("config")
        .about("Show and change the configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(remote::options(Command::new("show").about(
            "Print the configuration as a TOML document that `apply` takes back",
        )))
        .subcommand(apply())
        .subcommand(remote::options(
            Command::new("history")
                .about("List past changes, newest first")
                .arg(
                    Arg::new("limit")
                        .long("limit")
                        .value_parser(value_parser!(u32))
                        .default_value("20")
                        .help("Most changes to list"),
                ),
        ))
        .subcommand(remote::options(
            Command::new("status").about("Show which version each node has in force"),
        ))
}

fn apply() -> Command {
    let command = Command::new("apply")
        .about("Replace the configuration if nobody has changed it meanwhile")
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The document in TOML or JSON; - for the standard input"),
        )
        .arg(
            Arg::new("expect-version")
                .long("expect-version")
                .value_parser(value_parser!(u64))
                .help("The version that the change was made from; the document's own by default"),
        )
        .arg(remote::dry_run(
            "Check the document and print the difference only",
        ));
    remote::options(remote::change_options(command))
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    match matches.subcommand() {
        Some(("apply", matches)) => run_apply(matches, out),
        Some(("history", matches)) => run_history(matches, out),
        Some(("status", matches)) => run_status(matches, out),
        Some((_, matches)) => run_show(matches, out),
        None => Ok(Exit::Usage),
    }
}

fn run_show(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&v1::GetConfigRequest {}).await })?;
    let document = Document::new(answer);
    let text = if out.is_json() {
        serde_json::to_string(&document)?
    } else {
        toml::to_string(&document).wrap_err("can't write the document")?
    };
    output::write_line(text.trim_end())?;
    Ok(Exit::Done)
}

fn run_apply(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let path: &PathBuf = matches.get_one("file").expect("clap requires the file");
    let text = remote::read(path)?;
    let document = Document::parse(&text)
        .map_err(Invalid)
        .wrap_err_with(|| format!("{} can't be used, nothing was sent", path.display()))?;
    let expect_version = matches
        .get_one::<u64>("expect-version")
        .copied()
        .or(document.version)
        .ok_or_else(|| {
            Invalid(
                "the document has no version; take it from `config show`, or give --expect-version"
                    .into(),
            )
        })?;
    let request = v1::ApplyConfigRequest {
        expect_version,
        config: Some(document.into_config()),
        author: remote::author(matches)?,
        note: remote::text(matches, "note"),
        dry_run: matches.get_flag("dry-run"),
    };
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&request).await })?;
    print_applied(&answer, out)
}

fn run_history(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let request = v1::ConfigHistoryRequest {
        limit: matches.get_one("limit").copied().unwrap_or_default(),
    };
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&request).await })?;
    out.print(&answer, |answer| {
        answer.changes.iter().map(change).collect()
    })?;
    Ok(Exit::Done)
}

fn run_status(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&v1::ConfigStatusRequest {}).await })?;
    out.print(&answer, |answer| {
        let rows: Vec<_> = answer
            .nodes
            .iter()
            .map(|node| [node.node.clone(), node.version.to_string()])
            .collect();
        let table = output::table(["NODE", "VERSION"], &rows);
        format!("{table}{}", summary(answer))
    })?;
    Ok(Exit::Done)
}

/// One line that states whether the newest version is in force on every node.
pub(super) fn summary(status: &v1::ConfigStatusResponse) -> String {
    let behind = status
        .nodes
        .iter()
        .filter(|node| node.version < status.version)
        .count();
    let state = if status.in_force {
        "in force on every live node".to_owned()
    } else {
        format!(
            "not yet in force everywhere: {behind} of {} nodes behind",
            status.nodes.len()
        )
    };
    format!("configuration version {}: {state}", status.version)
}

/// Prints the differences that a change made, or would make in a dry run.
pub(super) fn print_applied(answer: &v1::ApplyConfigResponse, out: Output) -> Result<Exit> {
    out.print(answer, |answer| {
        let mut text = output::lines("", &answer.diff);
        if answer.diff.is_empty() {
            text.push_str("no difference\n");
        }
        let outcome = if answer.dry_run {
            "dry run, nothing changed; current version"
        } else {
            "committed as version"
        };
        text + &format!("{outcome} {}", answer.version)
    })?;
    Ok(Exit::Done)
}

fn change(change: &v1::Change) -> String {
    let head = format!(
        "version {} by {} at {} ms since 1970: {}\n",
        change.version, change.author, change.at_ms, change.note
    );
    head + &output::lines("  ", &change.diff)
}
