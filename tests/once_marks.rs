//! Idempotency marks: a request that must run at most once is never marked twice.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use auburnspoke::name::Name;
use auburnspoke::once::{Group, Key, Marks, Status, Step};
use auburnspoke::outcome::Reason;
use auburnspoke::table::fault::Command;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Fault, Table};
use futures_util::future::join_all;
use googletest::prelude::*;
use proptest::prelude::*;

use crate::fleet::{Remote, run};

#[path = "job_support/fleet.rs"]
mod fleet;

fn key(text: &str) -> Key {
    Key {
        organisation: "association".into(),
        key: text.into(),
    }
}

fn platform() -> Platform {
    Platform::in_virtual_time(auburnspoke::clock::Time::ZERO, 1)
}

fn marks(owner: &str, platform: &Platform) -> Marks<Remote> {
    Marks::new(Name::from(owner), Remote::new(platform.clone(), 1))
}

/// Runs in virtual time inside a `LocalSet`, as on an arbiter.
fn local<F>(test: F)
where
    F: Future<Output = ()>,
{
    run(async { tokio::task::LocalSet::new().run_until(test).await });
}

/// A client sends a request again through another node at the same time. With two marks the
/// request would run twice.
#[gtest]
fn mark_concurrently_on_two_nodes() {
    local(async {
        let platform = platform();
        let nodes: Vec<_> = (0..8)
            .map(|n| marks(&format!("node-{n}"), &platform))
            .collect();
        let invoice = key("invoice-7");
        let tries = nodes.iter().map(|marks| marks.mark(&invoice));
        let results = join_all(tries).await;
        expect_that!(results.iter().filter(|r| r.is_ok()).count(), eq(1));
        let refused = results.iter().filter_map(|result| result.as_ref().err());
        for refusal in refused {
            expect_that!(refusal.reason, eq(Reason::AlreadyRun));
        }
    });
}

/// The same through one node, and therefore in one transaction.
#[gtest]
fn mark_twice_in_one_group() {
    local(async {
        let marks = marks("node", &platform());
        let invoice = key("invoice-7");
        let results = join_all((0..5).map(|_| marks.mark(&invoice))).await;
        expect_that!(results.iter().filter(|r| r.is_ok()).count(), eq(1));
    });
}

/// A burst of requests must not need one transaction per mark.
#[gtest]
fn mark_groups_a_burst() {
    local(async {
        let platform = platform();
        let marks = marks("node", &platform);
        let keys: Vec<Key> = (0..200).map(|n| key(&format!("invoice-{n}"))).collect();
        let results = join_all(keys.iter().map(|key| marks.mark(key))).await;
        expect_that!(results.iter().all(Result::is_ok), eq(true));
        let counts = platform.counts();
        expect_that!(counts.writes, eq(200));
        expect_that!(counts.transactions, le(5));
    });
}

/// The key of one request of a burst was used before. The others must not be refused because of
/// it, and it must not be let through with them.
#[gtest]
fn mark_groups_a_burst_with_one_used() {
    local(async {
        let platform = platform();
        let first = marks("first", &platform);
        first
            .mark(&key("invoice-3"))
            .await
            .expect("the key is unused");
        let second = marks("second", &platform);
        let keys: Vec<Key> = (0..20).map(|n| key(&format!("invoice-{n}"))).collect();
        let results = join_all(keys.iter().map(|key| second.mark(key))).await;
        for (number, result) in results.iter().enumerate() {
            expect_that!(result.is_ok(), eq(number != 3));
        }
    });
}

/// The answer to an insertion is lost, with and without effect. If it were treated as a failure,
/// a request would be refused needlessly; if its own mark were mistaken for another one, the
/// request would be refused because of itself.
#[gtest]
fn mark_lost_answer() {
    local(async {
        for before in [false, true] {
            let platform = platform();
            let marks = marks("node", &platform);
            platform.command(&Command::Lose {
                prefix: "once/".into(),
                count: 3,
                before,
            });
            let keys: Vec<Key> = (0..5).map(|n| key(&format!("invoice-{n}"))).collect();
            let results = join_all(keys.iter().map(|key| marks.mark(key))).await;
            expect_that!(results.iter().all(Result::is_ok), eq(true));
            let again = marks.mark(&keys[0]).await;
            expect_that!(again.is_err(), eq(true));
        }
    });
}

/// The table is unavailable. A request without a mark could run twice, so it is refused as not
/// run.
#[gtest]
fn mark_during_an_outage() {
    local(async {
        let platform = platform();
        let marks = marks("node", &platform);
        platform.command(&Command::Outage {
            ms: Some(60_000),
            silent: false,
        });
        let refusal = marks
            .mark(&key("invoice"))
            .await
            .expect_err("the table is down");
        expect_that!(refusal.reason, eq(Reason::Platform));
        expect_that!(refusal.retry_after, some(gt(Duration::ZERO)));
        platform.command(&Command::Clear);
        expect_that!(marks.mark(&key("invoice")).await.is_ok(), eq(true));
    });
}

