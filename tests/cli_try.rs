//! Runs `try`, which starts a whole system in one process.

use std::io::{BufRead as _, BufReader};
use std::process::{Command, Stdio};

use googletest::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

#[path = "cli/env.rs"]
#[allow(dead_code)]
mod env;

const ONCE: [&str; 4] = ["try", "--once", "--listen", "127.0.0.1:0"];

#[gtest]
fn once_text() {
    let shown = env::run(&ONCE, "");
    expect_that!(shown.code, eq(0), "{}", shown.stderr);
    expect_that!(shown.stdout, contains_substring("24 tokens after"));
    expect_that!(
        shown.stdout,
        contains_substring("40 of 40 items done, 40 results read")
    );
}

#[gtest]
fn once_json() {
    let shown = env::run(&[&ONCE[..], &["--json"]].concat(), "");
    expect_that!(shown.code, eq(0), "{}", shown.stderr);
    let lines: Vec<Value> = shown
        .stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    expect_that!(lines.len(), eq(3));
    expect_that!(lines[1]["tokens"], eq(&Value::from(24)));
    expect_that!(lines[2]["results"], eq(&Value::from(40)));
}

#[gtest]
fn once_port_taken() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let shown = env::run(&["try", "--once", "--listen", &address], "");
    expect_that!(shown.code, eq(1));
    expect_that!(shown.stderr, contains_substring("is the port taken"));
}

#[gtest]
fn serving_until_interrupt() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_auburnspoke"))
        .args(["try", "--listen", "127.0.0.1:0"])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut is_serving = false;
    for line in lines.map_while(Result::ok) {
        if line.starts_with("Still serving") {
            is_serving = true;
        }
        if line.contains("curl http://") {
            break;
        }
    }
    expect_that!(is_serving, eq(true));
    kill_process(Pid::from_child(&child), Signal::INT).unwrap();
    expect_that!(child.wait().unwrap().code(), some(eq(0)));
}
