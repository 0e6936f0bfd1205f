//! Identity of a request across attempts, independent of its id.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::digest;

/// Hash of a request's host, organisation, path and body. It is the same across attempts,
/// callers' retries and nodes; the event from which a stream resumes is not part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint from a request's parts.
    pub fn of(host: &str, organisation: Option<&str>, path: &str, body: &[u8]) -> Self {
        let organisation = organisation.unwrap_or_default();
        Self(digest::of(&[
            host.as_bytes(),
            organisation.as_bytes(),
            path.as_bytes(),
            body,
        ]))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
