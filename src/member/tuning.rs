//! The intervals and bounds of membership, in one place.
//!
//! docs/design/members.md gives the measurements behind the defaults.

use std::time::Duration;

/// Intervals and bounds; the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// How often the shell steps the decision when nothing arrives.
    pub tick: Duration,
    /// How often news goes out while there is any.
    pub gossip_interval: Duration,
    /// How many peers get news each time.
    pub fanout: usize,
    /// One member is probed in each period.
    pub probe_interval: Duration,
    /// How long an answer may take before others are asked to try.
    pub probe_timeout: Duration,
    /// How many others are asked to try.
    pub indirect_probes: usize,
    /// Shortest time a suspected member has to say that it lives.
    pub min_suspicion: Duration,
    /// How often members are compared with a live peer.
    pub sync_interval: Duration,
    /// How often an address that should be a member but isn't is tried.
    pub reconnect_interval: Duration,
    /// How often a node without peers tries to find one.
    pub join_interval: Duration,
    /// How long a dead member is remembered and tried again. Regions lose each
    /// other for an hour; whoever comes back within this time is found.
    pub dead_retention: Duration,
    /// How long a note is remembered, so that its echoes are known.
    pub note_retention: Duration,
    /// Bytes a second that news and comparisons may take. Probes are not held
    /// back, since a probe that is late would look like a dead member.
    pub byte_rate: u64,
    /// Bytes that may go out at once after a quiet time.
    pub burst: u64,
    /// Bytes a second that messages for single members may take, apart from
    /// `rate`; what is above it is dropped.
    pub direct_rate: u64,
    /// Bytes of such messages that may go out at once after a quiet time.
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

/// Times that a rumour is sent for each doubling of the fleet.
const SENDS: u32 = 3;

impl Tuning {
    /// How often one node sends the same news in a fleet of `members`.
    pub fn retransmit_limit(&self, members: usize) -> u32 {
        SENDS * doublings(members)
    }

    /// How long a suspected member has in a fleet of `members`; it grows with
    /// the number of rounds that the accusation and its answer need.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        self.min_suspicion
            .max(self.probe_interval * doublings(members))
    }

    /// A step that comes later than this after the last one tells that this
    /// process was paused.
    pub fn pause_threshold(&self) -> Duration {
        self.tick * 5
    }

    /// Without any datagram for this long, a node stops excusing its probes
    /// with its own network.
    pub fn isolation_timeout(&self, members: usize) -> Duration {
        self.suspicion_timeout(members) * 3
    }
}

/// How often a fleet of one must double to reach `members`, at least once.
fn doublings(members: usize) -> u32 {
    (usize::BITS - members.leading_zeros()).max(1)
}
