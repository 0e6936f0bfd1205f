//! Decoding of the platform's formats into the product's types.

use std::time::Duration;

use auburnspoke::catalog::Kind;
use auburnspoke::platform::call::{self, Call};
use auburnspoke::platform::{config, endpoint, job, settings};
use auburnspoke::settings::Invalid;
use auburnspoke::table::{Change, Row};
use bytes::Bytes;
use googletest::prelude::*;
use hyper::{Request, StatusCode};

const SETTINGS: &str = r#"
node = "edge-1"
role = "node"
zone = "z1"
region = "r"
port_range = [7720, 7735]
seeds = ["10.2.0.40:8166"]
a_key_of_tomorrow = true
[zones]
z1 = "r"
[listen]
front = "10.1.0.10:8161"
ready = "10.1.0.10:8167"
control = "10.1.0.10:8166"
directory = "10.1.0.10:8164"
[limits]
cpu_share = 0.5
cores = 1
[bounds]
grace_s = 8
status_s = 120
ttl_max_s = 5
[platform]
address = "10.200.1.7:8169"
row_bytes = 65536
blob_bytes = 8388608
"#;

#[gtest]
fn settings_parse() {
    let site = settings::parse(SETTINGS).unwrap();
    expect_that!(&*site.node, eq("edge-1"));
    expect_that!(site.cpu_millicores, eq(500));
    expect_that!(site.listen.pool.to_string(), eq("10.1.0.10:7720"));
    expect_that!(site.listen.link.to_string(), eq("10.1.0.10:7721"));
    expect_that!(site.bounds.grace, eq(Duration::from_secs(8)));
    expect_that!(site.store.max_row_bytes, eq(65_536));
}

/// The platform's file lacks a field or has an invalid one. A node that started anyway would use a
/// wrong address or time-out, which would go unnoticed until a request is lost.
#[gtest]
fn settings_invalid_value() {
    for (valid, invalid, key) in [
        ("zone = \"z1\"", "", "zone"),
        ("[7720, 7735]", "[7735, 7720]", "port_range"),
        ("[7720, 7735]", "[7720, 7721]", "port_range"),
        ("grace_s = 8", "grace_s = -1", "grace_s"),
        ("cpu_share = 0.5", "cpu_share = -0.5", "cpu_share"),
        ("10.200.1.7:8169", "10.200.1.7", "address"),
    ] {
        let text = SETTINGS.replacen(valid, invalid, 1);
        let error = settings::parse(&text).unwrap_err();
        expect_that!(format!("{error:#}"), contains_substring(key));
    }
}

/// A file has several problems. With one reported at a time, the operator would have to start the
/// node once for each of them.
#[gtest]
fn settings_every_problem() {
    let text = SETTINGS
        .replacen("zone = \"z1\"", "zone = 7", 1)
        .replacen("[7720, 7735]", "[7735, 7720]", 1)
        .replacen("grace_s = 8", "grace_s = -1", 1)
        .replacen("10.200.1.7:8169", "10.200.1.7", 1)
        .replacen("front = \"10.1.0.10:8161\"\n", "", 1);
    let Invalid(problems) = settings::parse(&text).unwrap_err();
    let places: Vec<&str> = problems.iter().map(|problem| &*problem.place).collect();
    expect_that!(
        places,
        unordered_elements_are![
            eq(&"zone"),
            eq(&"port_range"),
            eq(&"listen.front"),
            eq(&"bounds.grace_s"),
            eq(&"platform.address")
        ]
    );
}

