//! Orders to endpoints: which models, versions and adapters to hold, and which role to take.
//!
//! An order is absolute: it names the complete set that the endpoint must hold. With incremental
//! orders, a lost, duplicated or late one would leave the endpoint with a set that no planner
//! intended. The protocol is plain JSON: `POST /v1/orders` with an [`Order`] returns 200, or 409
//! with a [`Stale`]; `GET /v1/state` returns a [`State`]. See docs/design/placement.md.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Path that accepts an [`Order`].
pub const ORDER_PATH: &str = "/v1/orders";
/// Path that returns a [`State`].
pub const STATE_PATH: &str = "/v1/state";
/// Largest body of an order or a state.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// A model that an endpoint holds or is to hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub model: Name,
    /// Version of the model.
    #[serde(default)]
    pub version: Name,
    /// Adapters of the model, in name order.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// The phases of a request that an engine processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode; engines without roles leave it empty.
    #[default]
    #[serde(alias = "")]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// The state that an endpoint must take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: the epoch of the sender's lease.
    pub fence: u64,
    /// All models to hold, in order.
    pub hold: Vec<Model>,
    /// The role to take.
    #[serde(default)]
    pub role: Role,
}

/// The current state of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Highest fencing token of an order that was applied, or the token of the last order if the
    /// endpoint does not check.
    pub fence: u64,
    /// Models that it holds or is loading.
    pub hold: Vec<Model>,
    /// Its current role.
    #[serde(default)]
    pub role: Role,
}

/// Refusal of an order with an old fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stale {
    /// The highest fencing token that the endpoint has applied.
    pub fence: u64,
}

impl State {
    /// Applies an order as an endpoint does. `checks` is true if the endpoint checks the fencing
    /// token.
    ///
    /// # Errors
    /// [`Stale`] if it checks and has applied an order with a higher token.
    pub fn apply(&mut self, order: Order, checks: bool) -> Result<(), Stale> {
        if checks && order.fence < self.fence {
            return Err(Stale { fence: self.fence });
        }
        self.fence = order.fence;
        self.hold = order.hold;
        self.role = order.role;
        Ok(())
    }
}
