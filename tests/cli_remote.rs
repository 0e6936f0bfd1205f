//! Runs commands against a fake node and checks their requests, output and exit codes.

use auburnspoke::outcome::{Reason, Refusal};
use auburnspoke::rpc::{error, v1};
use bytes::Bytes;
use googletest::prelude::*;
use prost::Message as _;

#[path = "cli/env.rs"]
#[allow(dead_code)]
mod env;

use env::{Node, Reply, end, overloaded, piece};

fn text(offset: u32, text: &str) -> Bytes {
    piece(&v1::AskPiece {
        offset,
        text: text.into(),
        ..v1::AskPiece::default()
    })
}

fn last() -> Bytes {
    piece(&v1::AskPiece {
        offset: 2,
        end: Some(v1::AskResponse {
            tokens: 2,
            endpoint: "engine-1".into(),
            ..v1::AskResponse::default()
        }),
        ..v1::AskPiece::default()
    })
}

const ASK: [&str; 4] = ["ask", "--service", "payment-run", "Was 1041 paid?"];

#[gtest]
fn locate_text() {
    let node = Node::start(|_, _| {
        Reply::message(&v1::LocateResponse {
            addresses: vec!["10.0.0.1:7001".into(), "10.0.0.2:7001".into()],
            keep_ms: 30_000,
        })
    });
    let located = node.run(&["locate", "--zone", "muscat-1", "--count", "2"], "");
    expect_that!(located.code, eq(0));
    expect_that!(
        located.stdout,
        eq("10.0.0.1:7001\n10.0.0.2:7001\nkeep for 30000 ms\n")
    );
    let (path, body) = node.calls().remove(0);
    expect_that!(path, eq("/auburnspoke.v1.Caller/Locate"));
    let request = v1::LocateRequest::decode(body).unwrap();
    expect_that!((&*request.zone, request.count), eq(("muscat-1", 2)));
}

#[gtest]
fn ask_streamed() {
    let node = Node::start(|_, _| {
        Reply::Stream(vec![
            text(0, "Yes, "),
            text(1, "on Monday."),
            last(),
            end("{}"),
        ])
    });
    let asked = node.run(&ASK, "");
    expect_that!(asked.stdout, eq("Yes, on Monday.\n"));
    expect_that!(asked.code, eq(0));
}

#[gtest]
fn ask_json() {
    let node = Node::start(|_, _| {
        Reply::Stream(vec![
            text(0, "Yes, "),
            text(1, "on Monday."),
            last(),
            end("{}"),
        ])
    });
    let asked = node.run(&[&ASK[..], &["--json"]].concat(), "");
    let answer: serde_json::Value = serde_json::from_str(&asked.stdout).unwrap();
    expect_that!(answer["text"].as_str(), some(eq("Yes, on Monday.")));
    expect_that!(answer["endpoint"].as_str(), some(eq("engine-1")));
}

#[gtest]
fn ask_refused() {
    let node = Node::start(|_, _| Reply::Refusal(true, overloaded()));
    let asked = node.run(&ASK, "");
    expect_that!(asked.code, eq(4));
    expect_that!(
        asked.stderr,
        contains_substring(
            "refused, not run (overloaded): every endpoint is full; come back after 250 ms"
        )
    );
}

#[gtest]
fn ask_refused_json() {
    let node = Node::start(|_, _| Reply::Refusal(true, overloaded()));
    let asked = node.run(&[&ASK[..], &["--json"]].concat(), "");
    let error: serde_json::Value = serde_json::from_str(&asked.stderr).unwrap();
    expect_that!(error["refusal"]["notRun"].as_bool(), some(eq(true)));
    expect_that!(error["refusal"]["retryAfterMs"].as_u64(), some(eq(250)));
}

#[gtest]
fn ask_may_have_run() {
    // An endpoint fails in the middle of an answer. If the command reported "not run", the caller
    // would repeat the request and it could run twice.
    let node = Node::start(|_, _| {
        let error = error::body(false, &overloaded());
        let end = end(&serde_json::json!({ "error": error }).to_string());
        Reply::Stream(vec![text(0, "Yes, "), end])
    });
    let asked = node.run(&ASK, "");
    expect_that!(asked.code, eq(5));
    expect_that!(asked.stdout, eq("Yes, "));
    expect_that!(asked.stderr, contains_substring("it may have run"));
}

