//! A loopback proxy that injects faults into the connections that pass through it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use eyre::Result;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

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

/// A proxy in front of one server.
pub struct Proxy {
    /// Address on which it listens.
    pub address: SocketAddr,
    mode: Rc<Cell<Mode>>,
    open: Rc<RefCell<Vec<JoinHandle<()>>>>,
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
        let open: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
        let (modes, tasks) = (Rc::clone(&mode), Rc::clone(&open));
        let accept = actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if modes.get() == Mode::Refuse {
                    continue;
                }
                let mode = Rc::clone(&modes);
                let task = actix_rt::spawn(async move {
                    if let Ok(upstream) = TcpStream::connect(server).await {
                        Box::pin(forward(client, upstream, mode)).await;
                    }
                });
                let mut tasks = tasks.borrow_mut();
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        Ok(Self {
            address,
            mode,
            open,
            accept,
        })
    }

    /// Stops listening and closes all connections, as when the server's process exits.
    pub fn close(&self) {
        self.accept.abort();
        self.reset();
    }

    /// Sets the mode for new and open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        for task in self.open.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

async fn forward(client: TcpStream, upstream: TcpStream, mode: Rc<Cell<Mode>>) {
    // Messages are small, and the proxy must add no delay of its own.
    if client.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
        return;
    }
    let (client_in, client_out) = client.into_split();
    let (upstream_in, upstream_out) = upstream.into_split();
    let requests = copy(client_in, upstream_out, Rc::clone(&mode), false);
    let responses = copy(upstream_in, client_out, mode, true);
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

async fn copy<R, W>(mut from: R, mut to: W, mode: Rc<Cell<Mode>>, is_response: bool)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = [0; 16 * 1024];
    loop {
        let Ok(len @ 1..) = from.read(&mut buffer).await else {
            return;
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
