//! Regression bounds on the policy, in shortened but seeded virtual time. The
//! figures are the same on every run and machine; docs/POLICY.md has those of
//! the whole benchmark.

use auburnspoke::dispatch::Policy;
use googletest::prelude::*;
use standin::policy::{Case, Deployment, Line, Scenario, Way, compare, run_all};

const SECONDS: u64 = 20;
const CANCEL: Way = Way::Queue(Policy::AdaptiveCancel);

fn case(scenario: Scenario) -> Case {
    Case {
        seconds: SECONDS,
        ..Case::new(Deployment::Association, scenario, Way::Alone)
    }
}

fn line(scenario: Scenario, way: Way) -> Line {
    let base = case(scenario);
    let measures = run_all(&[base, base.with(Way::ORACLE), base.with(way)]);
    compare(&base.with(way), &measures[2], &measures[0], &measures[1])
}

#[gtest]
fn steady_bounds() {
    let line = line(Scenario::Steady, CANCEL);
    expect_that!(line.online_refused, eq(0));
    expect_that!(line.ttft_p99_ratio, le(1.25));
    expect_that!(line.itl_p99_ratio, le(1.35));
    expect_that!(line.batch_fraction, ge(0.40));
}

#[gtest]
fn burst_bounds() {
    // Questions come in bursts while batch work fills the fleet. Were they to
    // wait behind it, as they do when all is admitted, their first tokens would
    // come ten times as late.
    let line = line(Scenario::Burst, CANCEL);
    expect_that!(line.online_refused, eq(0));
    expect_that!(line.ttft_p99_ratio, le(1.35));
    expect_that!(line.itl_p99_ratio, le(1.25));
    expect_that!(line.batch_fraction, ge(0.2));
}

#[gtest]
fn simulate_same_again() {
    let base = case(Scenario::EndpointLoss).with(CANCEL);
    let base = Case { seconds: 4, ..base };
    let measures = run_all(&[base, base]);
    expect_that!(measures[0].done, eq(measures[1].done));
    expect_that!(measures[0].batch_tokens, eq(measures[1].batch_tokens));
    let tails = [&measures[0], &measures[1]].map(|m| (m.ttft_ms(0.99), m.itl_ms(0.99)));
    expect_that!(tails[0], eq(tails[1]));
}
