//! The node that counts an organisation's requests for all others.
//!
//! Whichever member a shard of the organisations falls to keeps their buckets;
//! each request is counted there while its place is looked for, so that the
//! limit is exact and no time is added. All of it is soft state. What would go
//! wrong where the keeper changes: a bucket that began full would grant a second
//! burst for each change, and one that began empty would refuse what is below
//! the limit. So gateways tell with each question what level they last heard of
//! from another keeper, and a new bucket begins there.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::allowance::{Allowance, Source};
use super::{Rate, Tolerance};
use crate::clock::Time;
use crate::name::Name;
use crate::pool::Key;

/// For how long a token can be put back, and a question be repeated: longer
/// than a request may wait for a place.
const REMEMBERED: Duration = Duration::from_secs(6);
/// An organisation that nobody asks for is forgotten when its bucket is surely
/// full again.
const FORGET: Duration = Duration::from_secs(120);
/// Tokens of a bucket whose past nobody knows.
const FIRST_TOKENS: f64 = 1.0;
/// A process that has run for so long knows the members, or is alone indeed.
const SETTLE: Duration = Duration::from_secs(2);
/// One that has started sees all others when so long no further one came: they tell
/// each other every 100 ms.
const STABLE: Duration = Duration::from_millis(150);
/// One of so many processes that have just started lets an organisation's first
/// request through.
const UNSETTLED_ONE_IN: u64 = 12;

/// What a gateway asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// Its limit, in the configuration of that version.
    #[serde(rename = "l")]
    pub rate: Rate,
    /// The version; the newest that is heard of counts.
    #[serde(rename = "v")]
    pub version: u64,
    /// The level that another keeper told last, and how long ago.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<Hint>,
}

/// How many tokens a keeper had.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hint {
    /// The tokens.
    #[serde(rename = "t")]
    pub tokens: f64,
    /// How long ago it said so.
    #[serde(rename = "a")]
    pub age: Duration,
}

/// What a keeper decides of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// It is counted and may run.
    #[serde(rename = "p")]
    Allow,
    /// It is over the limit; so long until there is room.
    #[serde(rename = "o")]
    Deny(Duration),
    /// The keeper has just started and can't tell.
    #[serde(rename = "u")]
    Unsettled,
    /// The keeper is this node, which is cut off from the others of so many nodes.
    #[serde(rename = "a")]
    Isolated(usize),
}

/// What a keeper says.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Of the request.
    #[serde(rename = "r")]
    pub decision: Decision,
    /// Tokens left.
    #[serde(rename = "t")]
    pub tokens: f64,
}

struct Account {
    allowance: Allowance,
    rate: Rate,
    version: u64,
    asked: Time,
    /// Requests that were let through, until they are forgotten.
    passed: HashMap<Key, (Time, Source)>,
    order: VecDeque<Key>,
}

/// Since when, and until when, a shard's questions came here.
#[derive(Clone, Copy)]
struct Term {
    began: Time,
    asked: Time,
}

/// The limits that this node keeps for all others.
pub struct Coordinator {
    started: Time,
    tolerance: Tolerance,
    terms: HashMap<u64, Term>,
    settled: bool,
    /// Requests that were let through before, one an organisation.
    early: HashMap<Name, Key>,
    /// The nodes that it sees, and since when so many.
    nodes: usize,
    changed: Time,
    accounts: HashMap<Name, Account>,
}

impl Coordinator {
    /// Keeps none yet, in a process that started at `started`.
    pub fn new(started: Time, tolerance: Tolerance) -> Self {
        Self {
            started,
            tolerance,
            terms: HashMap::new(),
            settled: false,
            early: HashMap::new(),
            nodes: 0,
            changed: started,
            accounts: HashMap::new(),
        }
    }

    /// This process sees `nodes`, itself among them. Until it sees the others it leaves
    /// their questions unanswered, and lets next to nothing through itself: when all
    /// nodes restart at once each takes itself, or one of the few that it sees, for
    /// the keeper of every limit, and together they would let a multiple of it through.
    pub fn set_node_count(&mut self, now: Time, nodes: usize) {
        if nodes != self.nodes {
            self.nodes = nodes;
            self.changed = now;
        }
        let stable = nodes > 1 && now.since(self.changed) >= STABLE;
        self.settled |= stable || now.since(self.started) >= SETTLE;
    }

