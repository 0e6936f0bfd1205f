//! Identification of a caller's organisation by its key.

use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::keyring::{Holder, Keyring, Organisation};
use auburnspoke::catalog::{Catalog, Config};
use auburnspoke::clock::Uptime;
use auburnspoke::identity::{Credential, Denial, identify, is_fresh};
use auburnspoke::key::Key;
use auburnspoke::platform::{call, config, forward, job, organisation};
use auburnspoke::wire;
use googletest::prelude::*;
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderValue};

const REVOKE: Option<Duration> = Some(Duration::from_secs(5));
const KEY: &str = "hhkmgjqnirth5mgjy5rc";

fn at(millis: u64) -> Uptime {
    Uptime::new(Duration::from_millis(1_000_000 + millis))
}

fn key(text: &str) -> Key {
    Key::new(text).unwrap()
}

fn holder(name: &str, keys: &[&str]) -> Holder {
    Holder {
        organisation: Arc::new(Organisation {
            name: name.into(),
            priority: None,
            rate: None,
        }),
        keys: keys.iter().map(|text| key(text).digest()).collect(),
    }
}

/// Returns a node whose configuration the store confirmed at `config_confirmed`.
fn node(holders: Vec<Holder>, config_confirmed: Option<Uptime>) -> Catalog {
    let config = Config {
        keyring: Some(Arc::new(Keyring::from(holders))),
        ..Config::default()
    };
    Catalog {
        config: Some(Arc::new(config)),
        config_confirmed,
        ..Catalog::default()
    }
}

fn name_of(catalog: &Catalog, now: Uptime, text: &str) -> std::result::Result<String, Denial> {
    let credential = Credential::Key(key(text));
    let found = identify(catalog, now, REVOKE, false, &credential)?;
    Ok(found.map_or_else(String::new, |it| it.name.to_string()))
}

#[gtest]
fn identify_known() {
    let node = node(
        vec![holder("a", &[KEY, "second"]), holder("b", &["third"])],
        Some(at(0)),
    );
    expect_that!(name_of(&node, at(100), KEY), ok(eq("a")));
    expect_that!(name_of(&node, at(100), "second"), ok(eq("a")));
    expect_that!(name_of(&node, at(100), "third"), ok(eq("b")));
    expect_that!(name_of(&node, at(100), "fourth"), err(eq(&Denial::Unknown)));
}

/// Operators revoke a key, and a node receives no updates: it is isolated, or the store refuses
/// it. A thief could otherwise keep using the key there, at the expense of its owner.
#[gtest]
fn identify_cut_off() {
    let node = node(vec![holder("a", &[KEY])], Some(at(0)));
    expect_that!(name_of(&node, at(4_400), KEY), ok(eq("a")));
    expect_that!(name_of(&node, at(4_600), KEY), err(eq(&Denial::Unsure)));
    expect_that!(is_fresh(&node, at(4_600), REVOKE), eq(false));
    // Where only reachable nodes have to apply a revocation, the key stays valid.
    let credential = Credential::Key(key(KEY));
    expect_that!(
        identify(&node, at(60_000), None, false, &credential),
        ok(some(anything()))
    );
}

/// A key was just added, and its first request reaches a node without recent updates. If the key
/// were reported as unknown, the caller would not retry.
#[gtest]
fn identify_unknown_unsure() {
    let node = node(vec![holder("a", &[KEY])], Some(at(0)));
    expect_that!(name_of(&node, at(2_500), "new"), err(eq(&Denial::Unsure)));
}

/// A node starts and gets the configuration from a peer, whose own copy the store has not
/// confirmed.
#[gtest]
fn identify_never_confirmed() {
    let node = node(vec![holder("a", &[KEY])], None);
    expect_that!(name_of(&node, at(0), KEY), err(eq(&Denial::Unsure)));
}

