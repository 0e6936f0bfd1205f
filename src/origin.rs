//! What began recent streams, which decides where their callers may resume them.
//!
//! A caller that resumes a stream names the request that brought its first event. Any node may
//! have served that request, so each node tells some members what began a stream, chosen by the
//! stream's key, and asks them when a caller resumes one. What none of them knows is not guessed.
//! docs/design/resume.md compares the alternatives.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::digest;
use crate::name::Name;

/// How long what began a stream is kept. Callers give up a stream much sooner.
const TTL: Duration = Duration::from_secs(300);
/// Maximum number of streams kept; the oldest are dropped first. An entry takes about 150 bytes.
const MAX_STREAMS: usize = 32_768;

/// Identifies a stream by the request that brought its first event. Ids are chosen by callers, so
/// those of different organisations must not be confused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub u64);

impl Key {
    /// Computes the key of the stream that the request `id` of an organisation began.
    pub fn of(host: &str, organisation: Option<&str>, id: &str) -> Self {
        let organisation = organisation.unwrap_or_default();
        Self(digest::of(&[
            host.as_bytes(),
            organisation.as_bytes(),
            id.as_bytes(),
        ]))
    }
}

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The version of its endpoint's software.
    #[serde(rename = "v")]
    pub software: Name,
}

#[derive(Debug)]
enum Entry {
    Known(Origin),
    /// Two streams of one organisation had the same id.
    Ambiguous,
}

/// The origins of recent streams.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<Key, Entry>,
    /// The keys with the times at which they were recorded, oldest first.
    order: VecDeque<(Time, Key)>,
}

impl Ledger {
    /// Records what began a stream.
    pub fn record(&mut self, now: Time, key: Key, origin: Origin) {
        self.expire(now);
        match self.entries.get_mut(&key) {
            Some(Entry::Known(known)) if *known == origin => {}
            Some(entry) => *entry = Entry::Ambiguous,
            None => {
                if self.order.len() >= MAX_STREAMS {
                    self.remove_oldest();
                }
                self.entries.insert(key, Entry::Known(origin));
                self.order.push_back((now, key));
            }
        }
    }

    /// Returns what began a stream, if that is known.
    pub fn find(&mut self, now: Time, key: Key) -> Option<&Origin> {
        self.expire(now);
        match self.entries.get(&key)? {
            Entry::Known(origin) => Some(origin),
            Entry::Ambiguous => None,
        }
    }

    /// Number of streams kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if none is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while self
            .order
            .front()
            .is_some_and(|(recorded, _)| now.since(*recorded) >= TTL)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_front() {
            self.entries.remove(&key);
        }
    }
}
