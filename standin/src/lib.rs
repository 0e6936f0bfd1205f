//! The policy benchmark, the stand-ins for the users' platform, and the fault soak. Tests and the
//! `standin` program share them.

pub mod policy;
pub mod site;
pub mod soak;
