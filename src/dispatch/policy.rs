//! Policies for running batch work alongside online requests.

use std::time::Duration;

/// How much batch work runs alongside online requests. Operators do not choose
/// the policy. They set `latency_weight`, which tunes the adaptive ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Every request is sent at once.
    All,
    /// Batch work gets a fixed percentage of the slots.
    Split(u32),
    /// Batch work is limited by the endpoint's estimated capacity. Running items
    /// are not preempted.
    Adaptive,
    /// Like [`Policy::Adaptive`], and batch streams are preempted when online requests
    /// need the capacity.
    #[default]
    AdaptiveCancel,
}

/// How much batch work may slow down online requests, derived from
/// `latency_weight`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// How much longer batch work may make slow steps, as a fraction of their
    /// duration without it.
    pub step: f64,
    /// Minimum interval between starts of batch items while online requests run.
    pub batch_start_interval: Duration,
    /// True when an online request preempts batch items that are being prefilled.
    pub preempts_prefill: bool,
}

impl Tolerance {
    /// Returns the tolerance at a weight from 0 (batch throughput) to 100 (online
    /// tail latency). docs/POLICY.md shows the costs of each.
    pub fn new(latency_weight: u32) -> Self {
        let slack = f64::from(100 - latency_weight.min(100)) / 100.0;
        let interval = match latency_weight {
            0..10 => Duration::ZERO,
            10..30 => Duration::from_millis(100),
            _ => Duration::from_secs(2),
        };
        Self {
            step: 0.02 + slack * slack,
            batch_start_interval: interval,
            preempts_prefill: latency_weight >= 20,
        }
    }
}
