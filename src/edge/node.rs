//! State shared by the components of one traffic thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};

use tokio::sync::watch;

use super::count::Count;
use super::open::Requests;
use super::pace::Pace;
use crate::batch::Jobs;
use crate::catalog::Catalog;
use crate::clock::{Clock, Time, Uptime};
use crate::identity;
use crate::leave::Phase;
use crate::member::View;
use crate::name::Name;
use crate::permit::Broker;
use crate::quarantine::Detector;
use crate::site::Site;
use crate::snapshot::Cell;

/// One traffic thread's view of its node.
pub struct Node {
    /// The settings that the node was started with.
    pub site: Arc<Site>,
    /// The node's availability zone.
    pub zone: Name,
    /// The process's monotonic clock.
    pub clock: Clock,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// The node's lifecycle phase.
    pub phase: Arc<Cell<Phase>>,
    /// Admission control.
    pub broker: Rc<Broker>,
    /// The metrics.
    pub count: Count,
    /// The quarantine.
    pub detector: Rc<Detector>,
    /// The batch jobs.
    pub jobs: Rc<Jobs>,
    /// The requests whose callers wait.
    pub open: Requests,
    /// Becomes true when every open request must get its final answer.
    pub cut: watch::Receiver<bool>,
    /// When that will be, once a shutdown has begun.
    pub cut_at: Arc<OnceLock<Time>>,
    /// How long answers take.
    pub pace: RefCell<Pace>,
}

impl Node {
    /// True while this node may accept keys: its configuration is recent enough that a
    /// revocation would have reached it in time.
    pub fn accepts_keys(&self) -> bool {
        let catalog = self.catalog.read();
        let keyed = catalog
            .config
            .as_ref()
            .is_some_and(|it| it.keyring.is_some());
        !keyed
            || identity::is_fresh(
                &catalog,
                Uptime::now(),
                self.site.bounds.max_revocation_delay,
            )
    }

    /// Waits until every open request must get its final answer.
    pub async fn until_cut(&self) {
        let mut cut = self.cut.clone();
        if cut.wait_for(|cut| *cut).await.is_err() {
            // Nobody is left who could cut requests.
            std::future::pending::<()>().await;
        }
    }

    /// True once the node has begun to shut down.
    pub fn is_leaving(&self) -> bool {
        !matches!(**self.phase.read(), Phase::Starting | Phase::Serving)
    }
}
