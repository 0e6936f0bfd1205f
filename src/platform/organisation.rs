//! Organisations and their keys, as operators write them and callers show them.

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

/// Which organisation a request is of; only this system may say so.
const ORGANISATION: HeaderName = HeaderName::from_static("x-tenant");
/// The scheme of a key; its letter case does not matter.
const SCHEME: &str = "token";

/// A field that may be of another type than it should be. A configuration is not
/// refused for one organisation's sake: others' keys may be revoked by it. What
/// can't be read is left out, and no message shows it, because it may be a key.
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
    /// Requests a second over all nodes; 0 or none is no limit.
    #[serde(default)]
    rate_per_s: Option<Lenient<f64>>,
    /// Requests at once beside the rate.
    #[serde(default)]
    burst: Option<Lenient<f64>>,
}

/// The keyring of a configuration's organisations; none where it names none.
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

/// An organisation whose name or keys can't be read has no keys; one whose limit
/// can't be read has none.
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
        unreadable(&named.name, "keys");
    }
    let priority = match named.priority.map(Lenient::read) {
        Some(None) => {
            unreadable(&named.name, "priority");
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

/// A number above 0; none where it is 0, missing or can't be one.
fn number(organisation: &str, field: &str, value: Option<Lenient<f64>>) -> Option<f64> {
    let value = value?.read().filter(|it| it.is_finite() && *it >= 0.0);
    if value.is_none() {
        unreadable(organisation, field);
    }
    value.filter(|it| *it > 0.0)
}

fn unreadable(organisation: &str, why: &str) {
    log::warn!(
        "{} organisation={organisation} why={why}",
        event::ORGANISATION_UNREADABLE
    );
}

/// Takes a caller's key out of a request: no endpoint may see it.
pub fn remove_credential(headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
}

/// What a caller shows of itself.
pub fn credential(headers: &HeaderMap) -> Credential {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Credential::None;
    };
    if values.next().is_some() {
        return Credential::Unreadable("two Authorization headers; send one");
    }
    let Ok(text) = value.to_str() else {
        return Credential::Unreadable("the Authorization header is no text");
    };
    let (scheme, key) = text.trim().split_once([' ', '\t']).unwrap_or((text, ""));
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Credential::Unreadable("another scheme; write `Authorization: Token KEY`");
    }
    Key::new(key.trim()).map_or(
        Credential::Unreadable("the key is empty or too long"),
        Credential::Key,
    )
}

/// Names a request's organisation to endpoints, whatever its caller said of it.
/// A name that can't be a header's value is in no keyring.
pub fn set_header(headers: &mut HeaderMap, organisation: Option<&str>) {
    headers.remove(ORGANISATION);
    let value = organisation.and_then(|name| HeaderValue::from_str(name).ok());
    if let Some(value) = value {
        headers.insert(ORGANISATION, value);
    }
}

/// True when a header of that name shows a key.
pub fn is_credential(header: &str) -> bool {
    header.eq_ignore_ascii_case(AUTHORIZATION.as_str())
}
