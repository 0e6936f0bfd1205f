//! Tells in the log when a node lets no keys through any more, and when it does
//! again.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::node::Node;
use crate::clock::Uptime;
use crate::{event, identity};

/// How often it is looked at.
const LOOK: Duration = Duration::from_millis(200);

/// Watches for as long as the thread lives.
pub async fn watch(node: Rc<Node>) {
    let mut before = true;
    loop {
        sleep(LOOK).await;
        let sure = node.accepts_keys();
        if sure == before {
            continue;
        }
        before = sure;
        let event = if sure {
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