    /// True when it answers questions of other nodes.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Counts a request. The same one may be asked about again.
    pub fn take(&mut self, now: Time, key: Key, question: &Query) -> Answer {
        if !self.settled {
            return self.take_early(key, question);
        }
        let tolerance = self.tolerance;
        let known = self.has_kept(now, &question.organisation);
        let account = self
            .accounts
            .entry(question.organisation.clone())
            .or_insert_with(|| {
                let first =
                    (!known).then(|| FIRST_TOKENS + tolerance.initial_excess(question.rate));
                Account::new(now, first, tolerance, question)
            });
        account.asked = now;
        account.follow(now, tolerance, question);
        account.forget(now);
        let decision = match account.take(now, key) {
            Ok(()) => Decision::Allow,
            Err(wait) => Decision::Deny(wait),
        };
        Answer {
            decision,
            tokens: account.allowance.level(now),
        }
    }

    /// Lets an organisation's first request through at some of the processes that
    /// don't know the members yet.
    fn take_early(&mut self, key: Key, question: &Query) -> Answer {
        let first = match self.early.get(&question.organisation) {
            Some(first) => Some(*first),
            None if is_chosen(key, question) => {
                self.early.insert(question.organisation.clone(), key);
                Some(key)
            }
            None => None,
        };
        let decision = if first == Some(key) {
            Decision::Allow
        } else {
            Decision::Unsettled
        };
        Answer {
            decision,
            tokens: 0.0,
        }
    }

    /// True when this node has kept the limits of the organisation's shard for as
    /// long as requests are counted, or would have, since no node came or went: then
    /// it knows of an organisation that sent something. Else another node may have
    /// let through what the limit allows.
    fn has_kept(&mut self, now: Time, organisation: &str) -> bool {
        let window = self.tolerance.window;
        let term = self
            .terms
            .entry(super::shard(organisation))
            .or_insert(Term {
                began: now,
                asked: now,
            });
        if now.since(term.asked) > window {
            term.began = now;
        }
        term.asked = now;
        now.since(term.began) >= window || now.since(self.changed) >= window
    }

    /// A request that was let through did not run.
    pub fn refund(&mut self, now: Time, key: Key, organisation: &Name) {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return;
        };
        if let Some((_, source)) = account.passed.remove(&key) {
            account.allowance.refund(now, source);
        }
    }

    /// Forgets organisations that nobody asks for any more.
    pub fn sweep(&mut self, now: Time) {
        self.accounts
            .retain(|_, account| now.since(account.asked) < FORGET);
    }

    /// Organisations that it counts for.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// True when it counts for none.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

/// One of some nodes that have just started lets an organisation's first request
/// through, since all of them may be asked.
fn is_chosen(key: Key, question: &Query) -> bool {
    let seed = key.gateway.port().into();
    let address = key.gateway.ip().to_string();
    let mixed = xxh3_64_with_seed(address.as_bytes(), seed);
    xxh3_64_with_seed(question.organisation.as_bytes(), mixed).is_multiple_of(UNSETTLED_ONE_IN)
}

impl Account {
    fn new(now: Time, first: Option<f64>, tolerance: Tolerance, question: &Query) -> Self {
        Self {
            allowance: Allowance::new(now, question.rate, tolerance, first),
            rate: question.rate,
            version: question.version,
            asked: now,
            passed: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Takes the newest limit, and what another keeper let through.
    fn follow(&mut self, now: Time, tolerance: Tolerance, question: &Query) {
        if question.version > self.version {
            self.version = question.version;
            if question.rate != self.rate {
                self.rate = question.rate;
                self.allowance.resize(now, self.rate, tolerance);
            }
        }
        if let Some(Hint { tokens, age }) = question.hint {
            let since = self.rate.per_second * age.as_secs_f64();
            self.allowance.cap(now, tokens + since);
        }
    }

    fn take(&mut self, now: Time, key: Key) -> Result<(), Duration> {
        if self.passed.contains_key(&key) {
            return Ok(());
        }
        let source = self.allowance.take(now)?;
        self.passed.insert(key, (now, source));
        self.order.push_back(key);
        Ok(())
    }

    fn forget(&mut self, now: Time) {
        while let Some(key) = self.order.front() {
            match self.passed.get(key) {
                Some((at, _)) if now.since(*at) < REMEMBERED => return,
                _ => {}
            }
            self.passed.remove(key);
            self.order.pop_front();
        }
    }
}
