//! What callers get of streams that are resumed while endpoints of two software versions serve.

use std::rc::Rc;
use std::time::{Duration, Instant};

use auburnspoke::connect::{self, Conn};
use futures_util::future::join_all;
use googletest::prelude::*;
use rustix::process::Signal;
use standin::site::proxy::Mode;
use standin::site::replica::Fault;
use standin::site::script::{Cut, Style};
use standin::soak::caller::{Question, ask, submit_job, submit_jobs};
use standin::soak::check::{End, Job, Report};
use standin::soak::fleet::Harness;
use standin::soak::resume::{Stream, leave_and_resume, read, resume};
use standin::soak::{Faults, Plan};
use tokio::sync::Semaphore;
use tokio::time::sleep;

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
        crash_parts: 0,
        faults: Faults::None,
    }
}

/// Returns a request for a stream that may be resumed.
fn question(harness: &Harness) -> Question {
    Question::new(harness, "q", 200)
}

async fn open(harness: &Harness, node: usize) -> Conn {
    let address = harness.caller_address(node);
    connect::open(address, CONNECT_TIMEOUT).await.unwrap()
}

/// Begins a stream at a node. Its caller leaves after some events.
async fn begin(harness: &Harness, node: usize, until: Instant, events: usize) -> Stream {
    let mut stream = Stream::new(question(harness));
    let id = stream.question.id.clone();
    let conn = open(harness, node).await;
    let _ = read(harness, (node, conn), &mut stream, &id, until, events).await;
    stream
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

/// Sends requests to all nodes, whose callers leave and resume.
async fn leave_and_resume_all(harness: &Harness) -> Vec<End> {
    let ends = (0..STREAMS).map(async |at| {
        let node = at % NODES;
        let address = harness.caller_address(node);
        let conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
        leave_and_resume(harness, node, conn, question(harness)).await
    });
    let ends = join_all(ends).await.into_iter().flatten().collect();
    println!("{ends:?}");
    ends
}

/// Guards against a stream whose caller takes it up at another node, and that goes on at an endpoint
/// of another software version or not at all.
#[gtest]
fn resume_by_caller() {
    run(plan(52), async |harness| {
        let ends = leave_and_resume_all(harness).await;
        expect_that!(ends, not(is_empty()));
        expect_that!(ends, each(eq(&End::Whole)));
    });
}

/// Guards against a stream that goes nowhere because the node that began it is gone, and with it
/// what it knew.
#[gtest]
fn resume_node_killed() {
    /// Streams whose callers leave after some events. The others are cut off by the kill.
    const LEFT: usize = STREAMS * 3 / 4;
    const EVENTS: usize = 2;
    run(plan(53), async |harness| {
        let until = Instant::now() + Duration::from_secs(20);
        let has_left = Semaphore::new(0);
        let begin = (0..STREAMS).map(async |at| {
            let address = harness.caller_address(0);
            let conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
            let mut stream = Stream::new(question(harness));
            let id = stream.question.id.clone();
            let leave_after = if at < LEFT { EVENTS } else { usize::MAX };
            let _ = read(harness, (0, conn), &mut stream, &id, until, leave_after).await;
            if at < LEFT {
                has_left.add_permits(1);
            }
            stream
        });
        let kill = async {
            let all = u32::try_from(LEFT).unwrap();
            has_left.acquire_many(all).await.unwrap().forget();
            harness.nodes[0].signal(Signal::KILL);
        };
        let (streams, ()) = tokio::join!(join_all(begin), kill);
        let begun = streams.into_iter().filter(|it| it.origin.is_some());
        let ends = join_all(begun.map(|stream| resume(harness, stream, until))).await;
        println!("{ends:?}");
        expect_that!(ends.len(), gt(STREAMS / 2));
        expect_that!(ends, each(eq(&End::Whole)));
    });
}

/// Guards against a caller that waits for a version that is gone, and against a stream that goes on
/// at another one then.
#[gtest]
fn resume_version_gone() {
    /// Time until every node knows a change of an entry.
    const KNOWN: Duration = Duration::from_secs(2);
    /// Longest time for a refusal.
    const REFUSAL: Duration = Duration::from_millis(300);
    run(plan(54), async |harness| {
        let mut streams: Vec<Stream> = (0..STREAMS)
            .map(|_| Stream::new(question(harness)))
            .collect();
        let until = Instant::now() + Duration::from_secs(20);
        let begin = streams.iter_mut().enumerate().map(async |(at, stream)| {
            let node = at % NODES;
            let address = harness.caller_address(node);
            let conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
            let id = stream.question.id.clone();
            read(harness, (node, conn), stream, &id, until, 3).await
        });
        join_all(begin).await;
        for upstream in harness.replicas.borrow().values() {
            if upstream.replica.software == "v1" {
                harness.write_replica(upstream, "draining");
            }
        }
        sleep(KNOWN).await;
        let mut ends = Vec::new();
        for (at, mut stream) in streams.into_iter().enumerate() {
            let node = at % NODES;
            let address = harness.caller_address(node);
            let conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
            let id = format!("r{at}");
            let began = Instant::now();
            let began_at_v1 = stream.text.contains("@v1");
            let end = read(harness, (node, conn), &mut stream, &id, until, usize::MAX).await;
            let end = end.unwrap();
            if began_at_v1 {
                expect_that!(end, eq(End::Refused));
                expect_that!(began.elapsed(), lt(REFUSAL));
            } else {
                expect_that!(end, eq(End::Whole));
            }
            ends.push(end);
        }
        println!("{ends:?}");
        expect_that!(ends, contains(eq(&End::Whole)));
        expect_that!(ends, contains(eq(&End::Refused)));
    });
}

/// Guards against an item of a batch job that is resumed at an endpoint of another software version,
/// or never ends because its version is gone.
#[gtest]
fn resume_items() {
    /// Time for which jobs are submitted, before and after one version is gone.
    const SUBMITTED: Duration = Duration::from_secs(3);
    run(plan(56), async |harness| {
        for upstream in harness.replicas.borrow().values() {
            upstream.replica.fault.set(Fault {
                break_rate: 0.3,
                ..Fault::default()
            });
        }
        let submitters: Vec<_> = (0..3)
            .map(|_| actix_rt::spawn(submit_jobs(Rc::clone(harness))))
            .collect();
        sleep(SUBMITTED).await;
        for upstream in harness.replicas.borrow().values() {
            if upstream.replica.software == "v1" {
                harness.write_replica(upstream, "draining");
            }
        }
        sleep(SUBMITTED).await;
        harness.sending.set(false);
        for submitter in submitters {
            submitter.await.unwrap();
        }
        let jobs = harness.jobs.borrow();
        let jobs: Vec<Job> = jobs.iter().map(|job| job.borrow().clone()).collect();
        let mut report = Report::default();
        report.check_jobs(&jobs, &harness.history);
        println!("{report}");
        expect_that!(report.items, gt(0));
        expect_that!(report.violations, is_empty());
    });
}

/// Guards against a version that is guessed: for a stream that nobody began, or whose caller does
/// not say who did.
#[gtest]
fn resume_origin_unknown() {
    run(plan(55), async |harness| {
        let until = Instant::now() + Duration::from_secs(20);
        for origin in [Some("nobody".to_owned()), None] {
            for node in 0..NODES {
                let mut stream = Stream::new(question(harness));
                let id = stream.question.id.clone();
                stream.origin.clone_from(&origin);
                stream.text = format!("id: 1\ndata: {}#1@v1\n\n", stream.question.path);
                let address = harness.caller_address(node);
                let conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
                let end = read(harness, (node, conn), &mut stream, &id, until, usize::MAX).await;
                expect_that!(end, some(eq(End::Refused)));
            }
        }
    });
}

/// How a node gets out of step with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lapse {
    /// It stands still.
    Paused,
    /// The store does not answer it.
    CutOff,
    /// Neither the store nor another node answers it.
    Alone,
}

