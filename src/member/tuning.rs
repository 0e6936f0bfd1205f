//! Intervals and limits of the membership protocol.
//!
//! docs/design/members.md gives the measurements behind the defaults.

use std::time::Duration;

/// Intervals and limits; all nodes of a fleet must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Interval between steps of the protocol when no datagram arrives.
    pub tick: Duration,
    /// Interval between gossip messages while updates are pending.
    pub gossip_interval: Duration,
    /// Number of peers that each gossip round sends to.
    pub fanout: usize,
    /// Interval between probes; each probes one member.
    pub probe_interval: Duration,
    /// Time to wait for an answer before requesting indirect probes.
    pub probe_timeout: Duration,
    /// Number of peers that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Minimum time for a suspect member to refute the suspicion.
    pub min_suspicion: Duration,
    /// Interval between anti-entropy syncs with a live peer.
    pub sync_interval: Duration,
    /// Interval between attempts to contact an address that should belong to a
    /// member but does not.
    pub reconnect_interval: Duration,
    /// Interval between join attempts of a node without peers.
    pub join_interval: Duration,
    /// How long a dead member is kept and contacted again. Network partitions
    /// between regions last up to an hour; a node that returns within this time
    /// is rediscovered.
    pub dead_retention: Duration,
    /// How long a note is kept to detect duplicates.
    pub note_retention: Duration,
    /// Bytes per second for gossip and syncs. Probes are exempt, because a
    /// delayed probe would make its target look dead.
    pub byte_rate: u64,
    /// Burst of `byte_rate` in bytes.
    pub burst: u64,
    /// Bytes per second for direct messages, separate from `byte_rate`; messages
    /// above it are dropped.
    pub direct_rate: u64,
    /// Burst of `direct_rate` in bytes.
    pub direct_burst: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            gossip_interval: Duration::from_millis(200),
            fanout: 3,
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            min_suspicion: Duration::from_secs(3),
            sync_interval: Duration::from_secs(10),
            reconnect_interval: Duration::from_secs(3),
            join_interval: Duration::from_secs(1),
            dead_retention: Duration::from_secs(3 * 3_600),
            note_retention: Duration::from_secs(600),
            byte_rate: 5_000,
            burst: 48_000,
            direct_rate: 7_000,
            direct_burst: 28_000,
        }
    }
}

/// Transmissions of an update for each doubling of the fleet size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;

impl Tuning {
    /// Returns how often a node sends the same update in a fleet of `members`.
    pub fn retransmit_limit(&self, members: usize) -> u32 {
        TRANSMISSIONS_PER_DOUBLING * doublings(members)
    }

    /// Returns the suspicion timeout in a fleet of `members`. It grows with the
    /// number of gossip rounds that a suspicion and its refutation need.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        self.min_suspicion
            .max(self.probe_interval * doublings(members))
    }

    /// Returns the gap between two steps above which this process is considered
    /// to have been paused.
    pub fn pause_threshold(&self) -> Duration {
        self.tick * 5
    }

    /// Returns how long a node without any incoming datagram attributes failed
    /// probes to its own network.
    pub fn isolation_timeout(&self, members: usize) -> Duration {
        self.suspicion_timeout(members) * 3
    }
}

/// Returns how often a fleet of one must double to reach `members`, at least 1.
fn doublings(members: usize) -> u32 {
    (usize::BITS - members.leading_zeros()).max(1)
}
