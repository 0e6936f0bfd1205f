//! What callers get beside an endpoint whose answers never end and hold nothing.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use auburnspoke::connect;
use futures_util::future::join_all;
use googletest::prelude::*;
use standin::soak::Plan;
use standin::soak::caller::{Question, ask};
use standin::soak::check::End;
use standin::soak::fleet::Harness;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use play::run;

#[path = "support/play.rs"]
mod play;
#[path = "support/raw.rs"]
mod raw;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time of an answer that takes 160 ms at a sound endpoint. One that waits for the endless
/// bytes is given up at the caller's deadline of 5 s.
const MAX_TIME: Duration = Duration::from_secs(2);
const REQUESTS: usize = 12;

const PLAN: Plan = raw::plan(71);

/// What comes without end, after the head or in place of it.
#[derive(Clone, Copy, Debug)]
struct Endless {
    has_head: bool,
    bytes: &'static [u8],
}

const ENDLESS: [Endless; 5] = [
    Endless {
        has_head: false,
        bytes: b"HTTP/1.1 102 Processing\r\n\r\n",
    },
    Endless {
        has_head: false,
        bytes: b"x-noise: 1\r\n",
    },
    Endless {
        has_head: true,
        bytes: b": nothing\n\n",
    },
    Endless {
        has_head: true,
        bytes: b"\n",
    },
    Endless {
        has_head: true,
        bytes: b"data: nothing\n",
    },
];

async fn answer(mut stream: TcpStream, endless: Endless) {
    let mut request = vec![0; 4_096];
    let Ok(length) = stream.read(&mut request).await else {
        return;
    };
    let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let id = request
        .lines()
        .find_map(|it| it.strip_prefix("x-attempt-id: "));
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {}\r\nx-response-stamp: s\r\n\
         content-type: text/event-stream\r\n\r\n",
        id.unwrap_or_default()
    );
    if endless.has_head && stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    // Ends when the node closes the connection.
    while stream.write_all(&endless.bytes.repeat(64)).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Registers an endpoint that answers each request with these bytes, and counts its requests.
async fn add_endless(harness: &Harness, endless: Endless) -> Rc<Cell<usize>> {
    let listener = raw::listen(harness, "i-endless").await;
    let asked = Rc::new(Cell::new(0));
    let count = Rc::clone(&asked);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            actix_rt::spawn(answer(stream, endless));
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    asked
}

/// Guards against callers that wait until their deadline for an endpoint whose bytes never end, while
/// others could answer.
#[gtest]
fn ask_endless_bytes() {
    for endless in ENDLESS {
        run(PLAN, async |harness| {
            let asked = add_endless(harness, endless).await;
            // More than the sound replicas have slots.
            let asking = (0..REQUESTS).map(async |_| {
                let address = harness.caller_address(0);
                let mut conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
                let number = harness.next_number();
                let question = Question {
                    path: format!("/q/{number}"),
                    id: format!("a{number:x}"),
                    tokens: 200,
                    repeatable: true,
                };
                let began = Instant::now();
                let end = ask(harness, 0, &mut conn, question).await;
                (end, began.elapsed())
            });
            for (end, took) in join_all(asking).await {
                // A caller that can't be served in time is refused at once.
                expect_that!(end, any![eq(End::Whole), eq(End::Refused)], "{endless:?}");
                expect_that!(took, le(MAX_TIME), "{endless:?}");
            }
            expect_that!(asked.get(), gt(0), "{endless:?}");
        });
    }
}
