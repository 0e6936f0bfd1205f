//! The policy benchmark, the stand-ins for the users' platform and the fault
//! soak, which tests and the `standin` program share.

pub mod policy;
pub mod site;
pub mod soak;
