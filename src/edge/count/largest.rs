//! A counter per organisation that exports only the largest values.
//!
//! One series per organisation would give about a million series over all nodes; without any,
//! operators could not see which organisation floods the system.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric as _};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;

use crate::name::Name;

/// Number of organisations exported by name.
const TOP_ORGANISATIONS: usize = 8;
/// Label value of the sum over all other organisations.
const OTHERS: &str = "others";

/// An event counter per organisation; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Largest {
    counts: Arc<Mutex<HashMap<Name, u64>>>,
}

impl Largest {
    /// Increments the organisation's counter.
    pub fn add(&self, organisation: &Name) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(organisation.clone()).or_default() += 1;
    }

    /// Returns the largest counts by name, and the sum of the others.
    pub fn list(&self) -> Vec<(Name, u64)> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all: Vec<(Name, u64)> = counts.iter().map(|(name, n)| (name.clone(), *n)).collect();
        drop(counts);
        all.sort_unstable_by(|(a, m), (b, n)| n.cmp(m).then_with(|| a.cmp(b)));
        let rest = all.split_off(TOP_ORGANISATIONS.min(all.len()));
        let others: u64 = rest.iter().map(|(_, n)| n).sum();
        if others > 0 {
            all.push((OTHERS.into(), others));
        }
        all
    }
}

impl Collector for Largest {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let mut metric = encoder.encode_descriptor(
            "over_limit",
            "Requests over their organisation's limit, of the largest organisations",
            None,
            MetricType::Counter,
        )?;
        for (organisation, count) in self.list() {
            let labels = [("organisation", &*organisation)];
            ConstCounter::new(count).encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }
}
