//! The parameters of the cost model, in this one place.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an engine costs and holds. The defaults stand for a model of some 70
/// billion parameters on eight accelerators, worked out in
/// docs/design/engine.md.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Parameters {
    /// Microseconds that every step takes, to read the weights.
    pub step_us: f64,
    /// Microseconds that each decoding sequence adds to a step.
    pub sequence_us: f64,
    /// Microseconds that each thousand tokens of context add to a step.
    pub context_us: f64,
    /// Microseconds that each token of a prompt adds to a step.
    pub prefill_us: f64,
    /// Most tokens of prompts taken into one step.
    pub chunk_tokens: u32,
    /// Most sequences that run at the same time.
    pub sequences: u32,
    /// Tokens that fit into KV memory.
    pub kv_tokens: u32,
    /// Tokens of one block of the prefix cache.
    pub block_tokens: u32,
    /// Blocks that the prefix cache keeps.
    pub cache_blocks: usize,
    /// True for an engine that knows urgent sequences and sets the others aside
    /// at no cost. None does; it is the policy benchmark's oracle.
    #[serde(rename = "knows_urgent")]
    pub preempts_for_urgent: bool,
    /// With `preempts_for_urgent`, most others that run while an urgent one does.
    #[serde(rename = "beside_urgent")]
    pub max_beside_urgent: u32,
    /// Age of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Age of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Cache events that get lost, in a hundred.
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
    /// The same engine with every cost divided by `factor`, for tests that
    /// should not take long.
    #[must_use]
    pub fn faster(mut self, factor: f64) -> Self {
        self.step_us /= factor;
        self.sequence_us /= factor;
        self.context_us /= factor;
        self.prefill_us /= factor;
        self
    }

    /// Time that a step takes.
    pub fn step(&self, decoding: u32, context: u64, prefill: u32) -> Duration {
        let micros = self.step_us
            + self.sequence_us * f64::from(decoding)
            + self.context_us * context as f64 / 1_000.0
            + self.prefill_us * f64::from(prefill);
        Duration::from_secs_f64(micros.max(1.0) / 1e6)
    }
}
