//! Identity of a request across attempts, independent of its id.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Hash of a request's host, organisation, path and body. It is the same across attempts,
/// callers' retries and nodes; the event from which a stream resumes is not part of it.
/// It is taken from a cryptographic digest, so that nobody can construct a request that
/// collides with another caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint from a request's parts.
    pub fn of(host: &str, organisation: Option<&str>, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [
            host.as_bytes(),
            organisation.unwrap_or_default().as_bytes(),
            path.as_bytes(),
            body,
        ] {
            // Length prefixes keep adjacent parts from being confused.
            hash.update(part.len().to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let first = digest.iter().take(size_of::<u64>());
        Self(first.fold(0, |value, byte| value << 8 | u64::from(*byte)))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
