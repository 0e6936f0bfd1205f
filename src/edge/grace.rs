//! For how long callers may hold a node's address, and so for how long a node
//! that leaves goes on serving them.
//!
//! Callers keep an answer of the directory for the time that it names, and some
//! of them three times as long. A node that ends sooner would cut them off, or
//! show as a refused connection; one that serves them until the very end of its
//! grace would be killed in the middle of their last answers.

use std::time::Duration;

use crate::site::Bounds;

/// Callers keep the directory's answer up to so many times as long as it says.
const KEPT_TIMES: u32 = 3;
/// The time that an answer of the directory names where the grace allows it:
/// callers hear of new and lost nodes within it, at half a question a second of
/// each of them.
const TTL: Duration = Duration::from_secs(2);
/// The shortest such time; below it callers would ask all the time.
const LEAST_TTL: Duration = Duration::from_millis(200);
/// Until every other node's directory leaves a leaving node out; gossip takes
/// some 0.2 s.
const NEWS: Duration = Duration::from_millis(300);
/// What is left of the grace when the process ends by itself.
const GRACE_LEFT: Duration = Duration::from_millis(500);
/// What the last requests need that a leaving node takes. Streams of 34 events
/// of 20 ms take 0.7 s.
const LAST_REQUESTS: Duration = Duration::from_millis(1_200);

/// For how long callers may keep an answer of the directory.
pub fn directory_ttl(bounds: &Bounds) -> Duration {
    let spent = GRACE_LEFT + LAST_REQUESTS + NEWS;
    let fits = bounds.grace.saturating_sub(spent) / KEPT_TIMES;
    TTL.min(fits).max(LEAST_TTL).min(bounds.directory_ttl)
}

/// How long after its stop began a leaving node still takes requests.
pub fn drain_time(bounds: &Bounds) -> Duration {
    (directory_ttl(bounds) * KEPT_TIMES + NEWS).min(exit_time(bounds))
}

/// How long after its stop began a process ends, whatever is still open.
pub fn exit_time(bounds: &Bounds) -> Duration {
    bounds.grace.saturating_sub(GRACE_LEFT)
}
