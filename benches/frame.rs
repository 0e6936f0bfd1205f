//! CPU time to encode and decode the frames between nodes, which every generated token
//! passes once. docs/CAPACITY.md multiplies it by the expected load.
//!
//! `cargo bench --bench frame`

use std::hint::black_box;
use std::net::SocketAddr;

use auburnspoke::member::gossip::{Gossip, Input};
use auburnspoke::member::tuning::Tuning;
use auburnspoke::member::{Member, State};
use auburnspoke::request::Piece;
use auburnspoke::wire;
use auburnspoke::wire::control::{Body, Frame, Head, Update};
use auburnspoke::wire::traffic;
use auburnspoke::{clock::Time, member::record::Record};
use criterion::{Criterion, Throughput};

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        address: "10.0.0.1:8080".into(),
        link: "10.0.0.1:9090".into(),
        control: "10.0.0.1:7070".into(),
        zone: "muscat-1".into(),
        incarnation: 1,
        state: State::Alive,
        config_version: 7,
        power: 0,
    }
}

/// Measures pieces of one and of eight tokens.
fn pieces(criterion: &mut Criterion) {
    for tokens in [1_usize, 8] {
        let frame = traffic::Frame::Piece {
            id: 123_456,
            piece: Piece {
                offset: 400,
                text: " token".repeat(tokens),
                tokens: u32::try_from(tokens).unwrap_or(1),
            },
            load: None,
        };
        let bytes = wire::encode(&frame).unwrap_or_default();
        println!("a piece of {tokens} tokens takes {} bytes", bytes.len());
        let mut group = criterion.benchmark_group("piece");
        group.throughput(Throughput::Elements(tokens as u64));
        group.bench_function(format!("encode {tokens}"), |bencher| {
            bencher.iter(|| wire::encode(black_box(&frame)));
        });
        group.bench_function(format!("decode {tokens}"), |bencher| {
            bencher.iter(|| wire::decode::<traffic::Frame>(black_box(&bytes)));
        });
        group.finish();
    }
}

/// Measures a datagram full of records, as gossip sends after an incident.
fn gossip(criterion: &mut Criterion) {
    let updates: Vec<Update> = (0..7)
        .map(|at| {
            let member = member(&format!("node-{at:03}"));
            Update::Record(Record { member, boot: 9 })
        })
        .collect();
    let head = Head {
        from: "node-100".into(),
        boot: 1,
        incarnation: 1,
        in_force: 7,
        committed: 7,
    };
    let body = Body::Gossip;
    let frame = Frame {
        head,
        body,
        updates,
    };
    let bytes = wire::control::encode(&frame).unwrap_or_default();
    println!("a datagram of 7 records takes {} bytes", bytes.len());
    criterion.bench_function("control/encode 7 records", |bencher| {
        bencher.iter(|| wire::control::encode(black_box(&frame)));
    });
    criterion.bench_function("control/decode 7 records", |bencher| {
        bencher.iter(|| wire::control::decode(black_box(&bytes)));
    });
    let now = Time::from_millis(3_600_000);
    let mut known = Gossip::new(now, member("me"), 1, Vec::new(), Tuning::default());
    let source = SocketAddr::from(([127, 0, 0, 1], 1));
    criterion.bench_function("control/step on 7 known records", |bencher| {
        bencher.iter(|| {
            let frame = frame.clone();
            known.step(now, Input::Frame { source, frame }).len()
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    pieces(&mut criterion);
    gossip(&mut criterion);
    criterion.final_summary();
}
