//! Determines a caller's organisation from its key. Performs no I/O.
//!
//! A key is accepted only while this node would certainly have learned of its revocation. This
//! must also hold for a node that is isolated or was suspended, so the check depends on the time
//! at which the store last confirmed the configuration, on a clock that runs on during a
//! suspension. docs/design/keys.md shows why one check, at a request's arrival, is enough.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::catalog::keyring::Organisation;
use crate::clock::Uptime;
use crate::key::Key;

/// A node whose configuration was confirmed longer ago than this may lack a new key. It does not
/// report the key as unknown, because the caller would not retry then.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Safety margin: keys are no longer accepted this long before the revocation bound is reached.
const REVOCATION_MARGIN: Duration = Duration::from_millis(500);

/// Credential in a caller's request.
#[derive(Clone, Debug)]
pub enum Credential {
    /// Nothing.
    None,
    /// A key.
    Key(Key),
    /// Something that can't be a key, with the reason.
    Unreadable(&'static str),
}

/// Reason why a caller is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// A key is required, and the request has none.
    NoKey,
    /// The credential is not a key, with the reason.
    Unreadable(&'static str),
    /// No organisation has this key.
    Unknown,
    /// The configuration of this node was confirmed by the store too long ago.
    Unsure,
}

impl Denial {
    /// Returns the label of the reason in metrics and logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::Unreadable(_) => "key_unreadable",
            Self::Unknown => "key_unknown",
            Self::Unsure => "key_unsure",
        }
    }
}

/// Returns the time since the configuration was certainly the newest.
pub fn age(catalog: &Catalog, now: Uptime) -> Option<Duration> {
    catalog.config_confirmed.map(|at| now.since(at))
}

/// True while this node may accept keys. A revocation must be in force within `revoke`; none
/// means that only reachable nodes have to apply it.
pub fn is_fresh(catalog: &Catalog, now: Uptime, revoke: Option<Duration>) -> bool {
    let Some(revoke) = revoke else {
        return true;
    };
    age(catalog, now).is_some_and(|age| age + REVOCATION_MARGIN < revoke)
}

/// Returns the organisation of a request that arrives at `now`; none when no organisations are
/// configured. Callers of `public` routes need no key.
///
/// # Errors
/// [`Denial`] when the request must be rejected.
pub fn identify(
    catalog: &Catalog,
    now: Uptime,
    revoke: Option<Duration>,
    public: bool,
    credential: &Credential,
) -> Result<Option<Arc<Organisation>>, Denial> {
    let keyring = catalog.config.as_ref().and_then(|it| it.keyring.as_ref());
    let Some(keyring) = keyring else {
        return Ok(None);
    };
    let found = match credential {
        Credential::Key(key) => keyring.find(&key.digest()).cloned(),
        Credential::None | Credential::Unreadable(_) => None,
    };
    if found.is_some() && is_fresh(catalog, now, revoke) {
        return Ok(found);
    }
    if public {
        return Ok(None);
    }
    let known = age(catalog, now).is_some_and(|age| age < MAX_AGE);
    Err(match credential {
        Credential::None => Denial::NoKey,
        Credential::Unreadable(why) => Denial::Unreadable(why),
        Credential::Key(_) if found.is_some() || !known => Denial::Unsure,
        Credential::Key(_) => Denial::Unknown,
    })
}
