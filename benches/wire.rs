//! CPU time to encode and decode the frames that carry tokens.

#![allow(missing_docs)] // `criterion_group!` generates undocumented items.

use std::hint::black_box;

use auburnspoke::request::Piece;
use auburnspoke::wire::{self, traffic::Frame};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};

fn piece(c: &mut Criterion) {
    let frame = Frame::Piece {
        id: 4_711,
        piece: Piece {
            offset: 123,
            tokens: 1,
            text: " screened".to_owned(),
        },
        load: None,
    };
    let bytes = wire::encode(&frame).expect("a small frame can be written");
    let mut group = c.benchmark_group("wire");
    group.throughput(Throughput::Bytes(bytes.len() as u64));
    group.bench_function("encode_piece", |b| {
        b.iter(|| wire::encode(black_box(&frame)));
    });
    group.bench_function("decode_piece", |b| {
        b.iter(|| wire::decode::<Frame>(black_box(&bytes)));
    });
    group.finish();
}

criterion_group!(benches, piece);
criterion_main!(benches);
