//! Commands that call no node: help, completion, check, and invalid input that is refused before
//! anything is sent.

use googletest::prelude::*;

#[path = "cli/env.rs"]
#[allow(dead_code)]
mod env;

use env::run;

/// An address on which nothing listens: a command that sends a request exits with code 6
/// (unreachable) instead of 3 (invalid input).
const UNREACHABLE: [&str; 2] = ["--server", "127.0.0.1:9"];

#[gtest]
fn help_groups() {
    let help = run(&["--help"], "");
    expect_that!(help.code, eq(0));
    for group in ["Run a node:", "Ask:", "Operate:", "Shell:"] {
        expect_that!(help.stdout, contains_substring(group));
    }
}

#[gtest]
fn usage_unknown_command() {
    expect_that!(run(&["serv"], "").code, eq(2));
}

#[gtest]
fn usage_once_without_key() {
    let asked = run(&["ask", "--service", "s", "--once", "hello"], "");
    expect_that!(asked.code, eq(2));
    expect_that!(asked.stderr, contains_substring("--key"));
}

#[gtest]
fn completion_each_shell() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let script = run(&["completion", shell], "");
        expect_that!(script.code, eq(0));
        expect_that!(script.stdout, contains_substring("auburnspoke"));
        expect_that!(script.stdout, contains_substring("checks-fencing"));
    }
}

#[gtest]
fn check_examples() {
    for file in ["association", "trust"] {
        let path = format!("examples/settings/{file}.toml");
        let checked = run(&["check", &path], "");
        expect_that!(checked.stdout, eq(&format!("{path}: ok\n")));
        expect_that!(checked.code, eq(0));
    }
}

/// A settings file that the platform wrote is incomplete. `check` reports each problem with its
/// line in this format as well as in a node's own.
#[gtest]
fn check_platform_file() {
    let text = "node = \"edge-1\"\nzone = 7\n[bounds]\ngrace_s = \"8\"\n";
    let checked = run(&["check", "-"], text);
    expect_that!(checked.code, eq(3));
    expect_that!(checked.stdout, contains_substring("-:2:8: zone: "));
    expect_that!(
        checked.stdout,
        contains_substring("-:4:11: bounds.grace_s: ")
    );
    expect_that!(
        checked.stdout,
        contains_substring("platform.address: is missing; add address =")
    );
}

#[gtest]
fn check_every_problem() {
    let text = "[node]\nname = \"a b\"\nzone = 3\n[listen]\ncallers = \"10.0.0.1\"\n";
    let checked = run(&["check", "-"], text);
    expect_that!(checked.code, eq(3));
    expect_that!(checked.stdout, contains_substring("-:2:8: node.name: "));
    expect_that!(checked.stdout, contains_substring("-:3:8: node.zone: "));
    expect_that!(checked.stdout, contains_substring("\"10.0.0.1:7001\""));
    expect_that!(checked.stderr, contains_substring("nothing was started"));
}

#[gtest]
fn check_json() {
    let checked = run(&["check", "--json", "-"], "nod = 1\n");
    let document: serde_json::Value = serde_json::from_str(&checked.stdout).unwrap();
    let problems = document["problems"].as_array().unwrap();
    expect_that!(problems.len(), ge(4));
    expect_that!(problems[0]["line"].as_u64(), some(eq(1)));
}

#[gtest]
fn serve_bad_settings() {
    // A settings file has a misspelt key. If the key were ignored, the node would run with the
    // default value instead.
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node.toml");
    let good = std::fs::read_to_string("examples/settings/trust.toml").unwrap();
    std::fs::write(&path, good.replace("traffic_threads", "trafic_threads")).unwrap();
    let served = run(&["serve", "--settings", path.to_str().unwrap()], "");
    expect_that!(served.code, eq(3));
    expect_that!(
        served.stderr,
        contains_substring("did you mean traffic_threads?")
    );
}

#[gtest]
fn submit_line_not_json() {
    // One line of a file of items is truncated and one has a misspelt key. If such lines were
    // skipped, their results would be missing without an error.
    let lines = "{\"prompt\": \"one\"}\n{\"prompt\": \"tw\n\n{\"promt\": \"three\"}\n";
    let submitted = run(
        &[&["job", "submit", "--service", "s", "-"][..], &UNREACHABLE].concat(),
        lines,
    );
    expect_that!(submitted.code, eq(3));
    expect_that!(
        submitted.stderr,
        contains_substring("line 2: is not an item")
    );
    expect_that!(
        submitted.stderr,
        contains_substring("line 4: is not an item")
    );
    expect_that!(submitted.stderr, contains_substring("nothing was sent"));
}

#[gtest]
fn submit_empty() {
    let submitted = run(
        &[&["job", "submit", "--service", "s", "-"][..], &UNREACHABLE].concat(),
        "\n\n",
    );
    expect_that!(submitted.code, eq(3));
    expect_that!(submitted.stderr, contains_substring("there are no items"));
}

#[gtest]
fn submit_key_twice() {
    // Two items have the same key. If the job were accepted, one result would be returned for both
    // prompts.
    let lines = "{\"key\": \"a\", \"prompt\": \"x\"}\n{\"key\": \"a\", \"prompt\": \"y\"}\n";
    let submitted = run(
        &[&["job", "submit", "--service", "s", "-"][..], &UNREACHABLE].concat(),
        lines,
    );
    expect_that!(submitted.code, eq(3));
    expect_that!(
        submitted.stderr,
        contains_substring("key `a` is already used on line 1")
    );
}

#[gtest]
fn ask_empty_question() {
    let asked = run(
        &[&["ask", "--service", "s", ""][..], &UNREACHABLE].concat(),
        "",
    );
    expect_that!(asked.code, eq(3));
}

#[gtest]
fn ask_unreachable() {
    let asked = run(
        &[&["ask", "--service", "s", "hi"][..], &UNREACHABLE].concat(),
        "",
    );
    expect_that!(asked.code, eq(6));
    expect_that!(asked.stderr, contains_substring("nothing was sent"));
}

#[gtest]
fn apply_unknown_key() {
    let document = "version = 1\n[[services]]\nname = \"s\"\nkind = \"model\"\nreplica = 3\n";
    let applied = run(
        &[&["config", "apply", "-"][..], &UNREACHABLE].concat(),
        document,
    );
    expect_that!(applied.code, eq(3));
    expect_that!(applied.stderr, contains_substring("line 5"));
    expect_that!(applied.stderr, contains_substring("replicas"));
}

#[gtest]
fn apply_without_version() {
    // A document without a version is applied. Without a version to compare, the commit would
    // overwrite changes that were made since the document was written.
    let applied = run(&[&["config", "apply", "-"][..], &UNREACHABLE].concat(), "");
    expect_that!(applied.code, eq(3));
    expect_that!(applied.stderr, contains_substring("--expect-version"));
}
