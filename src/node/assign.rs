//! Which endpoints this node dispatches for, worked out on the control thread
//! when members or configuration change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::{Document, Kind};
use crate::gateway::Shared;
use crate::member::View;
use crate::name::Name;
use crate::route;
use crate::snapshot::Cell;

/// How often a change is looked for. Work goes to the dispatcher that gateways
/// choose at once; only the claiming of batch work waits for this.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// An endpoint that this node dispatches for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Own {
    /// Its name.
    pub endpoint: Name,
    /// Sequences it can run at the same time.
    pub slots: u32,
}

/// The endpoints of each model service that this node dispatches for.
pub type Assignment = BTreeMap<Name, Vec<Own>>;

/// Keeps `assignment` in step with the members and the configuration.
pub async fn follow(shared: Shared, assignment: Arc<Cell<Assignment>>) {
    let mut known = None;
    loop {
        let view = shared.view.load();
        // Without a configuration that may be acted by nothing new is claimed.
        let config = shared.config().unwrap_or_default();
        let usable: Vec<Name> = view.usable().map(|member| member.name.clone()).collect();
        let now = Some((config.version, usable));
        if known != now {
            assignment.publish(assign(&shared.node, &config, &view));
            known = now;
        }
        actix_rt::time::sleep(LOOK_EVERY).await;
    }
}

fn assign(node: &Name, config: &Document, view: &View) -> Assignment {
    let mut own = Assignment::new();
    for endpoint in config.endpoints.values().filter(|e| !e.leaving) {
        let dispatcher = route::dispatcher(view, &endpoint.name, &endpoint.zone);
        if dispatcher.is_none_or(|member| member.name != *node) {
            continue;
        }
        for name in &endpoint.services {
            let service = config.services.get(name);
            if service.is_some_and(|service| service.kind == Kind::Model) {
                own.entry(name.clone()).or_default().push(Own {
                    endpoint: endpoint.name.clone(),
                    slots: endpoint.slots,
                });
            }
        }
    }
    own
}
