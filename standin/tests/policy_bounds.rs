//! Regression bounds on the admission policy, from short runs in seeded virtual time. The figures
//! are the same on every run and machine; docs/POLICY.md lists those of the whole benchmark.

use auburnspoke::dispatch::Policy;
use googletest::prelude::*;
use standin::policy::{Admission, Case, Deployment, Line, Scenario, compare, run_all};

const SECONDS: u64 = 20;
const CANCEL: Admission = Admission::Queue(Policy::AdaptiveCancel);

fn case(deployment: Deployment, scenario: Scenario) -> Case {
    Case {
        seconds: SECONDS,
        ..Case::new(deployment, scenario, Admission::Alone)
    }
}

fn line(deployment: Deployment, scenario: Scenario, admission: Admission) -> Line {
    let base = case(deployment, scenario);
    let measures = run_all(&[base, base.with(Admission::ORACLE), base.with(admission)]);
    compare(
        &base.with(admission),
        &measures[2],
        &measures[0],
        &measures[1],
    )
}

#[gtest]
fn steady_bounds() {
    let line = line(Deployment::Association, Scenario::Steady, CANCEL);
    expect_that!(line.online_refused, eq(0));
    expect_that!(line.ttft_p99_ratio, le(1.25));
    expect_that!(line.itl_p99_ratio, le(1.25));
    expect_that!(line.batch_fraction, ge(0.48));
}

#[gtest]
fn steady_trust_bounds() {
    let line = line(Deployment::Trust, Scenario::Steady, CANCEL);
    expect_that!(line.online_refused, eq(0));
    expect_that!(line.ttft_p99_ratio, le(1.5));
    expect_that!(line.itl_p99_ratio, le(1.65));
    expect_that!(line.batch_fraction, ge(0.72));
}

#[gtest]
fn burst_bounds() {
    // Online requests arrive in bursts while batch work fills all endpoints. If they waited behind
    // it, as they do when everything is admitted, their first tokens would be ten times as late.
    let line = line(Deployment::Association, Scenario::Burst, CANCEL);
    expect_that!(line.online_refused, eq(0));
    expect_that!(line.ttft_p99_ratio, le(1.25));
    expect_that!(line.itl_p99_ratio, le(1.15));
    expect_that!(line.batch_fraction, ge(0.25));
}

#[gtest]
fn simulate_same_again() {
    let base = case(Deployment::Association, Scenario::EndpointLoss).with(CANCEL);
    let base = Case { seconds: 4, ..base };
    let measures = run_all(&[base, base]);
    expect_that!(measures[0].done, eq(measures[1].done));
    expect_that!(measures[0].batch_tokens, eq(measures[1].batch_tokens));
    let tails = [&measures[0], &measures[1]].map(|m| (m.ttft_ms(0.99), m.itl_ms(0.99)));
    expect_that!(tails[0], eq(tails[1]));
}
