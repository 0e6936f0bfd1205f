//! Estimate of an endpoint's capacity from the streams that pass through here.
//!
//! The engine's report lags by half a second or more, which is long enough for
//! a burst to cause damage. The timing of tokens shows immediately how long each
//! decoding step took and how many sequences it included.

use std::time::Duration;

use super::Report;
use crate::clock::Time;

/// Tokens that arrive closer together than this belong to one step.
const SAME_STEP: Duration = Duration::from_micros(1_500);
/// Longer gaps are faults and not counted as steps.
const MAX_STEP: Duration = Duration::from_secs(2);
/// Decay factor of the regression's sums for each step.
const DECAY: f64 = 0.998;
/// Weight of a new sample in an exponential moving average.
const GAIN: f64 = 0.05;
/// Minimum number of steps before the regression is used.
const MIN_STEPS: f64 = 20.0;
/// Step size of the running quantile of concurrent online requests.
const QUANTILE_GAIN: f64 = 0.2;
/// The quantile of concurrent online requests at which slow steps are estimated.
const QUANTILE: f64 = 0.97;
/// Reports with less used KV cache than this are too inaccurate to derive its capacity.
const MIN_KV_USED: f32 = 0.1;

/// Estimates of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    last_step: Time,
    decoding: u32,
    prefilling: bool,
    regression: Regression,
    prefill_us: f64,
    online_quantile: f64,
    first_token_us: f64,
    kv_tokens: f64,
}

/// Exponentially decaying linear regression of microseconds over sequences.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Regression {
    fn add(&mut self, x: f64, y: f64) {
        for (sum, value) in [
            (&mut self.n, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
        ] {
            *sum = *sum * DECAY + value;
        }
    }

    /// Returns the intercept and the slope in microseconds.
    fn line(&self) -> (f64, f64) {
        let (mean_x, mean_y) = (self.x / self.n, self.y / self.n);
        let spread = self.xx / self.n - mean_x * mean_x;
        let slope = if spread > 1.0 {
            (self.xy / self.n - mean_x * mean_y) / spread
        } else {
            0.0
        };
        // A slope of zero would admit an unlimited number of sequences.
        let slope = slope.clamp(mean_y * 0.002, mean_y * 0.1);
        ((mean_y - slope * mean_x).max(1.0), slope)
    }
}

impl Estimator {
    /// Records a token that arrives while `decoding` sequences generate and `online`
    /// online requests run. `prefilling` is true while a prompt is being prefilled.
    pub fn record_token(&mut self, now: Time, decoding: u32, online: u32, prefilling: bool) {
        let took = now.since(self.last_step);
        if took < SAME_STEP {
            return;
        }
        if self.decoding > 0 && took < MAX_STEP {
            self.record_step(took.as_secs_f64() * 1e6);
        }
        let up = if f64::from(online) > self.online_quantile {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.online_quantile = (self.online_quantile + QUANTILE_GAIN * up).max(0.0);
        self.last_step = now;
        self.decoding = decoding;
        self.prefilling = prefilling;
    }

    /// Records that nothing decodes any more, so the next gap is not a step.
    pub fn idle(&mut self) {
        self.decoding = 0;
    }

    /// Records the time to the first token of an online request.
    pub fn record_first_token(&mut self, took: Duration) {
        let micros = took.as_secs_f64() * 1e6;
        if self.first_token_us == 0.0 {
            self.first_token_us = micros;
        }
        self.first_token_us += GAIN * 2.0 * (micros - self.first_token_us);
    }

    /// Mean time to the first token of an online request.
    pub fn mean_first_token(&self) -> Duration {
        Duration::from_secs_f64(self.first_token_us / 1e6)
    }

    /// Derives the KV cache's capacity from a report. `tokens` is the number of cached
    /// tokens by this node's count.
    pub fn record_report(&mut self, report: &Report, tokens: u64) {
        if report.kv_used < MIN_KV_USED || tokens == 0 {
            return;
        }
        let capacity = tokens as f64 / f64::from(report.kv_used);
        if self.kv_tokens == 0.0 {
            self.kv_tokens = capacity;
        }
        self.kv_tokens += GAIN * (capacity - self.kv_tokens);
    }

    /// Estimated capacity of the KV cache in tokens, if known.
    pub fn kv_tokens(&self) -> Option<f64> {
        (self.kv_tokens > 0.0).then_some(self.kv_tokens)
    }

    /// Maximum number of sequences with which slow steps take no more than
    /// `tolerance` longer, as a fraction, or `None` while there are too few samples.
    ///
    /// Slow steps are those with a prefill at peak online concurrency. They
    /// determine the tail latency that callers see, with or without batch work.
    pub fn max_sequences(&self, tolerance: f64) -> Option<f64> {
        if self.regression.n < MIN_STEPS {
            return None;
        }
        let (base, slope) = self.regression.line();
        let slow_step = base + slope * self.online_quantile + self.prefill_us;
        Some(self.online_quantile + tolerance * slow_step / slope)
    }

    fn record_step(&mut self, micros: f64) {
        if !self.prefilling {
            self.regression.add(f64::from(self.decoding), micros);
            return;
        }
        if self.regression.n < MIN_STEPS {
            return;
        }
        let (base, slope) = self.regression.line();
        let extra = (micros - base - slope * f64::from(self.decoding)).max(0.0);
        self.prefill_us += GAIN * (extra - self.prefill_us);
    }
}
