//! The fault soak: real nodes as processes on this machine, stand-ins for the
//! platform around them, faults by seed, and checks of what callers and replicas
//! see.
//!
//! docs/SOAK.md tells how to run it and what it has found.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, bail};

pub mod caller;
pub mod check;
pub mod fault;
pub mod fleet;

/// The subcommand's arguments.
pub fn command() -> Command {
    Command::new("soak")
        .about("Runs nodes as processes, injects faults by seed and checks the promises")
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "How many seeds, one after the other"))
        .arg(number(
            "seconds",
            "12",
            "How long faults go on for each seed",
        ))
        .arg(number("nodes", "4", "Nodes"))
        .arg(number("replicas", "3", "Replicas"))
        .arg(number(
            "killers",
            "0",
            "Requests that crash the replicas that run them, sent again and again",
        ))
        .arg(number("faults", "1", "0 to inject no other faults"))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

/// What one run is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// How long faults go on.
    pub length: Duration,
    /// Nodes.
    pub nodes: usize,
    /// Replicas.
    pub replicas: usize,
    /// Requests that crash the replicas that run them, sent again and again.
    pub killers: usize,
    /// False where only the killers do harm.
    pub faults: bool,
}

/// Runs the seeds and prints a line for each.
///
/// # Errors
/// When a run can't be set up, or a promise was broken.
pub fn run(arguments: &ArgMatches) -> Result<()> {
    let get = |name| arguments.get_one::<u64>(name).copied().unwrap_or(1);
    let count = |name| usize::try_from(get(name)).unwrap_or(1);
    let mut broken = 0;
    for seed in get("seed")..get("seed") + get("seeds") {
        let plan = Plan {
            seed,
            length: Duration::from_secs(get("seconds")),
            nodes: count("nodes"),
            replicas: count("replicas"),
            killers: count("killers"),
            faults: get("faults") > 0,
        };
        let report = actix_rt::System::new().block_on(fleet::play(plan))?;
        println!("{report}");
        broken += usize::from(!report.broken.is_empty());
    }
    if broken > 0 {
        bail!("{broken} seeds broke a promise; the lines above name them");
    }
    Ok(())
}
