//! Inputs and actions of the planner.

use std::sync::Arc;
use std::time::Duration;

use super::choose::Count;
use crate::clock::Time;
use crate::config::Document;
use crate::lease::Held;
use crate::name::Name;
use crate::order::{Order, State};

/// Why a read or an order failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint has applied an order with a higher fencing number.
    Stale {
        /// That number.
        fence: u64,
    },
    /// The endpoint was unreachable, or its answer was lost.
    Unknown,
    /// The order was not sent, because its time had run out.
    NotSent,
}

/// An event that the planner reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed; due about once a second.
    Tick {
        /// The region's lease, while this node holds it.
        held: Option<Held>,
    },
    /// The configuration changed.
    Document(Arc<Document>),
    /// A read of an endpoint's state ended.
    Read {
        /// Which endpoint.
        endpoint: Name,
        /// Its state.
        result: Result<State, Failure>,
    },
    /// An order ended.
    Ordered {
        /// Which endpoint.
        endpoint: Name,
        /// Whether the endpoint has applied it.
        result: Result<(), Failure>,
    },
    /// The weight store admitted the requested load, or returned a retry delay.
    Admitted {
        /// Its answer.
        result: Result<(), Duration>,
    },
    /// An endpoint was observed to be unreachable.
    Suspect(Name),
}

/// What the shell does on behalf of the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read an endpoint's state.
    Read(Name),
    /// Request admission of a load of this model from the weight store.
    Admit(Name),
    /// Send an order.
    Order {
        /// To which endpoint.
        endpoint: Name,
        /// The order.
        order: Order,
        /// Time until which it may be sent. The shell checks the clock again right
        /// before sending, because it may have been paused since the decision.
        until: Time,
    },
    /// The wanted or placed replicas of services have changed.
    Counts(Vec<Count>),
}
