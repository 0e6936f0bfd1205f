//! Calls the stand-in plain service over HTTP.

use std::time::Duration;

use auburnspoke::embedded::engine::protocol::Counts;
use auburnspoke::embedded::plain;
use auburnspoke::http;
use googletest::prelude::*;
use tokio::sync::watch;

#[gtest]
fn call_counted() {
    actix_rt::System::new().block_on(async {
        let listener = http::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (_stop, stopped) = watch::channel(false);
        actix_rt::spawn(plain::serve(listener, stopped));
        let client = http::client(Duration::from_secs(20));
        for _ in 0..2 {
            let call = client
                .post(format!("http://{address}/screen"))
                .insert_header(("Idempotency-Key", "k7"));
            let mut answer = call.send_body("Sohar Traders").await.unwrap();
            let body = http::read_body(&mut answer, 100).await.unwrap();
            expect_that!(&body[..], eq(b"Sohar Traders"));
        }
        let counts = client.get(format!("http://{address}/counts"));
        let mut answer = counts.send().await.unwrap();
        let body = http::read_body(&mut answer, 10_000).await.unwrap();
        let counts: Counts = serde_json::from_slice(&body).unwrap();
        expect_that!(counts.keys["k7"], eq(2));
        expect_that!(counts.prompts["Sohar Traders"], eq(2));
    });
}
