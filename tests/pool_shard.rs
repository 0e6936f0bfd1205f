//! Sharding of services into pools, and the choice of a pool for a request.

use std::net::SocketAddr;

use auburnspoke::catalog::{Catalog, Endpoint};
use auburnspoke::pool::shard;
use googletest::prelude::*;

fn catalog(endpoints: usize, slots: u32) -> Catalog {
    let endpoint = |at: usize| Endpoint {
        id: format!("e{at}").into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: ["a", "b", "c"][at % 3].into(),
        slots,
        ready: true,
        incarnation: 0,
        software: None,
    };
    Catalog {
        endpoints: (0..endpoints).map(endpoint).collect(),
        ..Catalog::default()
    }
}

#[gtest]
fn shards_small_service() {
    let shards = shard::shards(&catalog(9, 8), &"s".into());
    expect_that!(shards.len(), eq(1));
    expect_that!(&*shards[0].pool, eq("s"));
}

/// A large service generates more messages than one small VM can handle. With a single
/// pool, requests would go unanswered and endpoints get more requests than slots.
#[gtest]
fn shards_large_service() {
    let catalog = catalog(72, 7);
    let shards = shard::shards(&catalog, &"s".into());
    expect_that!(shards.len(), eq(3));
    for shard in &shards {
        let own = catalog
            .endpoints
            .values()
            .filter(|it| shard::contains(&shard.pool, it));
        expect_that!(own.count(), eq(24));
    }
}

#[gtest]
fn choose_in_proportion_and_another() {
    let shards = shard::shards(&catalog(72, 7), &"s".into());
    let total: u64 = shards.iter().map(|shard| u64::from(shard.slots)).sum();
    let first = &shards[0].pool;
    let chosen =
        (0..total).filter(|point| shard::choose(&shards, *point, None).as_ref() == Some(first));
    expect_that!(chosen.count(), eq(usize::try_from(total / 3).unwrap()));
    for point in 0..total {
        expect_that!(
            shard::choose(&shards, point, Some(first)).as_ref(),
            not(some(eq(first)))
        );
    }
}

#[gtest]
fn choose_unknown_service() {
    let shards = shard::shards(&catalog(3, 8), &"other".into());
    expect_that!(
        shard::choose(&shards, 5, None).as_deref(),
        some(eq("other"))
    );
}
