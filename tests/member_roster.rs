//! When the platform's list of VMs is read again.

#[path = "support/member.rs"]
mod support;

use std::time::Duration;

use auburnspoke::member::roster::Schedule;
use auburnspoke::table::Vm;
use googletest::prelude::*;

/// The interval between reads of a list that does not change.
const STEADY: Duration = Duration::from_secs(60);

fn list(count: usize) -> Vec<Vm> {
    let vm = |at| Vm {
        control: format!("127.0.0.1:{at}").into(),
        ..support::member("a").vm()
    };
    (0..count).map(vm).collect()
}

#[gtest]
fn delay_nothing_read() {
    let mut schedule = Schedule::default();
    for _ in 0..100 {
        schedule.failed();
        expect_that!(schedule.delay(false), le(Duration::from_secs(1)));
    }
}

/// Guards against a view that stays incomplete for a minute after an outage of the store.
#[gtest]
fn delay_growing_list_unread() {
    let mut schedule = Schedule::default();
    schedule.succeeded(&list(3));
    for _ in 0..100 {
        schedule.failed();
        expect_that!(schedule.delay(false), le(Duration::from_millis(1_500)));
    }
    schedule.succeeded(&list(4));
    expect_that!(schedule.delay(false), le(Duration::from_millis(1_500)));
    schedule.succeeded(&list(4));
    expect_that!(schedule.delay(false), eq(STEADY));
}

/// Guards against nodes that read the list of a store at full rate for as long as it is away.
#[gtest]
fn delay_steady_list_unread() {
    let mut schedule = Schedule::default();
    schedule.succeeded(&list(3));
    schedule.succeeded(&list(3));
    let mut last = Duration::ZERO;
    for _ in 0..100 {
        schedule.failed();
        let delay = schedule.delay(false);
        expect_that!(delay, ge(last));
        expect_that!(delay, le(STEADY));
        last = delay;
    }
    expect_that!(last, eq(STEADY));
    schedule.succeeded(&list(3));
    schedule.failed();
    expect_that!(schedule.delay(false), lt(Duration::from_secs(2)));
}

#[gtest]
fn delay_alone() {
    let mut schedule = Schedule::default();
    schedule.succeeded(&list(3));
    schedule.succeeded(&list(3));
    expect_that!(schedule.delay(true), le(Duration::from_secs(1)));
}
