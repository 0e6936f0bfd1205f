//! The other nodes, as queried by the configuration watch.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Document;
use crate::config::follow::Report;
use crate::config::watch::Peers;
use crate::link::Pool;
use crate::member::{State, View};
use crate::name::Name;
use crate::snapshot::Cell;
use crate::table::http::Client;
use crate::table::{Fault, Roster, Vm};
use crate::wire::query::{Query, Reply};

/// Timeout of a query to a peer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's list of VMs, cached at each read.
#[derive(Clone)]
pub struct CachedRoster {
    client: Client,
    cache: Rc<RefCell<Vec<Vm>>>,
}

impl CachedRoster {
    /// Creates a roster with an empty cache.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            cache: Rc::default(),
        }
    }

    fn contains(&self, name: &str) -> bool {
        self.cache.borrow().iter().any(|vm| &*vm.name == name)
    }
}

impl Roster for CachedRoster {
    async fn list(&self) -> Result<Vec<Vm>, Fault> {
        let list = self.client.list().await?;
        self.cache.borrow_mut().clone_from(&list);
        Ok(list)
    }
}

/// The other nodes, over the control thread's own connections.
#[derive(Clone)]
pub struct Net {
    /// This node's name.
    pub node: Name,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// Connections used only for control queries.
    pub pool: Rc<Pool>,
    /// The platform's list.
    pub roster: CachedRoster,
}

impl Net {
    /// Queries a member; returns none if it does not answer.
    pub async fn query(&self, peer: &str, query: Query) -> Option<Reply> {
        let link = self.view.read().find(peer)?.link.clone();
        self.pool.query(&link, query, QUERY_TIMEOUT).await
    }
}

impl Peers for Net {
    fn names(&self) -> Vec<Name> {
        let view = self.view.read();
        let is_included = |state, name: &str| match state {
            State::Alive | State::Suspect => true,
            // The platform still lists the VM: it may be partitioned from this node and still
            // running.
            State::Dead => self.roster.contains(name),
            State::Leaving => false,
        };
        view.members
            .iter()
            .filter(|member| member.name != self.node && is_included(member.state, &member.name))
            .map(|member| member.name.clone())
            .collect()
    }

    async fn report(&self, peer: &str) -> Option<Report> {
        match self.query(peer, Query::Report).await? {
            Reply::Report(report) => Some(report),
            _ => None,
        }
    }

    async fn document(&self, peer: &str) -> Option<Arc<Document>> {
        match self.query(peer, Query::Document).await? {
            Reply::Document(document) => document,
            _ => None,
        }
    }

    async fn announce(&self, peer: &str, version: u64) -> bool {
        let reply = self.query(peer, Query::Announce { version }).await;
        reply == Some(Reply::Announced)
    }
}
