//! Decodes organisations and their keys from the configuration, and callers' keys from requests.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::catalog::keyring::{Holder, Keyring, Organisation};
use crate::event;
use crate::identity::Credential;
use crate::key::Key;
use crate::limit::Rate;
use crate::name::Name;

/// Names the organisation of a request to endpoints. A caller's own value is always removed.
const ORGANISATION: HeaderName = HeaderName::from_static("x-tenant");
/// The authorization scheme of a key, case-insensitive.
const SCHEME: &str = "token";

/// A field that may have the wrong type. One organisation's mistake must not reject the whole
/// configuration, which may revoke other organisations' keys. A value that can't be read is left
/// out, and no message quotes it, because it may be a key.
#[derive(Deserialize)]
#[serde(untagged)]
enum Lenient<T> {
    Read(T),
    Unreadable(IgnoredAny),
}

impl<T> Lenient<T> {
    fn read(self) -> Option<T> {
        match self {
            Self::Read(value) => Some(value),
            Self::Unreadable(IgnoredAny) => None,
        }
    }
}

/// An organisation of the configuration's list.
#[derive(Deserialize)]
#[serde(transparent)]
pub struct Entry(Lenient<Named>);

#[derive(Deserialize)]
struct Named {
    name: Name,
    #[serde(default)]
    api_keys: Option<Lenient<Vec<Lenient<Key>>>>,
    #[serde(default)]
    priority: Option<Lenient<u8>>,
    /// Requests a second over all nodes; no limit where it is 0 or absent.
    #[serde(default)]
    rate_per_s: Option<Lenient<f64>>,
    /// Requests that may come at once on top of the rate.
    #[serde(default)]
    burst: Option<Lenient<f64>>,
}

/// Builds the keyring of a configuration's organisations; none where there are none.
pub fn keyring(entries: Vec<Entry>) -> Option<Keyring> {
    if entries.is_empty() {
        return None;
    }
    let holders: Vec<Holder> = entries.into_iter().filter_map(holder).collect();
    let keyring = Keyring::from(holders);
    if keyring.shared() > 0 {
        let count = keyring.shared();
        log::warn!(
            "{} why=key_shared keys={count}",
            event::ORGANISATION_UNREADABLE
        );
    }
    Some(keyring)
}

/// Decodes one organisation. One whose name can't be read is left out, keys that can't be read
/// are left out, and a limit that can't be read is no limit.
fn holder(entry: Entry) -> Option<Holder> {
    let named = entry.0.read();
    let valid = named.filter(|it| !it.name.is_empty() && HeaderValue::from_str(&it.name).is_ok());
    let Some(named) = valid else {
        log::warn!("{} why=name", event::ORGANISATION_UNREADABLE);
        return None;
    };
    let written = named.api_keys.map_or(Some(Vec::new()), Lenient::read);
    let count = written.as_ref().map_or(0, Vec::len);
    let keys: Vec<_> = written
        .iter()
        .flatten()
        .filter_map(|key| match key {
            Lenient::Read(key) => Some(key.digest()),
            Lenient::Unreadable(IgnoredAny) => None,
        })
        .collect();
    if written.is_none() || keys.len() < count {
        log_unreadable(&named.name, "keys");
    }
    let priority = match named.priority.map(Lenient::read) {
        Some(None) => {
            log_unreadable(&named.name, "priority");
            None
        }
        other => other.flatten(),
    };
    let per_second = number(&named.name, "rate", named.rate_per_s);
    let burst = number(&named.name, "burst", named.burst);
    let organisation = Organisation {
        name: named.name,
        priority,
        rate: per_second.map(|per_second| Rate {
            per_second,
            burst: burst.unwrap_or(0.0),
        }),
    };
    Some(Holder {
        organisation: Arc::new(organisation),
        keys,
    })
}

/// Returns a number above 0; none where it is 0, absent or unreadable.
fn number(organisation: &str, field: &str, value: Option<Lenient<f64>>) -> Option<f64> {
    let value = value?.read().filter(|it| it.is_finite() && *it >= 0.0);
    if value.is_none() {
        log_unreadable(organisation, field);
    }
    value.filter(|it| *it > 0.0)
}

fn log_unreadable(organisation: &str, why: &str) {
    log::warn!(
        "{} organisation={organisation} why={why}",
        event::ORGANISATION_UNREADABLE
    );
}

/// Removes the caller's key from a request: endpoints must not see it.
pub fn remove_credential(headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
}

/// Reads the credential that a caller sent.
pub fn credential(headers: &HeaderMap) -> Credential {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Credential::None;
    };
    if values.next().is_some() {
        return Credential::Unreadable("more than one Authorization header; send one");
    }
    let Ok(text) = value.to_str() else {
        return Credential::Unreadable(
            "the Authorization header is not printable ASCII; write `Authorization: Token KEY`",
        );
    };
    let (scheme, key) = text.trim().split_once([' ', '\t']).unwrap_or((text, ""));
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Credential::Unreadable(
            "unsupported authorization scheme; write `Authorization: Token KEY`",
        );
    }
    Key::new(key.trim()).map_or(
        Credential::Unreadable("the key is empty or too long"),
        Credential::Key,
    )
}

/// Sets the header that names a request's organisation to endpoints, and replaces any value that
/// the caller sent. Names that are not valid header values are never in a keyring.
pub fn set_header(headers: &mut HeaderMap, organisation: Option<&str>) {
    headers.remove(ORGANISATION);
    let value = organisation.and_then(|name| HeaderValue::from_str(name).ok());
    if let Some(value) = value {
        headers.insert(ORGANISATION, value);
    }
}

/// Returns true when the header of that name carries a key.
pub fn is_credential(header: &str) -> bool {
    header.eq_ignore_ascii_case(AUTHORIZATION.as_str())
}