#[gtest]
fn settings_is_platform_format() {
    expect_that!(settings::is_platform_format(SETTINGS), eq(true));
    expect_that!(
        settings::is_platform_format("[node]\nname = \"n\""),
        eq(false)
    );
}

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"q","host":"h.example","prefix":"/q/","type":"streaming","timeout_ms":5000,"goal_ms":300,"priority":0,
  "split":[{"service":"a","weight":90},{"service":"b","weight":10}],"attempts":2,"sticky":true,"resumable":true,"gap_goal_ms":400},
 {"name":"q2","host":"h.example","prefix":"/q/deep/","type":"non_idempotent","timeout_ms":900.5,"goal_ms":300,"service":"c","attempts":1},
 {"name":"n","host":"h.example","prefix":"/n/","type":"batch","service":"a","run_goal_ms":18000,"queue_ttl_s":60,"max_count":1500000,"attempts":3}],
 "services":[{"name":"a"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

#[gtest]
fn config_decode() {
    let config = config::decode(CONFIG.as_bytes()).unwrap();
    expect_that!(config.version, eq(7));
    let route = config.route("h.example", "/q/1").unwrap();
    expect_that!(
        route.kind,
        eq(&Kind::Stream {
            resumable: true,
            pause: Duration::from_millis(400)
        })
    );
    let batch = config.route("h.example", "/n/1").unwrap();
    expect_that!(
        batch.kind,
        matches_pattern!(Kind::Batch(matches_pattern!(auburnspoke::catalog::Terms {
            waiting_tokens: some(eq(&1_500_000)),
            ..
        })))
    );
    expect_that!(config.limits.body_bytes, eq(4_194_304));
}

#[gtest]
fn route_longest_prefix() {
    let config = config::decode(CONFIG.as_bytes()).unwrap();
    expect_that!(
        &*config.route("h.example", "/q/deep/1").unwrap().name,
        eq("q2")
    );
    expect_that!(config.route("h.example", "/qq/1"), none());
    expect_that!(config.route("other.example", "/q/1"), none());
}

#[gtest]
fn service_by_weight() {
    let config = config::decode(CONFIG.as_bytes()).unwrap();
    let route = config.route("h.example", "/q/1").unwrap();
    let first = (0..1_000)
        .filter(|point| **route.service(*point).unwrap() == *"a")
        .count();
    expect_that!(first, eq(900));
}

/// The row is not a valid configuration: decoding must fail, so that the last valid one stays in
/// force.
#[gtest]
fn config_undecodable() {
    for text in ["", "{", "[]", r#"{"version":"x"}"#] {
        expect_that!(config::decode(text.as_bytes()), err(anything()));
    }
}

#[gtest]
fn endpoint_row_and_removal() {
    let value = br#"{"service":"s","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":8,"state":"draining","cold_left_ms":0,"seq":4}"#;
    let row = Row {
        key: "i-1".into(),
        version: 3,
        value: Bytes::from_static(value),
    };
    let entry = endpoint::from_row(&row).unwrap();
    expect_that!(entry.endpoint.unwrap().ready, eq(false));
    let removal = Change {
        key: "i-1".into(),
        version: 4,
        value: None,
    };
    expect_that!(endpoint::from_change(&removal).unwrap().endpoint, none());
}

fn decode(method: &str, target: &str) -> Call {
    let request = Request::builder()
        .method(method)
        .uri(target)
        .header("host", "H.example:80")
        .body(())
        .unwrap();
    call::decode(&request.into_parts().0)
}

#[gtest]
fn call_kinds() {
    expect_that!(decode("GET", "/-/readyz"), eq(&Call::Ready));
    expect_that!(
        decode("GET", "/-/resolve?name=h&region=r&zone=z%31"),
        matches_pattern!(Call::Resolve(matches_pattern!(call::Location {
            zone: eq(&"z1".into()),
            ..
        })))
    );
    expect_that!(
        decode("POST", "/q/1"),
        eq(&Call::Route {
            host: "h.example".into()
        })
    );
    expect_that!(
        decode("DELETE", "/-/lots/j1"),
        eq(&Call::EndJob { job: "j1".into() })
    );
}

/// A caller reads results from a position that is not a number, or calls an unknown path. It must
/// get an error, and not the results from the start.
#[gtest]
fn call_invalid() {
    for target in ["/-/lots/j?after=x", "/-/lots/j?after=-1"] {
        expect_that!(
            decode("GET", target),
            matches_pattern!(Call::Invalid(eq(&StatusCode::BAD_REQUEST), anything()))
        );
    }
    expect_that!(
        decode("GET", "/-/nothing"),
        matches_pattern!(Call::Invalid(eq(&StatusCode::NOT_FOUND), anything()))
    );
}

fn submission(items: &[(&str, &str)]) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|(id, body)| {
            format!(r#"{{"id":"{id}","path":"/n/1","headers":{{"X-Model":"m"}},"body":"{body}","tokens":9}}"#)
        })
        .collect();
    format!(r#"{{"requests":[{}]}}"#, items.join(","))
}

#[gtest]
fn job_decode() {
    let items = job::decode(submission(&[("i1", "q83vEjRWeJA=")]).as_bytes()).unwrap();
    expect_that!(items.len(), eq(1));
    expect_that!(items[0].body.len(), eq(8));
    expect_that!(items[0].tokens, eq(9));
}

/// A job with an invalid item must be refused as a whole, with the reason: a job that is accepted in
/// part would never be complete.
#[gtest]
fn job_invalid() {
    let many: Vec<(String, &str)> = (0..201).map(|at| (format!("i{at}"), "")).collect();
    let many: Vec<(&str, &str)> = many.iter().map(|(id, body)| (id.as_str(), *body)).collect();
    for (body, names) in [
        (submission(&[("i1", "%%%")]), "base64"),
        (submission(&[("i1", ""), ("i1", "")]), "same id"),
        (submission(&[]), "1 to 200"),
        (submission(&many), "1 to 200"),
        ("{".to_owned(), "not a valid job"),
    ] {
        let error = job::decode(body.as_bytes()).unwrap_err();
        expect_that!(error, contains_substring(names));
    }
}

#[gtest]
fn endpoint_other_writers() {
    // A row comes from another program or is corrupted. If it were decoded with defaults for the
    // missing fields, requests would be sent to an address where nothing answers. It must be
    // rejected as a whole, and other rows stay valid.
    let good = r#"{"service":"s","address":"10.128.0.9:8080","zone":"z1","slots":8,"state":"ready","born":1700000000000}"#;
    let invalid = [
        "",
        "{",
        "[]",
        "null",
        &good.replace(r#""ready""#, r#""sleeping""#),
        &good.replace(r#""ready""#, "1"),
        &good.replace(r#""slots":8,"#, ""),
        &good.replace(r#""slots":8"#, r#""slots":"8""#),
        &good.replace(r#""slots":8"#, r#""slots":-8"#),
        &good.replace(r#""address":"10.128.0.9:8080","#, ""),
        &good.replace("10.128.0.9:8080", "nowhere"),
        &good.replace(r#""service":"s","#, ""),
        &good.replace(r#""zone":"z1","#, ""),
        &good.replace("1700000000000", "1.5"),
        &good.replace("1700000000000", "-1"),
        &good.replace("1700000000000", r#""soon""#),
    ];
    let row = |value: &[u8]| Row {
        key: "i-1".into(),
        version: 3,
        value: Bytes::copy_from_slice(value),
    };
    let entry = endpoint::from_row(&row(good.as_bytes())).unwrap();
    expect_that!(entry.endpoint.unwrap().incarnation, eq(1_700_000_000_000));
    for value in invalid {
        let unreadable = endpoint::from_row(&row(value.as_bytes())).unwrap_err();
        expect_that!(unreadable.version, eq(3), "of {value}");
        expect_that!(*unreadable.id, eq("i-1"));
    }
    expect_that!(endpoint::from_row(&row(&[0xff, 0xfe])), err(anything()));
}
