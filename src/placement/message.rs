//! What goes into and comes out of the decision about placement.

use std::sync::Arc;
use std::time::Duration;

use super::choose::Count;
use crate::clock::Time;
use crate::config::Document;
use crate::lease::Held;
use crate::name::Name;
use crate::order::{Order, State};

/// Why an endpoint did not answer as asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It has obeyed a higher fencing number.
    Stale {
        /// That number.
        fence: u64,
    },
    /// It could not be reached, or its answer was lost.
    Unknown,
    /// It was not sent, because the sender's time had run out.
    NotSent,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed; due about once a second.
    Tick {
        /// The region's lease, while it may be acted under.
        held: Option<Held>,
    },
    /// The configuration changed.
    Document(Arc<Document>),
    /// An endpoint's state was read, or not.
    Read {
        /// Which endpoint.
        endpoint: Name,
        /// What it holds.
        result: Result<State, Failure>,
    },
    /// An order was obeyed, or not.
    Ordered {
        /// Which endpoint.
        endpoint: Name,
        /// What became of the order.
        result: Result<(), Failure>,
    },
    /// The weight store admitted the load that was asked for, or says how long
    /// to wait.
    Admitted {
        /// Its answer.
        result: Result<(), Duration>,
    },
    /// Somebody found that an endpoint answers no more.
    Suspect(Name),
}

/// What the shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read an endpoint's state.
    Read(Name),
    /// Ask the weight store for the right to load this model.
    Admit(Name),
    /// Send an order.
    Order {
        /// To which endpoint.
        endpoint: Name,
        /// What it is to be.
        order: Order,
        /// The last moment at which it may be sent. The shell looks at the
        /// clock once more right before it sends, because it may have been
        /// paused since the decision.
        until: Time,
    },
    /// What the services want and have has changed.
    Counts(Vec<Count>),
}