#[gtest]
fn identify_no_key() {
    let node = node(vec![holder("a", &[KEY])], Some(at(0)));
    let anonymous = Credential::None;
    let identified = identify(&node, at(0), REVOKE, false, &anonymous);
    expect_that!(identified, err(eq(&Denial::NoKey)));
    expect_that!(identify(&node, at(0), REVOKE, true, &anonymous), ok(none()));
    // A deployment without organisations requires no credential and ignores any.
    let open = Catalog::default();
    expect_that!(
        identify(&open, at(0), REVOKE, false, &anonymous),
        ok(none())
    );
    let credential = Credential::Key(key(KEY));
    expect_that!(
        identify(&open, at(0), REVOKE, false, &credential),
        ok(none())
    );
}

/// Operators configure the same key for two organisations. If it were valid for either, the
/// other's requests would be counted and labelled as its own.
#[gtest]
fn keyring_shared_key() {
    let both = vec![holder("a", &[KEY, "own"]), holder("b", &[KEY])];
    let node = node(both, Some(at(0)));
    expect_that!(name_of(&node, at(0), KEY), err(eq(&Denial::Unknown)));
    expect_that!(name_of(&node, at(0), "own"), ok(eq("a")));
}

fn shown(values: &[&[u8]]) -> Credential {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(AUTHORIZATION, HeaderValue::from_bytes(value).unwrap());
    }
    organisation::credential(&headers)
}

fn digest_of(credential: &Credential) -> Option<String> {
    match credential {
        Credential::Key(key) => Some(key.digest().to_string()),
        Credential::None | Credential::Unreadable(_) => None,
    }
}

#[gtest]
fn credential_forms() {
    let right = key(KEY).digest().to_string();
    for value in [
        format!("Token {KEY}"),
        format!("token {KEY}"),
        format!("TOKEN   {KEY}  "),
        format!("  Token\t{KEY}"),
    ] {
        let credential = shown(&[value.as_bytes()]);
        expect_that!(digest_of(&credential), some(eq(&right)), "{value}");
    }
}

#[gtest]
fn credential_bad_input() {
    let long = format!("Token {}", "k".repeat(10_000));
    let twice = format!("Token {KEY}");
    for values in [
        vec![twice.as_bytes(), twice.as_bytes()],
        vec![&b"Bearer abc"[..]],
        vec![KEY.as_bytes()],
        vec![&b"Token"[..]],
        vec![&b"Token  "[..]],
        vec![&b"Token \xff\xfe"[..]],
        vec![long.as_bytes()],
    ] {
        expect_that!(
            shown(&values),
            matches_pattern!(Credential::Unreadable(anything()))
        );
    }
    expect_that!(shown(&[]), matches_pattern!(Credential::None));
}

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, HeaderValue::from_str(value).unwrap());
    }
    headers
}

/// A caller sets the organisation header itself. If it were forwarded, endpoints would charge
/// another organisation.
#[gtest]
fn name_overrides_caller() {
    let mut map = headers(&[("x-tenant", "other"), ("x-tenant", "another")]);
    organisation::set_header(&mut map, Some("mine"));
    let names: Vec<&str> = map
        .get_all("x-tenant")
        .iter()
        .map(|value| value.to_str().unwrap())
        .collect();
    expect_that!(names, elements_are![eq(&"mine")]);
    organisation::set_header(&mut map, None);
    expect_that!(map.contains_key("x-tenant"), eq(false));
}

/// An item's own headers name another organisation, or carry a key, which would be stored with
/// the job.
#[gtest]
fn item_own_headers() {
    let own = [("X-Tenant".into(), "other".into())];
    let item = forward::Forward::item(
        "h",
        "/n/1",
        &own,
        bytes::Bytes::new(),
        &"i".into(),
        Some("mine"),
    );
    let named = item.unwrap().headers.remove("x-tenant").unwrap();
    expect_that!(named.to_str().unwrap(), eq("mine"));
    let body =
        br#"{"requests":[{"id":"i","path":"/n/1","headers":{"authorization":"Token abc"}}]}"#;
    expect_that!(job::decode(body), err(contains_substring("carries a key")));
}

