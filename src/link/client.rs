//! The gateway's end of a connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt as _, StreamExt as _};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use super::{
    CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_PING_INTERVAL, PING_INTERVAL, Peer, SILENCE_TIMEOUT,
    socket_config,
};
use crate::dispatch::handle::Event;
use crate::event;
use crate::name::Name;
use crate::wire;
use crate::wire::traffic::Frame;

type Sink = SplitSink<WebSocketStream<TcpStream>, Message>;
type Source = SplitStream<WebSocketStream<TcpStream>>;

/// Connects, transfers frames until the connection breaks, and then ends all requests that are
/// still open on it.
pub async fn run(
    peer: Rc<Peer>,
    node: Name,
    address: SocketAddr,
    mut outgoing: mpsc::Receiver<Frame>,
) {
    let connected = timeout(CONNECT_TIMEOUT, connect(&node, address)).await;
    let why = match connected {
        Err(_) => "connecting timed out".to_owned(),
        Ok(Err(why)) => why,
        Ok(Ok((mut sink, mut source))) => {
            tokio::select! {
                why = write(&peer, &mut sink, &mut outgoing) => why,
                why = read(&peer, &mut source) => why,
            }
        }
    };
    log::info!("{} peer={address} why=\"{why}\"", event::LINK_CLOSED);
    peer.close(&why);
}

async fn connect(node: &Name, address: SocketAddr) -> Result<(Sink, Source), String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let url = format!("ws://{address}/");
    let (socket, _) = client_async_with_config(url, stream, Some(socket_config()))
        .await
        .map_err(|error| error.to_string())?;
    let (mut sink, mut source) = socket.split();
    let hello = Frame::Hello {
        version: wire::VERSION,
        node: node.clone(),
    };
    sink.send(message(&hello)?)
        .await
        .map_err(|error| error.to_string())?;
    match next(&mut source).await? {
        Some(Frame::Hello { version, .. }) if version == wire::VERSION => Ok((sink, source)),
        _ => Err("the peer has another protocol version".into()),
    }
}

async fn write(peer: &Peer, sink: &mut Sink, outgoing: &mut mpsc::Receiver<Frame>) -> String {
    // Pings continue while requests are open: a peer that returns no pieces for a while,
    // because every prompt is long, must still prove that it is alive.
    let mut ping = tokio::time::interval(PING_INTERVAL);
    let mut idle_since = Instant::now();
    let mut last_ping = idle_since;
    loop {
        let sent = tokio::select! {
            _ = ping.tick() => {
                let now = Instant::now();
                if !peer.pending.borrow().is_empty() {
                    idle_since = now;
                    let is_quiet = now - peer.last_activity.get() >= PING_INTERVAL;
                    if is_quiet || now - last_ping >= MAX_PING_INTERVAL {
                        last_ping = now;
                        sink.send(Message::Ping(bytes::Bytes::new())).await
                    } else {
                        Ok(())
                    }
                } else if idle_since.elapsed() >= IDLE_TIMEOUT {
                    return "idle".into();
                } else {
                    Ok(())
                }
            }
            frame = outgoing.recv() => match frame {
                None => return "no longer needed".into(),
                Some(frame) => match send(peer, sink, frame, outgoing).await {
                    Ok(sent) => sent,
                    Err(why) => return why,
                },
            },
        };
        if let Err(error) = sent {
            return error.to_string();
        }
    }
}

/// Writes a frame and all queued ones with a single flush.
async fn send(
    peer: &Peer,
    sink: &mut Sink,
    first: Frame,
    outgoing: &mut mpsc::Receiver<Frame>,
) -> Result<Result<(), tokio_tungstenite::tungstenite::Error>, String> {
    let mut next = Some(first);
    while let Some(frame) = next {
        if let Frame::Submit { id, .. } | Frame::Query { id, .. } = &frame {
            // From here on the peer may receive it, whatever error the socket returns.
            let mut all = peer.pending.borrow_mut();
            let Some(pending) = all.get_mut(id) else {
                // Cancelled while it was queued, so it is not sent.
                next = outgoing.try_recv().ok();
                continue;
            };
            pending.written = true;
        }
        if let Err(error) = sink.feed(message(&frame)?).await {
            return Ok(Err(error));
        }
        next = outgoing.try_recv().ok();
    }
    Ok(sink.flush().await)
}

async fn read(peer: &Peer, source: &mut Source) -> String {
    peer.last_activity.set(Instant::now());
    loop {
        match timeout(PING_INTERVAL, next(source)).await {
            Err(_) => {
                if peer.pending.borrow().is_empty() {
                    peer.last_activity.set(Instant::now());
                }
                // Pings are answered, so a live peer is never silent for this long.
                if peer.last_activity.get().elapsed() >= SILENCE_TIMEOUT {
                    return "the peer timed out".into();
                }
                continue;
            }
            Ok(Err(why)) => return why,
            Ok(Ok(None)) => {}
            Ok(Ok(Some(frame))) => {
                if let Err(why) = handle(peer, frame) {
                    return why;
                }
            }
        }
        peer.last_activity.set(Instant::now());
    }
}

fn handle(peer: &Peer, frame: Frame) -> Result<(), String> {
    match frame {
        Frame::Piece { id, piece, load } => {
            if !peer.deliver_piece(id, piece, load) {
                // The reader is a whole answer behind: only its own stream is cancelled.
                peer.pending.borrow_mut().remove(&id);
                let _ = peer.frames.try_send(Frame::Cancel { id });
            }
            Ok(())
        }
        Frame::End { id, outcome, load } => {
            peer.finish(id, Event::End(outcome, load));
            Ok(())
        }
        Frame::Reply { id, reply } => {
            peer.reply(id, reply);
            Ok(())
        }
        Frame::Hello { .. } | Frame::Submit { .. } | Frame::Cancel { .. } | Frame::Query { .. } => {
            Err("the peer sent a frame that only a gateway sends".into())
        }
    }
}

/// Returns the next frame, or none for a ping or pong.
async fn next(source: &mut Source) -> Result<Option<Frame>, String> {
    match source.next().await {
        None => Err("the peer closed the connection".into()),
        Some(Err(error)) => Err(error.to_string()),
        Some(Ok(Message::Binary(bytes))) => wire::decode(&bytes)
            .map(Some)
            .map_err(|error| error.to_string()),
        Some(Ok(Message::Ping(_) | Message::Pong(_))) => Ok(None),
        Some(Ok(_)) => Err("the peer sent a message that is not a frame".into()),
    }
}

fn message(frame: &Frame) -> Result<Message, String> {
    wire::encode(frame)
        .map(|bytes| Message::Binary(bytes.into()))
        .map_err(|error| error.to_string())
}
