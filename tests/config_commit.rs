//! Committing changes: races, lost answers, outages, and the number of
//! operations.

use auburnspoke::config::commit::{Announce, Error, Reach};
use auburnspoke::config::operator::{Operator, Stamp};
use auburnspoke::config::row;
use auburnspoke::outcome::{Outcome, Reason};
use auburnspoke::rpc::v1;
use auburnspoke::table::fault::Command;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Table as _, Transaction};
use googletest::prelude::*;

/// Every node acknowledges.
#[derive(Clone, Copy)]
struct AllAcknowledge;

impl Announce for AllAcknowledge {
    async fn announce(&self, _version: u64) -> Reach {
        Reach {
            acknowledged: 3,
            total: 3,
        }
    }
}

/// Two of five nodes acknowledge, including the announcing one.
struct TooFewAcknowledge;

impl Announce for TooFewAcknowledge {
    async fn announce(&self, _version: u64) -> Reach {
        Reach {
            acknowledged: 2,
            total: 5,
        }
    }
}

fn run<F>(future: F) -> F::Output
where
    F: Future,
{
    actix_rt::System::new().block_on(future)
}

fn operator(platform: &Platform) -> Operator<Platform, AllAcknowledge> {
    Operator::new(platform.clone(), AllAcknowledge)
}

const fn stamp(id: u64) -> Stamp {
    Stamp { id, at_ms: 1 }
}

fn service(name: &str) -> v1::Service {
    v1::Service {
        name: name.into(),
        kind: v1::ServiceKind::Plain.into(),
        ..Default::default()
    }
}

fn apply(expect: u64, services: &[&str]) -> v1::ApplyConfigRequest {
    v1::ApplyConfigRequest {
        expect_version: expect,
        config: Some(v1::Config {
            services: services.iter().map(|name| service(name)).collect(),
            ..Default::default()
        }),
        author: "ann".into(),
        note: "because".into(),
        dry_run: false,
    }
}

fn edit(name: &str) -> v1::ApplyServiceRequest {
    v1::ApplyServiceRequest {
        service: Some(service(name)),
        author: "bob".into(),
        ..Default::default()
    }
}

fn lose(before: bool) -> Command {
    Command::Lose {
        prefix: "config/".into(),
        count: 1,
        before,
    }
}

#[gtest]
fn apply_dry_run() {
    run(async {
        let platform = Platform::new(1);
        let request = v1::ApplyConfigRequest {
            dry_run: true,
            ..apply(0, &["a"])
        };
        let accepted = operator(&platform).apply(stamp(1), request).await.unwrap();
        expect_that!(accepted.diff, elements_are![eq("+ service a")]);
        expect_that!(platform.counts().writes, eq(0));
    });
}

#[gtest]
fn apply_racing() {
    // Two operators edit the same version. Without the comparison, the second
    // change would silently overwrite the first one.
    run(async {
        let platform = Platform::new(1);
        let operator = operator(&platform);
        let first = operator.apply(stamp(1), apply(0, &["a"])).await.unwrap();
        expect_that!(first.document.version, eq(1));
        let second = operator.apply(stamp(2), apply(0, &["b"])).await;
        expect_that!(second, eq(&Err(Error::Conflict { current: 1 })));
        expect_that!(operator.get().await.unwrap(), eq(&first.document));
    });
}

/// Commits another operator's change between the check and the commit.
struct Concurrent(Platform);

impl Announce for Concurrent {
    async fn announce(&self, _version: u64) -> Reach {
        let rival = operator(&self.0);
        rival.apply_service(stamp(99), edit("rival")).await.unwrap();
        Reach {
            acknowledged: 1,
            total: 1,
        }
    }
}

#[gtest]
fn apply_concurrent_commit() {
    // Another operator's change is committed after this one was compared and
    // before it is written; the answer must contain the version that won.
    run(async {
        let platform = Platform::new(1);
        let slow = Operator::new(platform.clone(), Concurrent(platform.clone()));
        let lost = slow.apply(stamp(1), apply(0, &["a"])).await;
        expect_that!(lost, eq(&Err(Error::Conflict { current: 1 })));
        let document = operator(&platform).get().await.unwrap();
        expect_that!(document.services.contains_key("rival"), eq(true));
    });
}

#[gtest]
fn apply_answer_lost_after() {
    // The change is committed and the answer is lost. An operator who gets a
    // failure would repeat or revert the change.
    run(async {
        let platform = Platform::new(1);
        platform.command(&lose(false));
        let operator = operator(&platform);
        let accepted = operator.apply(stamp(1), apply(0, &["a"])).await.unwrap();
        expect_that!(accepted.document.version, eq(1));
        let history = operator.history(0).await.unwrap();
        expect_that!(history.changes.len(), eq(1));
    });
}

#[gtest]
fn apply_answer_lost_before() {
    run(async {
        let platform = Platform::new(1);
        platform.command(&lose(true));
        let accepted = operator(&platform).apply(stamp(1), apply(0, &["a"])).await;
        expect_that!(accepted.unwrap().document.version, eq(1));
        expect_that!(operator(&platform).get().await.unwrap().version, eq(1));
    });
}

