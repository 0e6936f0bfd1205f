//! What a gateway remembers of organisations' limits between requests.
//!
//! It answers two loads. An organisation that floods is refused here, without a
//! message, until its bucket has room. And while no keeper can be asked, a node
//! lets a part of the limit through, less what keepers let through here. For most
//! organisations that is less than a request a second: so a node's first request
//! is let through by chance, and all nodes together stay near the limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::bucket::Bucket;
use super::coordinator::{Answer, Decision, Hint};
use super::{ISOLATED_FRACTION, Rate, Tolerance};
use crate::clock::Time;
use crate::name::Name;

/// How long a keeper's word is passed on to the next one; after this a bucket
/// of usual size has filled up.
const HINT: Duration = Duration::from_secs(10);
/// Longest time for which requests are refused without asking: a limit may be
/// raised, and requests that did not run be given back.
const MOST_DRY: Duration = Duration::from_millis(500);
/// An organisation that was over its limit so lately is asked about before a
/// place is looked for: what is refused must not take one, nor stop batch work.
const SUSPICIOUS: Duration = Duration::from_secs(1);
/// The part of a keeper's first requests that all nodes alone let through.
const ALONE_SPARE: f64 = 0.5;
/// An organisation that sends nothing is forgotten after this.
const FORGET: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Account {
    seen: Time,
    /// Until when the keeper's bucket has no room.
    dry_until: Time,
    /// When it was last over its limit.
    over: Option<Time>,
    /// The keeper that was heard last, its tokens, and when.
    heard: Option<(SocketAddr, f64, Time)>,
    /// Requests that keepers let through since this node last decided alone.
    passed: f64,
    /// The bucket of this node alone.
    alone: Option<Bucket>,
}

/// The organisations that send requests to this gateway.
#[derive(Debug)]
pub struct Meter {
    tolerance: Tolerance,
    accounts: HashMap<Name, Account>,
}

impl Meter {
    /// Knows no organisation yet.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            accounts: HashMap::new(),
        }
    }

    /// How long an organisation's bucket surely has no room.
    pub fn exhausted_for(&mut self, now: Time, organisation: &Name) -> Option<Duration> {
        let account = self.account(now, organisation);
        (now < account.dry_until).then(|| account.dry_until.since(now))
    }

    /// True when an organisation was over its limit a moment ago.
    pub fn was_over_limit(&self, now: Time, organisation: &Name) -> bool {
        let over = self.accounts.get(organisation).and_then(|it| it.over);
        over.is_some_and(|at| now.since(at) < SUSPICIOUS)
    }

    /// What another keeper than `keeper` told last.
    pub fn hint(&self, now: Time, organisation: &Name, keeper: SocketAddr) -> Option<Hint> {
        let (from, tokens, at) = self.accounts.get(organisation)?.heard?;
        let age = now.since(at);
        (from != keeper && age < HINT).then_some(Hint { tokens, age })
    }

    /// A keeper answered.
    pub fn record_answer(
        &mut self,
        now: Time,
        organisation: &Name,
        keeper: SocketAddr,
        verdict: Answer,
    ) {
        let account = self.account(now, organisation);
        if matches!(verdict.decision, Decision::Allow | Decision::Deny(_)) {
            account.heard = Some((keeper, verdict.tokens, now));
        }
        match verdict.decision {
            Decision::Deny(wait) => {
                account.over = Some(now);
                account.dry_until = now + wait.min(MOST_DRY);
            }
            Decision::Allow => account.passed += 1.0,
            Decision::Unsettled | Decision::Isolated(_) => {}
        }
    }

    /// Decides without a keeper, at one of `nodes`; `chance` lies between 0 and 1.
    /// True when this node's part has room.
    pub fn take_isolated(
        &mut self,
        now: Time,
        organisation: &Name,
        rate: Rate,
        nodes: usize,
        chance: f64,
    ) -> bool {
        let nodes = nodes.max(1) as f64;
        let spare = self.tolerance.initial_excess(rate) * ALONE_SPARE;
        let account = self.account(now, organisation);
        let (all, capacity) = (
            rate.per_second * ISOLATED_FRACTION / nodes,
            (rate.burst / nodes).max(1.0),
        );
        let first = if chance < spare / nodes { 1.0 } else { 0.0 };
        let fresh = || Bucket::new(now, all, capacity, first);
        let bucket = account.alone.get_or_insert_with(fresh);
        bucket.resize(now, all, capacity);
        let level = bucket.level(now);
        bucket.cap(now, (level - std::mem::take(&mut account.passed)).max(0.0));
        bucket.take(now).is_ok()
    }

    fn account(&mut self, now: Time, organisation: &Name) -> &mut Account {
        if !self.accounts.contains_key(organisation) {
            self.accounts
                .retain(|_, account| now.since(account.seen) < FORGET);
        }
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert(Account {
                seen: now,
                dry_until: Time::ZERO,
                over: None,
                heard: None,
                passed: 0.0,
                alone: None,
            });
        account.seen = now;
        account
    }
}
