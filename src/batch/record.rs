//! The row of a batch job.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Table of jobs.
pub const TABLE: &str = "job";
/// Table of results, one row for each position.
pub const RESULTS: &str = "result";
/// Table of the output that unfinished runs had when their owner left.
pub const PARTIALS: &str = "partial";
/// Table of the rows that order acceptances on a route.
pub const QUOTAS: &str = "quota";

/// Stored state of a job, independent of its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Host to which it was submitted.
    #[serde(rename = "h")]
    pub host: Name,
    /// Prefix of its route.
    #[serde(rename = "p")]
    pub prefix: Name,
    /// Organisation that submitted it; `None` on routes that require no key. It stays even if all
    /// keys of the organisation are revoked.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<Name>,
    /// Time of acceptance by the store's clock, in milliseconds.
    #[serde(rename = "a")]
    pub accepted: u64,
    /// The process that runs it; `None` while no process does.
    #[serde(rename = "o")]
    pub owner: Option<Name>,
    /// Number of owners so far.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Tokens of each item.
    #[serde(rename = "t")]
    pub tokens: Vec<u32>,
    /// Indices of the items that have results, in the order of the results.
    #[serde(rename = "d")]
    pub done: Vec<u16>,
    /// True if its caller ended it.
    #[serde(rename = "x")]
    pub ended: bool,
    /// Items without a result that endpoints answered with an error. The counts are stored with the
    /// job: if each owner counted anew, a job that changes its owner often would run an item that
    /// always fails without end, and occupy slots with it.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<Failure>,
}

/// Number of failures of an item, over all owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Index of the item.
    #[serde(rename = "i")]
    pub item: u16,
    /// Runs that an endpoint ended with an error of its own.
    #[serde(rename = "n")]
    pub runs: u32,
}

impl Record {
    /// Number of failed runs of the item so far.
    pub fn failed_runs(&self, item: usize) -> u32 {
        let failure = self
            .failures
            .iter()
            .find(|failure| usize::from(failure.item) == item);
        failure.map_or(0, |failure| failure.runs)
    }

    /// Returns true if nothing is left to do.
    pub fn is_finished(&self) -> bool {
        self.ended || self.done.len() >= self.tokens.len()
    }

    /// Tokens of the items that have no result yet.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let all: u64 = self.tokens.iter().map(|tokens| u64::from(*tokens)).sum();
        let done: u64 = self
            .done
            .iter()
            .filter_map(|item| self.tokens.get(usize::from(*item)))
            .map(|tokens| u64::from(*tokens))
            .sum();
        all.saturating_sub(done)
    }

    /// Decodes the value of a row.
    ///
    /// # Errors
    /// If the value is not a record.
    pub fn decode(value: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(value).map_err(|error| error.to_string())
    }

    /// Encodes the value of a row.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Encodes plain data as CBOR, which cannot fail.
pub(super) fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut bytes = Vec::with_capacity(256);
    // Writing into memory cannot fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// Key of a job's row.
pub fn key(job: &str) -> String {
    format!("{TABLE}/{job}")
}

/// Prefix of the keys of a job's results.
pub fn results(job: &str) -> String {
    format!("{RESULTS}/{job}.")
}

/// Key of the result at a position.
pub fn result(job: &str, position: usize) -> String {
    format!("{RESULTS}/{job}.{position:04}")
}

/// Prefix of the keys of a job's unfinished outputs.
pub fn partials(job: &str) -> String {
    format!("{PARTIALS}/{job}.")
}

/// Key of the unfinished output of an item.
pub fn partial(job: &str, item: usize) -> String {
    format!("{PARTIALS}/{job}.{item:04}")
}

/// Key of the row that orders an organisation's acceptances on a route.
pub fn quota(host: &str, prefix: &str, organisation: Option<&str>) -> String {
    let route = format!("{QUOTAS}/{host}.{}", prefix.trim_matches('/'));
    match organisation {
        Some(organisation) => format!("{route}.{organisation}"),
        None => route,
    }
}

/// Name of the object that holds a job's items.
pub fn object(job: &str) -> String {
    format!("job-{job}")
}