#[gtest]
fn ask_refusal_piece() {
    let node = Node::start(|_, _| {
        let refused = piece(&v1::AskPiece {
            refusal: Some(error::refusal(false, &overloaded())),
            ..v1::AskPiece::default()
        });
        Reply::Stream(vec![text(0, "Yes, "), refused, end("{}")])
    });
    let asked = node.run(&ASK, "");
    expect_that!((asked.code, &*asked.stdout), eq((5, "Yes, ")));
}

#[gtest]
fn ask_broken_off() {
    // The node crashes in the middle of an answer. The truncated answer must not be reported as
    // complete.
    let node = Node::start(|_, _| Reply::Stream(vec![text(0, "Yes, ")]));
    let asked = node.run(&ASK, "");
    expect_that!(asked.code, eq(5));
    expect_that!(asked.stderr, contains_substring("broke off"));
}

#[gtest]
fn ask_end_missing() {
    // The stream ends regularly but without the answer's end piece, as when a dispatcher gives up.
    // The truncated answer must not be reported as complete.
    let node = Node::start(|_, _| Reply::Stream(vec![text(0, "Yes, "), end("{}")]));
    let asked = node.run(&ASK, "");
    expect_that!(asked.code, eq(5));
}

#[gtest]
fn ask_not_connect() {
    // The server at the address is not a node. Only a node's refusal proves that nothing ran, so a
    // plain 503 has to be reported as "may have run".
    let node = Node::start(|_, _| Reply::Raw(503, "<html>busy</html>"));
    expect_that!(node.run(&ASK, "").code, eq(5));
}

#[gtest]
fn ask_next_server() {
    let node = Node::start(|_, _| Reply::Stream(vec![last(), end("{}")]));
    let servers = format!("127.0.0.1:9,{}", node.address);
    let asked = env::run(&[&ASK[..], &["--server", &servers]].concat(), "");
    expect_that!(asked.code, eq(0));
}

fn leaving() -> Refusal {
    Refusal::new(Reason::NotReady).with_message("the node stops; use another address")
}

fn servers_of(first: &Node, second: &Node) -> String {
    format!("{},{}", first.address, second.address)
}

/// Rolling restart under load: the stopping node refuses a request as not run. The client must
/// try the next address, or the caller gets an error although another node would answer.
#[gtest]
fn ask_next_server_not_ready() {
    let stopping = Node::start(|_, _| Reply::Refusal(true, leaving()));
    let serving = Node::start(|_, _| Reply::Stream(vec![text(0, "Yes"), last(), end("{}")]));
    let servers = servers_of(&stopping, &serving);
    let asked = env::run(&[&ASK[..], &["--server", &servers]].concat(), "");
    expect_that!(asked.stdout, eq("Yes\n"));
    expect_that!(asked.code, eq(0));
}

/// The same with the refusal at the end of the stream, which is how a node sends it.
#[gtest]
fn ask_next_server_not_ready_in_stream() {
    let stopping = Node::start(|_, _| {
        let error = error::body(true, &leaving());
        Reply::Stream(vec![
            end(&serde_json::json!({ "error": error }).to_string()),
        ])
    });
    let serving = Node::start(|_, _| Reply::Stream(vec![last(), end("{}")]));
    let servers = servers_of(&stopping, &serving);
    let asked = env::run(&[&ASK[..], &["--server", &servers]].concat(), "");
    expect_that!(asked.code, eq(0));
    expect_that!(stopping.calls().len(), eq(1));
}

/// A stopping node can't rule out that a request it had started has run. Retrying it at the next
/// address could run it twice.
#[gtest]
fn ask_next_server_may_have_run() {
    let stopping = Node::start(|_, _| Reply::Refusal(false, leaving()));
    let serving = Node::start(|_, _| Reply::Stream(vec![last(), end("{}")]));
    let servers = servers_of(&stopping, &serving);
    let asked = env::run(&[&ASK[..], &["--server", &servers]].concat(), "");
    expect_that!(asked.code, eq(5));
    expect_that!(serving.calls().len(), eq(0));
}

