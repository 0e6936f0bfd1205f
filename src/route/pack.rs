//! Packing of online requests onto a subset of a service's endpoints.
//!
//! The prefill of a batch item delays concurrent online requests by a chunk, which
//! admission control can't prevent. If a service has several endpoints, it costs
//! less to pack its online requests onto a few of them and leave the others to batch
//! work. docs/design/routing.md has the measurements.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;

/// Concurrent online requests per packed endpoint at weight 100.
const MIN_TARGET: f64 = 1.0;
/// Increase of that number at weight 0.
const TARGET_RANGE: f64 = 25.0;
/// Maximum of that number. Above it, packed endpoints spill so many requests that the
/// disturbance of the other endpoints outweighs the gain.
const MAX_TARGET: f64 = 11.0;
/// Fraction of the endpoints that is never packed at weight 0, so that batch work always
/// makes progress.
const UNPACKED_SHARE: f64 = 0.6;

/// How densely online requests are packed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Packing {
    /// Target number of concurrent online requests per packed endpoint.
    pub target: f64,
    /// Fraction of the endpoints that is never packed.
    pub unpacked: f64,
}

impl Packing {
    /// Returns the packing at a weight from 0 (batch throughput) to 100 (online tail
    /// latency), or `None` at 100, where requests are spread over all endpoints.
    pub fn new(latency_weight: u32) -> Option<Self> {
        if latency_weight >= 100 {
            return None;
        }
        let slack = f64::from(100 - latency_weight) / 100.0;
        Some(Self {
            target: (MIN_TARGET + TARGET_RANGE * slack).min(MAX_TARGET),
            unpacked: UNPACKED_SHARE * slack,
        })
    }

    /// Number of endpoints, out of `count`, that `online` concurrent requests need.
    pub fn endpoints_needed(&self, online: f64, count: usize) -> usize {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Not negative.
        let (wanted, unpacked) = (
            (online / self.target).ceil().max(1.0) as usize,
            (count as f64 * self.unpacked) as usize,
        );
        wanted.min(count - unpacked.min(count.saturating_sub(1)))
    }
}

/// Returns the order in which endpoints are packed. It depends on names only, so that
/// all gateways agree without communication, and it alternates between zones, so that
/// most packed endpoints survive the loss of a zone.
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
    let mut rounds: Vec<(usize, u64, u32)> = ranked
        .into_iter()
        .map(|(rank, at)| {
            let (_, zone) = name_and_zone(at);
            let round = if let Some((_, count)) = zones.iter_mut().find(|(z, _)| *z == zone) {
                *count += 1;
                *count
            } else {
                zones.push((zone, 0));
                0
            };
            (round, rank, at)
        })
        .collect();
    rounds.sort_unstable();
    rounds.into_iter().map(|(_, _, at)| at).collect()
}
