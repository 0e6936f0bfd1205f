//! Checks which process a connection leads to.
//!
//! An endpoint that crashed may start again under its id and address, with another version of its software.
//! Until its new entry has reached this node, the old one names the version that it had before. A stream
//! may go on at one version only, so the process itself is asked, on the connection that the stream then
//! uses; see docs/design/resume.md.

use std::time::Duration;

use http_body_util::{BodyExt as _, Limited};

use super::Conn;
use crate::catalog::Endpoint;
use crate::clock;
use crate::platform::process;

/// Longest time for the answer, which takes one round trip.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Why there is no connection to the process of an endpoint's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing accepts connections there in time.
    Unreachable,
    /// A later process has the endpoint's id and address.
    Replaced,
}

/// The process that a connection leads to.
enum Process {
    /// The one that the endpoint's entry is about.
    Same,
    /// A later one.
    Other,
    /// It does not say. The connection can't be used any more.
    Unknown,
}

/// Opens a connection to an endpoint. If it is for a request that continues an answer, it leads to the process
/// of the endpoint's entry. A process that does not say which one it is counts as that one: an overloaded
/// endpoint would be lost for streams otherwise.
///
/// # Errors
/// [`Fault`], where `limit` is for connecting.
pub async fn open(endpoint: &Endpoint, continues: bool, limit: Duration) -> Result<Conn, Fault> {
    let connect = async || {
        let opened = super::open(endpoint.address, limit).await;
        opened.map_err(|_| Fault::Unreachable)
    };
    let mut conn = connect().await?;
    if !continues {
        return Ok(conn);
    }
    match check(&mut conn, endpoint).await {
        Process::Same => Ok(conn),
        Process::Other => Err(Fault::Replaced),
        Process::Unknown => connect().await,
    }
}

/// Asks the process at the other end of a connection whether it is the one of the endpoint's entry. An entry
/// without an incarnation has an id that no other process gets.
async fn check(conn: &mut Conn, endpoint: &Endpoint) -> Process {
    if endpoint.incarnation == 0 {
        return Process::Same;
    }
    match clock::within(ANSWER_TIMEOUT, ask(conn, endpoint)).await {
        Ok(Some(incarnation)) if incarnation == endpoint.incarnation => Process::Same,
        Ok(Some(_)) => Process::Other,
        Ok(None) | Err(_) => Process::Unknown,
    }
}

async fn ask(conn: &mut Conn, endpoint: &Endpoint) -> Option<u64> {
    let response = conn.send(process::request(endpoint).ok()?).await.ok()?;
    if !process::is_answer(&response) {
        return None;
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.ok()?;
    let incarnation = process::incarnation(&body.to_bytes())?;
    // A process that closes the connection may be another one by the next connection.
    (incarnation != endpoint.incarnation || conn.is_ready().await).then_some(incarnation)
}