/// One node refuses and the other is unreachable. The refusal is reported rather than the
/// connection error, because it states why the request was not run.
#[gtest]
fn ask_no_server_ready() {
    let stopping = Node::start(|_, _| Reply::Refusal(true, leaving()));
    let servers = format!("{},127.0.0.1:9", stopping.address);
    let asked = env::run(&[&ASK[..], &["--server", &servers]].concat(), "");
    expect_that!(asked.code, eq(4));
    expect_that!(asked.stderr, contains_substring("not_ready"));
}

/// A job is submitted to a node that has just started and has no configuration yet. The client
/// must submit it to the next address instead of failing.
#[gtest]
fn submit_next_server_not_ready() {
    let starting = Node::start(|_, _| Reply::Refusal(true, Refusal::new(Reason::NotReady)));
    let serving = Node::start(|_, _| {
        Reply::message(&v1::SubmitJobResponse {
            job: "j1".into(),
            items: 1,
            resent: false,
        })
    });
    let servers = servers_of(&starting, &serving);
    let args = ["job", "submit", "--service", "s", "--server", &servers, "-"];
    let sent = env::run(&args, "{\"prompt\": \"x\"}\n");
    expect_that!(sent.code, eq(0));
}

#[gtest]
fn submit_lost_answer() {
    // The response to a submission is lost after the job was accepted. The program retries with the
    // same idempotency key; a new key would create a second job and duplicate every result.
    let node = Node::start(|_, before| match before {
        0 => Reply::Raw(502, "lost"),
        _ => Reply::message(&v1::SubmitJobResponse {
            job: "j1".into(),
            items: 1,
            resent: true,
        }),
    });
    let args = ["job", "submit", "--service", "s", "-"];
    let sent = node.run(&args, "{\"prompt\": \"x\"}\n");
    expect_that!(sent.code, eq(0));
    expect_that!(sent.stdout, contains_substring("it is the same job"));
    let keys: Vec<_> = node
        .calls()
        .into_iter()
        .map(|(_, body)| v1::SubmitJobRequest::decode(body).unwrap().key)
        .collect();
    expect_that!(keys.len(), eq(2));
    expect_that!(keys[0], eq(&keys[1]));
    expect_that!(keys[0].is_empty(), eq(false));
}

#[gtest]
fn submit_refused_once() {
    let node = Node::start(|_, _| Reply::Refusal(true, overloaded()));
    let args = ["job", "submit", "--service", "s", "-"];
    let sent = node.run(&args, "{\"prompt\": \"x\"}\n");
    expect_that!(sent.code, eq(4));
    expect_that!(node.calls().len(), eq(1));
}

#[gtest]
fn submit_wait_incomplete() {
    let node = Node::start(|path, _| {
        if path.ends_with("SubmitJob") {
            return Reply::message(&v1::SubmitJobResponse {
                job: "j1".into(),
                items: 2,
                resent: false,
            });
        }
        Reply::message(&v1::JobStatusResponse {
            job: "j1".into(),
            state: v1::JobState::Ended.into(),
            items: 2,
            done: 1,
            failed: 1,
            ..v1::JobStatusResponse::default()
        })
    });
    let args = ["job", "submit", "--service", "s", "--wait", "-"];
    let sent = node.run(&args, "{\"prompt\": \"x\"}\n{\"prompt\": \"y\"}\n");
    expect_that!(sent.code, eq(7));
    expect_that!(sent.stdout, contains_substring("2 items, 1 done, 1 failed"));
    // Standard error is not a terminal here, so no progress bar is drawn.
    expect_that!(sent.stderr, eq(""));
}

#[gtest]
fn status_wait_outage() {
    // A node is unavailable for a moment while the command waits for a job. Without another poll the
    // command would fail although the job continues.
    let node = Node::start(|_, before| match before {
        0 => Reply::Refusal(true, overloaded()),
        _ => Reply::message(&v1::JobStatusResponse {
            job: "j1".into(),
            state: v1::JobState::Ended.into(),
            items: 1,
            done: 1,
            ..v1::JobStatusResponse::default()
        }),
    });
    let waited = node.run(&["job", "status", "--wait", "j1"], "");
    expect_that!(waited.code, eq(0));
}

