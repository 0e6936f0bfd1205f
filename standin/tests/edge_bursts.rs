//! What callers get of requests that are sound, while endpoints crash in bursts under them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use auburnspoke::connect;
use futures_util::future::join_all;
use googletest::prelude::*;
use rand::seq::IteratorRandom as _;
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
const REPLICAS: usize = 16;
/// Callers that ask at the same time.
const CALLERS: usize = 24;
/// Each burst ends half of the replicas, which are soon back.
const BURSTS: usize = 8;
const BURST_INTERVAL: Duration = Duration::from_millis(400);
const DOWN: Duration = Duration::from_millis(300);
/// Time from the last crash until every request is served.
const RECOVERY: Duration = Duration::from_secs(12);
/// Pause of a caller before it sends a request again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        length: Duration::ZERO,
        nodes: NODES,
        replicas: REPLICAS,
        versions: 1,
        killers: 0,
        crash_parts: 0,
        faults: Faults::None,
    }
}

/// Crashes half of the replicas, and replaces them a moment later.
async fn burst(harness: &Rc<Harness>) {
    let ended: Vec<_> = {
        let mut replicas = harness.replicas.borrow_mut();
        let ids = replicas.keys().cloned();
        let ids = ids.choose_multiple(&mut *harness.random.borrow_mut(), REPLICAS / 2);
        ids.iter().filter_map(|id| replicas.remove(id)).collect()
    };
    for upstream in &ended {
        upstream.replica.crash();
    }
    sleep(Duration::from_millis(5)).await;
    for upstream in &ended {
        upstream.proxy.close();
    }
    let harness = Rc::clone(harness);
    actix_rt::spawn(async move {
        sleep(DOWN).await;
        for upstream in &ended {
            harness.store.remove("servers", &upstream.replica.id);
            harness.add_replica().await.unwrap();
        }
    });
}

/// Asks the same question until it is answered whole. Returns how it ended at last.
async fn ask_until_whole(harness: &Harness, at: usize, until: Instant) -> End {
    let path = format!("/q/{}", harness.next_number());
    let mut end = End::Broken;
    let mut node = at % NODES;
    while end != End::Whole && Instant::now() < until {
        let address = harness.caller_address(node);
        let mut conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
        let question = Question {
            path: path.clone(),
            id: format!("a{:x}", harness.next_number()),
            tokens: 800,
            repeatable: true,
        };
        end = ask(harness, node, &mut conn, question).await;
        node = (node + 1) % NODES;
        sleep(RETRY_PAUSE).await;
    }
    end
}

/// Guards against sound requests that are rejected as wrong, and stay so, because endpoints crashed
/// while they ran, as others did at the same time. Each 4xx is a violation.
#[gtest]
fn ask_bursts_of_crashes() {
    for seed in 61..64 {
        run(plan(seed), async |harness| {
            let until = Instant::now() + RECOVERY + BURST_INTERVAL * 8;
            let bursts = async {
                for _ in 0..BURSTS {
                    burst(harness).await;
                    sleep(BURST_INTERVAL).await;
                }
            };
            let asked = (0..CALLERS).map(|at| ask_until_whole(harness, at, until));
            let (ends, ()) = tokio::join!(join_all(asked), bursts);
            expect_that!(ends, each(eq(&End::Whole)), "seed {seed}");
        });
    }
}
