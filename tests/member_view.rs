//! Queries on a node's view of the members.

#[path = "support/member.rs"]
mod support;

use auburnspoke::member::{Member, State, View};
use googletest::prelude::*;

fn member(name: &str, control: &str, incarnation: u64, state: State) -> Member {
    Member {
        control: control.into(),
        incarnation,
        state,
        ..support::member(name)
    }
}

fn owners(members: Vec<Member>) -> Vec<String> {
    let view = View::from(members);
    let mut owners: Vec<_> = view.owners().iter().map(ToString::to_string).collect();
    owners.sort();
    owners
}

#[gtest]
fn owners_by_state() {
    // A job stays with a process that is suspect or still hands its work over;
    // otherwise two nodes would run its items.
    let members = vec![
        member("alive", "127.0.0.1:11", 1, State::Alive),
        member("dead", "127.0.0.1:12", 1, State::Dead),
        member("leaving", "127.0.0.1:13", 1, State::Leaving),
        member("suspect", "127.0.0.1:14", 1, State::Suspect),
    ];
    expect_that!(
        owners(members),
        elements_are![eq("alive"), eq("leaving"), eq("suspect")]
    );
}

#[gtest]
fn owners_replaced_process() {
    // A process is killed and restarted before its failure is detected. Its jobs
    // would otherwise wait until the suspicion times out.
    let members = vec![
        member("a.1", "127.0.0.1:11", 1, State::Alive),
        member("a.2", "127.0.0.1:11", 2, State::Alive),
        member("b.1", "127.0.0.1:12", 1, State::Alive),
    ];
    expect_that!(owners(members), elements_are![eq("a.2"), eq("b.1")]);
}

#[gtest]
fn owners_replaced_by_one_that_is_gone() {
    // The later process is dead too, and the record of the earlier one is newer.
    // The later one then does not count as a replacement.
    let members = vec![
        member("a.1", "127.0.0.1:11", 1, State::Alive),
        member("a.2", "127.0.0.1:11", 2, State::Dead),
    ];
    expect_that!(owners(members), elements_are![eq("a.1")]);
}
