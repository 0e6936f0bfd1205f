//! Decisions on a lane's row and a chunk's items.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::job::change::{self, Resolution, Target};
use auburnspoke::job::chunk::Chunk;
use auburnspoke::job::lane::{Committed, Decision, Held, Lane};
use auburnspoke::job::record::{self, Counts, Job};
use auburnspoke::job::watch::{Verdict, Watch};
use auburnspoke::job::{End, State, key};
use auburnspoke::name::Name;
use auburnspoke::outcome::{Outcome, Reason, Refusal};
use auburnspoke::request::Answer;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Table, Transaction};
use googletest::prelude::*;
use proptest::prelude::*;

use crate::fleet::{NOW_MS, Remote, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

fn committed(chunk: u32, epoch: u32) -> Committed {
    Committed {
        chunk,
        epoch,
        counts: Counts::default(),
    }
}

/// A paused holder resumes after another has taken over its chunk, and again after that one has
/// committed it.
#[gtest]
fn commit_stale_epoch() {
    let lane = Lane::new(0, 2);
    let (lane, old) = lane.claim(&"old".into(), 0).expect("free");
    let (lane, new) = lane.take_over(old.epoch, &"new".into(), 0).expect("held");
    expect_that!(
        lane.commit(committed(0, old.epoch)),
        eq(&Decision::Superseded)
    );
    let Decision::Write(lane) = lane.commit(committed(0, new.epoch)) else {
        panic!("the holder commits");
    };
    expect_that!(
        lane.commit(committed(0, old.epoch)),
        eq(&Decision::Superseded)
    );
    expect_that!(lane.commit(committed(0, new.epoch)), eq(&Decision::Applied));
    expect_that!(lane.is_finished(), eq(false));
}

#[gtest]
fn take_over_counts_losses_and_keeps_log_ranges() {
    let lane = Lane::new(0, 1);
    let (lane, first) = lane.claim(&"a".into(), 7).expect("free");
    let (lane, second) = lane.take_over(first.epoch, &"b".into(), 3).expect("held");
    expect_that!(second.losses, eq(1));
    expect_that!(second.trails[0].from, eq(7));
    expect_that!(second.trails[0].until, none());
    let Decision::Write(lane) = lane.release(second.epoch, 9, &[]) else {
        panic!("the holder releases");
    };
    let (_, third) = lane.claim(&"c".into(), 0).expect("freed");
    expect_that!(third.losses, eq(1), "a release is not a loss");
    expect_that!(third.trails[1].until, some(eq(9)));
}

/// A lease is renewed after it was seen to be expired. Its holder is alive, so taking its chunk
/// over would do the work twice.
#[gtest]
fn take_over_of_a_renewed_lease() {
    run(async {
        let platform = Platform::in_virtual_time(Time::ZERO, 1);
        let remote = Remote::new(platform.clone(), 1);
        let jobs = auburnspoke::job::Jobs::new(remote.clone(), remote.clone());
        let Outcome::Done(accepted) = jobs.submit(NOW_MS, submission("menu", items(10))).await
        else {
            panic!("accepted");
        };
        let row = remote_row(&platform, &accepted.job.row()).await;
        let job: Job = record::decode(&row.1).expect("a job");
        let target = Target {
            job,
            version: row.0,
            lane: 0,
        };
        let lease = key::session("old");
        let renew = || Transaction::default().put(&lease, "renewed");
        let version = platform.transact(renew()).await.expect("answers");
        let claim = |lane: &Lane| match lane.claim(&"old".into(), 0) {
            Some((lane, _)) => Decision::Write(lane),
            None => Decision::Superseded,
        };
        let change = change::apply(&platform, &target, None, None, claim).await;
        expect_that!(change, eq(&Resolution::Applied));
        let take = |lane: &Lane| match lane.take_over(1, &"new".into(), 0) {
            Some((lane, _)) => Decision::Write(lane),
            None => Decision::Superseded,
        };
        platform.transact(renew()).await.expect("answers");
        let guard = change::guard("old", Some(version));
        let change = change::apply(&platform, &target, None, Some(&guard), take).await;
        expect_that!(change, eq(&Resolution::Superseded));
    });
}

async fn remote_row(platform: &Platform, key: &str) -> (u64, bytes::Bytes) {
    let row = Table::get(platform, key)
        .await
        .expect("answers")
        .expect("there");
    (row.version, row.value)
}

#[gtest]
fn watch_expires_by_the_observers_clock() {
    let mut watch = Watch::new(Duration::from_secs(30));
    let at = |seconds: u64| Time::from_millis(seconds * 1_000);
    watch.update(at(0), &[("a".into(), 1), ("b".into(), 1)]);
    watch.update(at(31), &[("a".into(), 1), ("b".into(), 2)]);
    expect_that!(watch.verdict(at(31), "a"), eq(Verdict::Expired(1)));
    expect_that!(watch.verdict(at(31), "b"), eq(Verdict::Alive));
    expect_that!(watch.verdict(at(31), "c"), eq(Verdict::Gone));
    watch.reset();
    expect_that!(watch.verdict(at(99), "a"), eq(Verdict::Alive));
}

/// The next action of one of several holders.
#[derive(Clone, Debug)]
enum Action {
    Claim,
    TakeOver(usize),
    Commit(usize),
    Release(usize),
    /// It reads the row again.
    Read,
    /// It is lost, and restarts with another session.
    Crash,
}

fn actions() -> impl Strategy<Value = (usize, Action, bool)> {
    let next = prop_oneof![
        3 => Just(Action::Claim),
        2 => (0usize..4).prop_map(Action::TakeOver),
        3 => (0usize..4).prop_map(Action::Commit),
        1 => (0usize..4).prop_map(Action::Release),
        4 => Just(Action::Read),
        1 => Just(Action::Crash),
    ];
    (0usize..3, next, any::<bool>())
}

/// A holder with its copy of the row and the chunks that it considers held.
struct Holder {
    session: Name,
    seen: (u64, Lane),
    held: Vec<Held>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Holders act on outdated rows, are lost at any step, and lose answers. In any interleaving
    /// each chunk is committed once, its commit never changes, and no chunk has two valid holders.
    #[test]
    fn lane_commits_each_chunk_once(actions in prop::collection::vec(actions(), 1..200), chunks in 1u32..5) {
        let mut row = (1u64, Lane::new(0, chunks));
        let mut sessions = 0;
        let mut holder = || {
            sessions += 1;
            Holder {
                session: format!("s{sessions}").into(),
                seen: (1, Lane::new(0, chunks)),
                held: Vec::new(),
            }
        };
        let mut holders = [holder(), holder(), holder()];
        let mut done: BTreeMap<u32, Committed> = BTreeMap::new();
        for (who, next, lost) in actions {
            let me = &mut holders[who];
            // The row changes only under the version that was read.
            let mut write = |seen: &(u64, Lane), next: Lane| {
                let fits = seen.0 == row.0;
                if fits {
                    row = (row.0 + 1, next);
                }
                fits
            };
            match next {
                Action::Read => me.seen = row.clone(),
                Action::Crash => *me = holder(),
                Action::Claim => {
                    if let Some((lane, held)) = me.seen.1.claim(&me.session, 0)
                        && write(&me.seen, lane)
                        && !lost
                    {
                        me.held.push(held);
                    }
                }
                Action::TakeOver(at) => {
                    let epoch = me.seen.1.held.get(at).map_or(0, |held| held.epoch);
                    if let Some((lane, held)) = me.seen.1.take_over(epoch, &me.session, 0)
                        && write(&me.seen, lane)
                        && !lost
                    {
                        me.held.push(held);
                    }
                }
                Action::Commit(at) => {
                    let Some(held) = me.held.get(at).cloned() else { continue };
                    let result = committed(held.chunk, held.epoch);
                    if let Decision::Write(lane) = me.seen.1.commit(result) {
                        let fits = write(&me.seen, lane);
                        if fits && !lost {
                            me.held.remove(at);
                        }
                    }
                }
                Action::Release(at) => {
                    let Some(held) = me.held.get(at).cloned() else { continue };
                    if let Decision::Write(lane) = me.seen.1.release(held.epoch, 0, &[]) {
                        write(&me.seen, lane);
                    }
                }
            }
            for result in &row.1.committed {
                let first = done.entry(result.chunk).or_insert(*result);
                prop_assert_eq!(*first, *result);
            }
            prop_assert_eq!(done.len(), row.1.committed.len());
            let mut all: Vec<u32> = row.1.held.iter().map(|held| held.chunk).collect();
            all.extend(row.1.freed.iter().map(|freed| freed.chunk));
            all.extend(row.1.committed.iter().map(|c| c.chunk));
            all.extend(row.1.next..row.1.end);
            all.sort_unstable();
            prop_assert_eq!(all, (0..chunks).collect::<Vec<_>>(), "each chunk is in one place");
        }
    }

    /// Items finish in any order and with any outcome. Each gets one result. An item that must run
    /// at most once is sent again only if it certainly did not run, and an item that failed is sent
    /// isolated.
    #[test]
    fn chunk_gives_each_item_one_result(
        count in 1u32..40,
        once in any::<bool>(),
        outcomes in prop::collection::vec(0u8..10, 400),
        losses in 0u32..4,
    ) {
        let (_, mut held) = Lane::new(0, 1).claim(&"s".into(), 0).expect("free");
        held.losses = losses;
        let mut chunk = Chunk::new(&held, 0, items(count), once, 3, &[]);
        let mut outcomes = outcomes.into_iter().chain(std::iter::repeat(0));
        let mut now = Time::ZERO;
        let mut running: Vec<(u32, bool)> = Vec::new();
        let mut spent: BTreeMap<u32, u32> = BTreeMap::new();
        let mut marked = Vec::new();
        for _ in 0..20_000 {
            if chunk.is_finished() {
                break;
            }
            now += Duration::from_millis(100);
            // Marks are confirmed only in every third round.
            if now.as_millis().is_multiple_of(300) {
                let unmarked = chunk.unmarked(5);
                chunk.marked(&unmarked);
                marked.extend(unmarked);
            }
            chunk.start_isolation(now);
            if let Some(entry) = chunk.take_unwritten(&"job".into()) {
                let replies: Vec<u32> = entry.replies.iter().map(|reply| reply.number).collect();
                chunk.written(&entry.attempts, &replies);
            }
            while let Some(number) = chunk.next(now).filter(|_| running.len() < 4) {
                prop_assert!(!once || marked.contains(&number));
                prop_assert!(chunk.start(number).is_some());
                running.push((number, false));
            }
            if let Some(number) = chunk.next_isolated().filter(|_| running.is_empty()) {
                prop_assert!(chunk.start(number).is_some());
                running.push((number, true));
            }
            for (number, alone) in std::mem::take(&mut running) {
                let refusal = Refusal::new(Reason::EndpointFailed);
                let outcome = match outcomes.next().expect("endless") {
                    0..6 => Outcome::Done(Answer::default()),
                    6..8 => Outcome::NotRun(refusal),
                    _ => Outcome::MayHaveRun(refusal),
                };
                let ran = !outcome.is_not_run();
                let tries = spent.entry(number).or_default();
                *tries += u32::from(ran);
                prop_assert!(!once || *tries <= 1, "ran twice");
                prop_assert!(*tries <= 4, "bounded");
                prop_assert!(alone || losses < 2);
                chunk.ended(now, number, outcome);
            }
        }
        prop_assert!(chunk.is_finished());
        let replies = chunk.replies();
        let numbers: Vec<u32> = replies.iter().map(|reply| reply.number).collect();
        prop_assert_eq!(numbers, (0..count).collect::<Vec<_>>());
        let counts = chunk.committed(1).counts;
        prop_assert_eq!(counts.done + counts.failed + counts.unknown, count);
        prop_assert!(replies.iter().all(|reply| reply.end != End::Cancelled));
        prop_assert!(once || counts.unknown == 0);
    }
}

#[gtest]
fn span_covers_each_chunk_once() {
    for count in [1u32, 50, 128, 129, 2_048, 9_999, 420_000] {
        let chunk = record::chunk_len(count);
        let job = Job {
            service: "s".into(),
            organisation: "o".into(),
            key: "k".into(),
            digest: "d".into(),
            items: count,
            chunk,
            lanes: record::lanes(count.div_ceil(chunk)),
            accepted_at_ms: 0,
            due_at_ms: 0,
            once: false,
            state: State::Active,
        };
        let spans: Vec<u32> = (0..job.lanes)
            .flat_map(|lane| job.chunk_range(lane))
            .collect();
        expect_that!(spans, eq(&(0..job.chunks()).collect::<Vec<_>>()));
        let numbers: usize = (0..job.chunks()).map(|c| job.item_range(c).len()).sum();
        expect_that!(numbers, eq(count as usize));
    }
}