/// A request is refused before any byte of it was sent. Its caller may retry with the same key.
#[gtest]
fn unmark_allows_retry() {
    local(async {
        let platform = platform();
        let marks = marks("node", &platform);
        let invoice = key("invoice");
        let mark = marks.mark(&invoice).await.expect("the key is unused");
        marks.unmark(&mark).await.expect("the table answers");
        expect_that!(marks.mark(&invoice).await.is_ok(), eq(true));
    });
}

/// A removal is repeated because its answer was lost, after the caller has retried with the same
/// key. If it deleted the new mark, a further retry could run the request twice.
#[gtest]
fn unmark_twice() {
    local(async {
        let platform = platform();
        let first = marks("node-0", &platform);
        let second = marks("node-1", &platform);
        let invoice = key("invoice");
        let mark = first.mark(&invoice).await.expect("the key is unused");
        first.unmark(&mark).await.expect("the table answers");
        second.mark(&invoice).await.expect("the mark was removed");
        first.unmark(&mark).await.expect("the table answers");
        let third = first.mark(&invoice).await;
        expect_that!(
            third.expect_err("the key is used").reason,
            eq(Reason::AlreadyRun)
        );
    });
}

#[gtest]
fn mark_invalid_key() {
    local(async {
        let refusal = marks("node", &platform()).mark(&key("a/b")).await;
        expect_that!(
            refusal.expect_err("the key is invalid").reason,
            eq(Reason::Invalid)
        );
    });
}

/// What the table does with one transaction.
#[derive(Clone, Debug)]
enum Luck {
    Fine,
    LostAfter,
    LostBefore,
    Refused,
    /// It arrives only after the following one has been answered.
    Late,
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Two nodes insert overlapping groups while answers are lost, refused or reordered. No key
    /// may be marked for both.
    #[test]
    fn group_marks_each_key_for_one(
        luck in prop::collection::vec(prop_oneof![
            Just(Luck::Fine), Just(Luck::LostAfter), Just(Luck::LostBefore),
            Just(Luck::Refused), Just(Luck::Late),
        ], 40),
        turns in prop::collection::vec(any::<bool>(), 80),
        keys in 1usize..5,
    ) {
        let platform = Rc::new(RefCell::new(std::collections::BTreeMap::<String, String>::new()));
        let insert = |marks: &[(String, String)]| -> std::result::Result<u64, Fault> {
            let mut rows = platform.borrow_mut();
            if let Some((key, _)) = marks.iter().find(|(row, _)| rows.contains_key(row)) {
                return Err(Fault::Conflict { key: key.clone(), version: 1 });
            }
            rows.extend(marks.iter().cloned());
            Ok(1)
        };
        let rows = |owner: &str| -> Vec<(String, String)> {
            (0..keys).map(|n| (format!("once/{n}"), format!("{owner}/{n}"))).collect()
        };
        let mut groups = [Group::new(rows("a")), Group::new(rows("b"))];
        let mut late: Vec<Vec<(String, String)>> = Vec::new();
        let mut luck = luck.into_iter().cycle();
        for turn in turns.into_iter().cycle().take(300) {
            let group = &mut groups[usize::from(turn)];
            let Some(pending) = group.pending() else { continue };
            let answer = match luck.next().expect("endless") {
                Luck::Fine => insert(&pending),
                Luck::LostAfter => { let _ = insert(&pending); Err(Fault::Unknown) }
                Luck::LostBefore => Err(Fault::Unknown),
                Luck::Refused => Err(Fault::Refused { retry_after: Duration::from_secs(1) }),
                Luck::Late => { late.push(pending); Err(Fault::Unknown) }
            };
            if late.len() > 1 {
                let _ = insert(&late.remove(0));
            }
            if let Step::Read(row) = group.apply_answer(&answer) {
                let found = platform.borrow().get(&row).cloned();
                group.apply_row(&row, &Ok(found.map(Into::into)));
            }
        }
        let statuses: Vec<Vec<Status>> = groups.iter().map(|group| group.statuses().collect()).collect();
        for (number, (one, other)) in statuses[0].iter().zip(&statuses[1]).enumerate() {
            prop_assert!(
                !(*one == Status::Marked && *other == Status::Marked),
                "key {number} is marked for both nodes"
            );
        }
    }
}

/// The table's rate limit counts rows, so a mark must be a single row.
#[gtest]
fn mark_costs_one_row() {
    local(async {
        let platform = platform();
        let marks = marks("node", &platform);
        marks
            .mark(&key("invoice"))
            .await
            .expect("the key is unused");
        expect_that!(platform.counts().writes, eq(1));
        let row = Table::get(&platform, "once/association/invoice").await;
        expect_that!(row.is_ok_and(|row| row.is_some()), eq(true));
    });
}
