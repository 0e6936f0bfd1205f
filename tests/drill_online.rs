//! Failures of endpoints and nodes while requests are in flight, on real processes.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::thread::JoinHandle;

use googletest::prelude::*;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

const ASK: &str = "/auburnspoke.v1.Caller/Ask";

/// A request that runs for a while on an engine at normal speed.
fn long(n: usize) -> Value {
    json!({"service": "recipes", "prompt": format!("question {n}"), "maxTokens": 80, "key": format!("k{n}")})
}

type Asking = JoinHandle<std::result::Result<Value, Value>>;

fn ask_in_background(fleet: &env::Fleet, node: usize, ask: &Value) -> Asking {
    let address = fleet.nodes[node].address("callers");
    let ask = ask.clone();
    std::thread::spawn(move || env::call(&address, ASK, &ask))
}

fn arrived(fleet: &env::Fleet, engine: usize) -> u64 {
    fleet.engine_counts(engine)["arrived"].as_u64().unwrap_or(0)
}

/// Starts three nodes and `engines` engines in three availability zones.
fn fleet(engines: usize) -> env::Fleet {
    let mut fleet = env::Fleet::new();
    for _ in 0..engines {
        fleet.engine(&[]);
    }
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet.configure();
    fleet
}

/// Returns the answers of a healthy engine to each of `count` requests.
fn expected(count: usize) -> Vec<Value> {
    let mut healthy = env::Fleet::new();
    healthy.engine(&["--faster", "50"]);
    healthy.node("zone-0");
    healthy.configure();
    (0..count)
        .map(|n| healthy.caller(0, "Ask", &long(n)).unwrap()["text"].clone())
        .collect()
}

/// Expects that request n, in order, gets the same complete answer as from a healthy engine.
fn expect_whole(asking: Vec<Asking>) {
    let answers: Vec<_> = asking
        .into_iter()
        .map(|asking| asking.join().unwrap())
        .collect();
    let texts = expected(answers.len());
    for (answer, text) in answers.into_iter().zip(texts) {
        expect_that!(answer.map(|a| a["text"].clone()), ok(eq(&text)));
    }
}

/// An endpoint's VM crashes while it streams answers. Callers get their complete answers from
/// the other endpoint, with no text missing or duplicated.
#[gtest]
fn endpoint_killed_midstream() {
    let mut fleet = fleet(2);
    let asking: Vec<_> = (0..6)
        .map(|n| ask_in_background(&fleet, n % 3, &long(n)))
        .collect();
    env::until("both engines generate", || {
        (0..2).all(|engine| fleet.engine_counts(engine)["tokens"].as_u64() > Some(20))
    });
    fleet.engines[0].kill();
    expect_whole(asking);
}

/// An endpoint stops generating but still answers health checks. Its streams time out and
/// resume at another endpoint; callers get complete answers.
#[gtest]
fn endpoint_stalled_midstream() {
    let fleet = fleet(2);
    let asking: Vec<_> = (0..4)
        .map(|n| ask_in_background(&fleet, n % 3, &long(n)))
        .collect();
    env::until("both engines generate", || {
        (0..2).all(|engine| fleet.engine_counts(engine)["tokens"].as_u64() > Some(10))
    });
    fleet.engine_fault(0, &json!({"stall": true}));
    expect_whole(asking);
}

/// The node that runs an endpoint's dispatcher crashes while answers stream through it. Callers
/// of the other nodes get complete answers.
#[gtest]
fn dispatcher_killed_midstream() {
    let mut fleet = fleet(1);
    let endpoints = fleet.operator(0, "ListEndpoints", &json!({})).unwrap();
    let dispatcher = endpoints["endpoints"][0]["dispatcher"].as_str().unwrap();
    let dead: usize = dispatcher.strip_prefix("node-").unwrap().parse().unwrap();
    let others: Vec<usize> = (0..3).filter(|node| *node != dead).collect();
    let asking: Vec<_> = (0..4)
        .map(|n| ask_in_background(&fleet, others[n % 2], &long(n)))
        .collect();
    env::until("the engine generates", || {
        fleet.engine_counts(0)["tokens"].as_u64() > Some(20)
    });
    fleet.nodes[dead].kill();
    expect_whole(asking);
}

/// The node that runs the dispatcher is paused, as a VM that its host does not schedule.
/// Callers of the other nodes must not wait for it.
#[gtest]
fn dispatcher_paused_midstream() {
    let fleet = fleet(1);
    let endpoints = fleet.operator(0, "ListEndpoints", &json!({})).unwrap();
    let dispatcher = endpoints["endpoints"][0]["dispatcher"].as_str().unwrap();
    let paused: usize = dispatcher.strip_prefix("node-").unwrap().parse().unwrap();
    let other = (paused + 1) % 3;
    let asking = ask_in_background(&fleet, other, &long(0));
    env::until("the engine generates", || {
        fleet.engine_counts(0)["tokens"].as_u64() > Some(5)
    });
    fleet.nodes[paused].pause();
    let answer = asking.join().unwrap();
    fleet.nodes[paused].resume();
    expect_that!(answer.map(|a| a["text"].clone()), ok(eq(&expected(1)[0])));
}

