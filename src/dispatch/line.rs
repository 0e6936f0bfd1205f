//! Requests that wait, shared fairly between organisations.

use std::collections::{BTreeMap, VecDeque};

use super::{Id, Offer};
use crate::clock::Time;
use crate::name::Name;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What was offered.
    pub offer: Offer,
    /// When it came here first.
    pub arrived: Time,
    /// Tokens that it has already, when it was stopped.
    pub done: u32,
    /// True when part of it has been at the endpoint.
    pub ran: bool,
}

/// A bounded line. Organisations take turns, so that one that sends much does
/// not make the others wait behind all of it.
#[derive(Debug, Default)]
pub struct Line {
    by_organisation: BTreeMap<Name, VecDeque<Entry>>,
    turns: VecDeque<Name>,
    /// Stopped requests, which go before all others.
    resumed: VecDeque<Entry>,
    len: usize,
}

impl Line {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True when none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Takes a request in. When more than `bound` wait, the newest of the
    /// organisation with the most is handed back to be refused, which may be
    /// the one that came.
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

    /// Takes back a request that was stopped, before all others.
    pub fn resume(&mut self, entry: Entry) {
        self.len += 1;
        self.resumed.push_back(entry);
    }

    /// The next request, without taking it out.
    pub fn peek(&self) -> Option<&Entry> {
        let next = || self.by_organisation.get(self.turns.front()?)?.front();
        self.resumed.front().or_else(next)
    }

    /// Takes the next request out.
    pub fn pop(&mut self) -> Option<Entry> {
        if let Some(entry) = self.resumed.pop_front() {
            self.len -= 1;
            return Some(entry);
        }
        let name = Name::clone(self.turns.front()?);
        let entry = self.take(&name, VecDeque::pop_front);
        // Its turn is over; the others come before it comes again.
        if self.turns.front() == Some(&name) {
            self.turns.rotate_left(1);
        }
        entry
    }

    /// Takes out a request that its requester gave up.
    pub fn remove(&mut self, id: Id) -> Option<Entry> {
        let mut gone = self.drain_where(|entry| entry.offer.id == id);
        gone.pop()
    }

    /// Takes out every request for which `gone` holds.
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
        sift(&mut self.resumed);
        self.by_organisation.values_mut().for_each(&mut sift);
        self.by_organisation.retain(|_, all| !all.is_empty());
        let left = &self.by_organisation;
        self.turns.retain(|name| left.contains_key(name));
        self.len -= out.len();
        out
    }

    /// The earliest deadline.
    pub fn deadline(&self) -> Option<Time> {
        let waiting = self.by_organisation.values().flatten();
        let all = waiting.chain(&self.resumed);
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
