//! Validation and comparison of documents.

use auburnspoke::config::check::{self, MAX_ENDPOINTS, MAX_SERVICES};
use auburnspoke::config::{Document, convert, diff, row};
use auburnspoke::rpc::v1;
use googletest::prelude::*;

fn service(name: &str) -> v1::Service {
    v1::Service {
        name: name.into(),
        kind: v1::ServiceKind::Model.into(),
        model: "m".into(),
        model_version: "1".into(),
        replicas: 2,
        latency_weight: 50,
        ..Default::default()
    }
}

fn endpoint(name: &str, port: usize) -> v1::Endpoint {
    v1::Endpoint {
        name: name.into(),
        address: format!("10.0.0.1:{port}"),
        zone: "muscat-1".into(),
        services: vec!["pay".into()],
        checks_fencing: true,
        slots: 8,
        leaving: false,
    }
}

fn config() -> v1::Config {
    v1::Config {
        services: vec![service("pay")],
        endpoints: vec![endpoint("e1", 8_001), endpoint("e2", 8_002)],
        organisations: vec![v1::Organisation {
            name: "bank".into(),
            ..Default::default()
        }],
    }
}

fn places(config: &v1::Config) -> Vec<String> {
    let problems = check::document(config).unwrap_err();
    problems.into_iter().map(|problem| problem.place).collect()
}

#[gtest]
fn document_round_trip() {
    let document = check::document(&config()).unwrap();
    expect_that!(
        document.services["pay"].deadline_ms,
        eq(check::DEFAULT_DEADLINE_MS)
    );
    expect_that!(document.organisations["bank"].weight, eq(1));
    let again = check::document(&convert::to_schema(&document)).unwrap();
    expect_that!(again, eq(&document));
}

#[gtest]
fn document_all_problems_in_one_pass() {
    let mut config = config();
    config.services.push(service("pay"));
    config.services.push(v1::Service {
        name: "a/b".into(),
        kind: v1::ServiceKind::Plain.into(),
        model: "m".into(),
        latency_weight: 101,
        ..Default::default()
    });
    config.endpoints[1].address = "10.0.0.1:8001".into();
    config.endpoints[1].services.push("nobody".into());
    config.endpoints[1].slots = 0;
    config.endpoints.push(endpoint("e3", 0));
    config.organisations[0].name = String::new();
    let expected = [
        "services[1].name",
        "services[2].model",
        "services[2].latency_weight",
        "services[2].name",
        "endpoints[1].address",
        "endpoints[1].services[1]",
        "endpoints[1].slots",
        "endpoints[2].address",
        "organisations[0].name",
    ];
    expect_that!(places(&config), eq(&expected.map(String::from)));
}

#[gtest]
fn document_too_many() {
    let mut config = config();
    config.services = (0..=MAX_SERVICES)
        .map(|n| service(&format!("s{n}")))
        .collect();
    expect_that!(places(&config), elements_are![eq("services")]);
}

#[gtest]
fn document_too_long() {
    let mut config = config();
    let long = |n| format!("{n:x<100}");
    config.endpoints = (1..=MAX_ENDPOINTS).map(|n| endpoint(&long(n), n)).collect();
    config
        .organisations
        .extend((0..9_000).map(|n| v1::Organisation {
            name: long(n),
            ..Default::default()
        }));
    expect_that!(places(&config), elements_are![eq("document")]);
}

#[gtest]
fn document_size_of_expected_fleet() {
    // 690 endpoints, 950 organisations and 19 services fit well below the limit;
    // docs/design/config.md sums up the cost of reading them.
    let config = v1::Config {
        services: (0..19).map(|n| service(&format!("service-{n}"))).collect(),
        endpoints: (1..=690)
            .map(|n| v1::Endpoint {
                services: vec![format!("service-{}", n % 19)],
                ..endpoint(&format!("engine-{n}"), n)
            })
            .collect(),
        organisations: (0..950)
            .map(|n| v1::Organisation {
                name: format!("organisation-{n}"),
                rate: 100,
                concurrency: 50,
                weight: 1,
            })
            .collect(),
    };
    let bytes = row::encode(&check::document(&config).unwrap()).len();
    println!("document of the expected fleet: {bytes} bytes");
    expect_that!(bytes, lt(check::MAX_BYTES / 4));
}

#[gtest]
fn lines_each_kind() {
    let old = check::document(&config()).unwrap();
    let mut new = old.clone();
    new.endpoints.remove("e1");
    new.services.get_mut("pay").unwrap().replicas = 3;
    new.organisations
        .insert("trust".into(), old.organisations["bank"].clone());
    let lines = diff::lines(&old, &new);
    expect_that!(
        lines,
        elements_are![
            eq("~ service pay: replicas 2 -> 3"),
            eq("- endpoint e1"),
            eq("+ organisation trust"),
        ]
    );
    expect_that!(diff::lines(&old, &old), is_empty());
    expect_that!(diff::lines(&Document::default(), &old).len(), eq(4));
}
