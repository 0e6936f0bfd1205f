//! Admission of work to one endpoint.
//!
//! Engines admit whatever arrives and have no priorities, so priority exists
//! only here: a single [`Queue`] in front of each endpoint accounts for all of
//! its slots, reserves capacity for online requests and preempts batch work
//! when a burst arrives. docs/design/dispatch.md compares the alternatives.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::name::Name;
use crate::outcome::Refusal;
use crate::request::Class;

mod backlog;
mod estimator;
pub mod handle;
mod health;
pub mod loads;
mod policy;
mod queue;
mod run;
pub mod shell;

pub use handle::Handle;
pub use policy::Policy;
pub use queue::Queue;

/// Identifier of a request at one dispatcher; never reused.
pub type Id = u64;

/// The properties of a request that admission depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Its identifier.
    pub id: Id,
    /// Online or batch.
    pub class: Class,
    /// The organisation that the request belongs to.
    pub organisation: Name,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Time,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; 0 for a plain call.
    pub max_tokens: u32,
    /// True when it must run at most once, so it can't be preempted and resumed.
    pub once: bool,
    /// True when its gateway has another endpoint for it and prefers an immediate
    /// refusal to waiting at a crowded one.
    pub spills: bool,
}

/// How a run at the endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is complete.
    Complete,
    /// The endpoint failed or its answer was truncated.
    Failed,
    /// The endpoint refused the request before running it.
    Refused,
    /// It was cancelled because of [`Action::Stop`].
    Stopped,
}

/// The endpoint's own report of its load, which lags behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Running sequences.
    pub running: u32,
    /// Waiting sequences.
    pub waiting: u32,
    /// Used fraction of its KV cache, from 0 to 1.
    pub kv_used: f32,
}

/// An event that the queue reacts to.
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
        /// How it ended.
        end: End,
    },
    /// The caller disconnected, or the item was cancelled.
    Withdraw {
        /// Which request.
        id: Id,
    },
    /// The endpoint's own, lagging report arrived.
    Report(Report),
    /// Configuration changed.
    Setting(Setting),
    /// Time passed; due at [`Queue::wake`].
    Tick,
}

/// What the shell does on behalf of the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the endpoint, resuming after the last received token.
    Start {
        /// Which request.
        id: Id,
    },
    /// Cancel the run at the endpoint and keep what it generated. The request
    /// stays in the queue and is resumed later, unless it was withdrawn.
    Stop {
        /// Which request.
        id: Id,
    },
    /// Cancel the run at the endpoint, if there is one, and report to the
    /// requester that it may have run. The queue no longer holds the request.
    Abandon {
        /// Which request.
        id: Id,
        /// The reason and the retry delay.
        refusal: Refusal,
    },
    /// Report to the requester that it did not run.
    Refuse {
        /// Which request.
        id: Id,
        /// The reason and the retry delay.
        refusal: Refusal,
    },
}

/// The configuration of one endpoint.
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
    /// Running online requests.
    pub online: u32,
    /// Running batch items.
    pub batch: u32,
    /// Online requests that wait at the dispatcher.
    pub queued: u32,
    /// Batch items that the dispatcher would accept now.
    pub room: u32,
    /// Recent time to first token, in microseconds.
    pub first_token_us: u32,
    /// Sequences the endpoint can run at the same time.
    pub slots: u32,
}