#[gtest]
fn apply_outcome_unknown() {
    // Every answer is lost. The operator must learn that the change may have been
    // accepted, never that it was not.
    run(async {
        let platform = Platform::new(1);
        platform.command(&Command::LoseSome {
            probability: 1.0,
            before: 1.0,
        });
        let unknown = operator(&platform).apply(stamp(1), apply(0, &["a"])).await;
        expect_that!(unknown, eq(&Err(Error::Unknown)));
        let outcome: Outcome<()> = unknown.unwrap_err().into_outcome();
        expect_that!(outcome.is_not_run(), eq(false));
    });
}

#[gtest]
fn apply_outage() {
    run(async {
        let platform = Platform::new(1);
        platform.command(&Command::Outage {
            ms: None,
            silent: false,
        });
        let refused = operator(&platform).apply(stamp(1), apply(0, &["a"])).await;
        let outcome: Outcome<()> = refused.unwrap_err().into_outcome();
        expect_that!(
            outcome,
            pat!(Outcome::NotRun(pat!(auburnspoke::outcome::Refusal {
                reason: eq(&Reason::Platform),
                retry_after: some(anything()),
                ..
            })))
        );
    });
}

#[gtest]
fn apply_isolated() {
    // A node on the smaller side of a partition still reaches the table. If it
    // accepted a change, the larger side would continue without it.
    run(async {
        let platform = Platform::new(1);
        let operator = Operator::new(platform.clone(), TooFewAcknowledge);
        let refused = operator.apply(stamp(1), apply(0, &["a"])).await;
        expect_that!(refused, eq(&Err(Error::Isolated)));
        expect_that!(platform.counts().writes, eq(0));
    });
}

#[gtest]
fn merge_concurrent() {
    // Five operators each add a service at the same time. All changes were
    // accepted, so all must be in the document.
    run(async {
        let platform = Platform::new(1);
        platform.command(&Command::Slow {
            ms: 2,
            jitter_ms: 5,
        });
        let names = ["a", "b", "c", "d", "e"];
        let edits = names.iter().zip(1..).map(|(name, id)| {
            let operator = operator(&platform);
            async move { operator.apply_service(stamp(id), edit(name)).await }
        });
        for accepted in futures_util::future::join_all(edits).await {
            expect_that!(accepted, ok(anything()));
        }
        let document = operator(&platform).get().await.unwrap();
        expect_that!(document.services.len(), eq(5));
        expect_that!(document.version, eq(5));
    });
}

#[gtest]
fn remove_endpoint_unknown() {
    run(async {
        let platform = Platform::new(1);
        let request = v1::RemoveEndpointRequest {
            name: "e9".into(),
            ..Default::default()
        };
        let refused = operator(&platform).remove_endpoint(stamp(1), request).await;
        expect_that!(refused, err(pat!(Error::Invalid(len(eq(1))))));
        expect_that!(platform.counts().writes, eq(0));
    });
}

#[gtest]
fn history_newest_first() {
    run(async {
        let platform = Platform::new(1);
        let operator = operator(&platform);
        for (id, name) in [(1, "a"), (2, "b"), (3, "c")] {
            operator.apply_service(stamp(id), edit(name)).await.unwrap();
        }
        let history = operator.history(2).await.unwrap();
        let versions: Vec<u64> = history
            .changes
            .iter()
            .map(|change| change.version)
            .collect();
        expect_that!(versions, eq(&[3, 2]));
        expect_that!(history.changes[0].author, eq("bob"));
        expect_that!(history.changes[0].diff, elements_are![eq("+ service c")]);
    });
}

#[gtest]
fn apply_operations() {
    // The bound that docs/design/config.md sums up: a change costs two reads and
    // three writes, and four once old history is removed.
    run(async {
        let platform = Platform::new(1);
        let operator = operator(&platform);
        operator.apply(stamp(1), apply(0, &["a"])).await.unwrap();
        let before = platform.counts();
        operator.apply(stamp(2), apply(1, &["b"])).await.unwrap();
        let after = platform.counts();
        expect_that!(after.reads - before.reads, eq(2));
        expect_that!(after.writes - before.writes, eq(3));
    });
}

#[gtest]
fn apply_removes_old_history() {
    run(async {
        let platform = Platform::new(1);
        let operator = operator(&platform);
        operator.apply(stamp(1), apply(0, &["a"])).await.unwrap();
        let mut document = operator.get().await.unwrap();
        document.version = row::MAX_HISTORY_ROWS;
        let pointer = row::Pointer {
            version: document.version,
            change: 1,
        };
        let forward = Transaction::default()
            .put(row::POINTER_KEY, row::encode(&pointer))
            .put(row::DOCUMENT_KEY, row::encode(&document));
        platform.transact(forward).await.unwrap();
        let expect = document.version;
        operator
            .apply(stamp(2), apply(expect, &["b"]))
            .await
            .unwrap();
        let history = operator.history(0).await.unwrap();
        expect_that!(history.changes.len(), eq(1));
        expect_that!(history.changes[0].version, eq(expect + 1));
    });
}
