//! The fault soak: runs real nodes as processes on this machine against stand-ins for the platform,
//! injects faults drawn by seed, and checks what callers and replicas see.
//!
//! docs/SOAK.md describes how to run it and what it has found.

use std::time::Duration;

use clap::builder::PossibleValue;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, bail};

pub mod caller;
pub mod check;
pub mod fault;
pub mod fleet;
pub mod holder;
pub mod ports;
pub mod resume;
pub mod stop;

/// Returns the definition of the `soak` subcommand.
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
            "versions",
            "2",
            "Versions of the replicas' software, which serve side by side",
        ))
        .arg(number(
            "killers",
            "0",
            "Requests that crash the replicas that run them, sent again and again",
        ))
        .arg(number(
            "crash-parts",
            "0",
            "Parts of prompts that crash replicas, each in requests that differ",
        ))
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_parser([
                    PossibleValue::new("drawn").alias("1"),
                    PossibleValue::new("none").alias("0"),
                    PossibleValue::new("stops"),
                    PossibleValue::new("crashes"),
                ])
                .default_value("drawn")
                .help("Which other faults to inject"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the random draws.
    pub seed: u64,
    /// How long faults are injected.
    pub length: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Number of versions of the replicas' software.
    pub versions: usize,
    /// Number of killers: requests that crash the replica that runs them and are sent repeatedly.
    pub killers: usize,
    /// Number of parts of prompts that crash the replica that begins to write an answer on them,
    /// each in requests that differ.
    pub crash_parts: usize,
    /// The faults besides those that the killers cause.
    pub faults: Faults,
}

/// Which faults a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// None.
    None,
    /// Faults drawn by seed.
    Drawn,
    /// Planned stops drawn by seed, in series and overlapping, beside pauses, slow starts and
    /// changes of the configuration and the replicas.
    Stops,
    /// Each node is killed once all know the killers, and starts while the store refuses it.
    RestartsWithoutStore,
    /// All nodes are killed soon after each crash of a replica by a killer.
    KillsAfterCrashes,
    /// Other replicas crash throughout, and all nodes are killed again and again as the store begins
    /// to refuse them.
    CrashesAndOutages,
}

/// Runs the seeds and prints one line for each.
///
/// # Errors
/// Fails if a run cannot be set up or a guarantee was violated.
pub fn run(arguments: &ArgMatches) -> Result<()> {
    let get = |name| arguments.get_one::<u64>(name).copied().unwrap_or(1);
    let count = |name| usize::try_from(get(name)).unwrap_or(1);
    let faults = match arguments.get_one::<String>("faults").map(String::as_str) {
        Some("none" | "0") => Faults::None,
        Some("stops") => Faults::Stops,
        Some("crashes") => Faults::CrashesAndOutages,
        _ => Faults::Drawn,
    };
    let mut failed = 0;
    for seed in get("seed")..get("seed") + get("seeds") {
        let plan = Plan {
            seed,
            length: Duration::from_secs(get("seconds")),
            nodes: count("nodes"),
            replicas: count("replicas"),
            versions: count("versions"),
            killers: count("killers"),
            crash_parts: count("crash-parts"),
            faults,
        };
        let report = actix_rt::System::new().block_on(fleet::play(plan))?;
        println!("{report}");
        failed += usize::from(!report.violations.is_empty());
    }
    if failed > 0 {
        bail!("{failed} seeds violated a guarantee; see the BROKEN lines above");
    }
    Ok(())
}
