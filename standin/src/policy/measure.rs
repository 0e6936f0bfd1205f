//! What callers and jobs got out of a run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time that is told apart, in microseconds.
const MOST_US: u64 = 600_000_000;

/// The figures of one run.
#[derive(Clone, Debug)]
pub struct Measure {
    ttft: Histogram<u64>,
    itl: Histogram<u64>,
    /// Questions answered whole.
    pub done: u64,
    /// Questions with a final refusal.
    pub refused: u64,
    /// Batch items completed.
    pub items: u64,
    /// Batch tokens of completed items.
    pub batch_tokens: u64,
    /// Batch runs that were stopped.
    pub stopped: u64,
    /// Second and later attempts at questions.
    pub retried: u64,
    /// Second attempts at questions that were late.
    pub hedged: u64,
    /// Sequences that engines threw out for want of memory.
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
    /// A caller read a first token.
    pub fn first_token(&mut self, took: Duration) {
        record(&mut self.ttft, took);
    }

    /// A caller read a further token.
    pub fn next_token(&mut self, gap: Duration) {
        record(&mut self.itl, gap);
    }

    /// A quantile of the time to the first token, in milliseconds.
    pub fn ttft_ms(&self, quantile: f64) -> f64 {
        self.ttft.value_at_quantile(quantile) as f64 / 1e3
    }

    /// A quantile of the time between tokens, in milliseconds.
    pub fn itl_ms(&self, quantile: f64) -> f64 {
        self.itl.value_at_quantile(quantile) as f64 / 1e3
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MOST_US, 3).unwrap_or_else(|_| unreachable!())
}

fn record(histogram: &mut Histogram<u64>, took: Duration) {
    let micros = u64::try_from(took.as_micros()).unwrap_or(MOST_US);
    histogram.saturating_record(micros);
}
