//! Owner side of the shared limits: divides an organisation's limits between gateways.

use std::collections::HashMap;

use super::{Bound, Demand, GRANT_TTL, Grant};
use crate::clock::Time;
use crate::name::Name;

#[derive(Clone, Copy, Debug)]
struct Part {
    demand: Demand,
    grant: Grant,
    at: Time,
}

/// Divides the limits of the organisations that this node owns.
#[derive(Debug, Default)]
pub struct Owner {
    parts: HashMap<Name, HashMap<Name, Part>>,
}

impl Owner {
    /// Applies the report of one gateway and returns its share.
    ///
    /// The share is proportional to the gateway's part of the total demand, but excludes what
    /// other gateways still hold. Otherwise two gateways whose reports cross would together be
    /// granted more than the limit, at the expense of other organisations and unnoticed.
    pub fn report(
        &mut self,
        now: Time,
        node: &Name,
        organisation: &Name,
        bound: Bound,
        demand: Demand,
    ) -> Grant {
        let parts = self.parts.entry(Name::clone(organisation)).or_default();
        parts.retain(|_, part| now.since(part.at) < GRANT_TTL);
        let mut others = (Demand::default(), Grant::default());
        for (_, part) in parts.iter().filter(|(name, _)| *name != node) {
            others.0.rate += part.demand.rate;
            others.0.concurrency += part.demand.concurrency;
            others.1.rate += part.grant.rate;
            others.1.concurrency += part.grant.concurrency;
        }
        let grant = Grant {
            rate: rate(bound.rate, demand, others),
            concurrency: concurrency(bound.concurrency, demand, others),
        };
        let part = Part {
            demand,
            grant,
            at: now,
        };
        parts.insert(Name::clone(node), part);
        grant
    }

    /// Returns the number of organisations with a share at some gateway.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// True when no organisation has a share.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Evicts organisations whose shares have expired.
    pub fn sweep(&mut self, now: Time) {
        self.parts.retain(|_, parts| {
            parts.retain(|_, part| now.since(part.at) < GRANT_TTL);
            !parts.is_empty()
        });
    }
}

fn rate(bound: u32, demand: Demand, others: (Demand, Grant)) -> f32 {
    let bound = bound as f32;
    let total = demand.rate + others.0.rate;
    if total <= 0.0 {
        return (bound - others.1.rate).max(0.0);
    }
    let fair = bound * demand.rate / total;
    fair.min(bound - others.1.rate).max(0.0)
}

fn concurrency(bound: u32, demand: Demand, others: (Demand, Grant)) -> u32 {
    let left = bound.saturating_sub(others.1.concurrency);
    let total = u64::from(demand.concurrency) + u64::from(others.0.concurrency);
    if total == 0 {
        return left;
    }
    let fair = (u64::from(bound) * u64::from(demand.concurrency)).div_ceil(total);
    left.min(u32::try_from(fair).unwrap_or(u32::MAX))
}
