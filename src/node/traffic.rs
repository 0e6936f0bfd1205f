//! One traffic thread: a gateway for callers, and the dispatchers of the
//! endpoints that hash to it.

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

/// What a traffic thread is started with.
pub struct Thread {
    /// What it shares with the rest of the node.
    pub shared: Shared,
    /// Which traffic thread this is, from 0.
    pub number: usize,
    /// How many there are.
    pub threads: usize,
    /// Questions of other nodes go there.
    pub queries: mpsc::Sender<PendingQuery>,
    /// What this thread's organisations ask goes there.
    pub demands: mpsc::Sender<DemandReport>,
    /// What they are granted comes from there.
    pub grants: mpsc::Receiver<(Name, Grant)>,
    /// The way to the control thread, for operators.
    pub control: Remote<Control>,
    /// This thread's end of the dispatchers' handle.
    pub desk: Channels,
    /// The callers' socket, which all threads accept from.
    pub callers: TcpListener,
    /// The other nodes' socket, which all threads accept from.
    pub links: TcpListener,
    /// Turns true when everything in flight must get its final answer.
    pub cut: watch::Receiver<bool>,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// Turns true when no new connection is accepted any more.
    pub stopped: watch::Receiver<bool>,
}

impl Thread {
    /// Starts the thread's services on the runtime of the calling thread.
    pub fn start(self) {
        let shell = Shell::new(&self.shared, self.desk.loads);
        actix_rt::spawn(shell.run(self.desk.submits));
        let desk = link::server::Desk {
            node: self.shared.node.clone(),
            handle: self.shared.dispatch.clone(),
            queries: self.queries,
        };
        let links = link::server::serve(self.links, desk);
        actix_rt::spawn(async move {
            if let Err(error) = links.await {
                log::error!("{} what=link why=\"{error}\"", event::LISTEN_FAILED);
            }
        });
        let platform = Client::new(self.platform, PLATFORM_TIMEOUT);
        let gateway = Gateway::new(self.shared.clone(), self.number, platform.clone(), self.cut);
        actix_rt::spawn(Rc::clone(&gateway).follow(self.threads, self.demands));
        actix_rt::spawn(Rc::clone(&gateway).take_grants(self.grants));
        let server = Server::new(self.shared, gateway, platform, self.control);
        let serving = http::serve(self.callers, self.stopped, move |request| {
            Rc::clone(&server).handle(request)
        });
        actix_rt::spawn(async move {
            if let Err(error) = serving.await {
                log::error!("{} what=callers why=\"{error}\"", event::LISTEN_FAILED);
            }
        });
    }
}
