//! Selects the members that a node queries. Performs no I/O.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::member::{Member, State, View};
use crate::name::Name;

/// Number of members of a zone that read the store for the others. With a single one, its loss
/// would send the whole zone to the store at once; a third would only add calls.
const READERS: usize = 2;
/// Minimum number of members of a zone with readers. In a smaller zone the readers' own calls are
/// most of the calls that all members would make, so relaying gains nothing.
const MIN_MEMBERS: usize = 12;
/// How long a reader that did not answer is skipped. It is frozen, isolated or lost; the
/// membership detects that in about the same time.
const SILENT_BACKOFF: Duration = Duration::from_secs(4);
/// How long a reader that can't reach the store is skipped.
const STALE_BACKOFF: Duration = Duration::from_millis(1_500);
/// How long a reader with an impossible answer is skipped.
const WRONG_BACKOFF: Duration = Duration::from_secs(30);
/// Hash seed that ranks readers differently from pools, so that the same VM does not get both
/// roles.
const SEED: u64 = 1;

/// Reason why a reader is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It did not answer in time.
    Silent,
    /// The store does not answer it.
    Stale,
    /// Its answer is impossible, or of another protocol version.
    Wrong,
}

/// Selects the reader that a node queries, and skips faulty ones.
#[derive(Debug, Default)]
pub struct Selector {
    skipped_until: HashMap<Name, Time>,
}

impl Selector {
    /// Skips a reader for a while.
    pub fn avoid(&mut self, now: Time, reader: &Name, fault: Fault) {
        let pause = match fault {
            Fault::Silent => SILENT_BACKOFF,
            Fault::Stale => STALE_BACKOFF,
            Fault::Wrong => WRONG_BACKOFF,
        };
        self.skipped_until.retain(|_, until| *until > now);
        self.skipped_until.insert(reader.clone(), now + pause);
    }

    /// Returns the member to query; none when the node has to read the store itself, as in a
    /// small zone, or after all readers failed. A reader queries itself first, so that it
    /// follows each table once.
    pub fn reader<'a>(
        &self,
        now: Time,
        me: &Name,
        zone: &Name,
        view: &'a View,
    ) -> Option<&'a Member> {
        let readers = readers(zone, view);
        // Spreads the zone's other members evenly over the readers.
        let own = readers.iter().position(|reader| reader.name == *me);
        let first = own.unwrap_or(usize::from(hash(me) % 2 == 1));
        let order = readers.iter().cycle().skip(first).take(readers.len());
        order.copied().find(|reader| {
            self.skipped_until
                .get(&reader.name)
                .is_none_or(|until| now >= *until)
        })
    }
}

/// Returns the readers of a zone: powerful VMs, ranked by rendezvous hashing.
fn readers<'a>(zone: &Name, view: &'a View) -> Vec<&'a Member> {
    let near = || view.usable().filter(|member| member.zone == *zone);
    if near().count() < MIN_MEMBERS {
        return Vec::new();
    }
    let strongest = near().map(|member| member.power).max().unwrap_or(0);
    let is_strong = |member: &Member| u32::from(member.power) * 2 >= u32::from(strongest);
    let mut ranked: Vec<_> = near()
        .filter(|member| member.state == State::Alive && is_strong(member))
        .map(|member| (hash(&member.name), member))
        .collect();
    ranked.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
    ranked.truncate(READERS);
    ranked.into_iter().map(|(_, member)| member).collect()
}

fn hash(name: &Name) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), SEED)
}
