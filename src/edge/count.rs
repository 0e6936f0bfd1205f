//! The metrics of a node, served as text on its metrics address.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::answer::{self, Framing};
use crate::name::Name;

pub mod largest;

use largest::Largest;

/// Label that gives the reason of an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Cause {
    reason: &'static str,
}

/// Labels of a request that the node ended as wrong.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Rejection {
    reason: &'static str,
    status: u16,
}

/// Labels of an answer that an endpoint ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ending {
    framing: &'static str,
    end: &'static str,
}

/// Labels of a run that resumes a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Resumption {
    by: &'static str,
    software: &'static str,
}

/// The counters of one process; clones share them.
#[derive(Clone, Debug)]
pub struct Count {
    registry: Arc<Registry>,
    refused: Family<Cause, Counter>,
    rejected: Family<Rejection, Counter>,
    retried: Family<Cause, Counter>,
    answers: Family<Ending, Counter>,
    resumed: Family<Resumption, Counter>,
    items: Family<Cause, Counter>,
    jobs: Family<Cause, Counter>,
    feed: Family<Cause, Counter>,
    first_event: Histogram,
    request: Histogram,
    over_limit: Largest,
    blamed: Counter,
    condemned: Counter,
    trials: Counter,
}

impl Default for Count {
    fn default() -> Self {
        Self::new(|_| {})
    }
}

impl Count {
    /// Registers every metric, and lets other components register theirs.
    pub fn new<F>(more: F) -> Self
    where
        F: FnOnce(&mut Registry),
    {
        let refused = Family::<Cause, Counter>::default();
        let rejected = Family::<Rejection, Counter>::default();
        let retried = Family::<Cause, Counter>::default();
        let answers = Family::<Ending, Counter>::default();
        let resumed = Family::<Resumption, Counter>::default();
        let items = Family::<Cause, Counter>::default();
        let jobs = Family::<Cause, Counter>::default();
        let feed = Family::<Cause, Counter>::default();
        let first_event = Histogram::new(exponential_buckets(0.005, 1.5, 20));
        let request = Histogram::new(exponential_buckets(0.01, 1.5, 20));
        let mut registry = Registry::with_prefix("auburnspoke");
        registry.register("refused", "Requests refused, by reason", refused.clone());
        registry.register(
            "rejected",
            "Requests that this node ended with a 3xx or 4xx status of its own, by reason and status",
            rejected.clone(),
        );
        registry.register("retried", "Requests retried, by reason", retried.clone());
        registry.register(
            "answers",
            "Answers whose body endpoints ended, by framing and by where it ended",
            answers.clone(),
        );
        registry.register(
            "resumed",
            "Runs that resume a stream, by who resumes it and by how the endpoint's software compares with the one that began it",
            resumed.clone(),
        );
        registry.register(
            "items",
            "Runs of batch items, by how they ended",
            items.clone(),
        );
        registry.register(
            "jobs",
            "Batch jobs, by what became of them here",
            jobs.clone(),
        );
        registry.register(
            "feed",
            "Readings of the store's changes, by who told them or why not",
            feed.clone(),
        );
        registry.register(
            "first_event_seconds",
            "From a request's arrival to its first event",
            first_event.clone(),
        );
        registry.register(
            "request_seconds",
            "From a request's arrival to the end of its answer",
            request.clone(),
        );
        let blamed = Counter::default();
        registry.register(
            "blamed",
            "Runs lost here because their endpoint ended",
            blamed.clone(),
        );
        let condemned = Counter::default();
        registry.register(
            "condemned",
            "Verdicts reached here on requests that crash endpoints",
            condemned.clone(),
        );
        let trials = Counter::default();
        registry.register(
            "trials",
            "Runs of requests after the end of a verdict on them",
            trials.clone(),
        );
        let over_limit = Largest::default();
        registry.register_collector(Box::new(over_limit.clone()));
        more(&mut registry);
        Self {
            registry: Arc::new(registry),
            refused,
            rejected,
            retried,
            answers,
            resumed,
            items,
            jobs,
            feed,
            first_event,
            request,
            over_limit,
            blamed,
            condemned,
            trials,
        }
    }

    /// Counts a run that was lost because its endpoint ended.
    pub fn record_lost_run(&self) {
        self.blamed.inc();
    }

    /// Counts a verdict that a request crashes endpoints.
    pub fn record_verdict(&self) {
        self.condemned.inc();
    }

    /// Counts a run after the end of a verdict.
    pub fn record_trial(&self) {
        self.trials.inc();
    }

    /// Counts a refusal.
    pub fn refuse(&self, reason: &'static str) {
        self.refused.get_or_create(&Cause { reason }).inc();
    }

    /// Counts a request that this node ended with `status`, if that says that the request is wrong.
    /// 408, 421 and 429 say that it was not run, and that it may be sent again.
    pub fn reject(&self, reason: &'static str, status: StatusCode) {
        let is_not_run = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
        );
        if (status.is_redirection() || status.is_client_error()) && !is_not_run {
            let status = status.as_u16();
            self.rejected
                .get_or_create(&Rejection { reason, status })
                .inc();
        }
    }

    /// Counts a request that was over its organisation's limit.
    pub fn over_limit(&self, organisation: &Name) {
        self.over_limit.add(organisation);
    }

    /// Counts a retry.
    pub fn retry(&self, reason: &'static str) {
        self.retried.get_or_create(&Cause { reason }).inc();
    }

    /// Counts an answer whose body an endpoint ended.
    pub fn answer(&self, framing: Framing, end: answer::End) {
        let (framing, end) = (framing.label(), end.label());
        self.answers.get_or_create(&Ending { framing, end }).inc();
    }

    /// Counts a run that resumes a stream: by the node within one answer, by its caller, or of an
    /// item. `origin` is the version of the software that began it, and `software` that of the
    /// endpoint.
    pub fn resumption(&self, by: &'static str, origin: Option<&Name>, software: Option<&Name>) {
        let software = match (origin, software) {
            (Some(origin), Some(software)) if origin == software => "same",
            (Some(_), Some(_)) => "other",
            _ => "unknown",
        };
        self.resumed
            .get_or_create(&Resumption { by, software })
            .inc();
    }

    /// Counts a finished run of a batch item, by outcome.
    pub fn item(&self, reason: &'static str) {
        self.items.get_or_create(&Cause { reason }).inc();
    }

    /// Counts a batch job, by what happened to it on this node.
    pub fn job(&self, reason: &'static str) {
        self.jobs.get_or_create(&Cause { reason }).inc();
    }

    /// Counts a read of the store's changes, by its source or by why a reader was not used.
    pub fn feed(&self, reason: &'static str) {
        self.feed.get_or_create(&Cause { reason }).inc();
    }

    /// Records the time from arrival to the first event.
    pub fn first_event(&self, took: Duration) {
        self.first_event.observe(took.as_secs_f64());
    }

    /// Records the time from arrival to the end of the answer.
    pub fn done(&self, took: Duration) {
        self.request.observe(took.as_secs_f64());
    }

    /// Returns all metrics in text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
