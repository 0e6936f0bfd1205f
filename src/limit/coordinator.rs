//! The node that counts an organisation's requests on behalf of all nodes.
//!
//! The member that a shard of organisations is assigned to holds their token buckets. Each
//! request is counted there while the pool looks for an endpoint, so that the limit is exact
//! without added latency. All of it is soft state. When the coordinator changes, a bucket that
//! starts full would grant a second burst at each change, and one that starts empty would
//! refuse requests below the limit. Gateways therefore send with each query the level that
//! another coordinator last returned, and a new bucket starts from it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::allowance::{Allowance, Source};
use super::{Rate, Tolerance};
use crate::clock::Time;
use crate::name::Name;
use crate::pool::Key;

/// How long a token can be refunded and a query be repeated: longer than a request may wait for
/// an endpoint.
const TOKEN_TTL: Duration = Duration::from_secs(6);
/// Idle time after which an organisation is evicted; its bucket is certainly full again by then.
const ACCOUNT_TTL: Duration = Duration::from_secs(120);
/// Time without queries after which another coordinator may have counted an organisation
/// meanwhile, if that one is passed over now.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Tokens of a new bucket without history.
const INITIAL_TOKENS: f64 = 1.0;
/// Uptime after which a process has found the members, or is really the only one.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// A new process has found all members once their number has not changed for this long, since
/// members gossip every 100 ms.
const STABLE_TIME: Duration = Duration::from_millis(150);

/// Query of a gateway about one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// Its limit in that version of the configuration.
    #[serde(rename = "l")]
    pub rate: Rate,
    /// The version of the configuration; the newest received one applies.
    #[serde(rename = "v")]
    pub version: u64,
    /// The level that another coordinator last returned.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<Hint>,
    /// True when the gateway passed over the shard's own coordinator, which does not answer.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub passed_over: bool,
    /// True when no other candidate for the coordinator answers the gateway.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub others_silent: bool,
}

/// Token level at another coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hint {
    /// The tokens.
    #[serde(rename = "t")]
    pub tokens: f64,
    /// How long ago that coordinator returned it.
    #[serde(rename = "a")]
    pub age: Duration,
}

/// Decision of a coordinator about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The request is counted and may run.
    #[serde(rename = "p")]
    Allow,
    /// The request is over the limit; a token is available after this time.
    #[serde(rename = "o")]
    Deny(Duration),
    /// The coordinator has just started and can't decide.
    #[serde(rename = "u")]
    Unsettled,
    /// The coordinator is this node, and it is isolated from the others of this many nodes.
    #[serde(rename = "a")]
    Isolated(usize),
}

/// Answer of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The decision about the request.
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
    last_query: Time,
    /// Requests that were let through within the last [`TOKEN_TTL`].
    passed: HashMap<Key, (Time, Source)>,
    /// Keys of `passed`, oldest first.
    order: VecDeque<Key>,
}

/// Period in which queries of a shard arrived here.
#[derive(Clone, Copy)]
struct Term {
    first_query: Time,
    last_query: Time,
}

/// Counts the requests of organisations on behalf of all nodes.
pub struct Coordinator {
    started: Time,
    tolerance: Tolerance,
    /// By shard of organisations.
    terms: HashMap<u64, Term>,
    /// True once this process has found the other members, or is the only one.
    settled: bool,
    /// Number of nodes in the membership view, and the time of its last change.
    nodes: usize,
    changed: Time,
    accounts: HashMap<Name, Account>,
}

impl Coordinator {
    /// Creates a coordinator without accounts, in a process that started at `started`.
    pub fn new(started: Time, tolerance: Tolerance) -> Self {
        Self {
            started,
            tolerance,
            terms: HashMap::new(),
            settled: false,
            nodes: 0,
            changed: started,
            accounts: HashMap::new(),
        }
    }

    /// Sets the number of nodes in the membership view, including this one. Until it has found
    /// the others, the coordinator does not answer their queries and lets nothing through:
    /// when many nodes restart at once, each considers itself, or one of the few that it has
    /// found, the coordinator of every limit, and together they would let a multiple of it
    /// through. Even a single request at a few of them is beyond the limit where there are
    /// hundreds.
    pub fn set_node_count(&mut self, now: Time, nodes: usize) {
        if nodes != self.nodes {
            self.nodes = nodes;
            self.changed = now;
        }
        let stable = nodes > 1 && now.since(self.changed) >= STABLE_TIME;
        self.settled |= stable || now.since(self.started) >= SETTLE_TIME;
    }

