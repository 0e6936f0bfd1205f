//! Gateway side of the shared limits: admits requests within the gateway's share.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::Bucket;
use super::{Bound, Demand, GRANT_TTL, Grant, REPORT_INTERVAL};
use crate::clock::Time;
use crate::name::Name;
use crate::outcome::{Reason, Refusal};

/// Burst of a share, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;
/// Minimum retry delay of a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Idle time after which an organisation is evicted.
const ACCOUNT_TTL: Duration = Duration::from_secs(30);
/// Weight of the newest interval in the moving average of the reported rate.
const RATE_GAIN: f32 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Account {
    bucket: Bucket,
    running: u32,
    /// Maximum concurrency since the last report, including refused requests.
    peak: u32,
    requests: u32,
    rate: f32,
    last_request: Time,
    reported: Option<Time>,
    grant: Option<(Grant, Time)>,
}

/// Admits the requests of organisations at one gateway.
#[derive(Debug)]
pub struct Limiter {
    nodes: u32,
    bounds: HashMap<Name, Bound>,
    accounts: HashMap<Name, Account>,
}

impl Limiter {
    /// Creates a limiter without bounds, in a fleet of `nodes`.
    pub fn new(nodes: u32) -> Self {
        Self {
            nodes: nodes.max(1),
            bounds: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Sets the number of nodes.
    pub fn nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Applies the bounds of a new configuration.
    pub fn update<B>(&mut self, bounds: B)
    where
        B: IntoIterator<Item = (Name, Bound)>,
    {
        self.bounds = bounds.into_iter().collect();
    }

    /// Returns the bound of an organisation.
    pub fn bound(&self, organisation: &str) -> Bound {
        self.bounds.get(organisation).copied().unwrap_or_default()
    }

    /// Admits a request; [`Limiter::release`] must be called when it ends.
    ///
    /// # Errors
    /// [`Reason::Limited`] with the delay until a retry; nothing has run.
    pub fn admit(&mut self, now: Time, organisation: &Name) -> Result<(), Refusal> {
        let bound = self.bound(organisation);
        let nodes = self.nodes;
        let account = self
            .accounts
            .entry(Name::clone(organisation))
            .or_insert_with(|| Account::new(now));
        account.requests += 1;
        account.last_request = now;
        account.peak = account.peak.max(account.running + 1);
        let share = account.share(now, bound, nodes);
        if bound.concurrency > 0 && account.running >= share.concurrency {
            return Err(refusal(
                "too many concurrent requests of the organisation",
                REPORT_INTERVAL,
            ));
        }
        if bound.rate > 0 {
            account.take(now, share.rate)?;
        }
        account.running += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn release(&mut self, organisation: &str) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Returns the reports that are due, to be sent to each organisation's owner. Only
    /// organisations with a bound are reported.
    pub fn reports(&mut self, now: Time) -> Vec<(Name, Demand)> {
        let bounds = &self.bounds;
        self.accounts.retain(|_, account| {
            account.running > 0 || now.since(account.last_request) < ACCOUNT_TTL
        });
        let mut due = Vec::new();
        for (name, account) in &mut self.accounts {
            let bounded = bounds
                .get(name)
                .is_some_and(|bound| bound.rate > 0 || bound.concurrency > 0);
            if bounded && let Some(demand) = account.report(now) {
                due.push((Name::clone(name), demand));
            }
        }
        due
    }

    /// Applies a share granted by the owner.
    pub fn grant(&mut self, now: Time, organisation: &str, grant: Grant) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.grant = Some((grant, now));
        }
    }

    /// Returns the number of requests that run at this gateway.
    pub fn running(&self, organisation: &str) -> u32 {
        self.accounts.get(organisation).map_or(0, |a| a.running)
    }
}

impl Account {
    fn new(now: Time) -> Self {
        Self {
            bucket: Bucket::new(now, 0.0, 1.0, 1.0),
            running: 0,
            peak: 0,
            requests: 0,
            rate: 0.0,
            last_request: now,
            reported: None,
            grant: None,
        }
    }

    /// Returns the granted share, or an equal part while there is none: at least one request,
    /// so that the first one need not wait for the owner.
    fn share(&self, now: Time, bound: Bound, nodes: u32) -> Grant {
        match self.grant {
            Some((grant, at)) if now.since(at) < GRANT_TTL => grant,
            _ => Grant {
                rate: bound.rate as f32 / nodes as f32,
                concurrency: (bound.concurrency / nodes).max(1),
            },
        }
    }

    fn take(&mut self, now: Time, rate: f32) -> Result<(), Refusal> {
        let rate = f64::from(rate);
        let most = (rate * BURST_SECONDS).max(1.0);
        self.bucket.resize(now, rate, most);
        let taken = self.bucket.take(now);
        taken.map_err(|wait| {
            // A share of zero may grow with the next report.
            let wait = if rate > 0.0 { wait } else { REPORT_INTERVAL };
            refusal("too many requests per second of the organisation", wait)
        })
    }

    fn report(&mut self, now: Time) -> Option<Demand> {
        let passed = match self.reported {
            Some(at) if now.since(at) < REPORT_INTERVAL => return None,
            Some(at) => now.since(at),
            None => REPORT_INTERVAL,
        };
        let newest = self.requests as f32 / passed.as_secs_f32();
        self.rate = match self.reported {
            Some(_) => self.rate + RATE_GAIN * (newest - self.rate),
            None => newest,
        };
        let demand = Demand {
            rate: self.rate,
            concurrency: self.peak.max(self.running),
        };
        self.reported = Some(now);
        self.requests = 0;
        self.peak = self.running;
        Some(demand)
    }
}

fn refusal(message: &str, retry_after: Duration) -> Refusal {
    Refusal::new(Reason::Limited)
        .after(retry_after.max(MIN_RETRY_DELAY))
        .with_message(message)
}
