//! CPU time of selecting an endpoint, from the current fleet size up to the design size.

#![allow(missing_docs)] // `criterion_group!` generates undocumented items.

use std::hint::black_box;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::Load;
use auburnspoke::member::{Member, State, View};
use auburnspoke::route::{self, Query, Router, Target, Verdict};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const ENDPOINTS: [usize; 4] = [9, 45, 230, 690];
const NODES: [usize; 3] = [12, 60, 330];
const BLOCKS: u64 = 16;

fn zone(at: usize) -> &'static str {
    ["a", "b", "c", "d", "e"][at % 5]
}

fn router(endpoints: usize) -> Router {
    let mut router = Router::new("a".into(), 1);
    router.update((0..endpoints).map(|at| Target {
        name: format!("e{at}").into(),
        zone: zone(at).into(),
        services: vec!["notes".into()],
    }));
    router.set_latency_weight("notes", 80);
    router
}

/// Runs the router's steps of one request: selection, send, first token and end.
fn request(router: &mut Router, id: u64, blocks: &[u64]) {
    let now = Time::from_micros(id * 100);
    let query = Query {
        service: "notes",
        blocks,
        tried: &[],
        repeatable: true,
    };
    if let Some(choice) = router.pick(now, &query) {
        router.sent(now, id, &choice.endpoint, blocks);
        router.first_token(now, id);
        let load = Load {
            online: 3,
            slots: 64,
            first_token_us: 40_000,
            ..Load::default()
        };
        router.ended(now, id, Verdict::Good, Some(load));
        black_box(choice);
    }
}

fn pick(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for endpoints in ENDPOINTS {
        let mut router = router(endpoints);
        let mut id = 1;
        group.bench_function(BenchmarkId::new("request", endpoints), |b| {
            b.iter(|| {
                id += 1;
                let first = id % 50 * BLOCKS;
                let blocks: Vec<u64> = (first..first + BLOCKS).collect();
                request(&mut router, id, &blocks);
            });
        });
    }
    group.finish();
}

fn dispatcher(c: &mut Criterion) {
    let mut group = c.benchmark_group("dispatcher");
    for nodes in NODES {
        let members = (0..nodes).map(|at| Member {
            name: format!("n{at:03}").into(),
            address: "".into(),
            link: "".into(),
            control: "".into(),
            zone: zone(at).into(),
            incarnation: 1,
            state: State::Alive,
            config_version: 1,
            power: 0,
        });
        let view = View::from(members.collect::<Vec<_>>());
        group.bench_function(BenchmarkId::new("find", nodes), |b| {
            b.iter(|| black_box(route::dispatcher(&view, "e77", "b")));
        });
    }
    group.finish();
}

criterion_group!(benches, pick, dispatcher);
criterion_main!(benches);
