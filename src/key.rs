//! API keys of organisations, and their digests.
//!
//! A key is a secret: whoever reads it in a log, a row or a message between nodes can act as its
//! organisation. A key therefore can't be printed, and only its digest is stored or sent.
//! docs/design/keys.md compares the alternatives.

use std::fmt;

use secrecy::{ExposeSecret as _, SecretString};
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};

/// Maximum length of a key, in bytes; no organisation has a longer one.
pub const MAX_LEN: usize = 1_024;
/// Length of a digest.
const DIGEST_BYTES: usize = 32;

/// A key as sent by a caller or written by operators. Its text is zeroed on drop, and no
/// formatter prints it.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Key(SecretString);

impl Key {
    /// Creates a key; returns `None` when no organisation can have such a key.
    pub fn new(text: &str) -> Option<Self> {
        let fits = !text.is_empty() && text.len() <= MAX_LEN;
        fits.then(|| Self(SecretString::from(text)))
    }

    /// Returns the digest of the key.
    pub fn digest(&self) -> Digest {
        Digest(Sha256::digest(self.0.expose_secret().as_bytes()).into())
    }
}

/// Digest of a key. It identifies the key but does not reveal it: keys are long random texts, so
/// that brute force is not feasible.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; DIGEST_BYTES]);

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Prints the first bytes, which distinguish keys in a log.
impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Serialises as bytes, which take half the space of a list of numbers.
impl Serialize for Digest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_bytes(Bytes)
    }
}

struct Bytes;

impl Visitor<'_> for Bytes {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{DIGEST_BYTES} bytes of a key's digest")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Digest, E>
    where
        E: Error,
    {
        let bytes = bytes.try_into();
        bytes
            .map(Digest)
            .map_err(|_| E::custom("a digest has the wrong length"))
    }
}
