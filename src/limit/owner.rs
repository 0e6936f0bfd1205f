//! The side of the node that divides an organisation's limits.

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
    /// Takes the report of one gateway and answers with its share.
    ///
    /// The share follows the gateway's part of all demand but never takes what
    /// others still hold. Without that, two gateways whose reports cross would
    /// together be granted more than the limit, and nobody would notice but
    /// the organisation's neighbours.
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

    /// Organisations that have a share somewhere.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// True when nothing is divided.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Forgets organisations that nobody asks for any more.
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
