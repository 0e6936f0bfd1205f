//! What callers get of answers that come while their request is being sent, and of answers whose
//! status is none.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnspoke::connect;
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode};
use standin::site::replica::{split_software, text};
use standin::soak::Plan;
use standin::soak::caller::submit_job;
use standin::soak::check::{Job, Report, expected_stream};
use standin::soak::fleet::{HOST, Harness, KEY};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use play::run;

#[path = "support/play.rs"]
mod play;
#[path = "support/raw.rs"]
mod raw;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const REQUESTS: usize = 4;
const TOKENS: u64 = 200;
/// The routes of a run: streams that may be resumed and that may not, other answers that may be
/// repeated and that may not.
const ROUTES: [&str; 4] = ["q", "v", "i", "o"];
/// Bytes of a long request's body, below the configured limit.
const LONG: usize = 4_000_000;
/// Bytes that the endpoint's system holds for it.
const RECEIVE_BYTES: u32 = 16 * 1024;

const PLAN: Plan = raw::plan(74);

/// What the endpoint sends, and how it ends the connection.
#[derive(Clone, Copy, Debug)]
struct Early {
    status: &'static str,
    framing: Framing,
    finish: Finish,
}

/// How the endpoint says where its answer ends, of which it sends a part.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// By the end of the connection.
    Connection,
    /// By a length.
    Length,
    /// By a last chunk.
    Chunks,
}

impl Framing {
    /// Returns the header for an answer with this part, and the part as it is sent.
    fn frame(self, part: &str) -> (String, String) {
        match self {
            Self::Connection => (String::new(), part.to_owned()),
            Self::Length => {
                let header = format!("content-length: {}\r\n", 2 * part.len());
                (header, part.to_owned())
            }
            Self::Chunks => {
                let chunk = format!("{:x}\r\n{part}\r\n", part.len());
                ("transfer-encoding: chunked\r\n".to_owned(), chunk)
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Finish {
    /// It resets the connection.
    Reset,
    /// It closes the connection with bytes unread.
    CloseUnread,
    /// It ends its own direction, and resets the connection later.
    HalfCloseThenReset,
    /// It closes the connection with all of a short request read.
    Close,
}

/// The beginning of an answer to the request at `path`: an event where it is a stream.
fn part(path: &str) -> (&'static str, String) {
    if ["/q/", "/v/", "/n/"].iter().any(|it| path.starts_with(it)) {
        let event = format!("id: 1\ndata: {}@v1\n\n", text(path, 1));
        return ("text/event-stream", event);
    }
    ("text/plain", "half of it".to_owned())
}

async fn answer(mut stream: TcpStream, early: Early) -> std::io::Result<()> {
    let mut request = vec![0; 4_096];
    let length = stream.read(&mut request).await?;
    let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let mut lines = request.lines();
    let path = lines.next().and_then(|it| it.split(' ').nth(1));
    let id = lines.find_map(|it| it.strip_prefix("x-attempt-id: "));
    let (media, body) = part(path.unwrap_or_default());
    let (length, body) = early.framing.frame(&body);
    let answer = format!(
        "HTTP/1.1 {}\r\nx-attempt-id: {}\r\nx-response-stamp: s\r\ncontent-type: {media}\r\n{length}\r\n{body}",
        early.status,
        id.unwrap_or_default(),
    );
    stream.write_all(answer.as_bytes()).await?;
    sleep(Duration::from_millis(2)).await;
    match early.finish {
        Finish::Reset => stream.set_zero_linger()?,
        Finish::CloseUnread | Finish::Close => {}
        Finish::HalfCloseThenReset => {
            stream.shutdown().await?;
            sleep(Duration::from_millis(5)).await;
            stream.set_zero_linger()?;
        }
    }
    Ok(())
}

/// Registers an endpoint that answers so, and counts its requests.
async fn add_early(harness: &Harness, early: Early) -> Rc<Cell<usize>> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(64).unwrap();
    raw::register(
        harness,
        "i-early",
        listener.local_addr().unwrap(),
        raw::SLOTS,
    );
    let asked = Rc::new(Cell::new(0));
    let count = Rc::clone(&asked);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            actix_rt::spawn(answer(stream, early));
        }
    });
    sleep(Duration::from_millis(500)).await;
    asked
}

