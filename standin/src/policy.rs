//! The policy benchmark: the product's dispatch, routing and retry decisions
//! against the engine model, in seeded virtual time. docs/POLICY.md explains
//! what it prints.

use serde::Serialize;

pub mod case;
mod event;
mod gateway;
mod load;
mod measure;
pub mod plot;
mod site;
pub mod world;

pub use case::{Case, Deployment, Scenario, Topology, Way};
pub use measure::Measure;

/// One line of the benchmark's output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Which users' fleet.
    pub deployment: &'static str,
    /// What happens.
    pub scenario: &'static str,
    /// How batch work is admitted.
    pub policy: &'static str,
    /// Median time to the first token, seen by a caller.
    pub ttft_p50_ms: f64,
    /// Its 99th percentile.
    pub ttft_p99_ms: f64,
    /// 99th percentile of the time between two tokens.
    pub itl_p99_ms: f64,
    /// Questions with a final refusal.
    pub online_refused: u64,
    /// Questions answered.
    pub online_done: u64,
    /// Batch items completed a second over the fleet.
    pub batch_items_s: f64,
    /// `ttft_p99_ms` over that of `alone`.
    pub ttft_p99_ratio: f64,
    /// `itl_p99_ms` over that of `alone`.
    pub itl_p99_ratio: f64,
    /// Batch tokens over those of the oracle.
    pub batch_fraction: f64,
}

/// Runs one case beside the runs it is compared with.
pub fn line(case: &Case, alone: &Measure, oracle: &Measure) -> Line {
    let measure = world::simulate(case);
    compare(case, &measure, alone, oracle)
}

/// The output line of a measure.
pub fn compare(case: &Case, measure: &Measure, alone: &Measure, oracle: &Measure) -> Line {
    let ratio = |ours: f64, theirs: f64| round(ours / theirs.max(1e-9), 3);
    Line {
        deployment: case.deployment.label(),
        scenario: case.scenario.label(),
        policy: case.way.label(),
        ttft_p50_ms: round(measure.ttft_ms(0.5), 1),
        ttft_p99_ms: round(measure.ttft_ms(0.99), 1),
        itl_p99_ms: round(measure.itl_ms(0.99), 1),
        online_refused: measure.refused,
        online_done: measure.done,
        batch_items_s: round(measure.items as f64 / case.seconds as f64, 2),
        ttft_p99_ratio: ratio(measure.ttft_ms(0.99), alone.ttft_ms(0.99)),
        itl_p99_ratio: ratio(measure.itl_ms(0.99), alone.itl_ms(0.99)),
        batch_fraction: ratio(measure.batch_tokens as f64, oracle.batch_tokens as f64),
    }
}

fn round(value: f64, digits: i32) -> f64 {
    let scale = 10_f64.powi(digits);
    (value * scale).round() / scale
}

/// The command line of `standin policy`.
pub mod cli {
    use clap::{Arg, ArgAction, ArgMatches, Command};
    use eyre::Result;

    use super::{Case, Deployment, Scenario, Way, compare, world};

    /// The subcommand's arguments.
    pub fn command() -> Command {
        let number = |name: &'static str, default: &'static str| {
            Arg::new(name)
                .long(name)
                .value_parser(clap::value_parser!(u64))
                .default_value(default)
        };
        let text = |name: &'static str| Arg::new(name).long(name);
        Command::new("policy")
            .about("Measures the policies in virtual time")
            .arg(Arg::new("json").long("json").action(ArgAction::SetTrue))
            .arg(number("seed", "1"))
            .arg(number("seconds", "90"))
            .arg(text("deployment"))
            .arg(text("scenario"))
            .arg(text("policy"))
            .arg(text("weight").value_parser(clap::value_parser!(u32)))
    }

    /// Runs and prints.
    ///
    /// # Errors
    /// When a line can't be written.
    pub fn run(arguments: &ArgMatches) -> Result<()> {
        let is = |name: &str, label: &str| {
            let wanted = arguments.get_one::<String>(name);
            wanted.is_none_or(|wanted| wanted == label)
        };
        let number = |name: &str| arguments.get_one::<u64>(name).copied();
        for deployment in Deployment::ALL {
            for scenario in Scenario::ALL {
                if !is("deployment", deployment.label()) || !is("scenario", scenario.label()) {
                    continue;
                }
                let mut case = Case::new(deployment, scenario, Way::Alone);
                case.seed = number("seed").unwrap_or(case.seed);
                case.seconds = number("seconds").unwrap_or(case.seconds);
                if let Some(weight) = arguments.get_one::<u32>("weight") {
                    case.latency_weight = *weight;
                }
                let alone = world::simulate(&case);
                let oracle = world::simulate(&case.with(Way::ORACLE));
                for way in Way::ALL.into_iter().chain([Way::ORACLE]) {
                    if !is("policy", way.label()) {
                        continue;
                    }
                    let measure = match way {
                        Way::Alone => alone.clone(),
                        Way::ORACLE => oracle.clone(),
                        _ => world::simulate(&case.with(way)),
                    };
                    let line = compare(&case.with(way), &measure, &alone, &oracle);
                    println!("{}", serde_json::to_string(&line)?);
                    log::debug!(
                        "{} stopped {} preempted {} retried {}",
                        line.policy,
                        measure.stopped,
                        measure.preempted,
                        measure.retried
                    );
                }
            }
        }
        Ok(())
    }
}
