//! A gateway's local state of organisations' limits.
//!
//! It serves two purposes. An organisation that floods is refused locally, without a message,
//! until its bucket at the coordinator has a token. And while no coordinator can be reached, a
//! node lets a part of the limit through, less what coordinators let through at this node. For
//! most organisations that part is less than one request per second, so a node lets its first
//! request through with a probability at which all nodes together stay near the limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::bucket::Bucket;
use super::coordinator::{Answer, Decision, Hint};
use super::{ISOLATED_FRACTION, Rate, Tolerance};
use crate::clock::Time;
use crate::name::Name;

/// How long a coordinator's level is passed on to the next one; after this time a bucket of
/// usual size is full again.
const HINT_TTL: Duration = Duration::from_secs(10);
/// Maximum time for which requests are refused without a query: the limit may be raised
/// meanwhile, and tokens of requests that did not run may be refunded.
const MAX_EXHAUSTED: Duration = Duration::from_millis(500);
/// For an organisation that was over its limit within this time, the coordinator is queried
/// before an endpoint is acquired: a request that is then refused must not occupy an endpoint,
/// nor preempt batch work.
const OVER_LIMIT_TTL: Duration = Duration::from_secs(1);
/// Fraction of [`Tolerance::initial_excess`] that all isolated nodes let through together.
const ISOLATED_EXCESS: f64 = 0.5;
/// Idle time after which an organisation is evicted.
const ACCOUNT_TTL: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Account {
    seen: Time,
    /// Time until which the coordinator's bucket is empty.
    exhausted_until: Time,
    /// Time at which it was last over its limit.
    over_limit_at: Option<Time>,
    /// The coordinator of the last answer, its token level, and the time.
    last_answer: Option<(SocketAddr, f64, Time)>,
    /// Requests that coordinators let through since this node last decided by itself.
    passed: f64,
    /// The bucket for decisions without a coordinator.
    isolated: Option<Bucket>,
}

/// Local state of the organisations that send requests to this gateway.
#[derive(Debug)]
pub struct Meter {
    tolerance: Tolerance,
    accounts: HashMap<Name, Account>,
}

impl Meter {
    /// Creates a meter without organisations.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            accounts: HashMap::new(),
        }
    }

    /// Returns how long an organisation's bucket is still certainly empty.
    pub fn exhausted_for(&mut self, now: Time, organisation: &Name) -> Option<Duration> {
        let account = self.account(now, organisation);
        (now < account.exhausted_until).then(|| account.exhausted_until.since(now))
    }

    /// True when an organisation was over its limit recently.
    pub fn was_over_limit(&self, now: Time, organisation: &Name) -> bool {
        let over = self
            .accounts
            .get(organisation)
            .and_then(|it| it.over_limit_at);
        over.is_some_and(|at| now.since(at) < OVER_LIMIT_TTL)
    }

    /// Returns the last level, if a coordinator other than `coordinator` returned it.
    pub fn hint(&self, now: Time, organisation: &Name, coordinator: SocketAddr) -> Option<Hint> {
        let (from, tokens, at) = self.accounts.get(organisation)?.last_answer?;
        let age = now.since(at);
        (from != coordinator && age < HINT_TTL).then_some(Hint { tokens, age })
    }

    /// Returns the organisations that other coordinators than `coordinator` counted last, with
    /// their levels there.
    pub fn levels(
        &self,
        now: Time,
        coordinator: SocketAddr,
    ) -> impl Iterator<Item = (&Name, Hint)> {
        let level =
            move |organisation| Some((organisation, self.hint(now, organisation, coordinator)?));
        self.accounts.keys().filter_map(level)
    }

    /// Records the answer of a coordinator.
    pub fn record_answer(
        &mut self,
        now: Time,
        organisation: &Name,
        coordinator: SocketAddr,
        answer: Answer,
    ) {
        let account = self.account(now, organisation);
        if matches!(answer.decision, Decision::Allow | Decision::Deny(_)) {
            account.last_answer = Some((coordinator, answer.tokens, now));
        }
        match answer.decision {
            Decision::Deny(wait) => {
                account.over_limit_at = Some(now);
                account.exhausted_until = now + wait.min(MAX_EXHAUSTED);
            }
            Decision::Allow => account.passed += 1.0,
            Decision::Unsettled | Decision::Isolated(_) => {}
        }
    }

    /// Decides without a coordinator, at one of `nodes` nodes; `chance` is between 0 and 1.
    /// Returns true when the request is within this node's part.
    pub fn take_isolated(
        &mut self,
        now: Time,
        organisation: &Name,
        rate: Rate,
        nodes: usize,
        chance: f64,
    ) -> bool {
        let nodes = nodes.max(1) as f64;
        let excess = self.tolerance.initial_excess(rate) * ISOLATED_EXCESS;
        let account = self.account(now, organisation);
        let (all, capacity) = (
            rate.per_second * ISOLATED_FRACTION / nodes,
            (rate.burst / nodes).max(1.0),
        );
        let first = if chance < excess / nodes { 1.0 } else { 0.0 };
        let fresh = || Bucket::new(now, all, capacity, first);
        let bucket = account.isolated.get_or_insert_with(fresh);
        bucket.resize(now, all, capacity);
        let level = bucket.level(now);
        bucket.cap(now, (level - std::mem::take(&mut account.passed)).max(0.0));
        bucket.take(now).is_ok()
    }

    fn account(&mut self, now: Time, organisation: &Name) -> &mut Account {
        if !self.accounts.contains_key(organisation) {
            self.accounts
                .retain(|_, account| now.since(account.seen) < ACCOUNT_TTL);
        }
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert(Account {
                seen: now,
                exhausted_until: Time::ZERO,
                over_limit_at: None,
                last_answer: None,
                passed: 0.0,
                isolated: None,
            });
        account.seen = now;
        account
    }
}
