//! Waiting requests, scheduled fairly between organisations.

use std::collections::{BTreeMap, VecDeque};

use super::{Id, Offer};
use crate::clock::Time;
use crate::name::Name;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request as offered.
    pub offer: Offer,
    /// When it was first offered.
    pub arrived: Time,
    /// Tokens generated before it was preempted.
    pub generated: u32,
    /// True when it has been sent to the endpoint before.
    pub has_run: bool,
}

/// A bounded queue, round-robin between organisations, so that the requests of a
/// busy organisation do not delay those of the others.
#[derive(Debug, Default)]
pub struct Backlog {
    by_organisation: BTreeMap<Name, VecDeque<Entry>>,
    turns: VecDeque<Name>,
    /// Preempted requests, which take precedence over all others.
    preempted: VecDeque<Entry>,
    len: usize,
}

impl Backlog {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request. When more than `bound` requests wait, removes and returns the
    /// newest one of the organisation with the most waiting requests, which may be
    /// the added one, so that the caller refuses it.
    pub fn push(&mut self, entry: Entry, bound: usize) -> Option<Entry> {
        let name = Name::clone(&entry.offer.organisation);
        let own = self.by_organisation.entry(Name::clone(&name)).or_default();
        if own.is_empty() {
            self.turns.push_back(name);
        }
        own.push_back(entry);
        self.len += 1;
        if self.len <= bound {
            return None;
        }
        let most = self.by_organisation.iter().max_by_key(|(_, all)| all.len());
        let name = Name::clone(most?.0);
        self.take(&name, VecDeque::pop_back)
    }

    /// Adds a preempted request, ahead of all new ones.
    pub fn requeue(&mut self, entry: Entry) {
        self.len += 1;
        self.preempted.push_back(entry);
    }

    /// Returns the next request without removing it.
    pub fn peek(&self) -> Option<&Entry> {
        let next = || self.by_organisation.get(self.turns.front()?)?.front();
        self.preempted.front().or_else(next)
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<Entry> {
        if let Some(entry) = self.preempted.pop_front() {
            self.len -= 1;
            return Some(entry);
        }
        let name = Name::clone(self.turns.front()?);
        let entry = self.take(&name, VecDeque::pop_front);
        // Move the organisation to the end of the rotation.
        if self.turns.front() == Some(&name) {
            self.turns.rotate_left(1);
        }
        entry
    }

    /// Removes a withdrawn request.
    pub fn remove(&mut self, id: Id) -> Option<Entry> {
        let mut gone = self.drain_where(|entry| entry.offer.id == id);
        gone.pop()
    }

    /// Removes and returns the requests for which `gone` is true.
    pub fn drain_where<F>(&mut self, gone: F) -> Vec<Entry>
    where
        F: Fn(&Entry) -> bool,
    {
        let mut out = Vec::new();
        let mut sift = |all: &mut VecDeque<Entry>| {
            for _ in 0..all.len() {
                if let Some(entry) = all.pop_front() {
                    if gone(&entry) {
                        out.push(entry);
                    } else {
                        all.push_back(entry);
                    }
                }
            }
        };
        sift(&mut self.preempted);
        self.by_organisation.values_mut().for_each(&mut sift);
        self.by_organisation.retain(|_, all| !all.is_empty());
        let left = &self.by_organisation;
        self.turns.retain(|name| left.contains_key(name));
        self.len -= out.len();
        out
    }

    /// Returns the earliest deadline.
    pub fn deadline(&self) -> Option<Time> {
        let waiting = self.by_organisation.values().flatten();
        let all = waiting.chain(&self.preempted);
        all.map(|entry| entry.offer.deadline).min()
    }

    fn take<F>(&mut self, name: &Name, from: F) -> Option<Entry>
    where
        F: Fn(&mut VecDeque<Entry>) -> Option<Entry>,
    {
        let all = self.by_organisation.get_mut(name)?;
        let entry = from(all)?;
        self.len -= 1;
        if all.is_empty() {
            self.by_organisation.remove(name);
            self.turns.retain(|other| other != name);
        }
        Some(entry)
    }
}