const LIMITS: &str = r#""limits":{"max_header_bytes":1,"max_body_bytes":1,"idle_timeout_ms":1}"#;

fn decode(organisations: &str) -> Keyring {
    let text = format!(r#"{{"version":3,"routes":[],{LIMITS},"tenants":[{organisations}]}}"#);
    let config = config::decode(text.as_bytes()).unwrap();
    Keyring::clone(&config.keyring.unwrap())
}

#[gtest]
fn decode_organisation() {
    let keyring = decode(
        r#"{"name":"kaje80","api_keys":["k1","k2"],"priority":1,"rate_per_s":90.5,"burst":7}"#,
    );
    let found = keyring.find(&key("k2").digest()).unwrap();
    expect_that!(&*found.name, eq("kaje80"));
    expect_that!(found.priority, some(eq(1)));
    let rate = found.rate.unwrap();
    expect_that!((rate.per_second, rate.burst), eq((90.5, 7.0)));
}

/// One organisation's entry is invalid. If the whole configuration were rejected because of it, a
/// key that the configuration revokes would stay valid everywhere.
#[gtest]
fn decode_bad_organisations() {
    let keyring = decode(concat!(
        r#"{"name":"no-keys"},"#,
        r#"{"name":"keys-are-text","api_keys":"secret-1"},"#,
        r#"{"name":"key-is-number","api_keys":[7,"good"]},"#,
        r#"{"name":"line\nbreak","api_keys":["secret-2"]},"#,
        r#"{"name":"negative","api_keys":["n"],"rate_per_s":-3},"#,
        r#"{"name":"text","api_keys":["t"],"rate_per_s":"many","priority":-1},"#,
        r#"{"name":"absurd","api_keys":["a"],"rate_per_s":1e300,"burst":1e300},"#,
        r#"{"name":"missing","api_keys":["m"],"burst":3},"#,
        r#"{"api_keys":["secret-3"]},"#,
        r#"17"#,
    ));
    let find = |text: &str| keyring.find(&key(text).digest());
    expect_that!(&*find("good").unwrap().name, eq("key-is-number"));
    for text in ["n", "t", "m"] {
        expect_that!(find(text).unwrap().rate, none(), "{text}");
    }
    expect_that!(find("a").unwrap().rate, some(anything()));
    for text in ["secret-1", "secret-2", "secret-3"] {
        expect_that!(find(text), none(), "{text}");
    }
}

/// A row that can't be decoded is logged. The parser's own message quotes its input, which may be
/// a key.
#[gtest]
fn decode_unreadable_shows_nothing() {
    for text in [
        r#"{"version":"secret","routes":[]}"#,
        r#"{"version":1,"routes":"secret"}"#,
        r#"{"version":1,"routes":[],"tenants":"secret"}"#,
        "secret",
    ] {
        let why = config::decode(text.as_bytes()).unwrap_err();
        for shown in [why.to_string(), format!("{why:?}")] {
            expect_that!(shown, not(contains_substring("secret")));
        }
    }
}

/// No printed or sent form of a value that holds a key reveals the key.
#[gtest]
fn key_never_shown() {
    let secret = key(KEY);
    let credential = Credential::Key(secret.clone());
    let keyring = Keyring::from(vec![holder("a", &[KEY])]);
    let sent = wire::encode(&keyring).unwrap();
    for shown in [
        format!("{secret:?}"),
        format!("{credential:?}"),
        format!("{keyring:?}"),
        String::from_utf8_lossy(&sent).into_owned(),
    ] {
        expect_that!(shown, not(contains_substring(KEY)));
    }
    let keyring: Keyring = wire::decode(&sent).unwrap();
    expect_that!(keyring.find(&secret.digest()), some(anything()));
    let mut map = headers(&[("authorization", KEY)]);
    organisation::remove_credential(&mut map);
    expect_that!(map.is_empty(), eq(true));
    expect_that!(call::request_id(&map), none());
}
