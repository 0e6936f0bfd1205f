//! Whether a request can still end before a leaving node exits.

use std::time::Duration;

use super::Relay;
use crate::clock::Time;

/// Time for a request to reach an endpoint, and another one if the first one fails.
const START_TIME: Duration = Duration::from_millis(200);
/// Factor by which an answer may be slower than the slowest recent one: endpoints slow down when
/// they get the requests of many nodes that leave.
const MAX_SLOWDOWN: f64 = 1.25;

/// What the rest of a leaving node's time allows a request.
pub(super) enum Allowance {
    /// It may wait until its own limits: the node is not leaving, or its answer has begun.
    Unlimited,
    /// It may wait this long for a slot and still end in time.
    Wait(Duration),
    /// It can't end in time.
    TooLate,
}

impl Relay {
    /// Returns what a request may do that has `left` until its deadline.
    pub(super) fn allowance(&self, now: Time, left: Duration) -> Allowance {
        let Some(cut_at) = self.node.cut_at.get() else {
            return Allowance::Unlimited;
        };
        if self.attempt.has_begun() {
            return Allowance::Unlimited;
        }
        let pace = self.node.pace.borrow();
        let estimate = pace.estimate(now, &self.call.service, self.call.max_tokens);
        let needed = left.min(estimate.mul_f64(MAX_SLOWDOWN) + START_TIME);
        match cut_at.since(now).checked_sub(needed) {
            Some(wait) => Allowance::Wait(wait),
            None => Allowance::TooLate,
        }
    }

    /// Returns true if a request that was granted a slot can't end in time any more, because it
    /// waited long for the slot: a node that no pool answers grants late.
    pub(super) fn is_too_late_to_send(&self) -> bool {
        let now = self.node.clock.now();
        let left = self.attempt.deadline().since(now);
        matches!(self.allowance(now, left), Allowance::TooLate)
    }

    /// Returns true if an answer that begins `first` after its grant can't end before this node cuts
    /// open requests. A final answer in its place lets the caller send the request again at once.
    pub(super) fn is_too_late_to_answer(&self, now: Time, first: Duration) -> bool {
        let Some(cut_at) = self.node.cut_at.get() else {
            return false;
        };
        let pace = self.node.pace.borrow();
        let rest = pace.estimate_rest(now, &self.call.service, self.call.max_tokens);
        // An endpoint that was late may be late by as much once more.
        let late = first.saturating_sub(pace.estimate_first(now, &self.call.service));
        cut_at.since(now) < rest.mul_f64(MAX_SLOWDOWN) + late
    }

    /// Records how long an endpoint took from the grant to the beginning of a whole answer, and
    /// from there to its end.
    pub(super) fn record_pace(&self, now: Time, first: Duration, rest: Duration) {
        let service = &self.call.service;
        let mut pace = self.node.pace.borrow_mut();
        pace.record_first(now, service, first);
        pace.record_rest(now, service, self.call.max_tokens, rest);
    }
}
