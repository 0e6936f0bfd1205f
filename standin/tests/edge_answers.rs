//! What callers get of answers that endpoints frame in different ways and cut off.

use std::time::Duration;

use auburnspoke::connect;
use futures_util::future::join_all;
use googletest::prelude::*;
use standin::site::replica::Fault;
use standin::site::script::{Cut, Framing, Style};
use standin::soak::caller::{Question, ask};
use standin::soak::check::End;
use standin::soak::fleet::Harness;
use standin::soak::{Faults, Plan};
use tokio::time::sleep;

use play::run;

#[path = "support/play.rs"]
mod play;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const NODES: usize = 3;
const REPLICAS: usize = 8;
/// Requests sent for each style, half of them resumable.
const REQUESTS: u64 = 24;

/// Replicas that break off some of their streams.
const BREAKS: Fault = Fault {
    break_rate: 0.3,
    loss_rate: 0.0,
    slowdown: 1,
    rejects_resumption: false,
};

fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        length: Duration::ZERO,
        nodes: NODES,
        replicas: REPLICAS,
        versions: 2,
        killers: 0,
        crash_parts: 0,
        faults: Faults::None,
    }
}

/// Sends requests to replicas of this style and with this fault. Returns how the resumable requests
/// ended and how the others did.
async fn play(harness: &Harness, style: Style, fault: Fault) -> [Vec<End>; 2] {
    for upstream in harness.replicas.borrow().values() {
        upstream.replica.style.set(style);
        upstream.replica.fault.set(fault);
    }
    let ends = (0..REQUESTS).map(async |at| {
        let node = usize::try_from(at).unwrap() % NODES;
        let repeatable = at < REQUESTS / 2;
        let number = harness.next_number();
        let question = Question {
            path: format!("/{}/{number}", if repeatable { "q" } else { "v" }),
            id: format!("a{number:x}"),
            tokens: 200,
            repeatable,
        };
        let address = harness.caller_address(node);
        let mut conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
        ask(harness, node, &mut conn, question).await
    });
    let mut resumable = join_all(ends).await;
    let others = resumable.split_off(resumable.len() / 2);
    println!("{style:?} {fault:?}: {resumable:?} {others:?}");
    [resumable, others]
}

/// Guards against a stream that was cut off and reaches its caller as complete, because the end of
/// its body is taken for its end.
#[gtest]
fn answer_cut_off() {
    run(plan(41), async |harness| {
        for framing in Framing::ALL {
            let mut others = Vec::new();
            for cut in Cut::ALL {
                let style = Style {
                    framing: Some(framing),
                    cut: Some(cut),
                };
                let [resumable, rest] = play(harness, style, BREAKS).await;
                expect_that!(resumable, contains(eq(&End::Whole)), "{style:?}");
                others.extend(rest);
            }
            expect_that!(others, contains(eq(&End::Broken)), "{framing:?}");
        }
    });
}

/// Guards against a check of whole answers that takes one for cut off.
#[gtest]
fn answer_whole() {
    run(plan(42), async |harness| {
        for framing in Framing::ALL {
            let style = Style {
                framing: Some(framing),
                cut: None,
            };
            let [resumable, others] = play(harness, style, Fault::default()).await;
            expect_that!(resumable, each(eq(&End::Whole)), "{style:?}");
            expect_that!(others, each(eq(&End::Whole)), "{style:?}");
        }
    });
}

/// Guards against an answer that is no stream and is appended to the events that the caller has: the
/// next endpoint rejects a request to continue the stream, and the caller gets a short stream as
/// complete.
#[gtest]
fn answer_resumption_rejected() {
    run(plan(43), async |harness| {
        let style = Style {
            framing: None,
            cut: Some(Cut::Reset),
        };
        let fault = Fault {
            rejects_resumption: true,
            ..BREAKS
        };
        let mut ends = Vec::new();
        for _ in 0..3 {
            let [resumable, _] = play(harness, style, fault).await;
            ends.extend(resumable);
        }
        expect_that!(ends, contains(eq(&End::Broken)));
    });
}

/// Guards against a stream that reaches its caller as complete although its endpoint's process ended
/// between two events: its connection closes as at the end of a whole stream.
#[gtest]
fn answer_process_ended() {
    play_ended(None);
}

/// Guards against the same at an endpoint that leaves: its process ends before its work does, and
/// nobody is to blame for that.
#[gtest]
fn answer_leaving_process_ended() {
    play_ended(Some("draining"));
}

/// Ends all replicas but one while they answer, some time after they have reported this state.
fn play_ended(state: Option<&'static str>) {
    run(plan(44), async |harness| {
        let style = Style {
            framing: Some(Framing::Connection),
            cut: Some(Cut::BetweenEvents),
        };
        let end_all_but_one = async {
            // A stream takes 0.16 s.
            sleep(Duration::from_millis(80)).await;
            if let Some(state) = state {
                for upstream in harness.replicas.borrow().values().skip(1) {
                    harness.write_replica(upstream, state);
                }
                // All nodes see the state, and streams run on.
                sleep(Duration::from_millis(400)).await;
            }
            for upstream in harness.replicas.borrow().values().skip(1) {
                upstream.proxy.stop_listening();
                upstream.replica.crash();
            }
        };
        let slowdown = if state.is_some() { 8 } else { 1 };
        let fault = Fault {
            slowdown,
            ..Fault::default()
        };
        let answers = play(harness, style, fault);
        let ((), [resumable, others]) = tokio::join!(end_all_but_one, answers);
        expect_that!(resumable, contains(eq(&End::Whole)));
        expect_that!(others, contains(eq(&End::Broken)));
    });
}
