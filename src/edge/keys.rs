//! Logs when a node stops accepting keys, and when it resumes.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::node::Node;
use crate::clock::Uptime;
use crate::{event, identity};

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Checks for the lifetime of the thread.
pub async fn watch(node: Rc<Node>) {
    let mut was_accepted = true;
    loop {
        sleep(CHECK_INTERVAL).await;
        let accepted = node.accepts_keys();
        if accepted == was_accepted {
            continue;
        }
        was_accepted = accepted;
        let event = if accepted {
            event::KEYS_SURE
        } else {
            event::KEYS_DOUBTFUL
        };
        let catalog = node.catalog.read();
        log::info!(
            "{event} config={:?} vouched_ms={:?}",
            catalog.config.as_ref().map(|config| config.version),
            identity::age(&catalog, Uptime::now()).map(|age| age.as_millis()),
        );
    }
}
