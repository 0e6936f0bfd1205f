//! Keys of the rows and names of the objects of jobs.

use std::fmt;

use sha2::{Digest, Sha256};

use crate::name::{self, Name};

/// Hexadecimal digits of a job's hash.
const HASH_LEN: usize = 24;
/// Sorts after every character that is valid in a name.
const LAST: char = '~';

/// Prefix of the rows of unfinished lanes, followed by service, organisation and due time.
pub const OPEN: &str = "open/";
/// Prefix of the rows of finished lanes.
pub const CLOSED: &str = "lane/";

/// Identity of a job, derived from the organisation and the caller's key.
///
/// Because it is derived and not random, a resubmission to any node finds the same row, and the
/// table orders concurrent submissions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The organisation that owns the job.
    pub organisation: Name,
    /// Hash of the organisation and the caller's key.
    pub hash: Name,
}

impl Id {
    /// Returns the identity of the job that `organisation` submitted under `key`.
    pub fn of(organisation: &Name, key: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(organisation.as_bytes())
            .chain_update([0])
            .chain_update(key.as_bytes())
            .finalize();
        Self {
            organisation: organisation.clone(),
            hash: hex(&digest, HASH_LEN).into(),
        }
    }

    /// Parses an identity as written by [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        let (organisation, hash) = text.rsplit_once('.')?;
        let valid = name::is_valid(organisation)
            && hash.len() == HASH_LEN
            && hash.bytes().all(|b| b.is_ascii_hexdigit());
        valid.then(|| Self {
            organisation: organisation.into(),
            hash: hash.into(),
        })
    }

    /// Key of the job's row.
    pub fn row(&self) -> String {
        format!("job/{}/{}", self.organisation, self.hash)
    }

    /// Prefix of the rows of its finished lanes.
    pub fn closed_prefix(&self) -> String {
        format!("{CLOSED}{}/", self.hash)
    }

    /// Name of the object with the items of one chunk. The digest prevents a submission of
    /// different content under the same key from replacing it.
    pub fn items(&self, digest: &str, chunk: u32) -> String {
        format!("items/{}/{digest}/{chunk}", self.hash)
    }

    /// Name of the object with the results of one chunk, as written by the holder with that epoch.
    /// Epochs are unique, so no holder can replace the object of another.
    pub fn replies(&self, chunk: u32, epoch: u32) -> String {
        format!("replies/{}/{chunk}/{epoch}", self.hash)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.organisation, self.hash)
    }
}

/// Prefix of the rows of a job's unfinished lanes.
pub fn open_prefix(service: &str, due_at_ms: u64, id: &Id) -> String {
    format!(
        "{OPEN}{service}/{}/{due_at_ms:014}/{}/",
        id.organisation, id.hash
    )
}

/// Prefix of the unfinished lanes of a service.
pub fn service_prefix(service: &str) -> String {
    format!("{OPEN}{service}/")
}

/// Key that sorts after every lane of the organisation in the index.
pub fn after_organisation(service: &str, organisation: &str) -> String {
    format!("{OPEN}{service}/{organisation}/{LAST}")
}

/// Last part of a lane's key.
pub fn lane_suffix(number: u32) -> String {
    format!("{number:03}")
}

/// Key of the row of a holder's lease.
pub fn session(session: &str) -> String {
    format!("session/{session}")
}

/// Name of one segment of a holder's log.
pub fn segment(session: &str, sequence: u64) -> String {
    format!("log/{session}/{sequence}")
}

/// Returns the first `len` hexadecimal digits of `bytes`.
pub fn hex(bytes: &[u8], len: usize) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(b"0123456789abcdef"[usize::from(byte >> 4)]));
        text.push(char::from(b"0123456789abcdef"[usize::from(byte & 15)]));
    }
    text.truncate(len);
    text
}
