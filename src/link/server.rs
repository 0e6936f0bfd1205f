//! The dispatcher's end of a connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt as _, StreamExt as _};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};

use super::{CONNECT_TIMEOUT, FRAMES, socket_config};
use crate::dispatch::Handle;
use crate::dispatch::handle::Event;
use crate::event;
use crate::name::Name;
use crate::wire;
use crate::wire::query::{Query, Reply};
use crate::wire::traffic::Frame;

/// A gateway with open requests pings far more often than this; a silent one is
/// gone, and its requests must not use slots any longer.
const SILENCE: Duration = Duration::from_secs(5);
/// A connection without open requests is closed by the gateway before this.
const IDLE: Duration = Duration::from_secs(180);
/// Longest time that the control thread may take for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long to pause when a connection can't be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Socket = WebSocketStream<TcpStream>;
type Running = Rc<RefCell<HashMap<u64, JoinHandle<()>>>>;

/// A question for the control thread.
#[derive(Debug)]
pub struct PendingQuery {
    /// The question.
    pub query: Query,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Reply>,
}

/// What connections are served with.
#[derive(Clone)]
pub struct Desk {
    /// This node's name.
    pub node: Name,
    /// The dispatchers of this node.
    pub handle: Handle,
    /// The control thread.
    pub queries: mpsc::Sender<PendingQuery>,
}

/// Accepts connections of other nodes for as long as the thread lives.
///
/// # Errors
/// When the socket can't be registered with this thread's runtime.
pub async fn serve(listener: TcpListener, desk: Desk) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let connection = connection(stream, desk.clone());
                actix_rt::spawn(async move {
                    if let Err(why) = connection.await {
                        log::info!("{} peer={peer} why=\"{why}\"", event::LINK_CLOSED);
                    }
                });
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection(stream: TcpStream, desk: Desk) -> Result<(), String> {
    let socket = timeout(CONNECT_TIMEOUT, greet(stream, desk.node.clone()))
        .await
        .map_err(|_| "the greeting took too long")??;
    let (sink, source) = socket.split();
    let (frames, outgoing) = mpsc::channel(FRAMES);
    let running = Running::default();
    let result = tokio::select! {
        result = read(source, &frames, &desk, &running) => result,
        result = write(sink, outgoing) => result,
    };
    // The gateway is gone: whatever ran for it is cancelled.
    for (_, task) in running.borrow_mut().drain() {
        task.abort();
    }
    result
}

async fn greet(stream: TcpStream, node: Name) -> Result<Socket, String> {
    let mut socket = accept_async_with_config(stream, Some(socket_config()))
        .await
        .map_err(|error| error.to_string())?;
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => {
            let Ok(Frame::Hello { version, .. }) = wire::decode(&bytes) else {
                return Err(refuse("the first frame is no greeting"));
            };
            if version != wire::VERSION {
                return Err(refuse("the peer speaks another version"));
            }
        }
        _ => return Err("no greeting came".into()),
    }
    let hello = Frame::Hello {
        version: wire::VERSION,
        node,
    };
    let bytes = wire::encode(&hello).map_err(|error| error.to_string())?;
    socket
        .send(Message::Binary(bytes.into()))
        .await
        .map_err(|error| error.to_string())?;
    Ok(socket)
}

async fn read(
    mut source: SplitStream<Socket>,
    frames: &mpsc::Sender<Frame>,
    desk: &Desk,
    running: &Running,
) -> Result<(), String> {
    loop {
        let silence = if running.borrow().is_empty() {
            IDLE
        } else {
            SILENCE
        };
        let message = timeout(silence, source.next())
            .await
            .map_err(|_| "the peer is silent")?;
        let bytes = match message {
            None | Some(Ok(Message::Close(_))) => return Ok(()),
            Some(Err(error)) => return Err(error.to_string()),
            Some(Ok(Message::Binary(bytes))) => bytes,
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => continue,
            Some(Ok(_)) => return Err(refuse("something else than a frame")),
        };
        match wire::decode(&bytes) {
            Ok(Frame::Submit {
                id,
                endpoint,
                request,
            }) => {
                let events = desk.handle.submit(endpoint, *request);
                let task = forward(id, events, frames.clone(), Rc::clone(running));
                let task = actix_rt::spawn(task);
                if let Some(old) = running.borrow_mut().insert(id, task) {
                    // An identity is never used twice by a gateway of ours.
                    old.abort();
                    return Err(refuse("a request's identity came twice"));
                }
            }
            Ok(Frame::Cancel { id }) => {
                if let Some(task) = running.borrow_mut().remove(&id) {
                    task.abort();
                }
            }
            Ok(Frame::Query { id, query }) => {
                actix_rt::spawn(ask(id, query, desk.queries.clone(), frames.clone()));
            }
            Ok(
                Frame::Hello { .. } | Frame::Piece { .. } | Frame::End { .. } | Frame::Reply { .. },
            ) => {
                return Err(refuse("a frame that only a dispatcher sends"));
            }
            Err(error) => return Err(refuse(&error.to_string())),
        }
    }
}

/// Lets the control thread answer a question.
async fn ask(
    id: u64,
    query: Query,
    queries: mpsc::Sender<PendingQuery>,
    frames: mpsc::Sender<Frame>,
) {
    let (reply, answer) = oneshot::channel();
    let reply = match queries.try_send(PendingQuery { query, reply }) {
        Err(_) => Reply::Busy,
        Ok(()) => match timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => Reply::Busy,
        },
    };
    let _ = frames.send(Frame::Reply { id, reply }).await;
}

/// Passes on what the dispatcher says of one request.
async fn forward(
    id: u64,
    mut events: mpsc::Receiver<Event>,
    frames: mpsc::Sender<Frame>,
    running: Running,
) {
    while let Some(event) = events.recv().await {
        let frame = match event {
            Event::Piece(piece, load) => Frame::Piece { id, piece, load },
            Event::End(outcome, load) => Frame::End { id, outcome, load },
        };
        let last = matches!(frame, Frame::End { .. });
        if frames.send(frame).await.is_err() || last {
            break;
        }
    }
    running.borrow_mut().remove(&id);
}

async fn write(
    mut sink: SplitSink<Socket, Message>,
    mut outgoing: mpsc::Receiver<Frame>,
) -> Result<(), String> {
    while let Some(frame) = outgoing.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            let bytes = wire::encode(&frame).map_err(|error| error.to_string())?;
            let fed = sink.feed(Message::Binary(bytes.into())).await;
            fed.map_err(|error| error.to_string())?;
            next = outgoing.try_recv().ok();
        }
        sink.flush().await.map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn refuse(why: &str) -> String {
    log::warn!("{} why=\"{why}\"", event::FRAME_REFUSED);
    why.to_owned()
}
