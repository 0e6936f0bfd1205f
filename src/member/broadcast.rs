//! Updates to disseminate, each sent a bounded number of times.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

use super::State;
use crate::name::Name;
use crate::wire::control::Update;

/// Subject of an update; a newer update with the same key replaces the older one.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Key {
    Record(Name),
    InForce(Bytes),
    Committed,
    Note(u8, Name),
}

fn key(update: &Update) -> Key {
    match update {
        Update::Record(record) => Key::Record(record.member.name.clone()),
        Update::InForce { prints, .. } => Key::InForce(prints.clone()),
        Update::Committed(_) => Key::Committed,
        Update::Note(note) => Key::Note(note.topic, note.key.clone()),
    }
}

#[derive(Clone, Debug)]
struct Broadcast {
    key: Key,
    update: Update,
    size: usize,
    sent: u32,
}

/// Queue of updates that still have to be sent.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    broadcasts: Vec<Broadcast>,
}

/// Maximum number of queued updates. Above it, those sent most often are dropped
/// first, because other nodes already disseminate them and
/// [`crate::wire::control::Body::Sync`] repairs the rest.
const MAX_BROADCASTS: usize = 4_096;

impl Queue {
    /// Adds an update, replacing an older one with the same key.
    pub fn push(&mut self, update: Update) {
        let key = key(&update);
        let size = update.size();
        let broadcast = Broadcast {
            key,
            update,
            size,
            sent: 0,
        };
        if let Some(known) = self.broadcasts.iter_mut().find(|r| r.key == broadcast.key) {
            *known = broadcast;
            return;
        }
        if self.broadcasts.len() >= MAX_BROADCASTS {
            self.broadcasts.sort_by_key(|r| r.sent);
            self.broadcasts.pop();
        }
        self.broadcasts.push(broadcast);
    }

    /// Takes the updates that fit into `room` bytes, least sent first, and drops
    /// those that have now been sent `limit` times.
    pub fn take(&mut self, room: usize, limit: u32) -> Vec<Update> {
        self.broadcasts.sort_by_key(|r| r.sent);
        let mut left = room;
        let mut taken = Vec::new();
        let mut in_force = BTreeMap::<u64, BytesMut>::new();
        for broadcast in &mut self.broadcasts {
            let size = match &broadcast.update {
                Update::InForce { version, prints } if in_force.contains_key(version) => {
                    prints.len()
                }
                _ => broadcast.size,
            };
            if size > left {
                continue;
            }
            left -= size;
            broadcast.sent += 1;
            match &broadcast.update {
                Update::InForce { version, prints } => {
                    in_force
                        .entry(*version)
                        .or_default()
                        .extend_from_slice(prints);
                }
                other => taken.push(other.clone()),
            }
        }
        taken.extend(
            in_force
                .into_iter()
                .map(|(version, prints)| Update::InForce {
                    version,
                    prints: prints.freeze(),
                }),
        );
        let waiting = self.broadcasts.len();
        self.broadcasts
            .retain(|r| r.sent < r.update.sends(limit, waiting));
        taken
    }

    /// Drops suspicions and deaths, because they are too old to be passed on.
    pub fn drop_suspicions(&mut self) {
        self.broadcasts.retain(|broadcast| {
            let Update::Record(record) = &broadcast.update else {
                return true;
            };
            matches!(record.member.state, State::Alive | State::Leaving)
        });
    }

    /// Returns true if no update is pending.
    pub fn is_empty(&self) -> bool {
        self.broadcasts.is_empty()
    }

    /// Returns the number of pending updates.
    pub fn len(&self) -> usize {
        self.broadcasts.len()
    }
}
