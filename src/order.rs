//! Orders to endpoints: which models, versions and adapters to hold, and in
//! which role to run.
//!
//! An order is absolute: it names the whole set that the endpoint is to hold.
//! Orders that load or drop one thing would add up to something nobody wanted
//! when one of them is lost, doubled or late. Towards an endpoint it is plain
//! JSON: `POST /v1/orders` with an [`Order`] answers 200, or 409 with a
//! [`Stale`]; `GET /v1/state` answers a [`State`]. See
//! docs/design/placement.md.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Path that takes an [`Order`].
pub const ORDER_PATH: &str = "/v1/orders";
/// Path that answers a [`State`].
pub const STATE_PATH: &str = "/v1/state";
/// Longest order or state, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// A model that an endpoint holds or is to hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Model {
    /// The model's name.
    pub model: Name,
    /// Its version.
    #[serde(default)]
    pub version: Name,
    /// Its adapters, in name order.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// What an engine does of a request's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and generation; engines without roles leave it empty.
    #[default]
    #[serde(alias = "")]
    Both,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}

/// What an endpoint is told to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number: the epoch of the sender's lease.
    pub fence: u64,
    /// All that it is to hold, in order.
    pub hold: Vec<Model>,
    /// Its role.
    #[serde(default)]
    pub role: Role,
}

/// What an endpoint is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The highest fencing number that it has obeyed, or of the last order if
    /// it does not check.
    pub fence: u64,
    /// What it holds or is loading.
    pub hold: Vec<Model>,
    /// Its role.
    #[serde(default)]
    pub role: Role,
}

/// The refusal of an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stale {
    /// The highest number that the endpoint has obeyed.
    pub fence: u64,
}

impl State {
    /// Obeys an order as an endpoint does. `checks` says whether it looks at
    /// the fencing number.
    ///
    /// # Errors
    /// [`Stale`] when it checks and has obeyed a higher number.
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
