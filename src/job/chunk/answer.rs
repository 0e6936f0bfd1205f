//! Handles the outcome of an item from its endpoint.

use std::time::Duration;

use super::{Chunk, Phase};
use crate::clock::Time;
use crate::job::End;
use crate::job::segment::Attempt;
use crate::outcome::{Reason, Refusal};
use crate::request::Answer;

/// Shortest and longest delay before an item is sent again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Delay if a refusal gives none, and after an isolated item failed.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Chunk {
    pub(super) fn done(&mut self, number: u32, answer: Answer) {
        let tokens = answer.tokens;
        let text = if answer.text.is_empty() && !answer.body.is_empty() {
            String::from_utf8_lossy(&answer.body).into_owned()
        } else {
            answer.text
        };
        self.reply(number, End::Done, text, tokens);
    }

    pub(super) fn not_run(&mut self, now: Time, number: u32, refusal: &Refusal) {
        if matches!(refusal.reason, Reason::Invalid | Reason::TooLarge) {
            self.reply(number, End::Failed, refusal.to_string(), 0);
            return;
        }
        let wait = refusal.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
        self.requeue(number, now + wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY));
    }

    /// Queues an item whose attempt does not count. If the attempt was logged, the log is
    /// corrected.
    pub(super) fn requeue(&mut self, number: u32, from: Time) {
        let Some(slot) = self.slot(number) else {
            return;
        };
        slot.sent -= 1;
        slot.phase = Phase::Waiting(from);
        if slot.isolated {
            slot.isolated_attempts = slot.isolated_attempts.saturating_sub(1);
            let count = slot.isolated_attempts;
            self.unwritten.attempts.push(Attempt { number, count });
        }
    }

    pub(super) fn may_have_run(&mut self, now: Time, number: u32, refusal: &Refusal) {
        if self.at_most_once {
            self.reply(number, End::MayHaveRun, refusal.to_string(), 0);
            return;
        }
        let max_attempts = self.max_attempts;
        let Some(slot) = self.slot(number) else {
            return;
        };
        if slot.isolated && slot.isolated_attempts >= max_attempts {
            let text = format!("failed {max_attempts} times on its own; last: {refusal}");
            self.reply(number, End::Failed, text, 0);
            return;
        }
        slot.isolated = true;
        slot.phase = Phase::Waiting(now + DEFAULT_RETRY_DELAY);
        let count = slot.isolated_attempts;
        self.unwritten.attempts.push(Attempt { number, count });
    }
}
