//! Restores a chunk from the logs of its earlier holders.

use super::{Chunk, Phase};
use crate::job::End;
use crate::job::segment::Entry;

impl Chunk {
    /// Applies an entry of an earlier holder's log. It is not written again, because the lane's row
    /// keeps the reference to that log.
    pub(super) fn replay(&mut self, entry: &Entry) {
        for attempt in &entry.attempts {
            if let Some(slot) = self.slot(attempt.number) {
                slot.isolated = true;
                slot.isolated_attempts = attempt.count;
            }
        }
        for reply in &entry.replies {
            if let Some(slot) = self.slot(reply.number) {
                slot.phase = Phase::Finished;
                self.replies.entry(reply.number).or_insert(reply.clone());
            }
        }
    }

    /// Gives marked items without a result the result that they may have run. An earlier holder may
    /// have sent them, so they must not be sent again.
    pub(super) fn fail_marked(&mut self, marked: &[u32]) {
        for number in marked {
            if self.at_most_once && !self.replies.contains_key(number) {
                let text = "the node that had it was lost; it may have run".to_owned();
                self.reply(*number, End::MayHaveRun, text, 0);
            }
        }
    }

    /// Fails the items whose last allowed attempt crashed its VM.
    pub(super) fn fail_exhausted(&mut self) {
        let max_attempts = self.max_attempts;
        for number in self
            .numbers(|slot| slot.phase != Phase::Finished && slot.isolated_attempts >= max_attempts)
        {
            let text = format!("failed {max_attempts} times on its own; the node was lost last");
            self.reply(number, End::Failed, text, 0);
        }
    }
}
