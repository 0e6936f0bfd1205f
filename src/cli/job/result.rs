//! `job results`: prints the results of a job, one JSON object a line.

use clap::{Arg, ArgMatches, Command};
use eyre::Result;

use super::label;
use crate::cli::{Exit, Output, output, remote};
use crate::rpc::v1;

/// Results requested per page.
const PAGE_RESULTS: u32 = 1_000;

pub(super) fn command() -> Command {
    let command = Command::new("results")
        .about("Print a job's results, one JSON object a line")
        .arg(Arg::new("job").required(true).help("The job's name"))
        .arg(
            Arg::new("item")
                .long("item")
                .value_name("KEY")
                .help("Print just this item"),
        );
    remote::options(command)
}

/// Prints results to standard output. The notice that the job is still running goes to standard
/// error, so that a program that reads the output can't take it for a result.
pub(super) fn run(matches: &ArgMatches, _output: Output) -> Result<Exit> {
    let mut request = v1::JobResultsRequest {
        job: remote::text(matches, "job"),
        page: String::new(),
        item: remote::text(matches, "item"),
        limit: PAGE_RESULTS,
    };
    let client = remote::client(matches);
    let state = remote::block_on(async {
        loop {
            let page = client.call(&request).await?;
            for result in &page.results {
                output::write_line(&serde_json::to_string(result)?)?;
            }
            if page.next_page.is_empty() || page.next_page == request.page {
                return Ok::<_, eyre::Report>(page.state());
            }
            request.page = page.next_page;
        }
    })?;
    if state == v1::JobState::Active {
        eprintln!(
            "auburnspoke: the job is still {}; more results may follow",
            label(state)
        );
    }
    Ok(Exit::Done)
}
