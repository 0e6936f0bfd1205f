//! Runs operator and caller commands against real node processes.

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
    fleet.await_members(2);
    fleet.configure();
    let args = ["ask", "--service", "recipes", "--max-tokens", "8", "--json"];
    let asked = run(&fleet, &[&args[..], &["swap nuts?"]].concat(), "");
    expect_that!(asked.code, eq(0), "{}", asked.stderr);
    let answer: serde_json::Value = serde_json::from_str(&asked.stdout).unwrap();
    expect_that!(answer["tokens"], eq(&serde_json::Value::from(8)));

    let items = Path::new("examples/items.jsonl");
    let args = ["job", "submit", "--service", "recipes", "--wait"];
    let items = items.to_str().unwrap();
    let submitted = run(&fleet, &[&args[..], &[items]].concat(), "");
    expect_that!(submitted.code, eq(0), "{}", submitted.stderr);
    expect_that!(
        submitted.stdout,
        contains_substring("3 items, 3 done, 0 failed")
    );
    let again = run(&fleet, &[&args[..], &[items]].concat(), "");
    expect_that!(again.stdout, contains_substring("it is the same job"));
    let job = submitted.stdout.split(' ').nth(1).unwrap();
    let results = run(&fleet, &["job", "results", job], "");
    expect_that!(results.stdout.lines().count(), eq(3));
    let listed = run(&fleet, &["job", "list"], "");
    expect_that!(listed.stdout, contains_substring(job));
}

#[gtest]
fn refusals_of_a_node() {
    // A request for an unknown service or job is refused with a reason, and no request reaches the
    // engine.
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

#[gtest]
fn config_dry_run_of_example() {
    let mut fleet = env::Fleet::new();
    fleet.node("zone-0");
    let args = ["config", "apply", "--dry-run", "examples/config.toml"];
    let applied = run(&fleet, &args, "");
    expect_that!(applied.code, eq(0), "{}", applied.stderr);
    expect_that!(applied.stdout, contains_substring("engine-2"));
    expect_that!(
        applied.stdout,
        contains_substring("dry run, nothing changed")
    );
    let shown = run(&fleet, &["config", "show"], "");
    expect_that!(shown.stdout, contains_substring("version = 0"));
}

#[gtest]
fn config_two_operators() {
    // Two operators edit the same version of the configuration. The second commit must fail with a
    // conflict and leave the first one's change in force.
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure();
    let shown = run(&fleet, &["config", "show"], "").stdout;
    let first = shown.replace("slots = 8", "slots = 9");
    let second = shown.replace("slots = 8", "slots = 7");
    let args = ["config", "apply", "--note", "more slots", "-"];
    let applied = run(&fleet, &args, &first);
    expect_that!(applied.code, eq(0), "{}", applied.stderr);
    let refused = run(&fleet, &args, &second);
    expect_that!(refused.code, eq(4));
    expect_that!(refused.stderr, contains_substring("(conflict)"));
    let now = run(&fleet, &["config", "show"], "").stdout;
    expect_that!(now, contains_substring("slots = 9"));
    let history = run(&fleet, &["config", "history"], "").stdout;
    expect_that!(history, contains_substring("by tester"));
    expect_that!(history, contains_substring("more slots"));
    env::until("the change is in force on both nodes", || {
        let status = run(&fleet, &["config", "status"], "").stdout;
        status.contains("in force on every live node") && status.contains("node-1")
    });
}

#[gtest]
fn endpoint_and_service_changed() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]).plain();
    fleet.node("zone-0");
    fleet.configure();
    let service = ["service", "apply", "spare", "--kind", "plain"];
    expect_that!(run(&fleet, &service, "").code, eq(0));
    let listed = run(&fleet, &["service", "list"], "");
    expect_that!(listed.stdout, contains_substring("spare"));
    let plain = fleet.plain[0].address("listening");
    let remove = ["endpoint", "remove", "plain-0"];
    expect_that!(run(&fleet, &remove, "").code, eq(0));
    let add = [
        "endpoint",
        "add",
        "plain-9",
        "--address",
        &plain,
        "--zone",
        "zone-0",
        "--service",
        "spare",
        "--slots",
        "4",
    ];
    let added = run(&fleet, &add, "");
    expect_that!(added.code, eq(0), "{}", added.stderr);
    env::until("the new endpoint is listed", || {
        let listed = run(&fleet, &["endpoint", "list"], "").stdout;
        listed.contains("plain-9") && !listed.contains("plain-0")
    });
    let status = run(&fleet, &["status"], "");
    expect_that!(status.code, eq(0), "{}", status.stderr);
    expect_that!(status.stdout, contains_substring("node-0"));
}

#[gtest]
fn pages_of_a_node() {
    // Every metric that a node exposes is documented on the operators' page.
    let mut fleet = env::Fleet::new();
    fleet.node("zone-0");
    let address = fleet.nodes[0].address("callers");
    expect_that!(env::get(&address, "/healthz").0, eq(200));
    // Without a configuration, the node is healthy but not ready.
    expect_that!(env::get(&address, "/readyz").0, eq(503));
    fleet.configure();
    expect_that!(env::get(&address, "/readyz").0, eq(200));
    let (status, text) = env::get(&address, "/metrics");
    expect_that!(status, eq(200));
    let text = String::from_utf8(text).unwrap();
    let page = std::fs::read_to_string("docs/OPERATING.md").unwrap();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    for name in types.filter_map(|rest| rest.split(' ').next()) {
        let shown =
            page.contains(&format!("`{name}`")) || page.contains(&format!("`{name}_total`"));
        expect_that!(shown, eq(true), "{name}");
    }
}

#[gtest]
fn locate_and_drain() {
    // A drained node must no longer be returned by Locate, and its process must exit with code 0.
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure();
    let leaving = fleet.nodes[1].address("callers");
    let located = run(&fleet, &["locate", "--count", "9"], "");
    expect_that!(located.stdout, contains_substring(leaving.as_str()));
    let drained = run(&fleet, &["drain", "node-1"], "");
    expect_that!(drained.code, eq(0), "{}", drained.stderr);
    env::until("the draining node is no longer located", || {
        let located = run(&fleet, &["locate", "--count", "9"], "");
        located.code == 0 && !located.stdout.contains(&leaving)
    });
    expect_that!(fleet.nodes[1].wait(), some(eq(0)));
}
