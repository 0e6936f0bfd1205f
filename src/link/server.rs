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

use super::{CONNECT_TIMEOUT, MAX_QUEUED_FRAMES, socket_config};
use crate::dispatch::Handle;
use crate::dispatch::handle::Event;
use crate::event;
use crate::name::Name;
use crate::wire;
use crate::wire::query::{Query, Reply};
use crate::wire::traffic::Frame;

/// A gateway with open requests pings far more often than this. One that is silent for this
/// long is gone, and its requests must release their slots.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle timeout; the gateway closes a connection without open requests earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(180);
/// Timeout of the control thread's reply to a query.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Socket = WebSocketStream<TcpStream>;
type Running = Rc<RefCell<HashMap<u64, JoinHandle<()>>>>;

/// A query for the control thread.
#[derive(Debug)]
pub struct PendingQuery {
    /// The query.
    pub query: Query,
    /// Receives the reply.
    pub reply: oneshot::Sender<Reply>,
}

/// The services that handle a connection's frames.
#[derive(Clone)]
pub struct Services {
    /// This node's name.
    pub node: Name,
    /// Handle to the dispatchers of this node.
    pub handle: Handle,
    /// Channel to the control thread.
    pub queries: mpsc::Sender<PendingQuery>,
}

/// Accepts connections from other nodes for the lifetime of the thread.
///
/// # Errors
/// Returns an error if the socket can't be registered with this thread's runtime.
pub async fn serve(listener: TcpListener, services: Services) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let connection = connection(stream, services.clone());
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

async fn connection(stream: TcpStream, services: Services) -> Result<(), String> {
    let socket = timeout(CONNECT_TIMEOUT, handshake(stream, services.node.clone()))
        .await
        .map_err(|_| "the handshake timed out")??;
    let (sink, source) = socket.split();
    let (frames, outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
    let running = Running::default();
    let result = tokio::select! {
        result = read(source, &frames, &services, &running) => result,
        result = write(sink, outgoing) => result,
    };
    // The gateway has disconnected: all of its requests are cancelled.
    for (_, task) in running.borrow_mut().drain() {
        task.abort();
    }
    result
}

async fn handshake(stream: TcpStream, node: Name) -> Result<Socket, String> {
    let mut socket = accept_async_with_config(stream, Some(socket_config()))
        .await
        .map_err(|error| error.to_string())?;
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => {
            let Ok(Frame::Hello { version, .. }) = wire::decode(&bytes) else {
                return Err(reject("the first frame is not a handshake"));
            };
            if version != wire::VERSION {
                return Err(reject("the peer has another protocol version"));
            }
        }
        _ => return Err("no handshake was received".into()),
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
    services: &Services,
    running: &Running,
) -> Result<(), String> {
    loop {
        let silence = if running.borrow().is_empty() {
            IDLE_TIMEOUT
        } else {
            SILENCE_TIMEOUT
        };
        let message = timeout(silence, source.next())
            .await
            .map_err(|_| "the peer timed out")?;
        let bytes = match message {
            None | Some(Ok(Message::Close(_))) => return Ok(()),
            Some(Err(error)) => return Err(error.to_string()),
            Some(Ok(Message::Binary(bytes))) => bytes,
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => continue,
            Some(Ok(_)) => return Err(reject("a message that is not a frame")),
        };
        match wire::decode(&bytes) {
            Ok(Frame::Submit {
                id,
                endpoint,
                request,
            }) => {
                let events = services.handle.submit(endpoint, *request);
                let task = forward(id, events, frames.clone(), Rc::clone(running));
                let task = actix_rt::spawn(task);
                if let Some(old) = running.borrow_mut().insert(id, task) {
                    // A correct gateway never reuses an id.
                    old.abort();
                    return Err(reject("a request id was used twice"));
                }
            }
            Ok(Frame::Cancel { id }) => {
                if let Some(task) = running.borrow_mut().remove(&id) {
                    task.abort();
                }
            }
            Ok(Frame::Query { id, query }) => {
                actix_rt::spawn(query_control(
                    id,
                    query,
                    services.queries.clone(),
                    frames.clone(),
                ));
            }
            Ok(
                Frame::Hello { .. } | Frame::Piece { .. } | Frame::End { .. } | Frame::Reply { .. },
            ) => {
                return Err(reject("a frame that only a dispatcher sends"));
            }
            Err(error) => return Err(reject(&error.to_string())),
        }
    }
}

/// Passes a query to the control thread and sends the reply.
async fn query_control(
    id: u64,
    query: Query,
    queries: mpsc::Sender<PendingQuery>,
    frames: mpsc::Sender<Frame>,
) {
    let (reply, answer) = oneshot::channel();
    let reply = match queries.try_send(PendingQuery { query, reply }) {
        Err(_) => Reply::Busy,
        Ok(()) => match timeout(REPLY_TIMEOUT, answer).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => Reply::Busy,
        },
    };
    let _ = frames.send(Frame::Reply { id, reply }).await;
}

/// Forwards the events of one request.
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

fn reject(why: &str) -> String {
    log::warn!("{} why=\"{why}\"", event::FRAME_REFUSED);
    why.to_owned()
}
