//! Translation between the platform's formats and the types of this product.
//!
//! Only this folder uses the platform's names of fields, headers and paths. It decodes them once
//! into types whose fields say what they hold, and makes no decisions; see
//! docs/design/platform.md.

pub mod call;
pub mod config;
pub mod endpoint;
pub mod forward;
pub mod job;
pub mod organisation;
pub mod process;
pub mod settings;
pub mod store;