/// Guards against a node that was out of step while endpoints of a new software version joined: a
/// stream that began at one of them through another node goes on at the version that the node knows.
#[gtest]
fn resume_node_out_of_step() {
    const EVENTS: usize = 2;
    let plan = Plan {
        replicas: 2,
        versions: 1,
        ..plan(57)
    };
    // When other members tell a node that is cut off depends on the phase of its feed.
    for lapse in [
        Lapse::Paused,
        Lapse::CutOff,
        Lapse::CutOff,
        Lapse::CutOff,
        Lapse::Alone,
    ] {
        run(plan, async |harness| {
            let until = Instant::now() + Duration::from_secs(20);
            let kept = join_all((0..STREAMS).map(|_| open(harness, 0))).await;
            match lapse {
                Lapse::Paused => harness.nodes[0].signal(Signal::STOP),
                Lapse::CutOff | Lapse::Alone => harness.nodes[0].store.set(Mode::Silent),
            }
            for _ in 0..4 {
                harness.add_replica_of("v2").await.unwrap();
            }
            // The other nodes know them, and no member has told node 0.
            sleep(Duration::from_millis(700)).await;
            let begin = (0..STREAMS).map(async |at| {
                let mut stream = begin(harness, 1, until, EVENTS).await;
                // Half of the callers don't say who began their streams.
                stream.origin = stream.origin.filter(|_| at % 2 == 0);
                stream
            });
            let streams = join_all(begin).await;
            let others = &harness.nodes[1..];
            if lapse == Lapse::Alone {
                for node in others {
                    node.signal(Signal::STOP);
                }
            }
            let resume = streams
                .into_iter()
                .zip(kept)
                .map(async |(mut stream, conn)| {
                    let id = format!("r{:x}", harness.next_number());
                    read(harness, (0, conn), &mut stream, &id, until, usize::MAX).await
                });
            let wake = async {
                sleep(Duration::from_millis(50)).await;
                harness.nodes[0].signal(Signal::CONT);
            };
            // A stream of two versions is a violation.
            let (ends, ()) = tokio::join!(join_all(resume), wake);
            for node in others {
                node.signal(Signal::CONT);
            }
            println!("{lapse:?} {ends:?}");
            expect_that!(ends, not(contains(none())), "{lapse:?}");
        });
    }
}