/// Sends a request of this length, and returns the status of its answer and whether it is the replicas'
/// whole answer; none if it broke off.
async fn upload(harness: &Harness, route: &str, length: usize) -> Option<(StatusCode, bool)> {
    let number = harness.next_number();
    let path = format!("/{route}/{number}");
    let request = Request::post(&path)
        .header("host", HOST)
        .header("x-attempt-id", format!("a{number:x}"))
        .header("authorization", format!("Token {KEY}"))
        .header("x-token-count", format!("300,{TOKENS}"))
        .header("x-prompt-prefix", format!("c{number:x}:100"))
        .header("x-timeout-ms", "5000")
        .body(Full::new(Bytes::from(vec![b'x'; length])))
        .unwrap();
    let address = harness.caller_address(0);
    let mut conn = connect::open(address, CONNECT_TIMEOUT).await.ok()?;
    let response = conn.send(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let text = String::from_utf8_lossy(&body);
    let is_whole = split_software(&text).0 == expected_stream(&path, TOKENS);
    Some((status, is_whole))
}

/// Asks on all routes beside an endpoint that answers so. No caller may get its answer.
fn play(early: Early, length: usize) {
    run(PLAN, async |harness| {
        let asked = add_early(harness, early).await;
        let mut whole = 0;
        for route in ROUTES {
            let answers = (0..REQUESTS).map(|_| upload(harness, route, length));
            for (status, is_whole) in join_all(answers).await.into_iter().flatten() {
                let is_own = matches!(status.as_u16(), 502..=504);
                expect_that!(is_own || is_whole, eq(true), "{route} {status} {early:?}");
                whole += usize::from(is_whole);
            }
        }
        expect_that!(whole, gt(0), "{early:?}");
        expect_that!(asked.get(), gt(0), "{early:?}");
    });
}

/// Guards against the part of an answer that a caller gets as all of it, because its connection was
/// reset while the request was still being sent.
#[gtest]
fn ask_answer_cut_during_upload() {
    for framing in [Framing::Connection, Framing::Length, Framing::Chunks] {
        for finish in [
            Finish::Reset,
            Finish::CloseUnread,
            Finish::HalfCloseThenReset,
        ] {
            let early = Early {
                status: "200 OK",
                framing,
                finish,
            };
            play(early, LONG);
        }
    }
}

/// Guards against an item of a batch job that is completed with the output of an answer whose status is
/// none, or with a part of an answer.
#[gtest]
fn item_answer_invalid() {
    const ITEMS: usize = 8;
    for (status, framing) in [
        ("000 Nothing", Framing::Connection),
        ("099 Nothing", Framing::Connection),
        ("2x0 Nothing", Framing::Connection),
        ("600 Nothing", Framing::Connection),
        ("200 OK", Framing::Length),
        ("200 OK", Framing::Chunks),
    ] {
        let early = Early {
            status,
            framing,
            finish: Finish::Close,
        };
        run(PLAN, async |harness| {
            let asked = add_early(harness, early).await;
            let paths = (0..ITEMS).map(|_| format!("/n/item/{}", harness.next_number()));
            submit_job(harness, paths.collect(), false).await;
            let jobs: Vec<Job> = {
                let jobs = harness.jobs.borrow();
                jobs.iter().map(|job| job.borrow().clone()).collect()
            };
            let mut report = Report::default();
            report.check_jobs(&jobs, &harness.history);
            expect_that!(report.items, eq(ITEMS), "{early:?}");
            expect_that!(report.violations, is_empty(), "{early:?}");
            expect_that!(asked.get(), gt(0), "{early:?}");
        });
    }
}

/// Guards against a caller that gets an answer whose status is none, such as 000.
#[gtest]
fn ask_status_invalid() {
    for status in [
        "000 Nothing",
        "099 Nothing",
        "2x0 Nothing",
        "OK Nothing",
        "101 Switching Protocols",
        "600 Nothing",
        "999 Nothing",
    ] {
        let early = Early {
            status,
            framing: Framing::Connection,
            finish: Finish::Close,
        };
        play(early, 1);
    }
}
