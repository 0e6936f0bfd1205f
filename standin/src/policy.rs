//! The policy benchmark: the product's dispatch, routing and retry decisions
//! against the engine model, in seeded virtual time. docs/POLICY.md explains
//! what it prints.

use serde::Serialize;

pub mod case;
pub mod cli;
mod event;
mod gateway;
mod load;
mod measure;
pub mod plot;
mod site;
pub mod world;

pub use case::{Case, Deployment, Scenario, Topology, Way};
pub use measure::Measure;

/// Runs at the same time.
const THREADS: usize = 4;

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

/// Runs cases side by side on a few threads; each is a world of its own.
pub fn run_all(cases: &[Case]) -> Vec<Measure> {
    let mut measures = Vec::new();
    for some in cases.chunks(THREADS) {
        std::thread::scope(|scope| {
            let running: Vec<_> = some
                .iter()
                .map(|case| scope.spawn(|| world::simulate(case)))
                .collect();
            for thread in running {
                match thread.join() {
                    Ok(measure) => measures.push(measure),
                    Err(panic) => std::panic::resume_unwind(panic),
                }
            }
        });
    }
    measures
}
