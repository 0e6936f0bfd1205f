//! The platform over HTTP: what a client may infer from a failed call.

use std::net::SocketAddr;
use std::time::Duration;

use auburnspoke::table::fault::Command;
use auburnspoke::table::http::Client;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Fault, Row, Store, Table, Transaction};
use auburnspoke::{embedded, http};
use bytes::Bytes;
use googletest::prelude::*;
use tokio::sync::watch;

/// Serves a platform until the runtime ends.
fn serve() -> (Platform, SocketAddr) {
    let listener = http::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let platform = Platform::new(1);
    let (running, stop) = watch::channel(false);
    let served = platform.clone();
    actix_rt::spawn(async move {
        let _running = running;
        embedded::platform::serve(served, listener, stop).await
    });
    (platform, address)
}

/// Runs `body` with a running platform.
fn with_platform<F, B>(body: B)
where
    B: FnOnce(Platform, Client) -> F,
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(async {
        let (platform, address) = serve();
        let client = Client::new(address, Duration::from_millis(300));
        body(platform, client).await;
    });
}

fn put() -> Transaction {
    Transaction::default().put("a", "x")
}

fn lose(before: bool) -> Command {
    Command::Lose {
        prefix: String::new(),
        count: 1,
        before,
    }
}

#[gtest]
fn call_round_trip() {
    with_platform(|_, client| async move {
        let version = client.transact(put()).await.unwrap();
        let row = Row {
            key: "a".into(),
            version,
            value: Bytes::from_static(b"x"),
        };
        expect_that!(Table::get(&client, "a").await, eq(&Ok(Some(row))));
        let object = Bytes::from(vec![7; 5 * 1024 * 1024]);
        Store::put(&client, "o", object.clone()).await.unwrap();
        expect_that!(Store::get(&client, "o").await == Ok(Some(object)), eq(true));
    });
}

#[gtest]
fn call_answer_lost() {
    // The connection breaks after the platform has committed the change. A caller
    // that treats this as a refusal would repeat its work.
    with_platform(|platform, client| async move {
        platform.command(&lose(false));
        expect_that!(client.transact(put()).await, eq(&Err(Fault::Unknown)));
        expect_that!(Table::get(&client, "a").await, ok(some(anything())));
    });
}

#[gtest]
fn call_silent() {
    // The platform accepts the call and never answers. The call must time out,
    // and its outcome must be reported as unknown.
    with_platform(|platform, client| async move {
        platform.command(&Command::Outage {
            ms: None,
            silent: true,
        });
        expect_that!(client.transact(put()).await, eq(&Err(Fault::Unknown)));
    });
}

#[gtest]
fn call_throttled() {
    with_platform(|platform, client| async move {
        platform.command(&Command::Limit {
            writes: 1,
            reads: 0,
        });
        expect_that!(client.transact(put()).await, ok(anything()));
        let second = client.transact(put()).await;
        expect_that!(second, err(pat!(Fault::Refused { .. })));
    });
}

#[gtest]
fn call_not_listening() {
    // Nothing listens at the platform's address, so nothing was sent and the call
    // must be reported as not run.
    let closed: SocketAddr = {
        let listener = http::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        listener.local_addr().unwrap()
    };
    actix_rt::System::new().block_on(async {
        let client = Client::new(closed, Duration::from_secs(2));
        let refused = client.transact(put()).await;
        expect_that!(refused, err(pat!(Fault::Refused { .. })));
    });
}

#[gtest]
fn call_connection_closed_unanswered() {
    // The platform crashes between the request and its answer. The HTTP library
    // reports this as a connect error although the request was sent; a caller
    // that relied on that would repeat a change.
    actix_rt::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            tokio::io::AsyncReadExt::read(&mut stream, &mut request)
                .await
                .unwrap();
        });
        let client = Client::new(address, Duration::from_secs(2));
        expect_that!(client.transact(put()).await, eq(&Err(Fault::Unknown)));
    });
}

#[gtest]
fn fault_control_path() {
    actix_rt::System::new().block_on(async {
        let (platform, address) = serve();
        let client = Client::new(address, Duration::from_millis(300));
        let send = async |body: &'static str| {
            let url = format!("http://{address}/fault");
            let sent = http::client(Duration::from_secs(2))
                .post(url)
                .send_body(body);
            sent.await.unwrap().status().as_u16()
        };
        expect_that!(send(r#"{"outage":{"ms":5000}}"#).await, eq(200));
        let refused = client.transact(put()).await;
        expect_that!(refused, err(pat!(Fault::Refused { .. })));
        expect_that!(send(r#"{"outrage":{}}"#).await, eq(400));
        expect_that!(send(r#""clear""#).await, eq(200));
        expect_that!(client.transact(put()).await, ok(anything()));
        expect_that!(platform.counts().refused, eq(1));
    });
}
