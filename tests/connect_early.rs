//! Answers that come while the request is still being written.

use std::net::SocketAddr;
use std::time::Duration;

use auburnspoke::connect;
use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

const WAIT: Duration = Duration::from_secs(5);
/// Bytes of the request's body: more than the buffers of both sides hold.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
/// What arrives of the answer's body.
const PART: &str = "half of it";

/// How the other side ends its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finish {
    /// It resets the connection.
    Reset,
    /// It closes the connection with bytes unread, which resets it.
    CloseUnread,
    /// It ends its own direction, and resets the connection later.
    HalfCloseThenReset,
    /// It ends its own direction, and reads the rest of the request.
    HalfCloseThenRead,
}

fn listen() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    socket.listen(8).unwrap()
}

async fn answer(mut stream: TcpStream, finish: Finish, delay: Duration) {
    let mut request = [0; 512];
    let _read = stream.read(&mut request).await.unwrap();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(PART.as_bytes()).await.unwrap();
    sleep(delay).await;
    match finish {
        Finish::Reset => stream.set_zero_linger().unwrap(),
        Finish::CloseUnread => {}
        Finish::HalfCloseThenReset => {
            stream.shutdown().await.unwrap();
            sleep(Duration::from_millis(5)).await;
            stream.set_zero_linger().unwrap();
        }
        Finish::HalfCloseThenRead => {
            stream.shutdown().await.unwrap();
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.unwrap();
        }
    }
}

/// Sends a long request, and returns the whole body of its answer, or none if the answer broke off.
async fn upload(finish: Finish, delay: Duration) -> Option<Bytes> {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        answer(stream, finish, delay).await;
    });
    let mut conn = connect::open(address, WAIT).await.unwrap();
    let request = Request::post("/")
        .header("host", "x")
        .body(Full::new(Bytes::from(vec![b'x'; UPLOAD_BYTES])))
        .unwrap();
    let exchange = async {
        let response = conn.send(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        Some(body.to_bytes())
    };
    timeout(WAIT, exchange).await.unwrap()
}

/// Guards against the part of an answer that counts as all of it, because its connection was reset
/// while the request was still being written.
#[gtest]
fn send_answer_cut() {
    actix_rt::System::new().block_on(async {
        for finish in [
            Finish::Reset,
            Finish::CloseUnread,
            Finish::HalfCloseThenReset,
        ] {
            let mut whole = 0;
            for micros in 0..60 {
                let body = upload(finish, Duration::from_micros(micros * 50)).await;
                whole += usize::from(body.is_some());
            }
            expect_that!(whole, eq(0), "{finish:?}");
        }
    });
}

/// Guards against an early answer that is complete and counts as cut off, because its end came before
/// the request had been written.
#[gtest]
fn send_answer_early() {
    actix_rt::System::new().block_on(async {
        for micros in 0..60 {
            let body = upload(
                Finish::HalfCloseThenRead,
                Duration::from_micros(micros * 50),
            )
            .await;
            expect_that!(body, some(eq(&Bytes::from_static(PART.as_bytes()))));
        }
    });
}