/// More requests arrive than the endpoints can take. Each refused one gets a retry delay, and
/// none of those has reached an endpoint.
#[gtest]
fn refused_never_reached_an_endpoint() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--parameters", r#"{"sequences": 8}"#]);
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure_with(&json!({"deadlineMs": 3000}));
    let asking: Vec<_> = (0..60)
        .map(|n| ask_in_background(&fleet, n % 2, &long(n)))
        .collect();
    let answers: Vec<_> = asking
        .into_iter()
        .map(|asking| asking.join().unwrap())
        .collect();
    let reached = fleet.engine_counts(0)["keys"].clone();
    let mut refused = 0;
    for (n, answer) in answers.iter().enumerate() {
        let Err(error) = answer else { continue };
        let refusal = env::refusal(error);
        if refusal["notRun"] == json!(true) {
            refused += 1;
            expect_that!(reached.get(format!("k{n}")), none());
            expect_that!(refusal["retryAfterMs"].as_u64(), some(gt(0)));
        }
    }
    expect_that!(refused, gt(0));
    expect_that!(
        answers.iter().filter(|answer| answer.is_ok()).count(),
        gt(0)
    );
}

/// The only endpoint aborts every answer after some tokens. The request reached it and ran in
/// part, so the error must not claim that it did not run: a client would retry as if nothing
/// had happened.
#[gtest]
fn broken_never_said_unrun() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure();
    fleet.engine_fault(0, &json!({"break_after": 3}));
    for node in 0..2 {
        let error = fleet.caller(node, "Ask", &long(node)).unwrap_err();
        expect_that!(env::refusal(&error)["notRun"], not(eq(&json!(true))));
        let keys = fleet.engine_counts(0)["keys"].clone();
        expect_that!(keys[format!("k{node}")].as_u64(), some(ge(1)));
    }
}

/// Every engine fails for a while. Retries must remain a small fraction of the requests, or
/// the retry load would keep the fleet down after the fault; once the fault is gone, requests
/// are answered again.
#[gtest]
fn retry_storm_bounded() {
    let fleet = fleet(2);
    for engine in 0..2 {
        fleet.engine_fault(engine, &json!({"refuse": true}));
    }
    let before = arrived(&fleet, 0) + arrived(&fleet, 1);
    let requests = 300;
    for n in 0..requests {
        let _ = fleet.caller(n % 3, "Ask", &long(n));
    }
    let attempts = arrived(&fleet, 0) + arrived(&fleet, 1) - before;
    // Each of six gateway threads starts with a retry budget of 20, and nothing succeeds.
    expect_that!(attempts, le(requests as u64 + 6 * 20));
    for engine in 0..2 {
        fleet.engine_fault(engine, &json!({}));
    }
    let ask = json!({"service": "recipes", "prompt": "after", "maxTokens": 2});
    for node in 0..3 {
        env::until("requests are answered again", || {
            fleet.caller(node, "Ask", &ask).is_ok()
        });
    }
}

/// A caller requests a long streamed answer and does not read it. Only its own stream stops;
/// other requests through the same node are answered.
#[gtest]
fn slow_reader_alone_waits() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure();
    let body = json!({"service": "recipes", "prompt": "stream", "maxTokens": 500}).to_string();
    let mut readers: Vec<TcpStream> = (0..2)
        .map(|node| {
            let address = fleet.nodes[node].address("callers");
            let mut stream = TcpStream::connect(&address).unwrap();
            let length = u32::try_from(body.len()).unwrap();
            write!(
                stream,
                "POST /auburnspoke.v1.Caller/AskStream HTTP/1.1\r\nHost: {address}\r\n\
                 Content-Type: application/connect+json\r\nContent-Length: {}\r\n\r\n",
                length + 5
            )
            .unwrap();
            stream.write_all(&[0]).unwrap();
            stream.write_all(&length.to_be_bytes()).unwrap();
            stream.write_all(body.as_bytes()).unwrap();
            stream
        })
        .collect();
    env::until("the streams run", || arrived(&fleet, 0) >= 2);
    for n in 0..10 {
        let ask = json!({"service": "recipes", "prompt": format!("beside {n}"), "maxTokens": 4});
        let answer = fleet.caller(n % 2, "Ask", &ask);
        expect_that!(answer.map(|a| a["tokens"].clone()), ok(eq(&json!(4))));
    }
    for reader in &mut readers {
        let mut head = [0; 12];
        reader.read_exact(&mut head).unwrap();
        expect_that!(&head[..], eq(b"HTTP/1.1 200"));
    }
}

/// Batch work fills every endpoint when online requests arrive. They are answered while nearly
/// all of the batch work is still queued.
#[gtest]
fn burst_beside_batch() {
    let fleet = fleet(2);
    let items: Vec<_> = (0..600)
        .map(|n| json!({"key": format!("i{n}"), "prompt": format!("item {n}"), "maxTokens": 200}))
        .collect();
    let job = json!({"service": "recipes", "organisation": "trust", "key": "bulk", "items": items});
    fleet.caller(0, "SubmitJob", &job).unwrap();
    env::until("batch work runs", || {
        arrived(&fleet, 0) >= 4 && arrived(&fleet, 1) >= 4
    });
    let asking: Vec<_> = (0..12)
        .map(|n| {
            let ask = json!({"service": "recipes", "prompt": format!("burst {n}"), "maxTokens": 4});
            ask_in_background(&fleet, n % 3, &ask)
        })
        .collect();
    for answer in asking {
        let answer = answer.join().unwrap();
        expect_that!(answer.map(|a| a["tokens"].clone()), ok(eq(&json!(4))));
    }
    let completed: u64 = (0..2)
        .map(|engine| fleet.engine_counts(engine)["completed"].as_u64().unwrap())
        .sum();
    // If the requests had queued behind the items, 600 items would have completed first.
    expect_that!(completed, lt(12 + 100));
}
