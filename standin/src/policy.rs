//! The policy benchmark: runs the product's dispatch, routing and retry decisions against the
//! engine model in seeded virtual time. docs/POLICY.md explains its output.

use serde::Serialize;

pub mod case;
pub mod cli;
mod engine;
mod event;
mod gateway;
mod load;
mod measure;
pub mod plot;

pub mod simulation;

pub use case::{Admission, Case, Deployment, Scenario, Topology};
pub use measure::Measure;

/// Number of runs at the same time.
const THREADS: usize = 4;

/// One line of the benchmark's output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The deployment.
    pub deployment: &'static str,
    /// The scenario.
    pub scenario: &'static str,
    /// The admission policy.
    pub policy: &'static str,
    /// Median time to the first token, as the caller measures it.
    pub ttft_p50_ms: f64,
    /// Its 99th percentile.
    pub ttft_p99_ms: f64,
    /// 99th percentile of the time between two tokens.
    pub itl_p99_ms: f64,
    /// Online requests that were refused after all retries.
    pub online_refused: u64,
    /// Online requests that were completed.
    pub online_done: u64,
    /// Completed batch items per second over all endpoints.
    pub batch_items_s: f64,
    /// `ttft_p99_ms` relative to that of the policy `alone`.
    pub ttft_p99_ratio: f64,
    /// `itl_p99_ms` relative to that of the policy `alone`.
    pub itl_p99_ratio: f64,
    /// Batch tokens relative to those of the oracle.
    pub batch_fraction: f64,
}

/// Returns the output line of a measure, relative to the runs without batch work and with the
/// oracle.
pub fn compare(case: &Case, measure: &Measure, alone: &Measure, oracle: &Measure) -> Line {
    let ratio = |value: f64, reference: f64| round(value / reference.max(1e-9), 3);
    Line {
        deployment: case.deployment.label(),
        scenario: case.scenario.label(),
        policy: case.admission.label(),
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

/// Runs cases on [`THREADS`] threads at a time. Each case is an independent simulation, so the
/// results do not depend on the threads.
pub fn run_all(cases: &[Case]) -> Vec<Measure> {
    let mut measures = Vec::new();
    for chunk in cases.chunks(THREADS) {
        std::thread::scope(|scope| {
            let running: Vec<_> = chunk
                .iter()
                .map(|case| scope.spawn(|| simulation::simulate(case)))
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
