//! A loopback proxy that harms the connections that go through it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use eyre::Result;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// What happens to bytes on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// They pass after a while.
    Delay(Duration),
    /// Nothing passes; connections stay open.
    Silent,
    /// Requests pass and answers don't.
    OneWay,
    /// New connections are closed at once.
    Refuse,
}

/// A proxy before one server.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Rc<Cell<Mode>>,
    open: Rc<RefCell<Vec<JoinHandle<()>>>>,
    accept: JoinHandle<()>,
}

impl Proxy {
    /// A proxy before `server` on a port of its own.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(server: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Rc::new(Cell::new(Mode::Pass));
        let open: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
        let (modes, tasks) = (Rc::clone(&mode), Rc::clone(&open));
        let accept = actix_rt::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if modes.get() == Mode::Refuse {
                    continue;
                }
                let mode = Rc::clone(&modes);
                let task = actix_rt::spawn(async move {
                    if let Ok(far) = TcpStream::connect(server).await {
                        Box::pin(carry(near, far, mode)).await;
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

    /// Stops listening, as the server's own port does when its process ends.
    pub fn close(&self) {
        self.accept.abort();
        self.reset();
    }

    /// Treats bytes so from now on, on open connections as well.
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

async fn carry(near: TcpStream, far: TcpStream, mode: Rc<Cell<Mode>>) {
    // Small messages; the proxy must add no delay of its own.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = copy(near_in, far_out, Rc::clone(&mode), false);
    let back = copy(far_in, near_out, mode, true);
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn copy<R, W>(mut from: R, mut to: W, mode: Rc<Cell<Mode>>, is_answer: bool)
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
            Mode::OneWay => !is_answer,
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
