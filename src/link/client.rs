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

use super::{CONNECT_TIMEOUT, IDLE, PING_AT_LEAST, PING_EVERY, Peer, SILENCE, socket_config};
use crate::dispatch::handle::Event;
use crate::event;
use crate::name::Name;
use crate::wire;
use crate::wire::traffic::Frame;

type Sink = SplitSink<WebSocketStream<TcpStream>, Message>;
type Source = SplitStream<WebSocketStream<TcpStream>>;

/// Connects, carries frames until the connection breaks, and ends whatever is
/// still open on it.
pub async fn run(
    peer: Rc<Peer>,
    node: Name,
    address: SocketAddr,
    mut outgoing: mpsc::Receiver<Frame>,
) {
    let connected = timeout(CONNECT_TIMEOUT, connect(&node, address)).await;
    let why = match connected {
        Err(_) => "connecting took too long".to_owned(),
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
        _ => Err("the peer speaks another version".into()),
    }
}

async fn write(peer: &Peer, sink: &mut Sink, outgoing: &mut mpsc::Receiver<Frame>) -> String {
    // The ping does not wait for a quiet moment: a peer that answers nothing
    // for a while, because every prompt is long, must still show that it lives.
    let mut ping = tokio::time::interval(PING_EVERY);
    let mut idle_since = Instant::now();
    let mut pinged = idle_since;
    loop {
        let sent = tokio::select! {
            _ = ping.tick() => {
                let now = Instant::now();
                if !peer.pending.borrow().is_empty() {
                    idle_since = now;
                    let quiet = now - peer.heard.get() >= PING_EVERY;
                    if quiet || now - pinged >= PING_AT_LEAST {
                        pinged = now;
                        sink.send(Message::Ping(bytes::Bytes::new())).await
                    } else {
                        Ok(())
                    }
                } else if idle_since.elapsed() >= IDLE {
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

/// Writes a frame and every other that waits behind it with one flush.
async fn send(
    peer: &Peer,
    sink: &mut Sink,
    first: Frame,
    outgoing: &mut mpsc::Receiver<Frame>,
) -> Result<Result<(), tokio_tungstenite::tungstenite::Error>, String> {
    let mut next = Some(first);
    while let Some(frame) = next {
        if let Frame::Submit { id, .. } | Frame::Query { id, .. } = &frame {
            // From here on the peer may see it, whatever the socket says.
            let mut all = peer.pending.borrow_mut();
            let Some(pending) = all.get_mut(id) else {
                // Withdrawn while it waited: it is never sent.
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
    peer.heard.set(Instant::now());
    loop {
        match timeout(PING_EVERY, next(source)).await {
            Err(_) => {
                if peer.pending.borrow().is_empty() {
                    peer.heard.set(Instant::now());
                }
                // Pings are answered, so a peer that lives is never silent
                // this long.
                if peer.heard.get().elapsed() >= SILENCE {
                    return "the peer is silent".into();
                }
                continue;
            }
            Ok(Err(why)) => return why,
            Ok(Ok(None)) => {}
            Ok(Ok(Some(frame))) => {
                if let Err(why) = take(peer, frame) {
                    return why;
                }
            }
        }
        peer.heard.set(Instant::now());
    }
}

fn take(peer: &Peer, frame: Frame) -> Result<(), String> {
    match frame {
        Frame::Piece { id, piece, load } => {
            if !peer.piece(id, piece, load) {
                // The reader is a whole answer behind: its stream alone ends.
                peer.pending.borrow_mut().remove(&id);
                let _ = peer.frames.try_send(Frame::Cancel { id });
            }
            Ok(())
        }
        Frame::End { id, outcome, load } => {
            peer.end(id, Event::End(outcome, load));
            Ok(())
        }
        Frame::Reply { id, reply } => {
            peer.answer(id, reply);
            Ok(())
        }
        Frame::Hello { .. } | Frame::Submit { .. } | Frame::Cancel { .. } | Frame::Query { .. } => {
            Err("the peer sent a frame that only a gateway sends".into())
        }
    }
}

/// The next frame; nothing for a message that only shows life.
async fn next(source: &mut Source) -> Result<Option<Frame>, String> {
    match source.next().await {
        None => Err("the peer closed it".into()),
        Some(Err(error)) => Err(error.to_string()),
        Some(Ok(Message::Binary(bytes))) => wire::decode(&bytes)
            .map(Some)
            .map_err(|error| error.to_string()),
        Some(Ok(Message::Ping(_) | Message::Pong(_))) => Ok(None),
        Some(Ok(_)) => Err("the peer sent something else than a frame".into()),
    }
}

fn message(frame: &Frame) -> Result<Message, String> {
    wire::encode(frame)
        .map(|bytes| Message::Binary(bytes.into()))
        .map_err(|error| error.to_string())
}
