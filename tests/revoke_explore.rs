//! Explores whether a key that was taken away is let through anywhere once its time
//! is up: with the store away for some nodes or for all, readers that are frozen or
//! cut off, and nodes that are suspended at any point.
//!
//! The nodes' evidence is what `Learner` and the feeds make of it: counted back from
//! when the store, or another node, was asked. `AUBURNSPOKE_SEEDS` sets how many
//! schedules are played.

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

/// Schedules that are played when nothing else is said.
const SEEDS: u64 = 300;
const NODES: usize = 88;
/// Length of a schedule, and of a step of it, in milliseconds.
const LENGTH: u64 = 20_000;
const STEP: u64 = 20;
/// Within which a revocation holds everywhere.
const REVOKE: Duration = Duration::from_secs(5);
/// When the key is taken away.
const REVOKED: u64 = 6_000;
const KEY: &str = "stolen";

/// How a node dates what it hears.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Dated {
    /// By when it asked, on a clock that goes on during a suspension.
    Asked,
    /// By when the answer came.
    Answered,
    /// By when it asked, on a clock that stands still during a suspension.
    Stopped,
    /// Not at all: what it knows is always good.
    Never,
}

struct Node {
    /// What it has in force: true once it knows of the revocation.
    revoked: bool,
    config_confirmed: Option<u64>,
    /// Until when the store turns it away, it is cut off, or suspended.
    away: u64,
    cut: u64,
    suspended: u64,
    /// How long it was suspended so far.
    stood: u64,
    /// A question under way: when it was sent, when its answer comes, and what that
    /// says: whether the key is gone, and as of when by the store.
    asking: Option<(u64, u64, bool, u64)>,
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

/// Draws what befalls the nodes from now on.
fn harm(rng: &mut ChaCha8Rng, nodes: &mut [Node], now: u64) {
    let until = now + rng.random_range(1_000..9_000);
    let share = [0.1, 0.35, 1.0][rng.random_range(0..3)];
    let kind = rng.random_range(0..3);
    for node in nodes {
        if !rng.random_bool(share) {
            continue;
        }
        match kind {
            0 => node.away = until,
            1 => node.cut = until,
            _ => node.suspended = until.min(now + 6_000),
        }
    }
}

/// A node asks the store, or else another node.
fn ask(rng: &mut ChaCha8Rng, nodes: &mut [Node], at: usize, now: u64) {
    let delay = rng.random_range(2..700);
    let node = &nodes[at];
    if node.cut > now {
        return;
    }
    let told = if node.away <= now {
        // The store looks somewhere on the way.
        let looked = now + rng.random_range(0..=delay);
        (looked >= REVOKED, looked)
    } else {
        let peer = rng.random_range(0..nodes.len());
        let other = &nodes[peer];
        let Some(config_confirmed) = other
            .config_confirmed
            .filter(|_| other.cut <= now && other.suspended <= now)
        else {
            return;
        };
        // Its word is as old as its evidence is by its clock.
        (other.revoked, config_confirmed)
    };
    nodes[at].asking = Some((now, now + delay, told.0, told.1));
}

/// How often the key was let through for requests that were sent too late.
fn play(seed: u64, dated: Dated) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|_| Node {
            revoked: false,
            config_confirmed: Some(0),
            away: 0,
            cut: 0,
            suspended: 0,
            stood: 0,
            asking: None,
        })
        .collect();
    let mut late = 0;
    let known = [catalog(false, None), catalog(true, None)];
    for now in (0..LENGTH).step_by(usize::try_from(STEP).unwrap()) {
        if rng.random_bool(0.01) {
            harm(&mut rng, &mut nodes, now);
        }
        for index in 0..NODES {
            let node = &mut nodes[index];
            if node.suspended > now {
                node.stood += STEP;
                continue;
            }
            let clock = |millis: u64, stood: u64| match dated {
                Dated::Stopped => millis.saturating_sub(stood),
                _ => millis,
            };
            match node.asking {
                Some((sent, due, revoked, looked)) if due <= now => {
                    node.asking = None;
                    let by_peer = looked < sent;
                    let date = match dated {
                        Dated::Answered if !by_peer => now,
                        Dated::Answered => looked + (now - sent),
                        _ if by_peer => looked,
                        _ => sent,
                    };
                    let date = clock(date, node.stood);
                    node.revoked |= revoked;
                    node.config_confirmed = node.config_confirmed.max(Some(date));
                }
                Some((sent, ..)) if now > sent + 1_400 => node.asking = None,
                Some(_) => {}
                None => ask(&mut rng, &mut nodes, index, now),
            }
            if !rng.random_bool(0.02) {
                continue;
            }
            // A request that was sent at any time since the node last looked.
            let node = &nodes[index];
            let mut catalog = known[usize::from(node.revoked)].clone();
            catalog.config_confirmed = match dated {
                Dated::Never => Some(at(now)),
                _ => node.config_confirmed.map(at),
            };
            let key = Credential::Key(Key::new(KEY).unwrap());
            let clock = at(clock(now, node.stood));
            let passed = identify(&catalog, clock, Some(REVOKE), false, &key).is_ok();
            let bound = REVOKED + u64::try_from(REVOKE.as_millis()).unwrap();
            late += usize::from(passed && now > bound);
        }
    }
    late
}

fn broken(dated: Dated) -> Vec<(u64, usize)> {
    let seeds = std::env::var("AUBURNSPOKE_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let late = |seed| Some((seed, play(seed, dated))).filter(|(_, late)| *late > 0);
    (0..seeds).filter_map(late).collect()
}

/// A key is stolen, and its organisation has it taken away. Five seconds later
/// nobody may use it at any node, whatever that node can hear.
#[gtest]
fn explore_revoked_everywhere() {
    expect_that!(broken(Dated::Asked), is_empty());
}

/// With each protection removed the explorer finds a node that lets the key through.
#[gtest]
fn explore_finds_removed_protection() {
    for dated in [Dated::Answered, Dated::Stopped, Dated::Never] {
        expect_that!(broken(dated).len(), gt(0));
    }
}
