//! `try`: runs a whole system in one process, as a demonstration.
//!
//! The platform and the engines are stand-ins in memory, on loopback. The node between them is the
//! one that `serve` runs, and the question and the job reach it through the same API as a caller's.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, bail};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use super::{Exit, Output, job, output};
use crate::node;
use crate::rpc::client::{Client, Timeouts};
use crate::rpc::v1;
use crate::settings::{self, Settings};
use crate::{http, logger};

mod standin;

/// The service to which the question and the job are sent.
const SERVICE: &str = "recipes";
/// The organisation on whose behalf they are sent.
const ORGANISATION: &str = "kitchen";
const QUESTION: &str = "Which spread can replace peanut butter for a school with a nut allergy?";
/// Number of items of the job.
const ITEMS: u32 = 40;
/// Length of an answer in tokens.
const ANSWER_TOKENS: u32 = 24;
/// Time-out of the node's start-up and of each call.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time-out of the node's graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn command() -> Command {
    Command::new("try")
        .about("Run a whole system in this process, ask it a question and give it a job")
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Exit after the job instead of serving until Ctrl-C"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:7001")
                .value_parser(value_parser!(SocketAddr))
                .help("Where to serve callers; port 0 lets the system choose"),
        )
}

pub(super) fn run(matches: &ArgMatches, out: Output) -> Result<Exit> {
    let listen = *matches.get_one("listen").expect("clap has a default");
    let once = matches.get_flag("once");
    logger::init(&settings::Log {
        level: log::LevelFilter::Warn,
        ..settings::Log::default()
    });
    actix_rt::System::new().block_on(run_system(listen, once, out))
}

async fn run_system(listen: SocketAddr, once: bool, out: Output) -> Result<Exit> {
    // Registered before anything is printed: otherwise an early Ctrl-C would end the process
    // without shutting the node down.
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't wait for Ctrl-C")?;
    let standins = standin::start()?;
    let running = node::start(&settings(listen, standins.platform))?;
    let callers = running.callers;
    let demonstration = demonstrate(callers, &standins, once, out);
    let result = tokio::select! {
        result = demonstration => result,
        _ = interrupt.recv() => Ok(()),
    };
    let next_interrupt = async move {
        interrupt.recv().await;
    };
    running.stop(SHUTDOWN_TIMEOUT, next_interrupt).await;
    result.map(|()| Exit::Done)
}

/// Sends a question and a job, then keeps serving unless `once` is set.
async fn demonstrate(
    node: SocketAddr,
    standins: &standin::Standins,
    once: bool,
    out: Output,
) -> Result<()> {
    let timeouts = Timeouts {
        connect: TIMEOUT,
        answer: TIMEOUT,
    };
    let client = Client::new(vec![node], timeouts);
    out.print(&json!({ "serving": node }), |_| {
        format!("serving on {node}")
    })?;
    configure(&client, node, standins).await?;
    question(&client, out).await?;
    batch(&client, out).await?;
    if once {
        return Ok(());
    }
    if !out.is_json() {
        output::write_line(&next_steps(node))?;
    }
    std::future::pending().await
}

fn settings(listen: SocketAddr, platform: SocketAddr) -> Settings {
    let any = SocketAddr::new(listen.ip(), 0);
    Settings::new(
        settings::Node {
            name: "try".into(),
            zone: standin::ZONE.into(),
            region: "here".into(),
        },
        settings::Listen {
            callers: listen,
            link: any,
            control: any,
        },
        settings::Platform { address: platform },
    )
}

