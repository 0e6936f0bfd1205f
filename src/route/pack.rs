//! Packing questions onto some of a service's endpoints.
//!
//! A batch prompt that is computed beside a question delays it by a chunk, and
//! no admission can take that back. Where a service has several endpoints it
//! costs less to bring its questions together on a few of them and to leave
//! the others to batch work; docs/design/routing.md has the figures.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;

/// Questions at a time on a packed endpoint at weight 100.
const LEAST: f64 = 1.0;
/// What is added to that at weight 0.
const SPAN: f64 = 25.0;
/// Most of them: above it packed endpoints turn so many away that the others
/// are disturbed more than they gain.
const MOST: f64 = 11.0;
/// Part of the endpoints that stays free of questions at weight 0, however many
/// there are, so that batch work always gets on.
const FREE: f64 = 0.6;

/// How closely questions are packed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Packing {
    /// Questions at a time that a packed endpoint should have.
    pub target: f64,
    /// Part of the endpoints that is never packed.
    pub free: f64,
}

impl Packing {
    /// The packing at a weight from 0 (batch throughput) to 100 (online tail
    /// latency), at which questions are spread over all endpoints.
    pub fn new(latency_weight: u32) -> Option<Self> {
        if latency_weight >= 100 {
            return None;
        }
        let ease = f64::from(100 - latency_weight) / 100.0;
        Some(Self {
            target: (LEAST + SPAN * ease).min(MOST),
            free: FREE * ease,
        })
    }

    /// Endpoints of `count` that `questions` need.
    pub fn wanted(&self, questions: f64, count: usize) -> usize {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Not negative.
        let (wanted, free) = (
            (questions / self.target).ceil().max(1.0) as usize,
            (count as f64 * self.free) as usize,
        );
        wanted.min(count - free.min(count.saturating_sub(1)))
    }
}

/// The order in which endpoints are packed. It follows from the names alone,
/// so that all gateways agree without a message, and takes the zones in turn,
/// so that the loss of one leaves most packed endpoints.
pub fn order<'a, F>(service: &str, all: &[u32], name_and_zone: F) -> Vec<u32>
where
    F: Fn(u32) -> (&'a Name, &'a Name),
{
    let seed = xxh3_64_with_seed(service.as_bytes(), 2);
    let mut ranked: Vec<(u64, u32)> = all
        .iter()
        .map(|at| {
            let (name, _) = name_and_zone(*at);
            (xxh3_64_with_seed(name.as_bytes(), seed), *at)
        })
        .collect();
    ranked.sort_unstable();
    let mut zones: Vec<(&Name, usize)> = Vec::new();
    let mut turns: Vec<(usize, u64, u32)> = ranked
        .into_iter()
        .map(|(rank, at)| {
            let (_, zone) = name_and_zone(at);
            let turn = if let Some((_, count)) = zones.iter_mut().find(|(z, _)| *z == zone) {
                *count += 1;
                *count
            } else {
                zones.push((zone, 0));
                0
            };
            (turn, rank, at)
        })
        .collect();
    turns.sort_unstable();
    turns.into_iter().map(|(_, _, at)| at).collect()
}
