//! Every item gets exactly one result, whatever fails.

use std::time::Duration;

use auburnspoke::job::{End, State};
use auburnspoke::table::fault::Command;
use googletest::prelude::*;
use proptest::prelude::*;

use crate::fleet::{Fleet, assert_whole, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

/// Something that goes wrong in the fleet of the random test.
#[derive(Clone, Debug)]
enum Trouble {
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

fn trouble() -> impl Strategy<Value = (u64, Trouble)> {
    let which = prop_oneof![
        3 => (0usize..8).prop_map(Trouble::Kill),
        1 => (0usize..8).prop_map(Trouble::Stop),
        3 => (0usize..8, 10u64..90_000).prop_map(|(node, ms)| Trouble::Freeze(node, ms)),
        1 => (10u64..90_000, any::<bool>())
            .prop_map(|(ms, silent)| Trouble::Outage { ms, silent }),
        2 => (0.05f64..0.7, 0.0f64..1.0, 10u64..60_000)
            .prop_map(|(probability, before, ms)| Trouble::Lose { probability, before, ms }),
    ];
    (0u64..20_000, which)
}

impl Fleet {
    /// Brings a trouble about, and replaces VMs that are lost.
    async fn suffer(&mut self, trouble: &Trouble) {
        let nodes: Vec<usize> = self.nodes.keys().copied().collect();
        let pick = |at: usize| nodes[at % nodes.len()];
        match trouble {
            Trouble::Kill(at) => {
                self.kill(pick(*at));
                self.add();
            }
            Trouble::Stop(at) => {
                self.stop(pick(*at));
                self.add();
            }
            Trouble::Freeze(at, ms) => {
                let node = pick(*at);
                self.freeze(node, true);
                self.pass(Duration::from_millis(*ms)).await;
                self.freeze(node, false);
            }
            Trouble::Outage { ms, silent } => self.command(&Command::Outage {
                ms: Some(*ms),
                silent: *silent,
            }),
            Trouble::Lose {
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

    /// VMs are lost, stopped and paused past their leases, the platform fails
    /// and loses answers, in any order and together. A recipe that is missing
    /// leaves a kitchen without its sheet, and one whose result changes after it
    /// was read has been answered twice.
    #[test]
    fn job_ends_whole_under_random_troubles(
        seed in any::<u64>(),
        troubles in prop::collection::vec(trouble(), 1..8),
        count in 1u32..700,
        once in any::<bool>(),
    ) {
        run(async {
            let mut fleet = Fleet::with(seed, 3, Duration::from_secs(1));
            let mut wanted = submission("menu", items(count));
            wanted.once = once;
            let id = fleet.submit(&wanted).await;
            for (wait, trouble) in &troubles {
                fleet.pass(Duration::from_millis(*wait)).await;
                fleet.suffer(trouble).await;
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
            // What late and thawed holders still do must change nothing.
            fleet.pass(Duration::from_secs(300)).await;
            fleet.read(&id).await;
        });
    }
}

/// A VM is lost at any moment of a chunk's life: while it claims, sends,
/// flushes, commits, or just after. Each millisecond and a half of the first
/// seconds is tried, so that every answer the platform owes is lost once.
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

/// A holder is frozen past its lease, another finishes its chunk, and then the
/// first thaws with its own results in hand. If it could still commit, results
/// that a planner has read would change.
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

/// The same, but the holder thaws while other chunks of the lane are still open,
/// so that the lane's row is there to be changed. Its commit must be refused for
/// its epoch alone.
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

/// The answer to a claim is lost, and the platform goes down before it can be
/// asked what became of it. The row says that this node has the chunk and the
/// node does not know it: nobody would ever run it, for the node lives and renews
/// its lease.
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
            // Looked at often, so that the outage begins before the row can be
            // read back.
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

/// The platform is down for an hour with chunks held. The work goes on, is
/// committed when the platform is back, and nobody else does it again: nodes
/// that took the outage for the death of all others would double the load at
/// the worst moment.
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

/// Each kind of write loses its answers, with and without having taken effect,
/// three times in a row. Taken for a failure, a commit would be redone by
/// another; taken for a success, its items would be missing.
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

/// A node is stopped in order while it holds chunks. Others go on at once with
/// what it had: nothing is lost, and nothing is done twice.
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

/// A VM is lost with most of a chunk done. What was flushed is not done again:
/// at most the work of one flush period and what ran is.
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
        // Eight slots at 0.4 s an item do 20 items a second, for 5 s, and 8 ran.
        expect_that!(redone, le(108));
        let replies = fleet.read(&id).await;
        expect_that!(replies.iter().all(|reply| reply.end == End::Done), eq(true));
    });
}
