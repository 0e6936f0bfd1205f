//! Runs at model engines whose streams go wrong.

use std::time::Duration;

use auburnspoke::endpoint::completion::{Prompt, run};
use auburnspoke::endpoint::{Client, Failure, Target};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::timeout;

const WAIT: Duration = Duration::from_secs(10);
/// Most bytes that the engine sends.
const MAX_SENT: usize = 32 * 1024 * 1024;

/// Runs a prompt at an engine that sends `bytes` again and again. Returns how the run ended, and how
/// many bytes the engine could send before the connection closed.
async fn run_endless(bytes: &'static [u8]) -> (Result<(), Failure>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let engine = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _read = stream.read(&mut request).await.unwrap();
        let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                     transfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let block = bytes.repeat(1_000);
        let chunk = [format!("{:x}\r\n", block.len()).as_bytes(), &block, b"\r\n"].concat();
        let mut sent = 0;
        while sent < MAX_SENT && stream.write_all(&chunk).await.is_ok() {
            sent += chunk.len();
        }
        sent
    });
    let target = Target {
        name: "engine-1".into(),
        address: address.to_string().into(),
        model: "m".into(),
    };
    let prompt = Prompt {
        model: "m",
        prompt: "x",
        max_tokens: 8,
        stream: true,
        key: "k",
        resume_from: 0,
        resume_text: "",
    };
    let client = Client::new(WAIT);
    let result = run(&client, &target, &prompt, WAIT, async |_| {});
    let result = timeout(2 * WAIT, result).await.unwrap();
    drop(client);
    (result, engine.await.unwrap())
}

/// Guards against a node that keeps an event which never ends until its memory is used up.
#[gtest]
fn run_endless_event() {
    actix_rt::System::new().block_on(async {
        for bytes in [&b"core dump: 00 00 "[..], b"data: x\n", b": nothing\n\n"] {
            let (result, sent) = run_endless(bytes).await;
            expect_that!(result, err(matches_pattern!(Failure::Broken(_))));
            expect_that!(sent, lt(MAX_SENT), "{bytes:?}");
        }
    });
}
