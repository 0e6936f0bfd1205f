//! A loopback proxy that injects faults into the connections that pass through it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use eyre::Result;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::socket::{Reset, Socket};

/// What the proxy does with the bytes that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them at once.
    Pass,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Forwards nothing, but keeps connections open.
    Silent,
    /// Forwards requests, but no responses.
    OneWay,
    /// Closes new connections at once.
    Refuse,
}

/// A connection of a client.
struct Connection {
    task: JoinHandle<()>,
    reset: Reset,
}

/// A proxy in front of one server.
pub struct Proxy {
    /// Address on which it listens.
    pub address: SocketAddr,
    server: Rc<Cell<SocketAddr>>,
    mode: Rc<Cell<Mode>>,
    open: Rc<RefCell<Vec<Connection>>>,
    accept: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy in front of `server` on a free port.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(server: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Rc::new(Cell::new(Mode::Pass));
        let open: Rc<RefCell<Vec<Connection>>> = Rc::default();
        let (modes, connections) = (Rc::clone(&mode), Rc::clone(&open));
        let server = Rc::new(Cell::new(server));
        let current = Rc::clone(&server);
        let accept = actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if modes.get() == Mode::Refuse {
                    continue;
                }
                let mode = Rc::clone(&modes);
                let reset = Reset::default();
                let armed = reset.clone();
                let server = current.get();
                let task = actix_rt::spawn(async move {
                    if let Ok(upstream) = TcpStream::connect(server).await {
                        Box::pin(forward(client, upstream, mode, armed)).await;
                    }
                });
                let mut connections = connections.borrow_mut();
                connections.retain(|connection| !connection.task.is_finished());
                connections.push(Connection { task, reset });
            }
        });
        Ok(Self {
            address,
            server,
            mode,
            open,
            accept,
        })
    }

    /// Forwards new connections to another server, as when a process starts again at its address.
    pub fn lead_to(&self, server: SocketAddr) {
        self.server.set(server);
    }

    /// Stops listening, and keeps open connections.
    pub fn stop_listening(&self) {
        self.accept.abort();
    }

    /// Stops listening and resets all connections, as when the server's process exits.
    pub fn close(&self) {
        self.accept.abort();
        self.reset();
    }

    /// Sets the mode for new and open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        for connection in self.open.borrow_mut().drain(..) {
            connection.reset.arm();
            connection.task.abort();
        }
    }
}

async fn forward(client: TcpStream, upstream: TcpStream, mode: Rc<Cell<Mode>>, reset: Reset) {
    // Messages are small, and the proxy must add no delay of its own.
    if client.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
        return;
    }
    let (client_in, client_out) = split(Socket::new(client, reset.clone()));
    let (upstream_in, upstream_out) = upstream.into_split();
    let requests = copy(client_in, upstream_out, Rc::clone(&mode), false, &reset);
    let responses = copy(upstream_in, client_out, mode, true, &reset);
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

/// Copies until a side closes its connection. A reset arms `reset`.
async fn copy<R, W>(mut from: R, mut to: W, mode: Rc<Cell<Mode>>, is_response: bool, reset: &Reset)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = [0; 16 * 1024];
    loop {
        let len = match from.read(&mut buffer).await {
            Ok(0) => return,
            Ok(len) => len,
            Err(_) => return reset.arm(),
        };
        let passes = |mode| match mode {
            Mode::Pass | Mode::Delay(_) | Mode::Refuse => true,
            Mode::Silent => false,
            Mode::OneWay => !is_response,
        };
        if let Mode::Delay(delay) = mode.get() {
            sleep(delay).await;
        }
        while !passes(mode.get()) {
            sleep(Duration::from_millis(20)).await;
        }
        if to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