/// Guards against a stream that goes on at an endpoint that started again under its id with another
/// software version, while its entry still names the version before.
#[gtest]
fn resume_endpoint_started_again() {
    const EVENTS: usize = 2;
    /// Slots of the two endpoints that stay.
    const SLOTS: usize = 8;
    let plan = Plan {
        replicas: 3,
        versions: 1,
        ..plan(60)
    };
    run(plan, async |harness| {
        let until = Instant::now() + Duration::from_secs(20);
        let streams = join_all((0..SLOTS).map(|_| begin(harness, 1, until, EVENTS))).await;
        let restarted = harness.replicas.borrow().keys().next().cloned().unwrap();
        harness.restart_replica(&restarted, "v2").await.unwrap();
        let resume = streams.into_iter().map(async |mut stream| {
            let id = format!("r{:x}", harness.next_number());
            let conn = open(harness, 0).await;
            read(harness, (0, conn), &mut stream, &id, until, usize::MAX).await
        });
        // A stream of two versions is a violation.
        let ends = join_all(resume).await;
        println!("{ends:?}");
        expect_that!(ends, each(some(eq(&End::Whole))));
    });
}

/// Guards against the same for an item of a batch job.
#[gtest]
fn resume_items_started_again() {
    /// Items that run at the same time. An endpoint that breaks off more of them at once is left out.
    const ITEMS: usize = 4;
    let plan = Plan {
        replicas: 2,
        versions: 1,
        ..plan(61)
    };
    run(plan, async |harness| {
        for upstream in harness.replicas.borrow().values() {
            // No item ends before the endpoint starts again.
            upstream.replica.fault.set(Fault {
                slowdown: 10,
                ..Fault::default()
            });
        }
        let paths = (0..ITEMS).map(|at| format!("/n/item/{at}")).collect();
        let submit = submit_job(harness, paths, false);
        let restart = async {
            sleep(Duration::from_secs(1)).await;
            let restarted = harness.replicas.borrow().keys().next().cloned().unwrap();
            harness.restart_replica(&restarted, "v2").await.unwrap();
            sleep(Duration::from_secs(2)).await;
            harness.write_replica(&harness.replicas.borrow()[&restarted], "ready");
        };
        tokio::join!(submit, restart);
        let jobs = harness.jobs.borrow();
        let jobs: Vec<Job> = jobs.iter().map(|job| job.borrow().clone()).collect();
        let mut report = Report::default();
        report.check_jobs(&jobs, &harness.history);
        println!("{report}");
        expect_that!(report.items, eq(ITEMS));
        expect_that!(report.violations, is_empty());
    });
}
