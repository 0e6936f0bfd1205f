//! Which organisation a caller speaks for, as a decision.
//!
//! A key is let through only while this node surely knows of its revocation, if
//! there was one. That holds also for a node that is cut off, or was suspended,
//! so it rests on when the store last vouched for the configuration, on a clock
//! that goes on during a suspension. docs/design/keys.md shows why one look, at
//! a request's arrival, is enough.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::catalog::keyring::Organisation;
use crate::clock::Uptime;
use crate::key::Key;

/// A node that knows the configuration as of longer ago may lack a new key, and
/// does not call it unknown: its caller would not come back.
const UNSURE: Duration = Duration::from_secs(2);
/// What is left of the bound on revocations when evidence counts as too old.
const MARGIN: Duration = Duration::from_millis(500);

/// What a caller shows of itself.
#[derive(Clone, Debug)]
pub enum Credential {
    /// Nothing.
    None,
    /// A key.
    Key(Key),
    /// Something that can be no key, with what is wrong with it.
    Unreadable(&'static str),
}

/// Why a caller is not let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It shows no key where one is owed.
    NoKey,
    /// What it shows is no key, with what is wrong.
    Unreadable(&'static str),
    /// No organisation has its key.
    Unknown,
    /// This node has heard for too long nothing of the store to be sure.
    Unsure,
}

impl Denial {
    /// The reason as counters and logs name it.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::Unreadable(_) => "key_unreadable",
            Self::Unknown => "key_unknown",
            Self::Unsure => "key_unsure",
        }
    }
}

/// How long ago the configuration was surely the newest.
pub fn age(catalog: &Catalog, now: Uptime) -> Option<Duration> {
    catalog.config_confirmed.map(|at| now.since(at))
}

/// True while this node may let keys through; `revoke` is the time within which
/// a revocation must be in force, none where only reachable nodes must heed it.
pub fn is_fresh(catalog: &Catalog, now: Uptime, revoke: Option<Duration>) -> bool {
    let Some(revoke) = revoke else {
        return true;
    };
    age(catalog, now).is_some_and(|age| age + MARGIN < revoke)
}

/// The organisation of a caller that arrives at `now`; none where nobody asks
/// for one. `public` callers need no key.
///
/// # Errors
/// [`Denial`] when it may not be served.
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
    let known = age(catalog, now).is_some_and(|age| age < UNSURE);
    Err(match credential {
        Credential::None => Denial::NoKey,
        Credential::Unreadable(why) => Denial::Unreadable(why),
        Credential::Key(_) if found.is_some() || !known => Denial::Unsure,
        Credential::Key(_) => Denial::Unknown,
    })
}
