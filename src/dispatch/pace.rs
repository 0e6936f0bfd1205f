//! What an endpoint bears, learned from our own streams.
//!
//! The engine's report lags by half a second or more, which is longer than a
//! burst needs to do harm. The tokens that pass through here tell at once how
//! long each step took and how many sequences were in it.

use std::time::Duration;

use super::Report;
use crate::clock::Time;

/// Tokens that come closer together than this belong to one step.
const SAME_STEP: Duration = Duration::from_micros(1_500);
/// Longer gaps are faults, not steps.
const LONGEST_STEP: Duration = Duration::from_secs(2);
/// What is kept of the fit with each step.
const KEEP: f64 = 0.998;
/// Share of a new sample in a mean.
const GAIN: f64 = 0.05;
/// Steps before the fit is believed.
const STEPS: f64 = 20.0;
/// How far the quantile of concurrent questions moves with each step.
const QUANTILE_STEP: f64 = 0.2;
/// The quantile of concurrent questions that slow steps are compared with.
const QUANTILE: f64 = 0.97;
/// A report with less used memory than this tells nothing of its size.
const MIN_KV_USED: f32 = 0.1;

/// Learned figures of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    last_step: Time,
    decoding: u32,
    prompts: bool,
    fit: Fit,
    prompt_us: f64,
    questions: f64,
    first_token_us: f64,
    kv_tokens: f64,
}

/// Decaying sums for a line through (sequences, microseconds).
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Fit {
    fn add(&mut self, x: f64, y: f64) {
        for (sum, value) in [
            (&mut self.n, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
        ] {
            *sum = *sum * KEEP + value;
        }
    }

    /// Base and slope in microseconds.
    fn line(&self) -> (f64, f64) {
        let (mean_x, mean_y) = (self.x / self.n, self.y / self.n);
        let spread = self.xx / self.n - mean_x * mean_x;
        let slope = if spread > 1.0 {
            (self.xy / self.n - mean_x * mean_y) / spread
        } else {
            0.0
        };
        // A slope that is nothing would let everything in.
        let slope = slope.clamp(mean_y * 0.002, mean_y * 0.1);
        ((mean_y - slope * mean_x).max(1.0), slope)
    }
}

impl Pace {
    /// A token arrived while `decoding` sequences generate, `questions` of them
    /// questions, and `prompts` tells whether a prompt is being computed.
    pub fn token(&mut self, now: Time, decoding: u32, questions: u32, prompts: bool) {
        let took = now.since(self.last_step);
        if took < SAME_STEP {
            return;
        }
        if self.decoding > 0 && took < LONGEST_STEP {
            self.step(took.as_secs_f64() * 1e6);
        }
        let up = if f64::from(questions) > self.questions {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.questions = (self.questions + QUANTILE_STEP * up).max(0.0);
        self.last_step = now;
        self.decoding = decoding;
        self.prompts = prompts;
    }

    /// Nothing decodes any more, so that the next gap is no step.
    pub fn idle(&mut self) {
        self.decoding = 0;
    }

    /// A question's first token came `took` after the question.
    pub fn first_token(&mut self, took: Duration) {
        let micros = took.as_secs_f64() * 1e6;
        if self.first_token_us == 0.0 {
            self.first_token_us = micros;
        }
        self.first_token_us += GAIN * 2.0 * (micros - self.first_token_us);
    }

    /// Mean time to a question's first token.
    pub fn mean_first_token(&self) -> Duration {
        Duration::from_secs_f64(self.first_token_us / 1e6)
    }

    /// A report arrived while `tokens` of KV memory are ours by our count.
    pub fn report(&mut self, report: &Report, tokens: u64) {
        if report.kv_used < MIN_KV_USED || tokens == 0 {
            return;
        }
        let size = tokens as f64 / f64::from(report.kv_used);
        if self.kv_tokens == 0.0 {
            self.kv_tokens = size;
        }
        self.kv_tokens += GAIN * (size - self.kv_tokens);
    }

    /// Learned size of KV memory in tokens, if known.
    pub fn kv_tokens(&self) -> Option<f64> {
        (self.kv_tokens > 0.0).then_some(self.kv_tokens)
    }

    /// Sequences in all with which the slow steps get longer by no more than
    /// the part `tolerance`, or none while too little is known.
    ///
    /// The slow steps are those in which a prompt is computed while as many
    /// questions run as in the busiest moments: they make the tail that callers
    /// see, with or without batch work.
    pub fn bound(&self, tolerance: f64) -> Option<f64> {
        if self.fit.n < STEPS {
            return None;
        }
        let (base, slope) = self.fit.line();
        let slow = base + slope * self.questions + self.prompt_us;
        Some(self.questions + tolerance * slow / slope)
    }

    fn step(&mut self, micros: f64) {
        if !self.prompts {
            self.fit.add(f64::from(self.decoding), micros);
            return;
        }
        if self.fit.n < STEPS {
            return;
        }
        let (base, slope) = self.fit.line();
        let extra = (micros - base - slope * f64::from(self.decoding)).max(0.0);
        self.prompt_us += GAIN * (extra - self.prompt_us);
    }
}
