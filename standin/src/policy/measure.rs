//! The measurements of a run, as callers and jobs see it.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time that the histograms record; longer ones count as this.
const MAX_TIME_US: u64 = 600_000_000;

/// The figures of one run.
#[derive(Clone, Debug)]
pub struct Measure {
    ttft: Histogram<u64>,
    itl: Histogram<u64>,
    /// Completed online requests.
    pub done: u64,
    /// Online requests refused after all retries.
    pub refused: u64,
    /// Completed batch items.
    pub items: u64,
    /// Tokens of completed batch items.
    pub batch_tokens: u64,
    /// Batch runs that were stopped.
    pub stopped: u64,
    /// Retries of online requests.
    pub retried: u64,
    /// Hedges of late online requests.
    pub hedged: u64,
    /// Sequences that engines preempted for lack of memory.
    pub preempted: u64,
}

impl Default for Measure {
    fn default() -> Self {
        Self {
            ttft: histogram(),
            itl: histogram(),
            done: 0,
            refused: 0,
            items: 0,
            batch_tokens: 0,
            stopped: 0,
            retried: 0,
            hedged: 0,
            preempted: 0,
        }
    }
}

impl Measure {
    /// Records the time to a first token.
    pub fn record_first_token(&mut self, took: Duration) {
        record(&mut self.ttft, took);
    }

    /// Records the time between two tokens.
    pub fn record_gap(&mut self, gap: Duration) {
        record(&mut self.itl, gap);
    }

    /// Returns a quantile of the time to the first token.
    pub fn ttft_ms(&self, quantile: f64) -> f64 {
        self.ttft.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns a quantile of the time between tokens.
    pub fn itl_ms(&self, quantile: f64) -> f64 {
        self.itl.value_at_quantile(quantile) as f64 / 1e3
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_TIME_US, 3).unwrap_or_else(|_| unreachable!())
}

fn record(histogram: &mut Histogram<u64>, took: Duration) {
    let micros = u64::try_from(took.as_micros()).unwrap_or(MAX_TIME_US);
    histogram.saturating_record(micros);
}
