//! `job`: submits, follows, reads and cancels batch jobs.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;

use super::{Exit, Output, ask, output, remote};
use crate::rpc::v1;

pub mod item;
mod result;
mod submit;
mod wait;

pub use item::read as items;
pub(super) use wait::until_ended;

pub(super) fn command() -> Command {
    let job = || Arg::new("job").required(true).help("The job's name");
    Command::new("job")
        .about("Submit, follow, read and cancel batch jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(submit::command())
        .subcommand(remote::options(
            Command::new("status")
                .about("Count a job's items by their state")
                .arg(job())
                .arg(wait::option()),
        ))
        .subcommand(result::command())
        .subcommand(remote::options(
            Command::new("cancel")
                .about("Stop a job; no new item starts afterwards")
                .arg(job()),
        ))
        .subcommand(remote::options(
            Command::new("list")
                .about("List the jobs of an organisation")
                .arg(ask::organisation())
                .arg(
                    Arg::new("limit")
                        .long("limit")
                        .value_parser(value_parser!(u32).range(1..))
                        .default_value("100")
                        .help("Most jobs to list"),
                ),
        ))
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    match matches.subcommand() {
        Some(("submit", matches)) => submit::run(matches, out),
        Some(("results", matches)) => result::run(matches, out),
        Some(("cancel", matches)) => run_cancel(matches, out),
        Some(("list", matches)) => run_list(matches, out),
        Some((_, matches)) => run_status(matches, out),
        None => Ok(Exit::Usage),
    }
}

fn run_status(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let job = remote::text(matches, "job");
    let client = remote::client(matches);
    let status = remote::block_on(async {
        if matches.get_flag("wait") {
            wait::until_ended(&client, &job).await
        } else {
            let status = client.call(&v1::JobStatusRequest { job }).await?;
            Ok(status)
        }
    })?;
    out.print(&status, status_text)?;
    Ok(exit(&status))
}

fn run_cancel(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let job = remote::text(matches, "job");
    let client = remote::client(matches);
    let answer = remote::block_on(async { client.call(&v1::CancelJobRequest { job }).await })?;
    out.print(&answer, |answer| match answer.state() {
        v1::JobState::Cancelled => "cancelled; no new item starts".to_owned(),
        state => format!("the job is {}; there was nothing to cancel", label(state)),
    })?;
    Ok(Exit::Done)
}

fn run_list(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let limit = matches.get_one::<u32>("limit").copied().unwrap_or_default();
    let client = remote::client(matches);
    let mut request = v1::ListJobsRequest {
        organisation: remote::text(matches, "organisation"),
        page: String::new(),
        limit,
    };
    let mut jobs: Vec<v1::JobStatusResponse> = Vec::new();
    remote::block_on(async {
        loop {
            let page = client.call(&request).await?;
            jobs.extend(page.jobs);
            if page.next_page.is_empty() || jobs.len() >= limit as usize {
                return Ok::<_, eyre::Report>(());
            }
            request.page = page.next_page;
        }
    })?;
    jobs.truncate(limit as usize);
    out.print(&jobs, |jobs| {
        let rows: Vec<_> = jobs.iter().map(row).collect();
        output::table(
            [
                "JOB", "SERVICE", "STATE", "ITEMS", "DONE", "FAILED", "UNKNOWN",
            ],
            &rows,
        )
    })?;
    Ok(Exit::Done)
}

/// Returns the exit code for a job's status.
fn exit(status: &v1::JobStatusResponse) -> Exit {
    match status.state() {
        v1::JobState::Cancelled => Exit::Incomplete,
        v1::JobState::Ended if status.done < status.items => Exit::Incomplete,
        _ => Exit::Done,
    }
}

fn status_text(status: &v1::JobStatusResponse) -> String {
    format!(
        "job {}: {}; {} items, {} done, {} failed, {} may have run",
        status.job,
        label(status.state()),
        status.items,
        status.done,
        status.failed,
        status.unknown
    )
}

fn row(status: &v1::JobStatusResponse) -> [String; 7] {
    [
        status.job.clone(),
        status.service.clone(),
        label(status.state()).to_owned(),
        status.items.to_string(),
        status.done.to_string(),
        status.failed.to_string(),
        status.unknown.to_string(),
    ]
}

const fn label(state: v1::JobState) -> &'static str {
    match state {
        v1::JobState::Unspecified => "unknown",
        v1::JobState::Active => "active",
        v1::JobState::Ended => "ended",
        v1::JobState::Cancelled => "cancelled",
    }
}
