//! Which members a node asks, as a decision.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::member::{Member, State, View};
use crate::name::Name;

/// Members of a zone that read the store for the others. With one, its loss
/// would send a whole zone to the store at once; a third would only add calls.
const READERS: usize = 2;
/// Members that a zone must have. In a smaller one the readers' own calls are
/// most of what all would make, and a detour gains nothing.
const LEAST_MEMBERS: usize = 12;
/// For how long a reader that did not answer is passed over. It is frozen, cut
/// off or gone; the members find that out in about the same time.
const SILENT: Duration = Duration::from_secs(4);
/// For how long one that can't reach the store is.
const STALE: Duration = Duration::from_millis(1_500);
/// For how long one that told what can't be is.
const WRONG: Duration = Duration::from_secs(30);
/// Gives readers another order than pools, so that the same VM does not carry
/// both.
const SEED: u64 = 1;

/// Why a reader is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It did not answer in time.
    Silent,
    /// The store does not answer it.
    Stale,
    /// Its answer can't be true, or it speaks another version.
    Wrong,
}

/// The readers that a node asks, and which of them it passes over.
#[derive(Debug, Default)]
pub struct Selector {
    avoided: HashMap<Name, Time>,
}

impl Selector {
    /// Passes a reader over for a while.
    pub fn avoid(&mut self, now: Time, reader: &Name, fault: Fault) {
        let pause = match fault {
            Fault::Silent => SILENT,
            Fault::Stale => STALE,
            Fault::Wrong => WRONG,
        };
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(reader.clone(), now + pause);
    }

    /// The member to ask; none where the node reads the store itself, as nodes in
    /// a small zone do, and those whose readers all failed them. A reader asks
    /// itself first, so that it follows each table once.
    pub fn reader<'a>(
        &self,
        now: Time,
        me: &Name,
        zone: &Name,
        view: &'a View,
    ) -> Option<&'a Member> {
        let readers = readers(zone, view);
        // Half of the zone's other members begin with either.
        let own = readers.iter().position(|reader| reader.name == *me);
        let first = own.unwrap_or(usize::from(hash(me) % 2 == 1));
        let order = readers.iter().cycle().skip(first).take(readers.len());
        order.copied().find(|reader| {
            self.avoided
                .get(&reader.name)
                .is_none_or(|until| now >= *until)
        })
    }
}

/// The members of a zone that read: strong VMs, by rendezvous hashing.
fn readers<'a>(zone: &Name, view: &'a View) -> Vec<&'a Member> {
    let near = || view.usable().filter(|member| member.zone == *zone);
    if near().count() < LEAST_MEMBERS {
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
