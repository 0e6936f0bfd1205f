//! No starvation: neither of a small job behind a large one, nor of one organisation behind
//! another.

use std::time::Duration;

use auburnspoke::job::order::{Candidate, Scheduler, WINDOW_ITEMS};
use auburnspoke::job::{Item, State};
use googletest::prelude::*;
use proptest::prelude::*;

use crate::fleet::{Fleet, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

fn candidate(organisation: &str, due_at_ms: u64) -> Candidate {
    Candidate {
        organisation: organisation.into(),
        due_at_ms,
        rank: 0,
    }
}

/// A job of 420,000 items occupies all slots when one of 50 items with an earlier due time arrives.
/// In order of arrival, the small job would wait for hours.
#[gtest]
fn small_job_overtakes_a_large_one() {
    run(async {
        let mut fleet = Fleet::new(1, 3);
        let large: Vec<Item> = items(420_000);
        let mut first = submission("large", large);
        first.due = Duration::from_secs(24 * 3_600);
        fleet.submit(&first).await;
        fleet
            .until(|fleet| fleet.world.borrow().runs.len() >= 100)
            .await;
        let mut second = submission("small", items(50));
        second.due = Duration::from_secs(3_600);
        let submitted = fleet.elapsed();
        let id = fleet.submit(&second).await;
        assert_eq!(fleet.finish(&id).await, State::Ended);
        let took = fleet.elapsed().saturating_sub(submitted);
        // One chunk of 512 items of the large job at 8 slots and 0.23 s an item takes 15 s, after
        // which the node claims other work.
        expect_that!(took, lt(Duration::from_secs(45)));
    });
}

/// One organisation submits many jobs that are all due sooner. By due time alone, the other
/// organisation's job would be last.
#[gtest]
fn flood_of_another_organisation() {
    run(async {
        let mut fleet = Fleet::new(2, 2);
        for number in 0..60 {
            let mut job = submission(&format!("lot-{number}"), items(200));
            job.due = Duration::from_secs(60);
            fleet.submit(&job).await;
        }
        let mut other = submission("menu", items(200));
        other.organisation = "association".into();
        other.due = Duration::from_secs(24 * 3_600);
        let id = fleet.submit(&other).await;
        assert_eq!(fleet.finish(&id).await, State::Ended);
        let runs = fleet.world.borrow().runs.len();
        expect_that!(runs, lt(6_000), "of 12,200 when the other's 200 were done");
    });
}

#[gtest]
fn pick_earliest_due_inside_the_window() {
    let mut scheduler = Scheduler::default();
    let both = [candidate("a", 2), candidate("b", 1)];
    expect_that!(scheduler.pick(&both), some(eq(1)));
}

#[gtest]
fn pick_shares_by_weight() {
    let mut scheduler = Scheduler::default();
    scheduler.set_weights([("a".into(), 3), ("b".into(), 1)].into());
    let both = [candidate("a", 5), candidate("b", 5)];
    let mut had = [0u64; 2];
    for _ in 0..4_000 {
        let at = scheduler.pick(&both).expect("a candidate");
        had[at] += 128;
        scheduler.charge(&both[at].organisation, 128);
    }
    let share = had[0] as f64 / (had[0] + had[1]) as f64;
    expect_that!(share, all![ge(0.74), le(0.76)]);
}

/// An organisation that was idle for a day must not delay the others until it has caught up a day
/// of work.
#[gtest]
fn pick_after_a_pause_starts_level() {
    let mut scheduler = Scheduler::default();
    for _ in 0..1_000 {
        scheduler.pick(&[candidate("busy", 1)]);
        scheduler.charge(&"busy".into(), 512);
    }
    let both = [candidate("busy", 1), candidate("back", 9)];
    let mut waited = 0;
    while scheduler.pick(&both) == Some(1) {
        scheduler.charge(&"back".into(), 512);
        waited += 1;
        assert!(waited < 10, "the returning organisation starves the other");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any due times, no organisation gets further ahead of another with work than the window
    /// and one chunk.
    #[test]
    fn pick_bounds_the_lead(
        dues in prop::collection::vec(0u64..1_000, 2..12),
        chunk in 1u32..512,
        weights in prop::collection::vec(1u32..5, 12),
    ) {
        let mut scheduler = Scheduler::default();
        let names: Vec<String> = (0..dues.len()).map(|n| format!("org-{n}")).collect();
        let weighed = names.iter().zip(&weights);
        scheduler.set_weights(weighed.map(|(name, weight)| (name.as_str().into(), *weight)).collect());
        let all: Vec<Candidate> = names.iter().zip(&dues).map(|(n, d)| candidate(n, *d)).collect();
        let mut had = vec![0u64; all.len()];
        for _ in 0..2_000 {
            let at = scheduler.pick(&all).expect("a candidate");
            scheduler.charge(&all[at].organisation, chunk);
            had[at] += u64::from(chunk) * 1_000 / u64::from(weights[at]);
            let least = had.iter().min().copied().unwrap_or(0);
            let bound = (WINDOW_ITEMS + u64::from(chunk)) * 1_000;
            prop_assert!(had.iter().all(|had| had - least <= bound));
        }
    }
}
