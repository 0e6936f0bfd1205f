//! Invalid frames on the connections between nodes.

use auburnspoke::wire::traffic::Frame;
use auburnspoke::wire::{self, MAX_FRAME_BYTES, VERSION};
use futures_util::{SinkExt as _, StreamExt as _};
use googletest::prelude::*;
use serde_json::json;
use tokio_tungstenite::tungstenite::Message;

#[path = "support/env.rs"]
mod env;

fn hello(version: u16) -> Vec<u8> {
    let node = "stranger".into();
    wire::encode(&Frame::Hello { version, node }).unwrap()
}

/// Connects to a node's link, sends the messages, and returns whether the node closed the
/// connection. The node may send its own handshake before.
fn is_closed_after(link: &str, messages: Vec<Vec<u8>>) -> bool {
    actix_rt::System::new().block_on(async {
        let stream = tokio::net::TcpStream::connect(link).await.unwrap();
        let url = format!("ws://{link}/");
        let connected = tokio_tungstenite::client_async(url, stream).await;
        let (mut socket, _) = connected.unwrap();
        for message in messages {
            // The node may have closed the connection before the last message.
            let _ = socket.send(Message::Binary(message.into())).await;
        }
        let closing = async {
            while let Some(Ok(message)) = socket.next().await {
                if message.is_close() {
                    return;
                }
            }
        };
        tokio::time::timeout(env::CONDITION_TIMEOUT, closing)
            .await
            .is_ok()
    })
}

/// A node of another version, a foreign or a faulty program connects to a node's link and sends
/// invalid frames. The node must close that connection and still answer a request.
#[gtest]
fn link_broken_frames() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0");
    fleet.configure();
    let link = fleet.nodes[0].address("link");
    let mut truncated = wire::encode(&Frame::Cancel { id: 7 }).unwrap();
    truncated.pop();
    let mut trailing = wire::encode(&Frame::Cancel { id: 7 }).unwrap();
    trailing.push(0);
    let mut unknown = Vec::new();
    ciborium::into_writer(&json!({"Surprise": {"id": 1}}), &mut unknown).unwrap();
    let answer = wire::encode(&Frame::Hello {
        version: VERSION,
        node: "again".into(),
    })
    .unwrap();
    let broken = [
        ("another version", vec![hello(VERSION + 1)]),
        (
            "no handshake",
            vec![wire::encode(&Frame::Cancel { id: 7 }).unwrap()],
        ),
        ("truncated", vec![hello(VERSION), truncated]),
        ("trailing bytes", vec![hello(VERSION), trailing]),
        ("unknown kind", vec![hello(VERSION), unknown]),
        (
            "too long",
            vec![hello(VERSION), vec![0; MAX_FRAME_BYTES + 1]],
        ),
        ("out of turn", vec![hello(VERSION), answer]),
    ];
    for (what, messages) in broken {
        expect_that!(is_closed_after(&link, messages), eq(true), "{what}");
    }
    let ask = json!({"service": "recipes", "prompt": "still there", "maxTokens": 4});
    let answer = fleet.caller(0, "Ask", &ask);
    expect_that!(answer.map(|a| a["tokens"].clone()), ok(eq(&json!(4))));
}