#[gtest]
fn results_pages() {
    let node = Node::start(|_, before| {
        let number = u32::try_from(before).unwrap();
        Reply::message(&v1::JobResultsResponse {
            results: vec![v1::ItemResult {
                number,
                state: v1::ItemState::Done.into(),
                text: "ok".into(),
                ..v1::ItemResult::default()
            }],
            next_page: if before < 2 {
                format!("p{before}")
            } else {
                String::new()
            },
            state: v1::JobState::Ended.into(),
        })
    });
    let printed = node.run(&["job", "results", "j1"], "");
    expect_that!(printed.stdout.lines().count(), eq(3));
    for line in printed.stdout.lines() {
        let result: serde_json::Value = serde_json::from_str(line).unwrap();
        expect_that!(result["state"].as_str(), some(eq("ITEM_STATE_DONE")));
    }
}

#[gtest]
fn config_round_trip() {
    // `apply` accepts the output of `show`, including its version: two operators who edit at the
    // same time can't overwrite each other's changes.
    let document = std::fs::read_to_string("examples/config.toml").unwrap();
    let node = Node::start(|path, _| {
        if path.ends_with("GetConfig") {
            return Reply::message(&v1::GetConfigResponse {
                version: 7,
                config: Some(v1::Config {
                    services: vec![v1::Service {
                        name: "s".into(),
                        kind: v1::ServiceKind::Plain.into(),
                        ..v1::Service::default()
                    }],
                    ..v1::Config::default()
                }),
            });
        }
        Reply::message(&v1::ApplyConfigResponse {
            version: 8,
            diff: vec!["+ service s".into()],
            dry_run: false,
        })
    });
    let shown = node.run(&["config", "show"], "");
    let applied = node.run(&["config", "apply", "-"], &shown.stdout);
    expect_that!(applied.stdout, eq("+ service s\ncommitted as version 8\n"));
    let sent = v1::ApplyConfigRequest::decode(node.calls().remove(1).1).unwrap();
    expect_that!(sent.expect_version, eq(7));
    expect_that!(sent.author, eq("tester"));
    let services = sent.config.unwrap().services;
    expect_that!(services[0].kind(), eq(v1::ServiceKind::Plain));
    expect_that!(node.run(&["config", "apply", "-"], &document).code, eq(0));
    let sent = v1::ApplyConfigRequest::decode(node.calls().remove(2).1).unwrap();
    expect_that!(sent.config.unwrap().endpoints.len(), eq(3));
}

#[gtest]
fn config_json() {
    let node = Node::start(|_, _| Reply::message(&v1::GetConfigResponse::default()));
    let shown = node.run(&["config", "show", "--json"], "");
    let document: serde_json::Value = serde_json::from_str(&shown.stdout).unwrap();
    expect_that!(document["version"].as_u64(), some(eq(0)));
}

#[gtest]
fn config_conflict() {
    let node = Node::start(|_, _| {
        let refusal = Refusal::new(Reason::Conflict).with_message("version 9 is current");
        Reply::Refusal(true, refusal)
    });
    let applied = node.run(&["config", "apply", "--expect-version", "7", "-"], "");
    expect_that!(applied.code, eq(4));
    expect_that!(applied.stderr, contains_substring("version 9 is current"));
}

#[gtest]
fn status_page() {
    let node = Node::start(|path, _| match path {
        "/auburnspoke.v1.Operator/ListMembers" => Reply::message(&v1::ListMembersResponse {
            members: vec![v1::Member {
                name: "n1".into(),
                state: v1::MemberState::Alive.into(),
                ..v1::Member::default()
            }],
        }),
        "/auburnspoke.v1.Operator/ListEndpoints" => {
            Reply::message(&v1::ListEndpointsResponse::default())
        }
        _ => Reply::message(&v1::ConfigStatusResponse {
            version: 3,
            nodes: Vec::new(),
            in_force: true,
        }),
    });
    let status = node.run(&["status"], "");
    expect_that!(status.stdout, contains_substring("alive"));
    expect_that!(status.stdout, contains_substring("version 3: in force"));
}
