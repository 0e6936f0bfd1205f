//! Admission of work to one endpoint.
//!
//! Engines admit whatever arrives and know no priorities, so priority exists
//! only here: the one [`Queue`] that stands before an endpoint sees each of its
//! slots, keeps room for questions and takes batch work off the endpoint when
//! a burst arrives. docs/design/dispatch.md compares the ways weighed.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::name::Name;
use crate::outcome::Refusal;
use crate::request::Class;

pub mod handle;
mod health;
mod line;
pub mod loads;
mod pace;
mod policy;
mod queue;
mod run;
pub mod shell;

pub use handle::Handle;
pub use policy::Policy;
pub use queue::Queue;

/// Identity of a request at one dispatcher; never used twice.
pub type Id = u64;

/// A request as far as admission needs to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Its identity.
    pub id: Id,
    /// Online or batch.
    pub class: Class,
    /// Who asks.
    pub organisation: Name,
    /// When the caller gives up.
    pub deadline: Time,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    pub max_tokens: u32,
    /// True when it must run at most once, so that it can't be stopped and
    /// started again.
    pub once: bool,
    /// True when its gateway has another endpoint for it and would rather be
    /// told at once that this one is crowded than wait.
    pub spills: bool,
}

/// How a run at the endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is whole.
    Complete,
    /// The endpoint failed or broke off.
    Failed,
    /// The endpoint refused before it ran anything.
    Refused,
    /// It was stopped as [`Action::Stop`] demanded.
    Stopped,
}

/// What the endpoint reports of itself, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Sequences that run there.
    pub running: u32,
    /// Sequences that wait there.
    pub waiting: u32,
    /// Used part of its KV memory, from 0 to 1.
    pub kv_used: f32,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request arrived.
    Offer(Offer),
    /// The endpoint generated tokens for a request.
    Tokens {
        /// Which request.
        id: Id,
        /// How many tokens.
        count: u32,
    },
    /// A run at the endpoint ended.
    Ended {
        /// Which request.
        id: Id,
        /// How.
        end: End,
    },
    /// The caller went away, or the item was cancelled.
    Withdraw {
        /// Which request.
        id: Id,
    },
    /// The endpoint's own, lagging report arrived.
    Report(Report),
    /// Configuration changed.
    Setting(Setting),
    /// Time passed; due when [`Queue::wake`] says so.
    Tick,
}

/// What the shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the endpoint, from where its answer broke off.
    Start {
        /// Which request.
        id: Id,
    },
    /// Cancel the run at the endpoint and keep what it generated. The request
    /// stays with the queue, which starts it again later, unless it was
    /// withdrawn.
    Stop {
        /// Which request.
        id: Id,
    },
    /// Cancel the run at the endpoint, if there is one, and tell the requester
    /// that it may have run. The queue has forgotten it.
    Abandon {
        /// Which request.
        id: Id,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Tell the requester that it did not run.
    Refuse {
        /// Which request.
        id: Id,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

/// What configuration says of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Sequences the endpoint can run at the same time.
    pub slots: u32,
    /// From 0 (batch throughput) to 100 (online tail latency).
    pub latency_weight: u32,
    /// True when no new work may start there.
    pub closed: bool,
}

/// How busy an endpoint is, carried back to gateways with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Questions that run there.
    pub online: u32,
    /// Batch items that run there.
    pub batch: u32,
    /// Questions that wait at the dispatcher.
    pub queued: u32,
    /// Batch items that the dispatcher would take now.
    pub room: u32,
    /// Recent time to first token, in microseconds.
    pub first_token_us: u32,
    /// Sequences the endpoint can run at the same time.
    pub slots: u32,
}
