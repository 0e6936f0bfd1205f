//! News on its way, each item to be sent a bounded number of times.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

use super::State;
use crate::name::Name;
use crate::wire::control::Update;

/// What an update is about; a newer one of the same key replaces the older.
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
struct Rumour {
    key: Key,
    update: Update,
    size: usize,
    sent: u32,
}

/// News that still has to be sent.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    rumours: Vec<Rumour>,
}

/// Most rumours kept; beyond it those sent most often go first, because others
/// carry them on and [`crate::wire::control::Body::Sync`] mends the rest.
const MAX_RUMOURS: usize = 4_096;

impl Queue {
    /// Adds news, in place of older news of the same thing.
    pub fn push(&mut self, update: Update) {
        let key = key(&update);
        let size = update.size();
        let rumour = Rumour {
            key,
            update,
            size,
            sent: 0,
        };
        if let Some(known) = self.rumours.iter_mut().find(|r| r.key == rumour.key) {
            *known = rumour;
            return;
        }
        if self.rumours.len() >= MAX_RUMOURS {
            self.rumours.sort_by_key(|r| r.sent);
            self.rumours.pop();
        }
        self.rumours.push(rumour);
    }

    /// Takes what fits into `room` bytes, least sent first, and forgets what
    /// has now been sent `limit` times.
    pub fn take(&mut self, room: usize, limit: u32) -> Vec<Update> {
        self.rumours.sort_by_key(|r| r.sent);
        let mut left = room;
        let mut taken = Vec::new();
        let mut in_force = BTreeMap::<u64, BytesMut>::new();
        for rumour in &mut self.rumours {
            let size = match &rumour.update {
                Update::InForce { version, prints } if in_force.contains_key(version) => {
                    prints.len()
                }
                _ => rumour.size,
            };
            if size > left {
                continue;
            }
            left -= size;
            rumour.sent += 1;
            match &rumour.update {
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
        let waiting = self.rumours.len();
        self.rumours
            .retain(|r| r.sent < r.update.sends(limit, waiting));
        taken
    }

    /// Forgets accusations, because they are too old to be passed on.
    pub fn drop_accusations(&mut self) {
        self.rumours.retain(|rumour| {
            let Update::Record(record) = &rumour.update else {
                return true;
            };
            matches!(record.member.state, State::Alive | State::Leaving)
        });
    }

    /// True when there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }

    /// Number of items still to be sent.
    pub fn len(&self) -> usize {
        self.rumours.len()
    }
}
