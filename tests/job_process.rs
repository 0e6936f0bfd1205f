//! Batch jobs on real processes that are killed and paused.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

/// A lost holder's chunk can be claimed after its lease of 30 s; the rest allows for slow machines.
const JOB_TIMEOUT: Duration = Duration::from_secs(180);

fn fleet() -> env::Fleet {
    let mut fleet = env::Fleet::new();
    fleet
        .engine(&["--faster", "2"])
        .engine(&["--faster", "2"])
        .engine(&["--faster", "2"]);
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet.configure();
    fleet
}

fn job(key: &str, items: u32, tokens: u32) -> Value {
    let items: Vec<Value> = (0..items)
        .map(|item| json!({"prompt": format!("scale {item}"), "maxTokens": tokens}))
        .collect();
    json!({"service": "recipes", "organisation": "trust", "key": key, "items": items})
}

/// Waits until the node reports that state of the job.
fn wait(fleet: &env::Fleet, node: usize, name: &Value, state: &str) {
    let start = Instant::now();
    loop {
        let status = fleet.caller(node, "JobStatus", name);
        if status.as_ref().is_ok_and(|status| status["state"] == state) {
            return;
        }
        assert!(start.elapsed() < JOB_TIMEOUT, "no {state}: {status:?}");
        std::thread::sleep(Duration::from_millis(200));
    }
}

fn results(fleet: &env::Fleet, node: usize, name: &Value) -> Vec<Value> {
    let mut request = name.clone();
    request["limit"] = json!(1_000);
    let page = fleet.caller(node, "JobResults", &request).expect("answers");
    page["results"].as_array().cloned().unwrap_or_default()
}

fn assert_whole(results: &[Value], items: u32) {
    let numbers: Vec<u64> = results
        .iter()
        .map(|r| r["number"].as_u64().unwrap_or(0))
        .collect();
    let wanted: Vec<u64> = (0..u64::from(items)).collect();
    assert_eq!(numbers, wanted, "one result for each item");
    let done = |result: &Value| result["state"] == "ITEM_STATE_DONE";
    assert!(results.iter().all(done), "all done");
}

/// A VM is killed just after it acknowledged a job. A resubmission to another node must be
/// recognised, and one with different content under the same key must be refused.
#[gtest]
fn kill_after_the_acknowledgement() {
    let mut fleet = fleet();
    let accepted = fleet
        .caller(0, "SubmitJob", &job("night", 60, 4))
        .expect("accepted");
    fleet.nodes[0].kill();
    let again = fleet
        .caller(1, "SubmitJob", &job("night", 60, 4))
        .expect("accepted");
    expect_that!(again["job"], eq(&accepted["job"]));
    expect_that!(again["resent"], eq(&json!(true)));
    let other = fleet
        .caller(2, "SubmitJob", &job("night", 61, 4))
        .expect_err("other content");
    expect_that!(
        env::refusal(&other)["reason"],
        eq(&json!("REASON_CONFLICT"))
    );
    let name = json!({"job": accepted["job"]});
    wait(&fleet, 1, &name, "JOB_STATE_ENDED");
    assert_whole(&results(&fleet, 2, &name), 60);
}

/// A VM is killed with items of a chunk at its endpoints. Other nodes find its lease expired and
/// continue from its log.
#[gtest]
fn kill_with_items_in_flight() {
    let mut fleet = fleet();
    let accepted = fleet
        .caller(0, "SubmitJob", &job("lots", 600, 24))
        .expect("accepted");
    let name = json!({"job": accepted["job"]});
    std::thread::sleep(Duration::from_secs(4));
    fleet.nodes[1].kill();
    wait(&fleet, 0, &name, "JOB_STATE_ENDED");
    assert_whole(&results(&fleet, 2, &name), 600);
}

/// A VM is paused past its lease, another finishes its chunk, and the first resumes. Readable
/// results must not change.
#[gtest]
fn freeze_past_the_lease_then_thaw() {
    let fleet = fleet();
    let accepted = fleet
        .caller(0, "SubmitJob", &job("lots", 600, 24))
        .expect("accepted");
    let name = json!({"job": accepted["job"]});
    std::thread::sleep(Duration::from_secs(4));
    fleet.nodes[1].pause();
    wait(&fleet, 0, &name, "JOB_STATE_ENDED");
    let before = results(&fleet, 0, &name);
    assert_whole(&before, 600);
    fleet.nodes[1].resume();
    std::thread::sleep(Duration::from_secs(10));
    expect_that!(results(&fleet, 0, &name), eq(&before));
}

