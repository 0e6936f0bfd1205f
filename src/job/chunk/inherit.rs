//! What a holder takes over from the holders before it.

use super::{Chunk, Phase};
use crate::job::End;
use crate::job::segment::Entry;

impl Chunk {
    /// Takes over what an earlier holder logged. It is not written again: the
    /// earlier logs stay named in the lane's row.
    pub(super) fn inherit(&mut self, entry: &Entry) {
        for attempt in &entry.attempts {
            if let Some(slot) = self.slot(attempt.number) {
                slot.alone = true;
                slot.tries = attempt.count;
            }
        }
        for reply in &entry.replies {
            if let Some(slot) = self.slot(reply.number) {
                slot.phase = Phase::Over;
                self.replies.entry(reply.number).or_insert(reply.clone());
            }
        }
    }

    /// Marked items without a result may have been sent by a holder before this
    /// one, so they are never sent again and their results say so.
    pub(super) fn doubt(&mut self, marked: &[u32]) {
        for number in marked {
            if self.once && !self.replies.contains_key(number) {
                let text = "the node that had it was lost; it may have run".to_owned();
                self.reply(*number, End::MayHaveRun, text, 0);
            }
        }
    }

    /// Items whose last allowed attempt took its VM down.
    pub(super) fn give_up(&mut self) {
        let bound = self.bound;
        for number in self.numbers(|slot| slot.phase != Phase::Over && slot.tries >= bound) {
            let text = format!("failed {bound} times on its own; the node was lost last");
            self.reply(number, End::Failed, text, 0);
        }
    }
}
