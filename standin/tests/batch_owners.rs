//! Tests batch jobs whose owner changes or loses the store, with the batch parts of several nodes
//! in one process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NODES};
use googletest::prelude::*;
use hyper::StatusCode;
use standin::site::store::Degradation;
use tokio::time::{sleep, timeout};

/// Runs that may fail before an item is given up.
const ATTEMPTS: u32 = 4;

#[gtest]
fn owner_changes_item_fails() {
    // An item fails at every run, and its job moves to another owner after each failure, because
    // the owner is stopped. If each owner counted failures from zero, the item would run without
    // end, hold slots that online requests wait for, and its job would never end.
    let runs = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.submit("/n/fails").await;
        let mut seen = 0;
        for at in 0..NODES {
            fleet.serve(at);
            let more = fleet.wait_runs(seen + 1, Duration::from_secs(3)).await;
            if !more {
                break;
            }
            seen = fleet.runs();
            fleet.leave(at);
        }
        fleet.runs()
    });
    expect_that!(runs, eq(usize::try_from(ATTEMPTS).unwrap()));
}

/// Guards against a node that takes over the jobs of every owner that it has not met yet, which
/// aborts their runs while a large fleet starts.
#[gtest]
fn claim_owner_unknown() {
    let runs = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.slow_down(180);
        fleet.submit("/n/works").await;
        fleet.serve(1);
        sleep(Duration::from_secs(3)).await;
        fleet.runs()
    });
    expect_that!(runs, eq(1));
}

/// Guards against a node that takes over the job of one that has just joined, before it has heard
/// of it.
#[gtest]
fn claim_owner_joining() {
    let runs = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start_with(ATTEMPTS, true).await;
        fleet.slow_down(180);
        fleet.submit("/n/works").await;
        fleet.serve(1);
        sleep(Duration::from_secs(2)).await;
        fleet.runs()
    });
    expect_that!(runs, eq(1));
}

#[gtest]
fn submit_store_silent() {
    // A job is submitted to a node that has had no response from the store for seconds. The node
    // must refuse the job at once. If it tried to write the job first, the caller would wait half a
    // second or more before it tries another node.
    let (status, writes) = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        let silent = Degradation {
            delay: Duration::from_secs(60),
            ..Degradation::default()
        };
        fleet.store.degradations.borrow_mut().insert(0, silent);
        sleep(Duration::from_secs(4)).await;
        let before = fleet.store.writes.get();
        let status = fleet.try_submit("/n/works").await;
        (status, fleet.store.writes.get() - before)
    });
    expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(writes, eq(0));
}

#[gtest]
fn submit_store_back() {
    // Once the store answers again, the node must accept the next job at once. It must not need a
    // refused job to detect that the store is back.
    let status = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        let refuse = Degradation {
            refuse: true,
            ..Degradation::default()
        };
        fleet.store.degradations.borrow_mut().insert(0, refuse);
        sleep(Duration::from_secs(4)).await;
        fleet.store.degradations.borrow_mut().remove(&0);
        sleep(Duration::from_secs(2)).await;
        fleet.try_submit("/n/works").await
    });
    expect_that!(status, eq(StatusCode::ACCEPTED));
}

/// Factor at which an endpoint sends no event before its gateway gives the run up.
const SILENT: u32 = 1_000;
/// How long the process stands still. By then, items of a job that was ended at its beginning must
/// not start any more.
const PAUSE: Duration = Duration::from_secs(4);

/// Guards against an owner that was paused and starts the items of a job that its caller has ended
/// meanwhile, because its copy of the jobs is from before the pause. An answer of the store that
/// was sent then must not count as news.
#[gtest]
fn pause_job_ended() {
    let runs = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.slow_down(SILENT);
        fleet.submit("/n/works").await;
        fleet.wait_runs(1, Duration::from_secs(1)).await;
        fleet.hold_feeds(true);
        std::thread::sleep(PAUSE);
        fleet.end();
        sleep(Duration::from_millis(1_500)).await;
        fleet.hold_feeds(false);
        sleep(Duration::from_secs(3)).await;
        fleet.runs()
    });
    expect_that!(runs, eq(1));
}

/// Guards against a node that was paused once and never runs items again, because the store does
/// not answer it.
#[gtest]
fn pause_store_silent() {
    let runs = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.slow_down(SILENT);
        fleet.submit("/n/works").await;
        fleet.wait_runs(1, Duration::from_secs(1)).await;
        fleet.hold_feeds(true);
        std::thread::sleep(PAUSE);
        let before = fleet.runs();
        fleet.wait_runs(before + 1, Duration::from_secs(6)).await;
        fleet.runs() - before
    });
    expect_that!(runs, ge(1));
}

