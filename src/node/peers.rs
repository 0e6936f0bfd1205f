//! The other nodes, as the configuration's watch asks them.

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

/// Longest wait for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's list, which is remembered when it was last read.
#[derive(Clone)]
pub struct Remembered {
    client: Client,
    last: Rc<RefCell<Vec<Vm>>>,
}

impl Remembered {
    /// Remembers nothing yet.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            last: Rc::default(),
        }
    }

    fn holds(&self, name: &str) -> bool {
        self.last.borrow().iter().any(|vm| &*vm.name == name)
    }
}

impl Roster for Remembered {
    async fn list(&self) -> Result<Vec<Vm>, Fault> {
        let list = self.client.list().await?;
        self.last.borrow_mut().clone_from(&list);
        Ok(list)
    }
}

/// The other nodes over connections of the control thread's own.
#[derive(Clone)]
pub struct Net {
    /// This node's name.
    pub node: Name,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// Connections that carry nothing else.
    pub pool: Rc<Pool>,
    /// The platform's list.
    pub roster: Remembered,
}

impl Net {
    /// Asks a member; none when it does not answer.
    pub async fn ask(&self, peer: &str, query: Query) -> Option<Reply> {
        let link = self.view.read().find(peer)?.link.clone();
        self.pool.ask(&link, query, ANSWER_TIMEOUT).await
    }
}

impl Peers for Net {
    fn names(&self) -> Vec<Name> {
        let view = self.view.read();
        let counts = |state, name: &str| match state {
            State::Alive | State::Suspect => true,
            // The platform says that the VM is there: it may be cut off and at
            // work behind the cut.
            State::Dead => self.roster.holds(name),
            State::Leaving => false,
        };
        view.members
            .iter()
            .filter(|member| member.name != self.node && counts(member.state, &member.name))
            .map(|member| member.name.clone())
            .collect()
    }

    async fn report(&self, peer: &str) -> Option<Report> {
        match self.ask(peer, Query::Report).await? {
            Reply::Report(report) => Some(report),
            _ => None,
        }
    }

    async fn document(&self, peer: &str) -> Option<Arc<Document>> {
        match self.ask(peer, Query::Document).await? {
            Reply::Document(document) => document,
            _ => None,
        }
    }

    async fn announce(&self, peer: &str, version: u64) -> bool {
        let reply = self.ask(peer, Query::Announce { version }).await;
        reply == Some(Reply::Announced)
    }
}
