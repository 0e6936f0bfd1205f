//! `standin overhead`: measures what a node adds to the latency and processor time of a request.
//!
//! Requests go to the engine directly and through the node in turns, so that other load on the
//! machine affects both equally. The processor time of the node is read from the operating system
//! before and after.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use auburnspoke::clock::Clock;
use auburnspoke::endpoint::{self, Target, completion};
use auburnspoke::rpc::client::{Client, Timeouts};
use auburnspoke::rpc::v1;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{OptionExt as _, Result, WrapErr as _, eyre};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde_json::json;

/// Longest wait for one response.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Number of requests on each path that warm it up and are not measured.
const WARM_UP_REQUESTS: u32 = 50;
/// Clock ticks per second, in which Linux counts processor time.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the definition of the `overhead` subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u32))
            .help(help)
    };
    let address = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .required(true)
            .value_parser(value_parser!(SocketAddr))
            .help(help)
    };
    Command::new("overhead")
        .about("Compare questions through a node with the same to its engine directly")
        .arg(address("node", "The node's address for callers"))
        .arg(address("engine", "The engine's address"))
        .arg(
            Arg::new("service")
                .long("service")
                .default_value("recipes")
                .help("The service that the engine answers"),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .default_value("recipe-model")
                .help("The model that the engine is asked for"),
        )
        .arg(
            Arg::new("pid")
                .long("pid")
                .value_parser(value_parser!(u32))
                .action(clap::ArgAction::Append)
                .help("A node's process, whose processor time is counted; may be repeated"),
        )
        .arg(number("questions", "2000", "Questions each way"))
        .arg(number("tokens", "16", "Tokens of each answer"))
        .arg(number(
            "at-once",
            "64",
            "Questions at a time in the second part",
        ))
}

/// Runs both measurements and prints one JSON object for each.
///
/// # Errors
/// Fails if an address cannot be reached or a request is refused.
pub fn run(arguments: &ArgMatches) -> Result<()> {
    let setting = Setting::read(arguments)?;
    actix_rt::System::new().block_on(async move {
        latency(&setting).await?;
        rate(&setting).await
    })
}

struct Setting {
    node: SocketAddr,
    engine: Target,
    service: String,
    pids: Vec<u32>,
    questions: u32,
    tokens: u32,
    at_once: u32,
}

impl Setting {
    fn read(arguments: &ArgMatches) -> Result<Self> {
        let address = |name| arguments.get_one::<SocketAddr>(name).copied();
        let number = |name| arguments.get_one::<u32>(name).copied().unwrap_or(1);
        let text = |name| arguments.get_one::<String>(name).cloned();
        let pids = arguments.get_many::<u32>("pid").unwrap_or_default();
        Ok(Self {
            node: address("node").ok_or_eyre("--node is missing; write the node's address")?,
            engine: Target {
                name: "engine".into(),
                address: address("engine")
                    .ok_or_eyre("--engine is missing; write the engine's address")?
                    .to_string()
                    .into(),
                model: text("model")
                    .ok_or_eyre("--model is missing; write the model's name")?
                    .into(),
            },
            service: text("service")
                .ok_or_eyre("--service is missing; write the service's name")?,
            pids: pids.copied().collect(),
            questions: number("questions"),
            tokens: number("tokens"),
            at_once: number("at-once"),
        })
    }

    async fn direct(&self, client: &endpoint::Client, number: u32) -> Result<()> {
        let text = format!("direct {number}");
        let prompt = completion::Prompt {
            model: &self.engine.model,
            prompt: &text,
            max_tokens: self.tokens,
            stream: true,
            key: "",
            resume_from: 0,
            resume_text: "",
        };
        completion::run(client, &self.engine, &prompt, TIMEOUT, |_| async {})
            .await
            .map_err(|failure| eyre!("the engine failed: {failure}"))
    }

    async fn via_node(&self, client: &Client, number: u32) -> Result<()> {
        let request = v1::AskRequest {
            service: self.service.clone(),
            prompt: format!("through {number}"),
            max_tokens: self.tokens,
            ..v1::AskRequest::default()
        };
        client.call(&request).await?;
        Ok(())
    }

    fn cpu_time(&self) -> Result<Duration> {
        let each = self.pids.iter().map(|pid| cpu_time(*pid));
        each.sum()
    }
}

