//! A traffic thread: a gateway for callers, and the dispatchers of the endpoints that hash to
//! it.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use tokio::sync::{mpsc, watch};

use super::control::Control;
use super::remote::Remote;

use crate::dispatch::handle::Channels;
use crate::dispatch::shell::Shell;
use crate::event;
use crate::gateway::{DemandReport, Gateway, Shared};
use crate::limit::Grant;
use crate::link::server::PendingQuery;
use crate::name::Name;
use crate::node::PLATFORM_TIMEOUT;
use crate::rpc::server::Server;
use crate::table::http::Client;
use crate::{http, link};

/// Start parameters of a traffic thread.
pub struct Thread {
    /// State that the threads of the node share.
    pub shared: Shared,
    /// Index of this traffic thread.
    pub number: usize,
    /// Number of traffic threads.
    pub threads: usize,
    /// Channel for other nodes' queries.
    pub queries: mpsc::Sender<PendingQuery>,
    /// Channel for the organisations' demand on this thread.
    pub demands: mpsc::Sender<DemandReport>,
    /// Grants for this thread.
    pub grants: mpsc::Receiver<(Name, Grant)>,
    /// Calls to the control thread, for operators.
    pub control: Remote<Control>,
    /// This thread's end of the dispatch handle.
    pub channels: Channels,
    /// The callers' socket; all threads accept from it.
    pub callers: TcpListener,
    /// The other nodes' socket; all threads accept from it.
    pub links: TcpListener,
    /// Becomes true when every request in flight must be answered immediately.
    pub cut: watch::Receiver<bool>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Becomes true when no new connections are accepted.
    pub stopped: watch::Receiver<bool>,
}

impl Thread {
    /// Starts the thread's services on the calling thread's runtime.
    pub fn start(self) {
        let shell = Shell::new(&self.shared, self.channels.loads);
        actix_rt::spawn(shell.run(self.channels.submits));
        let services = link::server::Services {
            node: self.shared.node.clone(),
            handle: self.shared.dispatch.clone(),
            queries: self.queries,
        };
        let links = link::server::serve(self.links, services);
        actix_rt::spawn(async move {
            if let Err(error) = links.await {
                log::error!("{} what=link why=\"{error}\"", event::LISTEN_FAILED);
            }
        });
        let platform = Client::new(self.platform, PLATFORM_TIMEOUT);
        let gateway = Gateway::new(
            self.shared.clone(),
            self.number,
            platform.clone(),
            self.cut.clone(),
        );
        actix_rt::spawn(Rc::clone(&gateway).follow(self.threads, self.demands));
        actix_rt::spawn(Rc::clone(&gateway).take_grants(self.grants));
        let open = self.shared.connections.clone();
        let server = Server::new(self.shared, gateway, platform, self.control, self.cut);
        let serving = http::serve(self.callers, self.stopped, open, move |request| {
            Rc::clone(&server).handle(request)
        });
        actix_rt::spawn(async move {
            if let Err(error) = serving.await {
                log::error!("{} what=callers why=\"{error}\"", event::LISTEN_FAILED);
            }
        });
    }
}
