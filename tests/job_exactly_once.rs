//! Every item gets exactly one result, whatever fails.

use std::time::Duration;

use auburnspoke::job::{End, State};
use auburnspoke::table::fault::Command;
use googletest::prelude::*;
use proptest::prelude::*;

use crate::fleet::{Fleet, assert_whole, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

/// A failure injected by the random test.
#[derive(Clone, Debug)]
enum Failure {
    Kill(usize),
    Stop(usize),
    Freeze(usize, u64),
    Outage {
        ms: u64,
        silent: bool,
    },
    Lose {
        probability: f64,
        before: f64,
        ms: u64,
    },
}

fn failure() -> impl Strategy<Value = (u64, Failure)> {
    let which = prop_oneof![
        3 => (0usize..8).prop_map(Failure::Kill),
        1 => (0usize..8).prop_map(Failure::Stop),
        3 => (0usize..8, 10u64..90_000).prop_map(|(node, ms)| Failure::Freeze(node, ms)),
        1 => (10u64..90_000, any::<bool>())
            .prop_map(|(ms, silent)| Failure::Outage { ms, silent }),
        2 => (0.05f64..0.7, 0.0f64..1.0, 10u64..60_000)
            .prop_map(|(probability, before, ms)| Failure::Lose { probability, before, ms }),
    ];
    (0u64..20_000, which)
}

impl Fleet {
    /// Injects a failure, and replaces lost VMs.
    async fn inject(&mut self, failure: &Failure) {
        let nodes: Vec<usize> = self.nodes.keys().copied().collect();
        let pick = |at: usize| nodes[at % nodes.len()];
        match failure {
            Failure::Kill(at) => {
                self.kill(pick(*at));
                self.add();
            }
            Failure::Stop(at) => {
                self.stop(pick(*at));
                self.add();
            }
            Failure::Freeze(at, ms) => {
                let node = pick(*at);
                self.freeze(node, true);
                self.pass(Duration::from_millis(*ms)).await;
                self.freeze(node, false);
            }
            Failure::Outage { ms, silent } => self.command(&Command::Outage {
                ms: Some(*ms),
                silent: *silent,
            }),
            Failure::Lose {
                probability,
                before,
                ms,
            } => {
                self.command(&Command::LoseSome {
                    probability: *probability,
                    before: *before,
                });
                self.pass(Duration::from_millis(*ms)).await;
                self.command(&Command::LoseSome {
                    probability: 0.0,
                    before: 0.0,
                });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// VMs are lost, stopped and paused past their leases, and the platform fails and loses
    /// answers, in any order and combination. No item may be without a result, and no result may
    /// change after it was read.
    #[test]
    fn job_completes_under_random_failures(
        seed in any::<u64>(),
        failures in prop::collection::vec(failure(), 1..8),
        count in 1u32..700,
        once in any::<bool>(),
    ) {
        run(async {
            let mut fleet = Fleet::with(seed, 3, Duration::from_secs(1));
            let mut wanted = submission("menu", items(count));
            wanted.once = once;
            let id = fleet.submit(&wanted).await;
            for (wait, failure) in &failures {
                fleet.pass(Duration::from_millis(*wait)).await;
                fleet.inject(failure).await;
                fleet.read(&id).await;
            }
            fleet.add();
            assert_eq!(fleet.finish(&id).await, State::Ended);
            let replies = fleet.read(&id).await;
            assert_whole(&replies, count);
            if once {
                for reply in &replies {
                    let runs = fleet.world.borrow().runs_of(&format!("{id}/{}", reply.number));
                    assert!(runs <= 1, "item {} ran {runs} times", reply.number);
                    assert!(reply.end != End::Done || runs == 1);
                }
            } else {
                assert!(replies.iter().all(|reply| reply.end == End::Done));
            }
            // Delayed and resumed holders must not change anything.
            fleet.pass(Duration::from_secs(300)).await;
            fleet.read(&id).await;
        });
    }
}

/// A VM is lost at any moment of a chunk's life: while it claims, sends, flushes, commits, or just
/// after. Losses are tried every 1.5 ms over the first seconds, so that every answer of the
/// platform is lost once.
#[gtest]
fn kill_at_each_step() {
    run(async {
        for step in 0..400u64 {
            let mut fleet = Fleet::with(step, 1, Duration::from_millis(20));
            fleet.setting.flush_interval = Duration::from_millis(100);
            let node = fleet.add();
            fleet.kill(0);
            let id = fleet.submit(&submission("menu", items(30))).await;
            fleet.pass(Duration::from_micros(step * 1_500)).await;
            fleet.read(&id).await;
            fleet.kill(node);
            fleet.add();
            assert_eq!(fleet.finish(&id).await, State::Ended);
            let replies = fleet.read(&id).await;
            assert_whole(&replies, 30);
            assert!(replies.iter().all(|reply| reply.end == End::Done));
        }
    });
}

/// A holder is paused past its lease, another finishes its chunk, and then the first resumes with
/// its own results. If it could still commit, results that were read would change.
#[gtest]
fn freeze_past_the_lease() {
    run(async {
        for step in 0..60u64 {
            let mut fleet = Fleet::with(step, 1, Duration::from_millis(500));
            let id = fleet.submit(&submission("menu", items(60))).await;
            fleet.pass(Duration::from_millis(step * 83)).await;
            fleet.freeze(0, true);
            fleet.add();
            assert_eq!(fleet.finish(&id).await, State::Ended);
            assert_whole(&fleet.read(&id).await, 60);
            fleet.freeze(0, false);
            fleet.pass(Duration::from_secs(120)).await;
            assert_whole(&fleet.read(&id).await, 60);
            let held = fleet.nodes[&0].running.get();
            assert_eq!(
                held, 0,
                "the thawed node still runs items of a chunk it lost"
            );
        }
    });
}

/// As above, but the holder resumes while other chunks of the lane are open, so the lane's row
/// still exists. Its commit must be refused because of its epoch.
#[gtest]
fn freeze_and_thaw_before_the_job_ends() {
    run(async {
        for step in 0..8u64 {
            let mut fleet = Fleet::with(step, 1, Duration::from_millis(500));
            let id = fleet.submit(&submission("menu", items(128 * 24))).await;
            fleet
                .until(|fleet| fleet.world.borrow().runs.len() >= 120)
                .await;
            fleet.pass(Duration::from_millis(step * 13)).await;
            fleet.freeze(0, true);
            let other = fleet.add();
            fleet
                .until(|fleet| {
                    let stats = fleet.nodes[&other].stats.get();
                    stats.taken_over >= 1 && stats.committed >= 1
                })
                .await;
            fleet.read(&id).await;
            fleet.freeze(0, false);
            fleet.pass(Duration::from_secs(60)).await;
            fleet.read(&id).await;
            assert_eq!(fleet.finish(&id).await, State::Ended);
            assert_whole(&fleet.read(&id).await, 128 * 24);
        }
    });
}

/// The answer to a claim is lost, and an outage begins before the node can read the row back. The
/// row names this node as the holder, but the node does not run the chunk. Since it is alive and
/// renews its lease, no other node would ever take the chunk over.
#[gtest]
fn lost_answer_and_outage_at_once() {
    run(async {
        for prefix in ["open/", "lane/", "session/", "replies/", "log/"] {
            let mut fleet = Fleet::with(15, 0, Duration::from_millis(700));
            let id = fleet.submit(&submission("menu", items(300))).await;
            fleet.command(&Command::Lose {
                prefix: prefix.into(),
                count: 1,
                before: false,
            });
            fleet.add();
            // Checked often, so that the outage begins before the row can be read back.
            for _ in 0..60_000 {
                if fleet.platform.counts().lost > 0 {
                    break;
                }
                fleet.pass(Duration::from_millis(1)).await;
            }
            assert_eq!(fleet.platform.counts().lost, 1, "for {prefix}");
            fleet.command(&Command::Outage {
                ms: Some(120_000),
                silent: false,
            });
            assert_eq!(fleet.finish(&id).await, State::Ended);
            assert_whole(&fleet.read(&id).await, 300);
            assert_eq!(fleet.world.borrow().runs.len(), 300, "after {prefix}");
        }
    });
}

/// The platform is down for an hour while chunks are held. Holders continue, and commit when the
/// platform is back. If nodes took the outage for the death of all others, they would repeat their
/// work and double the load.
#[gtest]
fn outage_with_chunks_held() {
    run(async {
        for silent in [false, true] {
            let mut fleet = Fleet::new(11, 4);
            let id = fleet.submit(&submission("menu", items(2_048))).await;
            fleet.until(|fleet| fleet.claimed() >= 4).await;
            fleet.command(&Command::Outage {
                ms: Some(3_600_000),
                silent,
            });
            fleet.pass(Duration::from_secs(600)).await;
            let during = fleet.world.borrow().runs.len();
            expect_that!(during, ge(4 * 128));
            expect_that!(fleet.state(&id).await, none());
            fleet.pass(Duration::from_secs(3_100)).await;
            assert_eq!(fleet.finish(&id).await, State::Ended);
            assert_whole(&fleet.read(&id).await, 2_048);
            expect_that!(fleet.world.borrow().runs.len(), eq(2_048));
        }
    });
}

/// Each kind of write loses its answer three times in a row, with and without having taken effect.
/// If that counted as a failure, a commit would be repeated by another node; if it counted as a
/// success, items would be missing.
#[gtest]
fn lost_answers_on_every_kind_of_write() {
    run(async {
        let prefixes = [
            "job/", "open/", "lane/", "session/", "items/", "replies/", "log/",
        ];
        for before in [false, true] {
            for prefix in prefixes {
                let mut fleet = Fleet::new(12, 2);
                fleet.command(&Command::Lose {
                    prefix: prefix.into(),
                    count: 3,
                    before,
                });
                let id = fleet.submit(&submission("menu", items(300))).await;
                assert_eq!(fleet.finish(&id).await, State::Ended);
                assert_whole(&fleet.read(&id).await, 300);
                assert_eq!(
                    fleet.world.borrow().runs.len(),
                    300,
                    "after losses at {prefix}"
                );
            }
        }
    });
}

/// A node is stopped gracefully while it holds chunks. Other nodes continue from its results at
/// once: nothing is lost or done twice.
#[gtest]
fn stop_gives_chunks_back() {
    run(async {
        let mut fleet = Fleet::new(13, 1);
        let id = fleet.submit(&submission("menu", items(500))).await;
        fleet
            .until(|fleet| fleet.world.borrow().runs.len() >= 100)
            .await;
        fleet.add();
        fleet.stop(0);
        fleet.until(|fleet| fleet.has_stopped(0)).await;
        let stopped = fleet.elapsed();
        assert_eq!(fleet.finish(&id).await, State::Ended);
        let took = fleet.elapsed().saturating_sub(stopped);
        expect_that!(took, lt(fleet.setting.lease_duration));
        assert_whole(&fleet.read(&id).await, 500);
        expect_that!(fleet.world.borrow().runs.len(), eq(500));
    });
}

/// A VM is lost with most of a chunk done. Results that were flushed are not redone: at most the
/// work of one flush interval and the running items are.
#[gtest]
fn loss_redoes_seconds_of_work() {
    run(async {
        let mut fleet = Fleet::with(14, 1, Duration::from_millis(400));
        let id = fleet.submit(&submission("menu", items(128))).await;
        fleet
            .until(|fleet| fleet.world.borrow().runs.len() >= 120)
            .await;
        fleet.kill(0);
        fleet.add();
        assert_eq!(fleet.finish(&id).await, State::Ended);
        assert_whole(&fleet.read(&id).await, 128);
        let redone = fleet.world.borrow().runs.len() - 128;
        // Eight slots at 0.4 s an item do 20 items a second, over 5 s, plus 8 running.
        expect_that!(redone, le(108));
        let replies = fleet.read(&id).await;
        expect_that!(replies.iter().all(|reply| reply.end == End::Done), eq(true));
    });
}
