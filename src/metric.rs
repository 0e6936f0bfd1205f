//! Counters and histograms, exported as `OpenMetrics` text under `/metrics`.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::outcome::Reason;
use crate::request::Class;

/// Labels of a refusal or a retry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Cause {
    class: &'static str,
    reason: &'static str,
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refused: Family<Cause, Counter>,
    retried: Family<Cause, Counter>,
    first_token: Histogram,
    between_tokens: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers every metric. Each reason is exported from the start, so that a counter at zero
    /// differs from a missing one.
    pub fn new() -> Self {
        let refused = Family::<Cause, Counter>::default();
        let retried = Family::<Cause, Counter>::default();
        let first_token = Histogram::new(exponential_buckets(0.001, 1.5, 24));
        let between_tokens = Histogram::new(exponential_buckets(0.000_5, 1.5, 20));
        for class in Class::ALL {
            for reason in Reason::ALL {
                drop(refused.get_or_create(&cause(class, reason)));
                drop(retried.get_or_create(&cause(class, reason)));
            }
        }
        let mut registry = Registry::with_prefix("auburnspoke");
        registry.register("refused", "Requests refused, by reason", refused.clone());
        registry.register("retried", "Requests retried, by reason", retried.clone());
        registry.register(
            "first_token_seconds",
            "Time from a question's arrival to its first token",
            first_token.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Time between two pieces of an answer",
            between_tokens.clone(),
        );
        Self {
            registry,
            refused,
            retried,
            first_token,
            between_tokens,
        }
    }

    /// Registers the metrics of another module; only before the node starts.
    pub fn extend<F>(&mut self, register: F)
    where
        F: FnOnce(&mut Registry),
    {
        register(&mut self.registry);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, class: Class, reason: Reason) {
        self.refused.get_or_create(&cause(class, reason)).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, class: Class, reason: Reason) {
        self.retried.get_or_create(&cause(class, reason)).inc();
    }

    /// Records the time to a first token.
    pub fn record_first_token(&self, took: Duration) {
        self.first_token.observe(took.as_secs_f64());
    }

    /// Records the time between two pieces of an answer.
    pub fn record_between_tokens(&self, took: Duration) {
        self.between_tokens.observe(took.as_secs_f64());
    }

    /// Returns the body of `/metrics`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string can't fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}

fn cause(class: Class, reason: Reason) -> Cause {
    Cause {
        class: class.label(),
        reason: reason.label(),
    }
}
