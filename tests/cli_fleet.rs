//! The commands against real nodes, as an operator and a caller would run them.

use std::path::Path;

use googletest::prelude::*;

#[path = "cli/env.rs"]
#[allow(dead_code)]
mod cli;
#[path = "support/env.rs"]
mod env;

use cli::Run;

/// Runs the program against the first node.
fn run(fleet: &env::Fleet, args: &[&str], input: &str) -> Run {
    let server = fleet.nodes[0].address("callers");
    cli::run(&[args, &["--server", &server]].concat(), input)
}

#[gtest]
fn ask_and_job() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1");
    fleet.settle(2);
    fleet.configure();
    let args = ["ask", "--service", "recipes", "--max-tokens", "8", "--json"];
    let asked = run(&fleet, &[&args[..], &["swap nuts?"]].concat(), "");
    expect_that!(asked.code, eq(0), "{}", asked.stderr);
    let answer: serde_json::Value = serde_json::from_str(&asked.stdout).unwrap();
    expect_that!(answer["tokens"], eq(&serde_json::Value::from(8)));

    let items = Path::new("examples/items.jsonl");
    let args = ["job", "submit", "--service", "recipes", "--wait"];
    let items = items.to_str().unwrap();
    let sent = run(&fleet, &[&args[..], &[items]].concat(), "");
    expect_that!(sent.code, eq(0), "{}", sent.stderr);
    expect_that!(sent.stdout, contains_substring("3 items, 3 done, 0 failed"));
    let again = run(&fleet, &[&args[..], &[items]].concat(), "");
    expect_that!(again.stdout, contains_substring("it is the same job"));
    let job = sent.stdout.split(' ').nth(1).unwrap();
    let results = run(&fleet, &["job", "results", job], "");
    expect_that!(results.stdout.lines().count(), eq(3));
    let listed = run(&fleet, &["job", "list"], "");
    expect_that!(listed.stdout, contains_substring(job));
}

#[gtest]
fn refusals_of_a_node() {
    // What a caller gets wrong is answered with what to do next, and nothing
    // runs.
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0");
    fleet.configure();
    let asked = run(&fleet, &["ask", "--service", "recipe", "hello"], "");
    expect_that!(asked.code, eq(4));
    expect_that!(asked.stderr, contains_substring("unknown_service"));
    let unknown = run(&fleet, &["job", "status", "no-such-job"], "");
    expect_that!(unknown.code, eq(4));
    expect_that!(unknown.stderr, contains_substring("unknown_job"));
    expect_that!(
        fleet.engine_counts(0)["arrived"],
        eq(&serde_json::Value::from(0))
    );
}
