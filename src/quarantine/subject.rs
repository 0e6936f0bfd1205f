//! What may be to blame when endpoints crash under a request.

use std::fmt::{self, Write as _};
use std::sync::Arc;

use super::Fingerprint;
use crate::digest;

/// Maximum number of parts of a prompt that are looked at. Prompts share a few parts at most.
const MAX_PARTS: usize = 8;

/// A request, and the parts of its prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subject {
    /// The request.
    pub request: Fingerprint,
    /// The parts, in the order of the prompt.
    pub parts: Arc<[Fingerprint]>,
}

impl Subject {
    /// Creates the subject of a request for a service, from the ids of the shared parts of its
    /// prompt. What crashes the endpoints of one service may run well at another's. An
    /// organisation chooses the ids, and must not be able to blame those of another one.
    pub fn new<'a, P>(
        request: Fingerprint,
        service: &str,
        organisation: Option<&str>,
        parts: P,
    ) -> Self
    where
        P: Iterator<Item = &'a str>,
    {
        let organisation = organisation.unwrap_or_default();
        let print = |part: &str| {
            let parts = [service, organisation, part];
            Fingerprint(digest::of(&parts.map(str::as_bytes)))
        };
        Self {
            request,
            parts: parts.take(MAX_PARTS).map(print).collect(),
        }
    }
}

/// The parts as the log shows them, separated by commas.
pub(super) struct Parts<'a>(pub &'a [Fingerprint]);

impl fmt::Display for Parts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_char('-');
        }
        for (at, part) in self.0.iter().enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
