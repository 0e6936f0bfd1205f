//! Time of control-plane decisions at the fleet sizes of docs/CAPACITY.md: placing a
//! region's models, following the configuration in an outage, and decoding the document.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::config::follow::{Follower, Input, Report};
use auburnspoke::config::{Document, check, row};
use auburnspoke::lease::Held;
use auburnspoke::name::Name;
use auburnspoke::order::State;
use auburnspoke::placement::{Input as Placing, Planner, choose};
use auburnspoke::rpc::v1;
use criterion::{BenchmarkId, Criterion};

const START: Time = Time::from_millis(3_600_000);
const SERVICES: usize = 19;

fn document(endpoints: usize) -> Document {
    let service = |at: usize| v1::Service {
        name: format!("service-{at}"),
        kind: v1::ServiceKind::Model.into(),
        model: format!("model-{at}"),
        model_version: "1".into(),
        replicas: u32::try_from(endpoints / SERVICES).unwrap(),
        ..Default::default()
    };
    let endpoint = |at: usize| v1::Endpoint {
        name: format!("engine-{at}"),
        address: format!("10.0.{}.{}:8000", at / 250, at % 250),
        zone: format!("muscat-{}", at % 3),
        services: vec![format!("service-{}", at % SERVICES)],
        checks_fencing: true,
        slots: 8,
        leaving: false,
    };
    let organisation = |at: usize| v1::Organisation {
        name: format!("organisation-{at}"),
        rate: 100,
        concurrency: 50,
        weight: 1,
    };
    let config = v1::Config {
        services: (0..SERVICES).map(service).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
        organisations: (0..950).map(organisation).collect(),
    };
    let mut document = check::document(&config).expect("a document without problems");
    document.version = 1;
    document
}

/// Returns a planner whose endpoints all match the plan.
fn planner(document: &Arc<Document>) -> Planner {
    let mut planner = Planner::new("muscat".into());
    let held = Some(Held {
        epoch: 1,
        until: Time::MAX,
    });
    let mut actions = Vec::new();
    planner.step(START, Placing::Document(Arc::clone(document)), &mut actions);
    planner.step(START, Placing::Tick { held }, &mut actions);
    for endpoint in document.endpoints.values() {
        let service = &document.services[&endpoint.services[0]];
        let result = Ok(State {
            hold: vec![choose::required_model(service)],
            ..State::default()
        });
        let endpoint = endpoint.name.clone();
        planner.step(START, Placing::Read { endpoint, result }, &mut actions);
    }
    planner
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement_tick");
    for endpoints in [45, 345, 690] {
        let document = Arc::new(document(endpoints));
        let mut planner = planner(&document);
        let held = Some(Held {
            epoch: 1,
            until: Time::MAX,
        });
        let mut actions = Vec::new();
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| {
                actions.clear();
                planner.step(START, Placing::Tick { held }, &mut actions);
            });
        });
    }
    group.finish();
}

fn follow(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("follow_outage_answer");
    for nodes in [12, 48, 330] {
        let names: Vec<Name> = (1..nodes).map(|at| format!("n{at}").into()).collect();
        let mut follower = Follower::new(START, "n0");
        let mut actions = Vec::new();
        let document = Arc::new(Document {
            version: 1,
            ..Document::default()
        });
        follower.step(START, Input::Peers(names.clone()), &mut actions);
        follower.step(START, Input::Offered(document), &mut actions);
        let report = Report {
            version: 1,
            newest: 1,
            announced: 0,
            witness: true,
            confirmed_ago: None,
            members: nodes,
        };
        let (mut now, mut at) = (START, 0);
        group.bench_function(BenchmarkId::from_parameter(nodes), |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(30);
                at = (at + 1) % names.len();
                actions.clear();
                let peer = names[at].clone();
                let answered = Input::Answered {
                    peer,
                    requested_at: now,
                    report,
                };
                follower.step(now, answered, &mut actions);
            });
        });
        println!("a report takes {} bytes", row::encode(&report).len());
    }
    group.finish();
}

fn decode(criterion: &mut Criterion) {
    let bytes = row::encode(&document(690));
    criterion.bench_function("config_decode_690", |bencher| {
        bencher.iter(|| black_box(row::decode::<Document>(&bytes)));
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    place(&mut criterion);
    follow(&mut criterion);
    decode(&mut criterion);
    criterion.final_summary();
}