/// Commits a configuration and waits until the node applies it.
async fn configure(client: &Client, node: SocketAddr, standins: &standin::Standins) -> Result<()> {
    let request = v1::ApplyConfigRequest {
        expect_version: 0,
        config: Some(standins.config(SERVICE)),
        author: "try".into(),
        note: "a first configuration".into(),
        dry_run: false,
    };
    client.call(&request).await?;
    let started = Instant::now();
    while !is_ready(node).await {
        if started.elapsed() > TIMEOUT {
            bail!("the node is not ready after {} s", TIMEOUT.as_secs());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn is_ready(node: SocketAddr) -> bool {
    let answer = http::client(TIMEOUT)
        .get(format!("http://{node}/readyz"))
        .send()
        .await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

async fn question(client: &Client, out: Output) -> Result<()> {
    let request = v1::AskRequest {
        service: SERVICE.into(),
        organisation: ORGANISATION.into(),
        prompt: QUESTION.into(),
        max_tokens: ANSWER_TOKENS,
        ..v1::AskRequest::default()
    };
    if !out.is_json() {
        output::write_line(&format!("\nquestion: {QUESTION}"))?;
        output::write("answer:   ")?;
    }
    let started = Instant::now();
    let mut first = None;
    let mut text = String::new();
    let mut tokens = 0;
    let mut answer = client.ask(&request).await?;
    while let Some(piece) = answer.next().await? {
        if !piece.text.is_empty() {
            first.get_or_insert_with(|| started.elapsed());
        }
        if !out.is_json() {
            output::write(&piece.text)?;
        }
        text.push_str(&piece.text);
        tokens = piece.end.map_or(tokens, |end| end.tokens);
    }
    let (first, whole) = (first.unwrap_or_default(), started.elapsed());
    let document = json!({
        "question": QUESTION, "answer": text, "tokens": tokens,
        "first_token_ms": millis(first), "total_ms": millis(whole),
    });
    out.print(&document, |_| {
        format!(
            "\n          first token after {:.1} ms, {tokens} tokens after {:.1} ms",
            millis(first),
            millis(whole)
        )
    })
}

async fn batch(client: &Client, out: Output) -> Result<()> {
    let started = Instant::now();
    let accepted = client.call(&job_request()).await?;
    let accepted_after = started.elapsed();
    if !out.is_json() {
        output::write_line(&format!(
            "\njob:      {} accepted with {} items after {:.1} ms",
            accepted.job,
            accepted.items,
            millis(accepted_after)
        ))?;
    }
    let status = job::until_ended(client, &accepted.job).await?;
    let whole = started.elapsed();
    let results = client
        .call(&v1::JobResultsRequest {
            job: accepted.job.clone(),
            limit: ITEMS,
            ..v1::JobResultsRequest::default()
        })
        .await?
        .results;
    if status.done != status.items || results.len() != status.items as usize {
        bail!(
            "the job ended with {} of {} items done and {} results",
            status.done,
            status.items,
            results.len()
        );
    }
    let document = json!({
        "job": accepted.job, "items": accepted.items, "done": status.done,
        "results": results.len(), "accepted_ms": millis(accepted_after), "total_ms": millis(whole),
    });
    out.print(&document, |_| {
        format!(
            "          {} of {} items done, {} results read after {:.1} ms",
            status.done,
            status.items,
            results.len(),
            millis(whole)
        )
    })
}

fn job_request() -> v1::SubmitJobRequest {
    let item = |number: u32| v1::Item {
        key: format!("recipe-{number}"),
        prompt: format!("Rescale recipe {number} from 20 to 350 portions."),
        max_tokens: ANSWER_TOKENS,
    };
    v1::SubmitJobRequest {
        service: SERVICE.into(),
        organisation: ORGANISATION.into(),
        key: "try".into(),
        items: (1..=ITEMS).map(item).collect(),
        ..v1::SubmitJobRequest::default()
    }
}

fn millis(took: Duration) -> f64 {
    (took.as_secs_f64() * 10_000.0).round() / 10.0
}

fn next_steps(node: SocketAddr) -> String {
    format!(
        "\nStill serving; stop it with Ctrl-C. In another terminal:\n\n  \
         export AUBURNSPOKE_SERVER={node}\n  \
         auburnspoke ask --service {SERVICE} \"How much salt for 350 portions?\"\n  \
         auburnspoke job submit --service {SERVICE} --wait examples/items.jsonl\n  \
         auburnspoke status\n  \
         curl http://{node}/metrics"
    )
}
