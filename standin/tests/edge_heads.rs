//! What callers get beside an endpoint that stops in the middle of its answer's head.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

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
const REQUESTS: usize = 16;

const PLAN: Plan = raw::plan(72);

/// What arrives of the head; `ID` stands for the request's id.
const HEADS: [&str; 9] = [
    "HTTP/1.1 20",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-st",
    "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: s\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: s\r\ncontent-length: 0\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: s\r\ncontent-length: 1",
    "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: s\r\ntransfer-encoding: chunked\r\n",
    "HTTP/1.1 200 OK\nx-attempt-id: ID\nx-response-stamp: s\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: s\r\n",
];

/// How the endpoint stops.
#[derive(Clone, Copy, Debug)]
struct Stop {
    head: &'static str,
    is_reset: bool,
}

/// Reads a request and returns its id; none if the caller has closed the connection.
async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut request = vec![0; 4_096];
    let length = stream.read(&mut request).await.ok()?;
    let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-attempt-id: "))?;
    Some(id.to_owned())
}

async fn answer(mut stream: TcpStream, stop: Stop) -> Option<()> {
    let id = read_id(&mut stream).await?;
    let head = stop.head.replace("ID", &id);
    stream.write_all(head.as_bytes()).await.ok()?;
    if stop.is_reset {
        stream.set_zero_linger().ok()?;
    }
    Some(())
}

/// Registers an endpoint that stops so, and counts the requests at which it did.
async fn add_stopping(harness: &Harness, stop: Stop) -> Rc<Cell<usize>> {
    let listener = raw::listen(harness, "i-stops", raw::SLOTS).await;
    let stopped = Rc::new(Cell::new(0));
    let count = Rc::clone(&stopped);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = Rc::clone(&count);
            actix_rt::spawn(async move {
                if answer(stream, stop).await.is_some() {
                    count.set(count.get() + 1);
                }
            });
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    stopped
}

async fn ask_all(harness: &Harness, route: &str) -> Vec<End> {
    let asking = (0..REQUESTS).map(async |_| {
        let address = harness.caller_address(0);
        let mut conn = connect::open(address, CONNECT_TIMEOUT).await.unwrap();
        let question = Question::new(harness, route, 200);
        ask(harness, 0, &mut conn, question).await
    });
    join_all(asking).await
}

/// Guards against a short or empty answer that looks complete, because its endpoint stopped in the
/// middle of the head, closed or reset.
#[gtest]
fn ask_head_cut() {
    for (head, is_reset) in HEADS.iter().flat_map(|it| [(it, false), (it, true)]) {
        let stop = Stop { head, is_reset };
        run(PLAN, async |harness| {
            let stopped = add_stopping(harness, stop).await;
            // A wrong body is a violation.
            let ends = [ask_all(harness, "q").await, ask_all(harness, "v").await].concat();
            expect_that!(ends, contains(eq(&End::Whole)), "{stop:?}");
            expect_that!(stopped.get(), gt(0), "{stop:?}");
        });
    }
}
