//! Faults that a test can inject into the stand-in engine.

use serde::{Deserialize, Serialize};

/// The injected faults. `POST /fault` replaces them all, so `{}` removes them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// All streams break at once, and the process exits; an embedded engine responds with 503 from
    /// then on.
    pub crash: bool,
    /// No tokens are generated, but health checks succeed.
    pub stall: bool,
    /// Factor by which each step is slowed down; 0 is no fault.
    pub slow: f64,
    /// Number of tokens after which a stream breaks; 0 is no fault.
    pub break_after: u32,
    /// Requests are refused with 503 before they run.
    pub refuse: bool,
    /// A prompt that contains this text fails with an error; empty is no fault.
    pub error_on: String,
    /// A prompt that contains this text crashes the engine; empty is no fault.
    pub die_on: String,
}

impl Fault {
    /// Returns whether `prompt` fails with an error.
    pub fn is_failing(&self, prompt: &str) -> bool {
        !self.error_on.is_empty() && prompt.contains(&self.error_on)
    }

    /// Returns whether `prompt` crashes the engine.
    pub fn is_crashing(&self, prompt: &str) -> bool {
        !self.die_on.is_empty() && prompt.contains(&self.die_on)
    }
}