/// The platform is down while chunks are held. New jobs are refused as not run, with a retry delay;
/// running work continues and is committed later.
#[gtest]
fn outage_with_chunks_held() {
    let fleet = fleet();
    let accepted = fleet
        .caller(0, "SubmitJob", &job("lots", 300, 24))
        .expect("accepted");
    let name = json!({"job": accepted["job"]});
    std::thread::sleep(Duration::from_secs(3));
    fleet.platform_fault(&json!({"outage": {"ms": 20_000}}));
    let refused = fleet
        .caller(1, "SubmitJob", &job("other", 10, 4))
        .expect_err("refused");
    let refusal = env::refusal(&refused);
    expect_that!(refusal["reason"], eq(&json!("REASON_PLATFORM")));
    expect_that!(refusal["notRun"], eq(&json!(true)));
    expect_that!(refusal["retryAfterMs"].as_u64(), some(gt(0)));
    let cancel = fleet.caller(1, "CancelJob", &name).expect_err("refused");
    expect_that!(
        env::refusal(&cancel)["reason"],
        eq(&json!("REASON_PLATFORM"))
    );
    wait(&fleet, 0, &name, "JOB_STATE_ENDED");
    assert_whole(&results(&fleet, 2, &name), 300);
}

/// A job is cancelled at one node while others run it. All nodes report the same state, and the
/// engines become idle.
#[gtest]
fn cancel_stops_every_node() {
    let fleet = fleet();
    let accepted = fleet
        .caller(0, "SubmitJob", &job("lots", 2_000, 64))
        .expect("accepted");
    let name = json!({"job": accepted["job"]});
    std::thread::sleep(Duration::from_secs(3));
    let reported = fleet.caller(1, "CancelJob", &name).expect("answers");
    expect_that!(reported["state"], eq(&json!("JOB_STATE_CANCELLED")));
    // The documented bound is 10 s, plus the time to read the job's row.
    std::thread::sleep(Duration::from_secs(12));
    let arrived = || -> Vec<Value> {
        (0..3)
            .map(|engine| fleet.engine_counts(engine)["arrived"].clone())
            .collect()
    };
    let at_rest = arrived();
    std::thread::sleep(Duration::from_secs(5));
    expect_that!(arrived(), eq(&at_rest));
    for node in 0..3 {
        let status = fleet.caller(node, "JobStatus", &name).expect("answers");
        expect_that!(status["state"], eq(&json!("JOB_STATE_CANCELLED")));
    }
}

/// Items that must run at most once are at the engines when one VM is killed and another paused. No
/// item may run twice (a payment would be made twice), and items that may have run must be reported
/// as such.
#[gtest]
fn kill_and_freeze_with_once_items_in_flight() {
    let mut fleet = fleet();
    let mut wanted = job("payments", 400, 24);
    wanted["once"] = json!(true);
    let accepted = fleet.caller(0, "SubmitJob", &wanted).expect("accepted");
    let name = json!({"job": accepted["job"]});
    std::thread::sleep(Duration::from_secs(4));
    fleet.nodes[1].kill();
    fleet.nodes[2].pause();
    wait(&fleet, 0, &name, "JOB_STATE_ENDED");
    fleet.nodes[2].resume();
    std::thread::sleep(Duration::from_secs(5));
    let results = results(&fleet, 0, &name);
    expect_that!(results.len(), eq(400));
    let known = |result: &Value| {
        result["state"] == "ITEM_STATE_DONE" || result["state"] == "ITEM_STATE_MAY_HAVE_RUN"
    };
    expect_that!(results.iter().all(known), eq(true));
    let mut runs = std::collections::BTreeMap::new();
    for engine in 0..3 {
        let counts = fleet.engine_counts(engine);
        for (prompt, count) in counts["prompts"].as_object().into_iter().flatten() {
            *runs.entry(prompt.clone()).or_insert(0) += count.as_u64().unwrap_or(0);
        }
    }
    expect_that!(runs.len(), gt(100), "the engines count by prompt");
    let twice = runs.values().filter(|count| **count > 1).count();
    expect_that!(twice, eq(0), "{runs:?}");
}
