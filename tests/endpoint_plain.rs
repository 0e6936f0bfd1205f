//! Calls of plain services whose answers end in different ways.

use std::time::Duration;

use auburnspoke::endpoint::{Client, Failure, Target, plain};
use bytes::Bytes;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Calls a service that sends `answer` and closes the connection, or resets it.
async fn call(answer: &'static str, is_reset: bool) -> Result<Bytes, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _read = stream.read(&mut request).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
        // The client reads what has arrived before the connection ends.
        tokio::time::sleep(Duration::from_millis(50)).await;
        if is_reset {
            stream.set_zero_linger().unwrap();
        }
    });
    let target = Target {
        name: "plain-1".into(),
        address: address.to_string().into(),
        model: "".into(),
    };
    let wait = Duration::from_secs(5);
    let client = Client::new(wait);
    let answer = plain::call(&client, &target, "/screen", "", Bytes::new(), wait).await?;
    Ok(answer.body)
}

/// Guards against an answer of a plain service that was cut off and counts as complete.
#[gtest]
fn call_cut_off() {
    actix_rt::System::new().block_on(async {
        for (answer, is_reset) in [
            ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false),
            (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                false,
            ),
            ("HTTP/1.1 200 OK\r\n\r\nhalf", true),
        ] {
            let result = call(answer, is_reset).await;
            expect_that!(
                result,
                err(matches_pattern!(Failure::Broken(_))),
                "{answer:?}"
            );
        }
    });
}

#[gtest]
fn call_each_framing() {
    actix_rt::System::new().block_on(async {
        for answer in [
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nwhole",
        ] {
            let result = call(answer, false).await;
            expect_that!(result, ok(eq(&Bytes::from_static(b"whole"))), "{answer:?}");
        }
    });
}
