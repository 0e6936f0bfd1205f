//! Stand-ins for the platform and the endpoints. `try` embeds them; the `standin` program runs them
//! as separate processes.

pub mod engine;
pub mod plain;
pub mod platform;
