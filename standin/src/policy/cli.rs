//! The command line of `standin policy`.

use std::path::PathBuf;

use auburnspoke::dispatch::Policy;
use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;

use super::plot::{self, Panel, Point};
use super::{Admission, Case, Deployment, Line, Measure, Scenario, Topology, compare, run_all};

/// Latency weights along the frontier.
const WEIGHTS: [u32; 7] = [100, 90, 80, 60, 40, 20, 0];
/// Shares of a fixed split along the frontier.
const SPLIT_PERCENTAGES: [u32; 4] = [10, 25, 50, 75];
/// Limits of the oracle on batch sequences beside an online request.
const ORACLE_BATCH_LIMITS: [u32; 6] = [0, 8, 16, 32, 48, u32::MAX];

/// Returns the definition of the `policy` subcommand.
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
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object a line, which is the only format"),
        )
        .arg(number("seed", "1"))
        .arg(number("seconds", "90"))
        .arg(text("deployment").help("Only this deployment"))
        .arg(text("scenario").help("Only this scenario"))
        .arg(text("policy").help("Only this policy"))
        .arg(text("weight").value_parser(clap::value_parser!(u32)))
        .arg(
            Arg::new("hedge")
                .long("hedge")
                .action(ArgAction::SetTrue)
                .help("Hedge late questions, in every policy but alone"),
        )
        .arg(
            text("topology")
                .value_parser(["dispatcher", "reports", "parts"])
                .default_value("dispatcher")
                .help("Who admits to an endpoint, in every policy but alone"),
        )
        .arg(
            Arg::new("frontier")
                .long("frontier")
                .value_parser(clap::value_parser!(PathBuf))
                .help("Plot the frontier into this SVG file instead"),
        )
}

/// Runs the benchmark and prints one JSON object for each case, or plots the frontier.
///
/// # Errors
/// Fails if a line or the plot cannot be written.
pub fn run(arguments: &ArgMatches) -> Result<()> {
    if let Some(path) = arguments.get_one::<PathBuf>("frontier") {
        return plot_frontier(arguments, path);
    }
    let admissions: Vec<Admission> = Admission::ALL
        .into_iter()
        .chain([Admission::ORACLE])
        .filter(|admission| matches_filter(arguments, "policy", admission.label()))
        .collect();
    for deployment in Deployment::ALL {
        for scenario in Scenario::ALL {
            if matches_filter(arguments, "deployment", deployment.label())
                && matches_filter(arguments, "scenario", scenario.label())
            {
                let base = base_case(arguments, deployment, scenario);
                let cases: Vec<Case> = admissions
                    .iter()
                    .map(|admission| apply_arguments(arguments, base.with(*admission)))
                    .collect();
                for (line, measure) in lines(base, &cases) {
                    println!("{}", serde_json::to_string(&line)?);
                    let policy = line.policy;
                    let Measure {
                        stopped,
                        preempted,
                        retried,
                        hedged,
                        ..
                    } = measure;
                    log::info!(
                        "{policy} stopped={stopped} preempted={preempted} retried={retried} hedged={hedged}"
                    );
                }
            }
        }
    }
    Ok(())
}

/// Returns the lines of `cases`, relative to the runs without batch work and with the oracle.
fn lines(base: Case, cases: &[Case]) -> Vec<(Line, Measure)> {
    let all: Vec<Case> = [base.with(Admission::Alone), base.with(Admission::ORACLE)]
        .into_iter()
        .chain(cases.iter().copied())
        .collect();
    let measures = run_all(&all);
    let (alone, oracle) = (&measures[0], &measures[1]);
    cases
        .iter()
        .zip(&measures[2..])
        .map(|(case, measure)| (compare(case, measure, alone, oracle), measure.clone()))
        .collect()
}

fn plot_frontier(arguments: &ArgMatches, path: &std::path::Path) -> Result<()> {
    let mut panels = Vec::new();
    for deployment in Deployment::ALL {
        for scenario in [Scenario::Steady, Scenario::Burst, Scenario::DeadlineWeek] {
            let base = base_case(arguments, deployment, scenario);
            let weighted = WEIGHTS.map(|weight| Case {
                latency_weight: weight,
                ..base.with(Admission::Queue(Policy::AdaptiveCancel))
            });
            let split =
                SPLIT_PERCENTAGES.map(|part| base.with(Admission::Queue(Policy::Split(part))));
            let oracle =
                ORACLE_BATCH_LIMITS.map(|max_batch| base.with(Admission::Oracle { max_batch }));
            let all = [base.with(Admission::Queue(Policy::All))];
            let cases: Vec<Case> = weighted
                .into_iter()
                .chain(split)
                .chain(oracle)
                .chain(all)
                .collect();
            let mut points = Vec::new();
            for (case, (line, _)) in cases.iter().zip(lines(base, &cases)) {
                let setting = setting_label(case);
                println!("{setting} {}", serde_json::to_string(&line)?);
                points.push(Point {
                    policy: line.policy,
                    setting,
                    tail_ratio: line.ttft_p99_ratio.max(line.itl_p99_ratio),
                    batch_fraction: line.batch_fraction,
                });
            }
            let title = format!("{}, {}", deployment.label(), scenario.label());
            panels.push(Panel { title, points });
        }
    }
    plot::draw(path, &panels)
}

fn setting_label(case: &Case) -> String {
    match case.admission {
        Admission::Queue(Policy::Split(part)) => format!("{part}%"),
        Admission::Oracle {
            max_batch: u32::MAX,
        }
        | Admission::Queue(Policy::All) => "all".to_owned(),
        Admission::Oracle { max_batch } => max_batch.to_string(),
        Admission::Queue(_) | Admission::Alone => case.latency_weight.to_string(),
    }
}

fn base_case(arguments: &ArgMatches, deployment: Deployment, scenario: Scenario) -> Case {
    let number = |name: &str| arguments.get_one::<u64>(name).copied();
    let mut case = Case::new(deployment, scenario, Admission::Alone);
    case.seed = number("seed").unwrap_or(case.seed);
    case.seconds = number("seconds").unwrap_or(case.seconds);
    if let Some(weight) = arguments.get_one::<u32>("weight") {
        case.latency_weight = *weight;
    }
    case
}

fn apply_arguments(arguments: &ArgMatches, mut case: Case) -> Case {
    if matches!(case.admission, Admission::Queue(_)) {
        case.hedge = arguments.get_flag("hedge");
        case.topology = match arguments.get_one::<String>("topology").map(String::as_str) {
            Some("reports") => Topology::Reports,
            Some("parts") => Topology::Parts,
            _ => Topology::Dispatcher,
        };
    }
    case
}

fn matches_filter(arguments: &ArgMatches, name: &str, label: &str) -> bool {
    let wanted = arguments.get_one::<String>(name);
    wanted.is_none_or(|wanted| wanted == label)
}