/// Guards against a node that stops its batch work whenever the store is silent, without a pause.
#[gtest]
fn run_store_silent() {
    let runs = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.slow_down(SILENT);
        fleet.submit("/n/works").await;
        fleet.hold_feeds(true);
        sleep(Duration::from_secs(4)).await;
        let before = fleet.runs();
        fleet.wait_runs(before + 1, Duration::from_secs(3)).await;
        fleet.runs() - before
    });
    expect_that!(runs, ge(1));
}

/// Guards against a leaving node that accepts a job and keeps it: nobody runs the job, and it holds
/// the exit until the limit.
#[gtest]
fn submit_leaving() {
    actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.serve(1);
        fleet.serve(0);
        fleet.leave(0);
        sleep(Duration::from_millis(500)).await;
        let status = fleet.submit_anyway("/n/works").await;
        expect_that!(status, eq(StatusCode::ACCEPTED));
        expect_that!(fleet.wait_runs(1, Duration::from_secs(3)).await, eq(true));
        expect_that!(fleet.owned(0), eq(0));
    });
}

/// Guards against the same for a job whose registration is under way when the node begins to
/// leave.
#[gtest]
fn submit_before_leaving() {
    actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.serve(1);
        let slow = Degradation {
            delay: Duration::from_millis(300),
            ..Degradation::default()
        };
        fleet.store.degradations.borrow_mut().insert(0, slow);
        // The second of its two calls to the store is under way when the node leaves.
        let leave = async {
            sleep(Duration::from_millis(350)).await;
            fleet.leave(0);
        };
        let (status, ()) = tokio::join!(fleet.try_submit("/n/works"), leave);
        expect_that!(status, eq(StatusCode::ACCEPTED));
        expect_that!(fleet.wait_runs(1, Duration::from_secs(4)).await, eq(true));
        expect_that!(fleet.owned(0), eq(0));
    });
}

/// Guards against results that are never listed: those that ended while the store was away are
/// written in one transaction, which is larger than the store accepts, again and again.
#[gtest]
fn commit_more_than_store_accepts() {
    // Two events each, which fit into a row. All of them take 1.4 MB.
    const ITEMS: usize = 24;
    let path = format!("/n/{}", "x".repeat(22_000));
    let ids: Vec<String> = (0..ITEMS).map(|at| format!("item-{at}")).collect();
    let (before, after) = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.serve(0);
        let status = fleet.submit_items(&ids, &path, fleet::TOKENS).await;
        assert_eq!(status, StatusCode::ACCEPTED);
        let refuse = Degradation {
            refuse: true,
            ..Degradation::default()
        };
        fleet.store.degradations.borrow_mut().insert(0, refuse);
        let all_ended = async {
            while fleet.ended_items() < ITEMS {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(20), all_ended).await.unwrap();
        let before = fleet.stored_results();
        fleet.store.degradations.borrow_mut().remove(&0);
        let all_stored = async {
            while fleet.stored_results() < ITEMS {
                sleep(Duration::from_millis(5)).await;
            }
        };
        // Each attempt takes 0.2 s.
        let _ = timeout(Duration::from_secs(10), all_stored).await;
        (before, fleet.stored_results())
    });
    expect_that!(before, lt(ITEMS));
    expect_that!(after, eq(ITEMS));
}

/// Guards against a result that is listed with a part of its output: the store sends the object that
/// holds it without a length, and its connection closes midway.
#[gtest]
fn read_object_cut_off() {
    // The two events of the output do not fit into a row.
    let path = format!("/n/{}", "x".repeat(40_000));
    let answers = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.submit(&path).await;
        let wait = Duration::from_secs(5);
        let stored = fleet.read(0, wait).await;
        let degradation = Degradation {
            cut_objects: true,
            ..Degradation::default()
        };
        fleet.store.degradations.borrow_mut().insert(1, degradation);
        fleet.serve(1);
        let cut = fleet.read(1, wait).await;
        fleet.store.degradations.borrow_mut().clear();
        let whole = fleet.read(1, wait).await;
        [stored, cut, whole]
    });
    let [stored, cut, whole] = answers;
    expect_that!(stored.body().len(), gt(80_000));
    expect_that!(cut.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(whole.body(), eq(stored.body()));
}
