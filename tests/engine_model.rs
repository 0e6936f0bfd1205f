//! The engine's cost model in virtual time.

use auburnspoke::clock::Time;
use auburnspoke::embedded::engine::model::{Job, Token};
use auburnspoke::embedded::engine::{Model, Parameters, blocks};
use googletest::prelude::*;

const SEED: u64 = 5;

fn job(id: u64, prompt_tokens: u32, length: u32) -> Job {
    Job {
        id,
        prompt_tokens,
        blocks: Vec::new(),
        resume_from: 0,
        length,
        urgent: false,
    }
}

fn drain(model: &mut Model) -> Vec<Token> {
    let mut out = Vec::new();
    while let Some(at) = model.wake() {
        model.advance(at, &mut out);
    }
    out
}

fn last_at(tokens: &[Token], id: u64) -> Time {
    tokens
        .iter()
        .rfind(|t| t.id == id)
        .map_or(Time::ZERO, |t| t.at)
}

#[gtest]
fn step_grows_with_sequences() {
    let gap = |sequences: u64| {
        let mut model = Model::new(Parameters::default(), SEED);
        for id in 0..sequences {
            model.submit(Time::ZERO, job(id, 10, 50));
        }
        let tokens = drain(&mut model);
        let of_first: Vec<_> = tokens.iter().filter(|t| t.id == 0).collect();
        of_first[49].at.since(of_first[48].at)
    };
    expect_that!(gap(60), gt(gap(1)));
}

#[gtest]
fn prefill_delays_decode() {
    // A long prompt arrives during a decode. Its prefill chunks lengthen the steps, and with them
    // the intervals between the answer's tokens.
    let mut model = Model::new(Parameters::default(), SEED);
    model.submit(Time::ZERO, job(1, 10, 40));
    let mut out = Vec::new();
    model.advance(Time::from_millis(200), &mut out);
    model.submit(Time::from_millis(200), job(2, 1_000, 1));
    model.advance(Time::from_millis(400), &mut out);
    let gaps: Vec<_> = out
        .iter()
        .filter(|t| t.id == 1)
        .collect::<Vec<_>>()
        .windows(2)
        .map(|pair| pair[1].at.since(pair[0].at).as_micros())
        .collect();
    let longest = *gaps.iter().max().unwrap();
    expect_that!(longest, gt(2 * gaps[0]));
}

#[gtest]
fn memory_preempts_youngest() {
    // Sequences outgrow KV memory. The youngest is preempted and restarted, and every answer is
    // still complete.
    let parameters = Parameters {
        kv_tokens: 300,
        ..Parameters::default()
    };
    let mut model = Model::new(parameters, SEED);
    for id in 0..3 {
        model.submit(Time::ZERO, job(id, 50, 100));
    }
    let tokens = drain(&mut model);
    expect_that!(model.preempted(), gt(0));
    expect_that!(last_at(&tokens, 0), lt(last_at(&tokens, 2)));
    for id in 0..3 {
        let offsets: Vec<u32> = tokens
            .iter()
            .filter(|t| t.id == id)
            .map(|t| t.offset)
            .collect();
        expect_that!(offsets, eq(&(0..100).collect::<Vec<_>>()));
    }
}

#[gtest]
fn cache_saves_prefill() {
    let prompt = "the same long instruction ".repeat(100);
    let parameters = Parameters::default();
    let blocks = blocks(&prompt, parameters.block_tokens);
    let mut model = Model::new(parameters, SEED);
    let mut latency = || {
        let start = Time::from_millis(10_000 * (model.steps() + 1));
        model.submit(
            start,
            Job {
                blocks: blocks.clone(),
                ..job(1, 650, 1)
            },
        );
        last_at(&drain(&mut model), 1).since(start)
    };
    let cold = latency();
    expect_that!(latency() * 2, lt(cold));
}

#[gtest]
fn events_late_with_gaps() {
    let parameters = Parameters::default();
    let mut model = Model::new(parameters, SEED);
    model.submit(
        Time::ZERO,
        Job {
            blocks: (0..200).collect(),
            ..job(1, 3_200, 1)
        },
    );
    let stored = last_at(&drain(&mut model), 1);
    expect_that!(model.events(stored, 0), is_empty());
    let later = Time::from_millis(stored.as_millis() + parameters.event_lag_ms + 1);
    let events = model.events(later, 0);
    expect_that!(events.len(), all!(gt(150), lt(200)));
}

#[gtest]
fn report_lags() {
    let mut model = Model::new(Parameters::default(), SEED);
    model.submit(Time::from_millis(1_000), job(1, 10, 1_000));
    let mut out = Vec::new();
    model.advance(Time::from_millis(1_400), &mut out);
    expect_that!(model.report(Time::from_millis(1_400)).running, eq(0));
    model.advance(Time::from_millis(1_600), &mut out);
    expect_that!(model.report(Time::from_millis(1_600)).running, eq(1));
}

#[gtest]
fn stall_then_resume() {
    let mut model = Model::new(Parameters::default(), SEED);
    model.submit(Time::ZERO, job(1, 10, 3));
    model.set_stalled(Time::ZERO, true);
    expect_that!(model.wake(), none());
    model.set_stalled(Time::from_millis(5_000), false);
    expect_that!(drain(&mut model).len(), eq(3));
}
