//! Invalid RPC input: the node answers it with a typed refusal, runs nothing, and continues to
//! answer other requests.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use auburnspoke::rpc::v1;
use googletest::prelude::*;
use prost::Message as _;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

use env::Fleet;

const JSON: &str = "application/json";
const PROTO: &str = "application/proto";
const ASK: &str = "/auburnspoke.v1.Caller/Ask";

/// A body that a node must refuse.
struct Bad {
    path: &'static str,
    media: &'static str,
    body: Vec<u8>,
    status: u16,
    reason: &'static str,
}

fn bad(path: &'static str, body: &Value, status: u16, reason: &'static str) -> Bad {
    Bad {
        path,
        media: JSON,
        body: body.to_string().into_bytes(),
        status,
        reason,
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0");
    fleet.configure();
    fleet
}

/// Sends each body and checks that it is refused as not run, that no endpoint received a
/// request, and that a valid request is still answered.
fn check(fleet: &Fleet, all: Vec<Bad>) {
    let address = fleet.nodes[0].address("callers");
    for bad in all {
        let start: Vec<u8> = bad.body.iter().copied().take(80).collect();
        let what = format!("{}: {}", bad.path, String::from_utf8_lossy(&start));
        let (status, answer) = env::post(&address, bad.path, bad.media, bad.body);
        let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
        let refusal = env::refusal(&answer);
        expect_that!(status, eq(bad.status), "{what}");
        expect_that!(refusal["reason"], eq(&json!(bad.reason)), "{what}");
        expect_that!(refusal["notRun"], eq(&json!(true)), "{what}");
        expect_that!(
            answer["message"].as_str().map(str::len),
            some(gt(5)),
            "{what}"
        );
    }
    expect_that!(fleet.engine_counts(0)["arrived"], eq(&json!(0)));
    let jobs = fleet.caller(0, "ListJobs", &json!({})).unwrap();
    expect_that!(jobs["jobs"], eq(&Value::Null));
    let ask = json!({"service": "recipes", "prompt": "hello", "maxTokens": 2});
    expect_that!(fleet.caller(0, "Ask", &ask).is_ok(), eq(true));
}

#[gtest]
fn body_unreadable() {
    let garbage = |media, body: &[u8]| Bad {
        path: ASK,
        media,
        body: body.to_vec(),
        status: 400,
        reason: "REASON_INVALID",
    };
    check(
        &fleet(),
        vec![
            garbage(JSON, b"{\"service\": \"recipes\", \"prompt\": \"cut o"),
            garbage(JSON, b""),
            garbage(JSON, b"[1, 2]"),
            garbage(JSON, b"{\"servise\": \"recipes\", \"prompt\": \"hello\"}"),
            garbage(JSON, b"\xff\xfe"),
            garbage(PROTO, b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"),
            garbage(PROTO, b"\x0a\x7frecipes"),
        ],
    );
}

#[gtest]
fn media_unknown() {
    let fleet = fleet();
    let address = fleet.nodes[0].address("callers");
    let body = b"{\"service\": \"recipes\", \"prompt\": \"hello\"}".to_vec();
    let (status, _) = env::post(&address, ASK, "text/plain", body);
    expect_that!(status, eq(415));
    expect_that!(fleet.engine_counts(0)["arrived"], eq(&json!(0)));
}

#[gtest]
fn name_unknown() {
    let item = json!([{"prompt": "x"}]);
    let submit = "/auburnspoke.v1.Caller/SubmitJob";
    let job = json!({"job": "kitchen.0123456789abcdef01234567"});
    let unknown = "REASON_UNKNOWN_SERVICE";
    check(
        &fleet(),
        vec![
            bad(
                ASK,
                &json!({"service": "recipe", "prompt": "x"}),
                404,
                unknown,
            ),
            bad(
                submit,
                &json!({"service": "recipe", "key": "k", "organisation": "o", "items": item}),
                404,
                unknown,
            ),
            bad(
                "/auburnspoke.v1.Caller/JobStatus",
                &job,
                404,
                "REASON_UNKNOWN_JOB",
            ),
            bad(
                "/auburnspoke.v1.Caller/JobResults",
                &job,
                404,
                "REASON_UNKNOWN_JOB",
            ),
            bad(
                "/auburnspoke.v1.Caller/CancelJob",
                &job,
                404,
                "REASON_UNKNOWN_JOB",
            ),
            bad(
                "/auburnspoke.v1.Caller/Guess",
                &json!({}),
                400,
                "REASON_INVALID",
            ),
        ],
    );
}

#[gtest]
fn question_wrong() {
    let ask = |fields: Value| {
        let mut body = json!({"service": "recipes", "prompt": "x"});
        let more = fields.as_object().unwrap().clone();
        body.as_object_mut().unwrap().extend(more);
        body
    };
    let long = "x".repeat(300 * 1024);
    let body = "x".repeat(2 * 1024 * 1024);
    let invalid = "REASON_INVALID";
    check(
        &fleet(),
        vec![
            bad(ASK, &ask(json!({"prompt": ""})), 400, invalid),
            bad(ASK, &ask(json!({"service": "a/b"})), 400, invalid),
            bad(ASK, &ask(json!({"once": true})), 400, invalid),
            bad(ASK, &ask(json!({"path": "/x"})), 400, invalid),
            // A deadline is relative to the present; one in the past is negative.
            bad(ASK, &ask(json!({"deadlineMs": -5})), 400, invalid),
            bad(
                ASK,
                &ask(json!({"deadlineMs": 4_000_000_000_u32})),
                400,
                invalid,
            ),
            bad(ASK, &ask(json!({"prompt": long})), 400, "REASON_TOO_LARGE"),
            bad(ASK, &ask(json!({"prompt": body})), 400, "REASON_TOO_LARGE"),
        ],
    );
}

#[gtest]
fn job_wrong() {
    let submit = "/auburnspoke.v1.Caller/SubmitJob";
    let job = |items: Value| json!({"service": "recipes", "key": "k", "organisation": "o", "items": items});
    let twice = json!([{"key": "a", "prompt": "x"}, {"key": "a", "prompt": "y"}]);
    let mut nameless = job(json!([{"prompt": "x"}]));
    nameless["key"] = json!("");
    let item = v1::Item {
        prompt: "x".into(),
        ..v1::Item::default()
    };
    let large = v1::SubmitJobRequest {
        service: "recipes".into(),
        organisation: "o".into(),
        key: "k".into(),
        items: vec![item; 600_000],
        ..v1::SubmitJobRequest::default()
    };
    let invalid = "REASON_INVALID";
    check(
        &fleet(),
        vec![
            bad(submit, &job(json!([])), 400, invalid),
            bad(submit, &job(json!([{"prompt": ""}])), 400, invalid),
            bad(submit, &job(twice), 400, invalid),
            bad(submit, &nameless, 400, invalid),
            Bad {
                path: submit,
                media: PROTO,
                body: large.encode_to_vec(),
                status: 400,
                reason: "REASON_TOO_LARGE",
            },
        ],
    );
}

/// Starts a fleet of one node whose settings end with `more`.
fn fleet_with(more: &str, engine: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.engine(engine);
    let node = fleet.start_node("node-0", "zone-0", "127.0.0.1:0", more);
    fleet.nodes.push(node);
    fleet.configure();
    fleet
}

#[gtest]
fn limits_of_settings() {
    let submit = "/auburnspoke.v1.Caller/SubmitJob";
    let job = |items: Value| json!({"service": "recipes", "key": "k", "organisation": "o", "items": items});
    let item = json!({"prompt": "x"});
    let long = "x".repeat(101);
    let body = "x".repeat(3000);
    let more = "[limits]\nbody_bytes = 2000\nprompt_bytes = 100\njob_items = 2\n";
    let large = "REASON_TOO_LARGE";
    check(
        &fleet_with(more, &["--faster", "20"]),
        vec![
            bad(
                ASK,
                &json!({"service": "recipes", "prompt": long}),
                400,
                large,
            ),
            bad(
                ASK,
                &json!({"service": "recipes", "prompt": body}),
                400,
                large,
            ),
            bad(submit, &job(json!([item, item, item])), 400, large),
            bad(submit, &job(json!([{"prompt": long}])), 400, large),
            bad(submit, &job(json!([{"prompt": body}])), 400, large),
        ],
    );
}

#[gtest]
fn deadline_of_settings() {
    // A caller sets a distant deadline. Without the configured limit its request could outlast
    // the longest planned shutdown, which would then abort it.
    let more = "[timeouts]\nrequest = \"300ms\"\nconnect = \"100ms\"\n";
    let fleet = fleet_with(more, &[]);
    // About seven seconds of work for the engine.
    let ask = json!({"service": "recipes", "prompt": "x", "maxTokens": 512, "deadlineMs": 60_000});
    let error = fleet.caller(0, "Ask", &ask).unwrap_err();
    expect_that!(
        env::refusal(&error)["reason"],
        eq(&json!("REASON_DEADLINE"))
    );
}

#[gtest]
fn head_too_long() {
    // A caller sends headers without end. Without a limit they would exhaust the node's memory.
    let fleet = fleet();
    let address = fleet.nodes[0].address("callers");
    let mut socket = TcpStream::connect(address).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    let line = format!("x-filler: {}\r\n", "y".repeat(1024));
    socket.write_all(b"POST / HTTP/1.1\r\n").unwrap();
    let mut sent = 0;
    // The node responds or closes the connection long before a megabyte.
    while sent < 1024 * 1024 && socket.write_all(line.as_bytes()).is_ok() {
        sent += line.len();
    }
    let mut answer = Vec::new();
    // A connection reset is as acceptable as a response.
    let _ = socket.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    expect_that!(answer.contains("200 OK"), eq(false));
    let ask = json!({"service": "recipes", "prompt": "hello", "maxTokens": 2});
    expect_that!(fleet.caller(0, "Ask", &ask).is_ok(), eq(true));
}
