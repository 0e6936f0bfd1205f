//! Selection of addresses for callers.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnspoke::locate::{ADDRESS_TTL, locate, region};
use auburnspoke::member::{Member, State, View};
use auburnspoke::outcome::Reason;
use googletest::prelude::*;

const REQUESTS: u64 = 12_000;

/// Returns a view with nodes named by zone and number.
fn view(zones: &[(&str, usize)]) -> View {
    let mut members: Vec<Member> = zones
        .iter()
        .flat_map(|(zone, count)| (0..*count).map(move |at| member(zone, at)))
        .collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    View::from(members)
}

fn member(zone: &str, at: usize) -> Member {
    let name = format!("{zone}-{at:02}");
    Member {
        address: format!("at-{name}").into(),
        link: "".into(),
        control: "".into(),
        zone: zone.into(),
        incarnation: 1,
        state: State::Alive,
        config_version: 0,
        power: 0,
        name: name.into(),
    }
}

fn put(view: &mut View, zone: &str, state: State) {
    for member in &mut view.members {
        if &*member.zone == zone {
            member.state = state;
        }
    }
}

/// Returns how often each address is the first one for callers of `zone`.
fn firsts(view: &View, zone: &str) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for ticket in 0..REQUESTS {
        let answer = locate(view, "a-1", zone, 3, ticket).unwrap();
        *counts.entry(answer.addresses[0].to_string()).or_default() += 1;
    }
    counts
}

/// Returns the sum of squared deviations over the expectation, as in Pearson's
/// test.
fn chi_square(counts: &BTreeMap<String, u64>, nodes: usize) -> f64 {
    let expected = REQUESTS as f64 / nodes as f64;
    let counted = counts
        .values()
        .map(|count| (*count as f64 - expected).powi(2) / expected);
    counted.sum::<f64>() + (nodes - counts.len()) as f64 * expected
}

#[gtest]
fn region_is_the_name_to_the_last_dash() {
    expect_that!(region("muscat-1"), eq("muscat"));
    expect_that!(region("gauteng-north-2"), eq("gauteng-north"));
    expect_that!(region("solo"), eq("solo"));
}

#[gtest]
fn locate_is_even_within_the_zone() {
    let view = view(&[("a-1", 12), ("a-2", 12), ("b-1", 12)]);
    let counts = firsts(&view, "a-1");
    expect_that!(counts.keys().all(|a| a.starts_with("at-a-1")), eq(true));
    // With 11 degrees of freedom, 31.3 is exceeded by one seed in a thousand.
    expect_that!(chi_square(&counts, 12), lt(31.3));
}

#[gtest]
fn locate_returns_another_zone_last() {
    let view = view(&[("a-1", 12), ("a-2", 12), ("b-1", 12)]);
    for ticket in 0..200 {
        let answer = locate(&view, "a-1", "a-1", 3, ticket).unwrap();
        let zones: Vec<&str> = answer.addresses.iter().map(|a| &a[3..6]).collect();
        expect_that!(zones, elements_are![eq(&"a-1"), eq(&"a-1"), eq(&"a-2")]);
    }
}

#[gtest]
fn locate_unknown_zone_is_that_of_the_node() {
    let view = view(&[("a-1", 4), ("b-1", 4)]);
    for zone in ["", "nowhere"] {
        let answer = locate(&view, "b-1", zone, 2, 7).unwrap();
        expect_that!(answer.addresses[0].starts_with("at-b-1"), eq(true));
    }
}

/// A node is leaving or dead. A caller that is sent there would be disconnected
/// or wait in vain.
#[gtest]
fn locate_never_returns_leaving_or_dead() {
    for state in [State::Leaving, State::Dead, State::Suspect] {
        let mut view = view(&[("a-1", 5), ("a-2", 5)]);
        put(&mut view, "a-1", state);
        for ticket in 0..500 {
            let answer = locate(&view, "a-1", "a-1", 16, ticket).unwrap();
            expect_that!(answer.addresses.len(), eq(5));
            let wrong = answer.addresses.iter().any(|a| a.starts_with("at-a-1"));
            expect_that!(wrong, eq(false));
        }
    }
}

/// A zone loses all but one of its nodes. If all callers of the zone were sent to
/// that node, it would get eight times its share and become overloaded too.
#[gtest]
fn locate_last_of_a_zone_is_not_overloaded() {
    let view = view(&[("a-1", 1), ("a-2", 12), ("a-3", 12)]);
    let mut counts = firsts(&view, "a-1");
    let mean = 3 * REQUESTS / 25;
    let survivor = counts.remove("at-a-1-00").unwrap_or_default();
    expect_that!(survivor, le(mean * 16 / 10));
    // The others share the rest evenly: 23 degrees of freedom, exceeded by one
    // seed in a thousand.
    let rest = REQUESTS - survivor;
    let expected = rest as f64 / 24.0;
    let counted = counts
        .values()
        .map(|count| (*count as f64 - expected).powi(2) / expected);
    expect_that!(counted.sum::<f64>(), lt(49.7));
}

/// All nodes are leaving, as when the whole fleet is shut down.
#[gtest]
fn locate_all_leaving_says_when_to_come_back() {
    let mut view = view(&[("a-1", 3)]);
    put(&mut view, "a-1", State::Leaving);
    let refusal = locate(&view, "a-1", "a-1", 3, 1).unwrap_err();
    expect_that!(refusal.reason, eq(Reason::NotReady));
    expect_that!(refusal.retry_after, some(gt(Duration::ZERO)));
}

/// The answering node has briefly lost contact with all others and marks them as
/// suspect. Suspect nodes are better than none.
#[gtest]
fn locate_only_suspects_are_better_than_none() {
    let mut view = view(&[("a-1", 3)]);
    put(&mut view, "a-1", State::Suspect);
    let answer = locate(&view, "a-1", "a-1", 3, 1).unwrap();
    expect_that!(answer.addresses.len(), eq(3));
}

#[gtest]
fn locate_small_fleets_and_counts() {
    let one = view(&[("a-1", 1)]);
    expect_that!(
        locate(&one, "a-1", "a-1", 0, 1).unwrap().addresses.len(),
        eq(1)
    );
    let many = view(&[("a-1", 30), ("a-2", 30)]);
    expect_that!(
        locate(&many, "a-1", "a-1", 0, 1).unwrap().addresses.len(),
        eq(3)
    );
    expect_that!(
        locate(&many, "a-1", "a-1", 99, 1).unwrap().addresses.len(),
        eq(16)
    );
    let answer = locate(&many, "a-1", "a-1", 16, 1).unwrap();
    let mut unique = answer.addresses.clone();
    unique.sort();
    unique.dedup();
    expect_that!(unique.len(), eq(16));
}

/// Many callers call Locate at the same moment, as after a failure. With equal
/// TTLs they would all call again at the same moment.
#[gtest]
fn locate_ttl_is_jittered_and_bounded() {
    let view = view(&[("a-1", 3)]);
    let ttls: Vec<Duration> = (0..1_000)
        .map(|ticket| locate(&view, "a-1", "a-1", 3, ticket).unwrap().ttl)
        .collect();
    expect_that!(ttls, each(le(&ADDRESS_TTL)));
    expect_that!(ttls, each(ge(&(ADDRESS_TTL * 4 / 5))));
    let mut different = ttls;
    different.sort();
    different.dedup();
    expect_that!(different.len(), gt(500));
}
