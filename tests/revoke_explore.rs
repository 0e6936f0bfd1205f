//! Checks that a revoked key is accepted nowhere once the revocation bound has passed, with the
//! store unavailable for some or all nodes, readers that are frozen or isolated, and nodes that
//! are suspended at any point.
//!
//! The age of a node's configuration is determined as in `Learner` and the feeds: counted from
//! the time at which the store, or another node, was queried. `AUBURNSPOKE_SEEDS` sets the
//! number of simulated schedules.

use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::keyring::{Holder, Keyring, Organisation};
use auburnspoke::catalog::{Catalog, Config};
use auburnspoke::clock::Uptime;
use auburnspoke::identity::{Credential, identify};
use auburnspoke::key::Key;
use googletest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Default number of schedules.
const DEFAULT_SEEDS: u64 = 300;
const NODES: usize = 88;
/// Length of a schedule, and of one step.
const LENGTH_MS: u64 = 20_000;
const STEP_MS: u64 = 20;
/// Time within which a revocation must be in force everywhere.
const REVOKE: Duration = Duration::from_secs(5);
/// Time at which the key is revoked.
const REVOKED_AT_MS: u64 = 6_000;
const KEY: &str = "stolen";

/// How a node determines the age of its configuration.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AgeSource {
    /// From the time of the query, on a clock that runs on during a suspension.
    Asked,
    /// From the time of the answer.
    Answered,
    /// From the time of the query, on a clock that stands still during a suspension.
    Stopped,
    /// Not at all: the configuration is always considered current.
    Never,
}

struct Node {
    /// True once the revocation is in force at this node.
    revoked: bool,
    config_confirmed: Option<u64>,
    /// Times until which the store refuses it, it is isolated, and it is suspended.
    refused_until: u64,
    isolated_until: u64,
    suspended_until: u64,
    /// Total time that it was suspended.
    suspended_for: u64,
    /// The pending query: when it was sent, when its answer arrives, and the answer: whether the
    /// key is revoked, and the time of that state by the store.
    pending: Option<(u64, u64, bool, u64)>,
}

fn at(millis: u64) -> Uptime {
    Uptime::new(Duration::from_millis(1_000_000 + millis))
}

fn catalog(revoked: bool, config_confirmed: Option<u64>) -> Catalog {
    let keys = if revoked {
        Vec::new()
    } else {
        vec![Key::new(KEY).unwrap().digest()]
    };
    let organisation = Arc::new(Organisation {
        name: "a".into(),
        priority: None,
        rate: None,
    });
    let keyring = Keyring::from(vec![Holder { organisation, keys }]);
    let config = Config {
        keyring: Some(Arc::new(keyring)),
        ..Config::default()
    };
    Catalog {
        config: Some(Arc::new(config)),
        config_confirmed: config_confirmed.map(at),
        ..Catalog::default()
    }
}

/// Draws random faults of the nodes.
fn inject_faults(rng: &mut ChaCha8Rng, nodes: &mut [Node], now: u64) {
    let until = now + rng.random_range(1_000..9_000);
    let share = [0.1, 0.35, 1.0][rng.random_range(0..3)];
    let kind = rng.random_range(0..3);
    for node in nodes {
        if !rng.random_bool(share) {
            continue;
        }
        match kind {
            0 => node.refused_until = until,
            1 => node.isolated_until = until,
            _ => node.suspended_until = until.min(now + 6_000),
        }
    }
}

/// Sends a query of a node to the store, or else to another node.
fn query(rng: &mut ChaCha8Rng, nodes: &mut [Node], at: usize, now: u64) {
    let delay = rng.random_range(2..700);
    let node = &nodes[at];
    if node.isolated_until > now {
        return;
    }
    let answer = if node.refused_until <= now {
        // The store reads its state at some point between query and answer.
        let read_at = now + rng.random_range(0..=delay);
        (read_at >= REVOKED_AT_MS, read_at)
    } else {
        let peer = rng.random_range(0..nodes.len());
        let other = &nodes[peer];
        let Some(config_confirmed) = other
            .config_confirmed
            .filter(|_| other.isolated_until <= now && other.suspended_until <= now)
        else {
            return;
        };
        // The answer is as old as the peer's configuration, by the peer's clock.
        (other.revoked, config_confirmed)
    };
    nodes[at].pending = Some((now, now + delay, answer.0, answer.1));
}

/// Returns the number of requests with the key that were accepted after the bound.
fn play(seed: u64, source: AgeSource) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|_| Node {
            revoked: false,
            config_confirmed: Some(0),
            refused_until: 0,
            isolated_until: 0,
            suspended_until: 0,
            suspended_for: 0,
            pending: None,
        })
        .collect();
    let mut late = 0;
    let known = [catalog(false, None), catalog(true, None)];
    for now in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        if rng.random_bool(0.01) {
            inject_faults(&mut rng, &mut nodes, now);
        }
        for index in 0..NODES {
            let node = &mut nodes[index];
            if node.suspended_until > now {
                node.suspended_for += STEP_MS;
                continue;
            }
            let clock = |millis: u64, suspended_for: u64| match source {
                AgeSource::Stopped => millis.saturating_sub(suspended_for),
                _ => millis,
            };
            match node.pending {
                Some((sent, due, revoked, read_at)) if due <= now => {
                    node.pending = None;
                    let by_peer = read_at < sent;
                    let date = match source {
                        AgeSource::Answered if !by_peer => now,
                        AgeSource::Answered => read_at + (now - sent),
                        _ if by_peer => read_at,
                        _ => sent,
                    };
                    let date = clock(date, node.suspended_for);
                    node.revoked |= revoked;
                    node.config_confirmed = node.config_confirmed.max(Some(date));
                }
                Some((sent, ..)) if now > sent + 1_400 => node.pending = None,
                Some(_) => {}
                None => query(&mut rng, &mut nodes, index, now),
            }
            if !rng.random_bool(0.02) {
                continue;
            }
            // A request may arrive at any time since the node's last step.
            let node = &nodes[index];
            let mut catalog = known[usize::from(node.revoked)].clone();
            catalog.config_confirmed = match source {
                AgeSource::Never => Some(at(now)),
                _ => node.config_confirmed.map(at),
            };
            let key = Credential::Key(Key::new(KEY).unwrap());
            let clock = at(clock(now, node.suspended_for));
            let accepted = identify(&catalog, clock, Some(REVOKE), false, &key).is_ok();
            let bound = REVOKED_AT_MS + u64::try_from(REVOKE.as_millis()).unwrap();
            late += usize::from(accepted && now > bound);
        }
    }
    late
}

fn broken(source: AgeSource) -> Vec<(u64, usize)> {
    let seeds = std::env::var("AUBURNSPOKE_SEEDS").ok();
    let seeds = seeds
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    let late = |seed| Some((seed, play(seed, source))).filter(|(_, late)| *late > 0);
    (0..seeds).filter_map(late).collect()
}

/// A stolen key is revoked. Five seconds later no node may accept it, whatever updates that node
/// receives.
#[gtest]
fn explore_revoked_everywhere() {
    expect_that!(broken(AgeSource::Asked), is_empty());
}

/// With any one protection removed, the simulation finds a node that accepts the key.
#[gtest]
fn explore_finds_removed_protection() {
    for source in [AgeSource::Answered, AgeSource::Stopped, AgeSource::Never] {
        expect_that!(broken(source).len(), gt(0));
    }
}
