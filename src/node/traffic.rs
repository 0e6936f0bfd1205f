//! One traffic thread: a gateway for callers, and the dispatchers of the
//! endpoints that hash to it.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use tokio::sync::watch;

use crate::dispatch::handle::Desk;
use crate::dispatch::shell::Shell;
use crate::event;
use crate::gateway::{Gateway, Shared};
use crate::node::PLATFORM_TIMEOUT;
use crate::platform::http::Client;
use crate::rpc::server::Server;
use crate::{http, link};

/// What a traffic thread is started with.
pub struct Thread {
    /// What it shares with the rest of the node.
    pub shared: Shared,
    /// This thread's end of the dispatchers' handle.
    pub desk: Desk,
    /// The callers' socket, which all threads accept from.
    pub callers: TcpListener,
    /// The other nodes' socket, which all threads accept from.
    pub links: TcpListener,
    /// True once the node leaves.
    pub leaving: Arc<AtomicBool>,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// Turns true when no new connection is accepted any more.
    pub stopped: watch::Receiver<bool>,
}

impl Thread {
    /// Starts the thread's services on the runtime of the calling thread.
    pub fn start(self) {
        let config = Arc::clone(&self.shared.config);
        let shell = Shell::new(self.shared.clock, config, self.desk.post);
        actix_rt::spawn(shell.run(self.desk.submits));
        let links = link::server::serve(
            self.links,
            self.shared.node.clone(),
            self.shared.dispatch.clone(),
        );
        actix_rt::spawn(async move {
            if let Err(error) = links.await {
                log::error!("{} what=link why=\"{error}\"", event::LISTEN_FAILED);
            }
        });
        let platform = Client::new(self.platform, PLATFORM_TIMEOUT);
        let gateway = Gateway::new(self.shared.clone());
        let server = Server::new(self.shared, gateway, platform, self.leaving);
        let serving = http::serve(self.callers, self.stopped, move |request| {
            std::rc::Rc::clone(&server).handle(request)
        });
        actix_rt::spawn(async move {
            if let Err(error) = serving.await {
                log::error!("{} what=callers why=\"{error}\"", event::LISTEN_FAILED);
            }
        });
    }
}
