//! HTTP client of the platform.
//!
//! The client distinguishes a call that certainly had no effect (the connection
//! was refused, or the platform answered so) from one whose answer was lost. If
//! the second were treated as the first, work would run twice; see
//! docs/design/table.md.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use awc::error::SendRequestError;
use bytes::Bytes;

use super::protocol::{Answer, CALL_PATH, Call, MAX_BODY, Transport, Value};
use super::{Fault, Vm};
use crate::http;

/// Retry delay after a failed connection to the platform.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Default timeout of a call.
pub const TIMEOUT: Duration = Duration::from_secs(3);

/// A client for one thread; clones share its connections.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    url: String,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the platform at `address`. A call without an answer
    /// within `timeout` ends as [`Fault::Unknown`].
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: http::client(timeout),
            url: format!("http://{address}{CALL_PATH}"),
            timeout,
        }
    }

    /// Adds this VM to the platform's list. Real platforms do this when they
    /// start a VM; the stand-in needs this call.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`]; registering again is harmless.
    pub async fn register(&self, vm: Vm) -> Result<(), Fault> {
        self.call(Call::Register(vm)).await.map(|_: Value| ())
    }

    async fn exchange(&self, body: Vec<u8>) -> Result<Bytes, Fault> {
        let sent = self.http.post(&self.url).send_body(body).await;
        let mut answer = sent.map_err(|error| to_fault(&error))?;
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
        // A call is plain data, so encoding it cannot fail.
        if ciborium::into_writer(&call, &mut body).is_err() {
            return Err(Fault::Unknown);
        }
        let exchange = tokio::time::timeout(self.timeout, self.exchange(body));
        let bytes = exchange.await.unwrap_or(Err(Fault::Unknown))?;
        ciborium::from_reader(&bytes[..]).unwrap_or(Err(Fault::Unknown))
    }
}

fn to_fault(error: &SendRequestError) -> Fault {
    if http::was_unsent(error) {
        Fault::Refused {
            retry_after: CONNECT_RETRY_DELAY,
        }
    } else {
        Fault::Unknown
    }
}
