//! What callers get of a node that stands still for a while.

use std::time::Duration;

use auburnspoke::connect;
use futures_util::future::join_all;
use googletest::prelude::*;
use rustix::process::Signal;
use standin::site::replica::Fault;
use standin::soak::caller::{Question, ask};
use standin::soak::check::End;
use standin::soak::{Faults, Plan};
use tokio::time::sleep;

use play::run;

#[path = "support/play.rs"]
mod play;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Streams that run at the same time.
const STREAMS: usize = 12;
/// Longer than an endpoint may be silent.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Guards against a node that was paused, takes its endpoints for silent, and moves its streams to other
/// endpoints.
#[gtest]
fn answer_node_paused() {
    let plan = Plan {
        seed: 59,
        length: Duration::ZERO,
        nodes: 3,
        replicas: 6,
        versions: 1,
        killers: 0,
        crash_parts: 0,
        faults: Faults::None,
    };
    run(plan, async |harness| {
        for upstream in harness.replicas.borrow().values() {
            // A stream takes 3.2 s.
            upstream.replica.fault.set(Fault {
                slowdown: 20,
                ..Fault::default()
            });
        }
        let ask_all = join_all((0..STREAMS).map(async |_| {
            let address = harness.caller_address(0);
            let mut conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
            let question = Question::new(harness, "q", 200);
            ask(harness, 0, &mut conn, question).await
        }));
        let pause = async {
            sleep(Duration::from_millis(700)).await;
            harness.nodes[0].signal(Signal::STOP);
            sleep(PAUSE).await;
            harness.nodes[0].signal(Signal::CONT);
        };
        let (ends, ()) = tokio::join!(ask_all, pause);
        expect_that!(ends, each(eq(&End::Whole)));
        let runs: Vec<usize> = harness.history.borrow().values().map(Vec::len).collect();
        expect_that!(runs, eq(&vec![1; STREAMS]));
    });
}
