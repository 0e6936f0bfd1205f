//! The shared HTTP server and client, over loopback.

use std::time::Duration;

use actix_http::StatusCode;
use auburnspoke::http;
use futures_util::StreamExt as _;
use googletest::prelude::*;
use tokio::sync::watch;

#[gtest]
fn serve_stop() {
    // A node shuts down while a request is in flight. If the server did not wait for open
    // connections, the caller would see a broken connection.
    actix_rt::System::new().block_on(async {
        let listener = http::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let server = actix_rt::spawn(http::serve(listener, stopped, |mut request| async move {
            let mut body = request.take_payload();
            let body = http::read_body(&mut body, 100).await.unwrap();
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            http::reply(StatusCode::OK, "text/plain", body)
        }));
        let client = http::client(Duration::from_secs(5));
        let request = client.post(format!("http://{address}/")).send_body("hello");
        let stopping = async {
            actix_rt::time::sleep(Duration::from_millis(30)).await;
            stop.send(true).unwrap();
        };
        let (answer, ()) = futures_util::join!(request, stopping);
        let mut answer = answer.unwrap();
        let body = answer.next().await.unwrap().unwrap();
        expect_that!(&body[..], eq(b"hello"));
        drop((answer, client));
        server.await.unwrap().unwrap();
    });
}