    /// True when it answers queries of other nodes.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Counts a request. Idempotent: a repeated query for the same request is counted once.
    pub fn take(&mut self, now: Time, key: Key, query: &Query) -> Answer {
        if !self.settled {
            return Answer {
                decision: Decision::Unsettled,
                tokens: 0.0,
            };
        }
        let tolerance = self.tolerance;
        let has_history = self.has_history(now, &query.organisation) && !query.passed_over;
        let first = INITIAL_TOKENS + tolerance.initial_excess(query.rate);
        let account = self
            .accounts
            .entry(query.organisation.clone())
            .or_insert_with(|| {
                let first = (!has_history).then_some(first);
                Account::new(now, first, tolerance, query)
            });
        if query.passed_over && now.since(account.last_query) >= MAX_GAP {
            account.allowance.cap(now, first);
        }
        account.last_query = now;
        account.update(now, tolerance, query);
        account.evict_tokens(now);
        let decision = match account.take(now, key) {
            Ok(()) => Decision::Allow,
            Err(wait) => Decision::Deny(wait),
        };
        Answer {
            decision,
            tokens: account.allowance.level(now),
        }
    }

    /// Lowers an organisation's bucket to the level at another coordinator, which counted while
    /// this one did not answer.
    pub fn learn(&mut self, now: Time, organisation: &Name, hint: Hint) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.apply_hint(now, hint);
        }
    }

    /// Records a request of this node's own gateway that is not counted here because this node is
    /// isolated. The bucket must not refill meanwhile: the others count elsewhere, and a full
    /// bucket would let another burst through once they are back.
    pub fn record_isolated(&mut self, now: Time, query: &Query) {
        if let Some(account) = self.accounts.get_mut(&query.organisation) {
            let first = INITIAL_TOKENS + self.tolerance.initial_excess(query.rate);
            account.allowance.cap(now, first);
        }
    }

    /// True when this node has coordinated the organisation's shard for a whole window, or
    /// would have, because the number of nodes has not changed for that long: its history is
    /// then complete. Otherwise another node may already have let the limit through. A
    /// coordinator that has just been lost is still a member, so the gateways' word that they
    /// passed it over counts as well.
    fn has_history(&mut self, now: Time, organisation: &str) -> bool {
        let window = self.tolerance.window;
        let term = self
            .terms
            .entry(super::shard(organisation))
            .or_insert(Term {
                first_query: now,
                last_query: now,
            });
        if now.since(term.last_query) > window {
            term.first_query = now;
        }
        term.last_query = now;
        now.since(term.first_query) >= window || now.since(self.changed) >= window
    }

    /// Returns the token of a request that was let through and did not run.
    pub fn refund(&mut self, now: Time, key: Key, organisation: &Name) {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return;
        };
        if let Some((_, source)) = account.passed.remove(&key) {
            account.allowance.refund(now, source);
        }
    }

    /// Evicts organisations without recent queries.
    pub fn sweep(&mut self, now: Time) {
        self.accounts
            .retain(|_, account| now.since(account.last_query) < ACCOUNT_TTL);
    }

    /// Returns the number of organisations whose requests it counts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// True when it counts for none.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

impl Account {
    fn new(now: Time, first: Option<f64>, tolerance: Tolerance, query: &Query) -> Self {
        Self {
            allowance: Allowance::new(now, query.rate, tolerance, first),
            rate: query.rate,
            version: query.version,
            last_query: now,
            passed: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Applies the newest limit, and the level of another coordinator.
    fn update(&mut self, now: Time, tolerance: Tolerance, query: &Query) {
        if query.version > self.version {
            self.version = query.version;
            if query.rate != self.rate {
                self.rate = query.rate;
                self.allowance.resize(now, self.rate, tolerance);
            }
        }
        if let Some(hint) = query.hint {
            self.apply_hint(now, hint);
        }
    }

    fn apply_hint(&mut self, now: Time, Hint { tokens, age }: Hint) {
        let since = self.rate.per_second * age.as_secs_f64();
        self.allowance.cap(now, tokens + since);
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

    fn evict_tokens(&mut self, now: Time) {
        while let Some(key) = self.order.front() {
            match self.passed.get(key) {
                Some((at, _)) if now.since(*at) < TOKEN_TTL => return,
                _ => {}
            }
            self.passed.remove(key);
            self.order.pop_front();
        }
    }
}
