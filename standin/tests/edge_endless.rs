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
/// More than the sound replicas have slots.
const REQUESTS: usize = 12;

const PLAN: Plan = raw::plan(71);

/// What comes without end, after the head or in place of it.
#[derive(Clone, Copy, Debug)]
struct Endless {
    has_head: bool,
    bytes: &'static [u8],
}

/// Memory of a VM of the users' first site, in bytes.
const MAX_MEMORY: u64 = 290_000_000;
/// Bytes in one write of a flood, and most bytes on one connection: so many that four of them exceed
/// [`MAX_MEMORY`], and few enough for the machine that runs the test.
const BLOCK_BYTES: usize = 64 * 1024;
const MAX_FLOOD_BYTES: usize = 128 * 1024 * 1024;

/// A flood: bytes without end as fast as they are read.
#[derive(Clone, Copy, Debug)]
struct Flood {
    /// Status and type of the head before them; none if they come inside the head.
    head: Option<(&'static str, &'static str)>,
    bytes: &'static [u8],
}

const FLOODS: [Flood; 5] = [
    Flood {
        head: Some(("500 Internal Server Error", "text/plain")),
        bytes: b"core dump: 00 00 00 00\n",
    },
    Flood {
        head: Some(("502 Bad Gateway", "text/event-stream")),
        bytes: b"data: core dump\n\n",
    },
    Flood {
        head: Some(("200 OK", "text/event-stream")),
        bytes: b"core dump: 00 00 00 00\n",
    },
    Flood {
        head: Some(("200 OK", "text/event-stream")),
        bytes: b"data: core dump\n",
    },
    Flood {
        head: None,
        bytes: b"x-noise: 1\r\n",
    },
];

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

/// Reads a request and returns the head of its answer.
async fn head(stream: &mut TcpStream, status: &str, media: &str) -> Option<String> {
    let mut request = vec![0; 4_096];
    let length = stream.read(&mut request).await.ok()?;
    let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let id = request
        .lines()
        .find_map(|it| it.strip_prefix("x-attempt-id: "));
    Some(format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {}\r\nx-response-stamp: s\r\n\
         content-type: {media}\r\n\r\n",
        id.unwrap_or_default()
    ))
}

async fn answer(mut stream: TcpStream, endless: Endless) {
    let Some(head) = head(&mut stream, "200 OK", "text/event-stream").await else {
        return;
    };
    if endless.has_head && stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    // Ends when the node closes the connection.
    while stream.write_all(&endless.bytes.repeat(64)).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn answer_flood(mut stream: TcpStream, flood: Flood) {
    let (status, media) = flood.head.unwrap_or(("200 OK", "text/event-stream"));
    let Some(head) = head(&mut stream, status, media).await else {
        return;
    };
    let head = match flood.head {
        Some(_) => &head[..],
        // Without the empty line at its end.
        None => head.trim_end_matches("\r\n\r\n"),
    };
    let block = flood.bytes.repeat(BLOCK_BYTES / flood.bytes.len());
    let mut sent = stream.write_all(head.as_bytes()).await;
    for _ in 0..MAX_FLOOD_BYTES / BLOCK_BYTES {
        if sent.is_err() {
            return;
        }
        sent = stream.write_all(&block).await;
    }
    // Returns when the node closes the connection.
    let _ = stream.read_u8().await;
}

/// Registers an endpoint with these slots that answers each connection with `answer`, and counts its
/// requests.
async fn add_endless<F>(harness: &Harness, slots: usize, answer: F) -> Rc<Cell<usize>>
where
    F: AsyncFn(TcpStream) + Copy + 'static,
{
    let listener = raw::listen(harness, "i-endless", slots).await;
    let asked = Rc::new(Cell::new(0));
    let count = Rc::clone(&asked);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            actix_rt::spawn(async move { answer(stream).await });
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    asked
}

/// Sends requests at the same time. Returns how each ended and how long it took.
async fn ask_all(harness: &Harness, requests: usize) -> Vec<(End, Duration)> {
    let asking = (0..requests).map(async |_| {
        let address = harness.caller_address(0);
        let mut conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
        let question = Question::new(harness, "q", 200);
        let began = Instant::now();
        let end = ask(harness, 0, &mut conn, question).await;
        (end, began.elapsed())
    });
    join_all(asking).await
}

/// Guards against callers that wait until their deadline for an endpoint whose bytes never end, while
/// others could answer.
#[gtest]
fn ask_endless_bytes() {
    for endless in ENDLESS {
        run(PLAN, async |harness| {
            let asked = add_endless(harness, raw::SLOTS, async move |it| {
                answer(it, endless).await;
            })
            .await;
            for (end, took) in ask_all(harness, REQUESTS).await {
                // A caller that can't be served in time is refused at once.
                expect_that!(end, any![eq(End::Whole), eq(End::Refused)], "{endless:?}");
                expect_that!(took, le(MAX_TIME), "{endless:?}");
            }
            expect_that!(asked.get(), gt(0), "{endless:?}");
        });
    }
}

/// Guards against a node that keeps all bytes of an endless answer: it is killed for its memory, and
/// the requests of other callers end with it.
#[gtest]
fn ask_flood() {
    for flood in FLOODS {
        run(PLAN, async |harness| {
            let asked = add_endless(harness, raw::SLOTS, async move |it| {
                answer_flood(it, flood).await;
            })
            .await;
            for (end, took) in ask_all(harness, REQUESTS).await {
                expect_that!(end, any![eq(End::Whole), eq(End::Refused)], "{flood:?}");
                expect_that!(took, le(MAX_TIME), "{flood:?}");
            }
            let memory = harness.nodes[0].peak_memory().unwrap();
            expect_that!(memory, le(MAX_MEMORY), "{flood:?}");
            expect_that!(asked.get(), gt(0), "{flood:?}");
        });
    }
}

/// Guards against a node that keeps a little of each of many floods, which is too much in all.
#[gtest]
fn ask_flood_many() {
    /// More than all endpoints of the users' first site have slots.
    const MANY: usize = 100;
    for flood in FLOODS {
        run(PLAN, async |harness| {
            let answer = async move |it| answer_flood(it, flood).await;
            let asked = add_endless(harness, MANY, answer).await;
            let ends = ask_all(harness, MANY).await;
            let memory = harness.nodes[0].peak_memory().unwrap();
            expect_that!(memory, le(MAX_MEMORY), "{flood:?}");
            expect_that!(asked.get(), gt(MANY / 2), "{flood:?}");
            // The sound replicas have slots for a few only.
            let ends: Vec<End> = ends.into_iter().map(|(end, _)| end).collect();
            expect_that!(ends, contains(eq(&End::Whole)), "{flood:?}");
        });
    }
}
