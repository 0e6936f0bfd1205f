//! What callers get of streams that are resumed while endpoints of two software versions serve.

use std::time::Duration;

use auburnspoke::connect;
use futures_util::future::join_all;
use googletest::prelude::*;
use standin::site::replica::Fault;
use standin::site::script::{Cut, Style};
use standin::soak::caller::{Question, ask};
use standin::soak::check::End;
use standin::soak::fleet::Harness;
use standin::soak::resume::leave_and_resume;
use standin::soak::{Faults, Plan};

use play::run;

#[path = "support/play.rs"]
mod play;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const NODES: usize = 3;
const REPLICAS: usize = 8;
/// Streams that run at the same time.
const STREAMS: usize = 24;

fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        length: Duration::ZERO,
        nodes: NODES,
        replicas: REPLICAS,
        versions: 2,
        killers: 0,
        faults: Faults::None,
    }
}

/// Returns a request for a stream that may be resumed.
fn question(harness: &Harness) -> Question {
    let number = harness.next_number();
    Question {
        path: format!("/q/{number}"),
        id: format!("a{number:x}"),
        tokens: 200,
        repeatable: true,
    }
}

/// Guards against a node that resumes a stream at an endpoint of another software version.
#[gtest]
fn resume_within_answer() {
    run(plan(51), async |harness| {
        for upstream in harness.replicas.borrow().values() {
            upstream.replica.style.set(Style {
                framing: None,
                cut: Some(Cut::Reset),
            });
            upstream.replica.fault.set(Fault {
                break_rate: 0.4,
                ..Fault::default()
            });
        }
        let ends = (0..STREAMS).map(async |at| {
            let node = at % NODES;
            let address = harness.caller_address(node);
            let mut conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
            ask(harness, node, &mut conn, question(harness)).await
        });
        let ends = join_all(ends).await;
        println!("{ends:?}");
        let whole = ends.iter().filter(|end| **end == End::Whole).count();
        expect_that!(whole, gt(STREAMS / 2));
    });
}

/// Guards against a stream whose caller takes it up at another node, and that goes on at an endpoint
/// of another software version or not at all.
#[gtest]
fn resume_by_caller() {
    run(plan(52), async |harness| {
        let ends = (0..STREAMS).map(async |at| {
            let node = at % NODES;
            let address = harness.caller_address(node);
            let conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
            leave_and_resume(harness, node, conn, question(harness)).await
        });
        let ends: Vec<End> = join_all(ends).await.into_iter().flatten().collect();
        println!("{ends:?}");
        expect_that!(ends, not(is_empty()));
        expect_that!(ends, each(eq(&End::Whole)));
    });
}
