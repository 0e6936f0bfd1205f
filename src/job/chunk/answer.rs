//! What becomes of an item that came back from its endpoint.

use std::time::Duration;

use super::{Chunk, Phase};
use crate::clock::Time;
use crate::job::End;
use crate::job::segment::Attempt;
use crate::outcome::{Reason, Refusal};
use crate::request::Answer;

/// Shortest and longest wait before an item is sent again.
const MIN_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Wait when a refusal names none, and after an item failed alone.
const RETRY_WAIT: Duration = Duration::from_millis(500);

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
        let wait = refusal.retry_after.unwrap_or(RETRY_WAIT);
        self.unsend(number, now + wait.clamp(MIN_WAIT, MAX_WAIT));
    }

    /// An attempt that does not count. When it was recorded, the log is told.
    pub(super) fn unsend(&mut self, number: u32, from: Time) {
        let Some(slot) = self.slot(number) else {
            return;
        };
        slot.sent -= 1;
        slot.phase = Phase::Waiting(from);
        if slot.alone {
            slot.tries = slot.tries.saturating_sub(1);
            let count = slot.tries;
            self.unwritten.attempts.push(Attempt { number, count });
        }
    }

    pub(super) fn doubtful(&mut self, now: Time, number: u32, refusal: &Refusal) {
        if self.once {
            self.reply(number, End::MayHaveRun, refusal.to_string(), 0);
            return;
        }
        let bound = self.bound;
        let Some(slot) = self.slot(number) else {
            return;
        };
        if slot.alone && slot.tries >= bound {
            let text = format!("failed {bound} times on its own; last: {refusal}");
            self.reply(number, End::Failed, text, 0);
            return;
        }
        slot.alone = true;
        slot.phase = Phase::Waiting(now + RETRY_WAIT);
        let count = slot.tries;
        self.unwritten.attempts.push(Attempt { number, count });
    }
}
