//! A node's start and stop.

use eyre::Result;

use crate::settings::{Node, Settings};

/// Runs a node until it is told to stop.
///
/// # Errors
/// When it can't start.
pub fn run(settings: Settings) -> Result<()> {
    let Node { name, .. } = settings.node;
    eyre::bail!("node {name} can't start: this build has no node")
}
