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
    pub gossip: Duration,
    /// How many peers get news each time.
    pub fanout: usize,
    /// One member is probed in each period.
    pub period: Duration,
    /// How long an answer may take before others are asked to try.
    pub answer: Duration,
    /// How many others are asked to try.
    pub helpers: usize,
    /// Shortest time a suspected member has to say that it lives.
    pub suspicion: Duration,
    /// How often members are compared with a live peer.
    pub sync: Duration,
    /// How often an address that should be a member but isn't is tried.
    pub reconnect: Duration,
    /// How often a node without peers tries to find one.
    pub alone: Duration,
    /// How long a dead member is remembered and tried again. Regions lose each
    /// other for an hour; whoever comes back within this time is found.
    pub memory: Duration,
    /// How long a note is remembered, so that its echoes are known.
    pub note: Duration,
    /// Bytes a second that news and comparisons may take. Probes are not held
    /// back, since a probe that is late would look like a dead member.
    pub rate: u64,
    /// Bytes that may go out at once after a quiet time.
    pub burst: u64,
    /// Bytes a second that messages for single members may take, apart from
    /// `rate`; what is above it is dropped.
    pub direct: u64,
    /// Bytes of such messages that may go out at once after a quiet time.
    pub direct_burst: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            gossip: Duration::from_millis(200),
            fanout: 3,
            period: Duration::from_secs(1),
            answer: Duration::from_millis(300),
            helpers: 3,
            suspicion: Duration::from_secs(3),
            sync: Duration::from_secs(10),
            reconnect: Duration::from_secs(3),
            alone: Duration::from_secs(1),
            memory: Duration::from_secs(3 * 3_600),
            note: Duration::from_secs(600),
            rate: 5_000,
            burst: 48_000,
            direct: 7_000,
            direct_burst: 28_000,
        }
    }
}

/// Times that a rumour is sent for each doubling of the fleet.
const SENDS: u32 = 3;

impl Tuning {
    /// How often one node sends the same news in a fleet of `members`.
    pub fn sends(&self, members: usize) -> u32 {
        SENDS * doublings(members)
    }

    /// How long a suspected member has in a fleet of `members`; it grows with
    /// the number of rounds that the accusation and its answer need.
    pub fn suspicion(&self, members: usize) -> Duration {
        self.suspicion.max(self.period * doublings(members))
    }

    /// A step that comes later than this after the last one tells that this
    /// process was paused.
    pub fn pause(&self) -> Duration {
        self.tick * 5
    }

    /// Without any datagram for this long, a node stops excusing its probes
    /// with its own network.
    pub fn isolation(&self, members: usize) -> Duration {
        self.suspicion(members) * 3
    }
}

/// How often a fleet of one must double to reach `members`, at least once.
fn doublings(members: usize) -> u32 {
    (usize::BITS - members.leading_zeros()).max(1)
}
