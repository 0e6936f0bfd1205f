//! Faults that a test can put into the stand-in engine.

use serde::{Deserialize, Serialize};

/// The faults in force. `POST /fault` replaces them all, so `{}` heals.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every stream breaks now; the process ends, or an embedded engine answers
    /// 503 from now on.
    pub crash: bool,
    /// Nothing is generated any more, while health checks are answered.
    pub stall: bool,
    /// Each step takes that many times as long; 0 is no fault.
    pub slow: f64,
    /// Streams break after that many tokens; 0 is no fault.
    pub break_after: u32,
    /// Requests are refused with 503 before they run.
    pub refuse: bool,
    /// A prompt that contains this text gets an error; empty is no fault.
    pub error_on: String,
    /// A prompt that contains this text crashes the engine; empty is no fault.
    pub die_on: String,
}

impl Fault {
    /// True when `prompt` carries the marker of an error.
    pub fn errs(&self, prompt: &str) -> bool {
        !self.error_on.is_empty() && prompt.contains(&self.error_on)
    }

    /// True when `prompt` crashes the engine.
    pub fn dies(&self, prompt: &str) -> bool {
        !self.die_on.is_empty() && prompt.contains(&self.die_on)
    }
}
