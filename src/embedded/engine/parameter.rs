//! The parameters of the cost model.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Costs and capacity of an engine. The defaults describe a model of about 70 billion parameters on
/// eight accelerators; docs/design/engine.md derives them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Parameters {
    /// Fixed time of a step in microseconds, for reading the weights.
    pub step_us: f64,
    /// Time that each decoding sequence adds to a step, in microseconds.
    pub sequence_us: f64,
    /// Time that each thousand tokens of context add to a step, in microseconds.
    pub context_us: f64,
    /// Time that each prefilled token adds to a step, in microseconds.
    pub prefill_us: f64,
    /// Maximum number of prefilled tokens per step.
    pub chunk_tokens: u32,
    /// Maximum number of sequences that run at the same time.
    pub sequences: u32,
    /// Capacity of KV memory in tokens.
    pub kv_tokens: u32,
    /// Size of a block of the prefix cache in tokens.
    pub block_tokens: u32,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// True if urgent sequences suspend the others at no cost. No real engine does so; it is the
    /// oracle of the policy benchmark.
    #[serde(rename = "knows_urgent")]
    pub preempts_for_urgent: bool,
    /// With `preempts_for_urgent`, the maximum number of other sequences that run beside an urgent
    /// one.
    #[serde(rename = "beside_urgent")]
    pub max_beside_urgent: u32,
    /// Age of the load report in milliseconds.
    pub report_lag_ms: u64,
    /// Delay of cache events in milliseconds.
    pub event_lag_ms: u64,
    /// Percentage of cache events that are lost.
    pub event_loss: u32,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            step_us: 14_000.0,
            sequence_us: 80.0,
            context_us: 35.0,
            prefill_us: 100.0,
            chunk_tokens: 256,
            sequences: 64,
            kv_tokens: 48_000,
            block_tokens: 16,
            cache_blocks: 2_000,
            preempts_for_urgent: false,
            max_beside_urgent: u32::MAX,
            report_lag_ms: 500,
            event_lag_ms: 700,
            event_loss: 10,
        }
    }
}

impl Parameters {
    /// Divides all costs by `factor`, to shorten tests.
    #[must_use]
    pub fn faster(mut self, factor: f64) -> Self {
        self.step_us /= factor;
        self.sequence_us /= factor;
        self.context_us /= factor;
        self.prefill_us /= factor;
        self
    }

    /// Returns the duration of a step.
    pub fn step(&self, decoding: u32, context: u64, prefill: u32) -> Duration {
        let micros = self.step_us
            + self.sequence_us * f64::from(decoding)
            + self.context_us * context as f64 / 1_000.0
            + self.prefill_us * f64::from(prefill);
        Duration::from_secs_f64(micros.max(1.0) / 1e6)
    }
}
