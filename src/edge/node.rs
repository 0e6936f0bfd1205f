//! What the parts of one traffic thread share.

use std::rc::Rc;
use std::sync::Arc;

use super::count::Count;
use crate::batch::Jobs;
use crate::catalog::Catalog;
use crate::clock::{Clock, Uptime};
use crate::identity;
use crate::leave::Phase;
use crate::member::View;
use crate::name::Name;
use crate::permit::Desk;
use crate::quarantine::Ward;
use crate::site::Site;
use crate::snapshot::Cell;

/// One traffic thread's view of its node.
pub struct Node {
    /// What the node was told at its start.
    pub site: Arc<Site>,
    /// The node's availability zone.
    pub zone: Name,
    /// The process's clock.
    pub clock: Clock,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// How far the node is in its life.
    pub phase: Arc<Cell<Phase>>,
    /// Admission.
    pub desk: Rc<Desk>,
    /// The counters.
    pub count: Count,
    /// The quarantine.
    pub ward: Rc<Ward>,
    /// The batch jobs.
    pub jobs: Rc<Jobs>,
}

impl Node {
    /// True while this node may let keys through: in time, it would have heard of
    /// a revocation.
    pub fn accepts_keys(&self) -> bool {
        let catalog = self.catalog.read();
        let keyed = catalog
            .config
            .as_ref()
            .is_some_and(|it| it.keyring.is_some());
        !keyed || identity::is_sure(&catalog, Uptime::now(), self.site.bounds.revoke)
    }

    /// True once the node was told to stop.
    pub fn is_leaving(&self) -> bool {
        !matches!(**self.phase.read(), Phase::Starting | Phase::Serving)
    }
}
