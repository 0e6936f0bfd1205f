//! Batch jobs: a job is accepted exactly once, its items run when endpoints have spare capacity,
//! and its results can be read at any node.
//!
//! A job is an object that holds its items, and one row that holds its owner and progress. Every
//! change to the row is conditional on the version that was read, so an owner that was paused or
//! wrongly taken for dead cannot add results after another node has taken the job over.
//! docs/design/jobs.md compares the alternatives.

pub mod absence;
pub mod item;
pub mod lag;
pub mod quota;
pub mod record;
pub mod registry;

mod accept;
mod commit;
mod orphan;
pub mod read;
mod release;
mod retire;
mod run;
mod shell;
mod work;

pub use shell::{Jobs, Setup};
