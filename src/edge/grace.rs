//! How long callers may hold a node's address, and therefore how long a leaving node keeps
//! serving them.
//!
//! Callers cache a directory answer for its TTL, and some of them three times as long. A node
//! that exits earlier breaks their requests, or they see a refused connection; a node that
//! serves until the very end of its grace period is killed while its last answers are in
//! flight.

use std::time::Duration;

use crate::leave::Times;
use crate::site::Bounds;

/// Factor by which some callers exceed the TTL of a directory answer.
const MAX_TTL_FACTOR: u32 = 3;
/// TTL of a directory answer if the grace period allows it. Callers learn of new and lost nodes
/// within this time, at half a directory request per second each.
const PREFERRED_TTL: Duration = Duration::from_secs(2);
/// Shortest TTL; below it, callers would query the directory almost continuously.
const MIN_TTL: Duration = Duration::from_millis(200);
/// Time until every other node's directory omits a leaving node; gossip takes about 0.2 s.
const PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// Part of the grace period that remains when the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time before the exit that final answers have to reach their callers. The farthest callers are a
/// few milliseconds away.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Time to complete the last requests that a leaving node accepts. A stream of 34 events at 20
/// ms takes 0.7 s.
const COMPLETION_TIME: Duration = Duration::from_secs(1);

/// Returns how long callers may cache an answer of the directory.
pub fn directory_ttl(bounds: &Bounds) -> Duration {
    let reserved = EXIT_MARGIN + FLUSH_TIME + COMPLETION_TIME + PROPAGATION_DELAY;
    let max_ttl = bounds.grace.saturating_sub(reserved) / MAX_TTL_FACTOR;
    PREFERRED_TTL
        .min(max_ttl)
        .max(MIN_TTL)
        .min(bounds.directory_ttl)
}

/// Returns the time limits of a shutdown. The process exits before the grace period ends, even with
/// requests open.
pub fn times(bounds: &Bounds) -> Times {
    let exit = bounds.grace.saturating_sub(EXIT_MARGIN);
    let flush_grace = FLUSH_TIME.min(exit);
    Times {
        propagation: PROPAGATION_DELAY,
        address_ttl: directory_ttl(bounds) * MAX_TTL_FACTOR,
        limit: exit.saturating_sub(flush_grace),
        flush_grace,
        ..Times::default()
    }
}
