//! CPU time of admitting and tracking one request at its dispatcher.

#![allow(missing_docs)] // `criterion_group!` generates undocumented items.

use std::hint::black_box;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::{Action, End, Input, Offer, Queue, Setting};
use auburnspoke::request::Class;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const RUNNING: [u64; 3] = [8, 32, 60];

fn offer(now: Time, id: u64, class: Class) -> Offer {
    Offer {
        id,
        class,
        organisation: "clerks".into(),
        deadline: now + Duration::from_secs(3_600),
        prompt_tokens: 200,
        max_tokens: 200,
        once: false,
        spills: false,
    }
}

/// Returns a queue with `running` running batch items.
fn queue(running: u64) -> Queue {
    let setting = Setting {
        slots: 64,
        latency_weight: 0,
        closed: false,
    };
    let mut queue = Queue::new(Time::ZERO, setting);
    let mut actions = Vec::new();
    for id in 0..running {
        let now = Time::from_millis(2_000 + id * 20);
        queue.step(
            now,
            Input::Offer(offer(now, id, Class::Batch)),
            &mut actions,
        );
        queue.step(now, Input::Tokens { id, count: 1 }, &mut actions);
    }
    queue
}

fn admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("dispatch");
    for running in RUNNING {
        let mut queue = queue(running);
        let mut actions: Vec<Action> = Vec::new();
        let mut id = 1_000;
        group.bench_function(BenchmarkId::new("question", running), |b| {
            b.iter(|| {
                id += 1;
                let now = Time::from_micros(4_000_000 + id * 500);
                let online = offer(now, id, Class::Online);
                queue.step(now, Input::Offer(online), &mut actions);
                queue.step(now, Input::Tokens { id, count: 1 }, &mut actions);
                let end = End::Complete;
                queue.step(now, Input::Ended { id, end }, &mut actions);
                black_box(&mut actions).clear();
            });
        });
    }
    for running in RUNNING {
        let mut queue = queue(running);
        let mut actions: Vec<Action> = Vec::new();
        let mut tick = 0;
        group.bench_function(BenchmarkId::new("token", running), |b| {
            b.iter(|| {
                tick += 1;
                let now = Time::from_micros(4_000_000 + tick * 500);
                let id = tick % running;
                queue.step(now, Input::Tokens { id, count: 1 }, &mut actions);
                black_box(&mut actions).clear();
            });
        });
    }
    group.finish();
}

criterion_group!(benches, admit);
criterion_main!(benches);
