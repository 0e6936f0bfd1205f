//! Stand-ins for the platform and the endpoints, as `try` embeds them and the
//! `standin` program runs them as processes of their own.

pub mod engine;
pub mod plain;
pub mod platform;
