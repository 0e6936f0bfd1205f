//! The platform over HTTP.
//!
//! The client tells a call that surely had no effect (the connection was
//! refused, or the platform answered so) from one whose answer was lost. To
//! take the second for the first would run work twice; see
//! docs/design/table.md.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use awc::error::SendRequestError;
use bytes::Bytes;

use super::protocol::{Answer, CALL_PATH, Call, MAX_BODY, Transport, Value};
use super::{Fault, Vm};
use crate::http;

/// When to come back after the platform could not be connected to.
const CONNECT_RETRY: Duration = Duration::from_millis(500);
/// How long to wait for an answer when the maker of a client names no bound.
pub const TIMEOUT: Duration = Duration::from_secs(3);

/// A client for one thread; clones share its connections.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    url: String,
    timeout: Duration,
}

impl Client {
    /// A client of the platform at `address`. A call without an answer within
    /// `timeout` ends as [`Fault::Unknown`].
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: http::client(timeout),
            url: format!("http://{address}{CALL_PATH}"),
            timeout,
        }
    }

    /// Puts this VM into the platform's list, which platforms do by themselves
    /// when they start a VM. The stand-in has to be told.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`]; registering again is harmless.
    pub async fn register(&self, vm: Vm) -> Result<(), Fault> {
        self.call(Call::Register(vm)).await.map(|_: Value| ())
    }

    async fn exchange(&self, body: Vec<u8>) -> Result<Bytes, Fault> {
        let sent = self.http.post(&self.url).send_body(body).await;
        let mut answer = sent.map_err(|error| fault_of(&error))?;
        if answer.status() != StatusCode::OK {
            return Err(Fault::Unknown);
        }
        http::read_body(&mut answer, MAX_BODY)
            .await
            .map_err(|_| Fault::Unknown)
    }
}

impl Transport for Client {
    async fn call(&self, call: Call) -> Answer {
        let mut body = Vec::with_capacity(256);
        // A call is made of plain data, so that writing it can't fail.
        if ciborium::into_writer(&call, &mut body).is_err() {
            return Err(Fault::Unknown);
        }
        let exchange = tokio::time::timeout(self.timeout, self.exchange(body));
        let bytes = exchange.await.unwrap_or(Err(Fault::Unknown))?;
        ciborium::from_reader(&bytes[..]).unwrap_or(Err(Fault::Unknown))
    }
}

fn fault_of(error: &SendRequestError) -> Fault {
    if http::was_unsent(error) {
        Fault::Refused {
            retry_after: CONNECT_RETRY,
        }
    } else {
        Fault::Unknown
    }
}