fn clients(setting: &Setting) -> (endpoint::Client, Client) {
    let timeouts = Timeouts {
        connect: TIMEOUT,
        answer: TIMEOUT,
    };
    let node = Client::new(vec![setting.node], timeouts);
    (endpoint::Client::new(TIMEOUT), node)
}

/// Measures latency: one request at a time, directly and through the node in turns.
async fn latency(setting: &Setting) -> Result<()> {
    let (engine, node) = clients(setting);
    let clock = Clock::start();
    let mut direct = Histogram::<u64>::new(3)?;
    let mut via_node = Histogram::<u64>::new(3)?;
    for number in 0..WARM_UP_REQUESTS {
        setting.direct(&engine, number).await?;
        setting.via_node(&node, number).await?;
    }
    let before = setting.cpu_time()?;
    for number in 0..setting.questions {
        let start = clock.now();
        setting.direct(&engine, number).await?;
        let middle = clock.now();
        setting.via_node(&node, number).await?;
        direct.record(middle.since(start).as_micros().try_into()?)?;
        via_node.record(clock.now().since(middle).as_micros().try_into()?)?;
    }
    let used = setting.cpu_time()?.saturating_sub(before);
    let quantile_of = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile);
    let (p50, p99) = (quantile_of(&direct, 0.5), quantile_of(&direct, 0.99));
    let (node_p50, node_p99) = (quantile_of(&via_node, 0.5), quantile_of(&via_node, 0.99));
    let line = json!({
        "part": "latency", "questions": setting.questions, "tokens": setting.tokens,
        "direct_p50_us": p50, "direct_p99_us": p99,
        "node_p50_us": node_p50, "node_p99_us": node_p99,
        "ratio_p50": node_p50 as f64 / p50 as f64, "ratio_p99": node_p99 as f64 / p99 as f64,
        "node_cpu_us": used.as_micros() as f64 / f64::from(setting.questions),
    });
    println!("{line}");
    Ok(())
}

/// Measures throughput: many requests at a time, first directly and then through the node.
async fn rate(setting: &Setting) -> Result<()> {
    let (engine, node) = clients(setting);
    let each = setting.questions / setting.at_once.max(1);
    let start = Instant::now();
    let direct = (0..setting.at_once).map(|lane| {
        let engine = &engine;
        async move {
            for number in 0..each {
                setting.direct(engine, lane * each + number).await?;
            }
            Ok::<_, eyre::Report>(())
        }
    });
    join_all(direct).await.into_iter().collect::<Result<()>>()?;
    let direct = start.elapsed();
    let before = setting.cpu_time()?;
    let start = Instant::now();
    let via_node = (0..setting.at_once).map(|lane| {
        let node = &node;
        async move {
            let mut refused = 0;
            for number in 0..each {
                let answer = setting.via_node(node, lane * each + number).await;
                refused += u32::from(answer.is_err());
            }
            refused
        }
    });
    let refused: u32 = join_all(via_node).await.into_iter().sum();
    let via_node = start.elapsed();
    let used = setting.cpu_time()?.saturating_sub(before);
    let sent = each * setting.at_once;
    let answered = f64::from(sent - refused);
    let line = json!({
        "part": "rate", "questions": sent, "refused": refused, "at_once": setting.at_once,
        "direct_per_s": f64::from(sent) / direct.as_secs_f64(),
        "node_per_s": answered / via_node.as_secs_f64(),
        "node_tokens_per_s": answered * f64::from(setting.tokens) / via_node.as_secs_f64(),
        "node_cpu_us": used.as_micros() as f64 / f64::from(sent),
    });
    println!("{line}");
    Ok(())
}

/// Returns the processor time that a process has used, in user and kernel mode.
fn cpu_time(pid: u32) -> Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))
        .wrap_err("could not read the process's statistics; check that it runs")?;
    // Skips the name in parentheses, which may contain spaces.
    let fields = stat
        .rsplit_once(')')
        .ok_or_eyre("the process's stat line has no name in parentheses")?
        .1;
    let mut fields = fields.split_whitespace().skip(11);
    let mut next = || -> Result<u64> {
        Ok(fields
            .next()
            .ok_or_eyre("the process's stat line has too few fields")?
            .parse()?)
    };
    Ok(Duration::from_millis(
        (next()? + next()?) * 1_000 / TICKS_PER_SECOND,
    ))
}
