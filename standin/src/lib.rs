//! The policy benchmark, which tests and the `standin` program share.

pub mod policy;
