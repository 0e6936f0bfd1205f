//! The endpoints that this node dispatches for, computed on the control thread when members or
//! configuration change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::{Document, Kind};
use crate::gateway::Shared;
use crate::member::View;
use crate::name::Name;
use crate::route;
use crate::snapshot::Cell;

/// Interval between checks for changes. Gateways choose the dispatcher independently, without
/// waiting for this; only claims of batch work are delayed by it.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// An endpoint that this node dispatches for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assigned {
    /// Its name.
    pub endpoint: Name,
    /// Number of sequences that it runs concurrently.
    pub slots: u32,
}

/// The endpoints of each model service that this node dispatches for.
pub type Assignment = BTreeMap<Name, Vec<Assigned>>;

/// Updates `assignment` when the members or the configuration change.
pub async fn follow(shared: Shared, assignment: Arc<Cell<Assignment>>) {
    let mut previous = None;
    loop {
        let view = shared.view.load();
        // Without a configuration in force, no new work is claimed.
        let config = shared.config().unwrap_or_default();
        let usable: Vec<Name> = view.usable().map(|member| member.name.clone()).collect();
        let current = Some((config.version, usable));
        if previous != current {
            assignment.publish(assign(&shared.node, &config, &view));
            previous = current;
        }
        actix_rt::time::sleep(UPDATE_INTERVAL).await;
    }
}

fn assign(node: &Name, config: &Document, view: &View) -> Assignment {
    let mut assigned = Assignment::new();
    for endpoint in config.endpoints.values().filter(|e| !e.leaving) {
        let dispatcher = route::dispatcher(view, &endpoint.name, &endpoint.zone);
        if dispatcher.is_none_or(|member| member.name != *node) {
            continue;
        }
        for name in &endpoint.services {
            let service = config.services.get(name);
            if service.is_some_and(|service| service.kind == Kind::Model) {
                assigned.entry(name.clone()).or_default().push(Assigned {
                    endpoint: endpoint.name.clone(),
                    slots: endpoint.slots,
                });
            }
        }
    }
    assigned
}
