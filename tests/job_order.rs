//! Nobody starves: neither a small job behind a large one, nor one organisation
//! behind another.

use std::time::Duration;

use auburnspoke::job::order::{Candidate, Ledger, WINDOW};
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

/// A job of 420,000 items has all slots when one of 50 with an earlier due time
/// arrives. In the order of arrival, the small one would wait for hours.
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
        // One chunk of 512 of the large job at 8 slots and 0.23 s an item takes
        // 15 s, after which a slot looks for other work.
        expect_that!(took, lt(Duration::from_secs(45)));
    });
}

/// One organisation floods the fleet with jobs that are all due sooner. By due
/// time alone, the other's job would be last.
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
    let mut ledger = Ledger::default();
    let both = [candidate("a", 2), candidate("b", 1)];
    expect_that!(ledger.pick(&both), some(eq(1)));
}

#[gtest]
fn pick_shares_by_weight() {
    let mut ledger = Ledger::default();
    ledger.weigh([("a".into(), 3), ("b".into(), 1)].into());
    let both = [candidate("a", 5), candidate("b", 5)];
    let mut had = [0u64; 2];
    for _ in 0..4_000 {
        let at = ledger.pick(&both).expect("a candidate");
        had[at] += 128;
        ledger.charge(&both[at].organisation, 128);
    }
    let share = had[0] as f64 / (had[0] + had[1]) as f64;
    expect_that!(share, all![ge(0.74), le(0.76)]);
}

/// An organisation that was idle for a day must not then shut out the others
/// until it has had a day's worth.
#[gtest]
fn pick_after_a_pause_starts_level() {
    let mut ledger = Ledger::default();
    for _ in 0..1_000 {
        ledger.pick(&[candidate("busy", 1)]);
        ledger.charge(&"busy".into(), 512);
    }
    let both = [candidate("busy", 1), candidate("back", 9)];
    let mut waited = 0;
    while ledger.pick(&both) == Some(1) {
        ledger.charge(&"back".into(), 512);
        waited += 1;
        assert!(waited < 10, "the one that was away shuts the other out");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever due times organisations claim, none gets more than the window
    /// and one chunk ahead of another that has work.
    #[test]
    fn pick_bounds_the_lead(
        dues in prop::collection::vec(0u64..1_000, 2..12),
        chunk in 1u32..512,
        weights in prop::collection::vec(1u32..5, 12),
    ) {
        let mut ledger = Ledger::default();
        let names: Vec<String> = (0..dues.len()).map(|n| format!("org-{n}")).collect();
        let weighed = names.iter().zip(&weights);
        ledger.weigh(weighed.map(|(name, weight)| (name.as_str().into(), *weight)).collect());
        let all: Vec<Candidate> = names.iter().zip(&dues).map(|(n, d)| candidate(n, *d)).collect();
        let mut had = vec![0u64; all.len()];
        for _ in 0..2_000 {
            let at = ledger.pick(&all).expect("a candidate");
            ledger.charge(&all[at].organisation, chunk);
            had[at] += u64::from(chunk) * 1_000 / u64::from(weights[at]);
            let least = had.iter().min().copied().unwrap_or(0);
            let bound = (WINDOW + u64::from(chunk)) * 1_000;
            prop_assert!(had.iter().all(|had| had - least <= bound));
        }
    }
}
