//! Members that a node asks whether it is isolated, while it counts its own requests.
//!
//! A node that is itself a candidate for the coordinator of a limit always finds one that
//! answers. It would not notice that no other member answers, and count on its own what the
//! others count as well. While it counts its own requests, it therefore asks the other candidates
//! whether they are there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// Minimum interval between two questions to a member that answers.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an unanswered question is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// Number of questions without an answer after which a member is silent.
const MAX_UNANSWERED: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Asked {
    sent: Time,
    /// Questions since the last answer.
    unanswered: u32,
}

/// What to do about a question without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// The member is asked again.
    Repeat(SocketAddr),
    /// The member does not answer.
    Silent(SocketAddr),
}

/// The members that this node asks.
#[derive(Debug, Default)]
pub struct Witnesses {
    asked: HashMap<SocketAddr, Asked>,
}

impl Witnesses {
    /// Returns true when `member` is to be asked now.
    pub fn ask(&mut self, now: Time, member: SocketAddr) -> bool {
        let is_recent =
            |asked: &Asked| asked.unanswered > 0 || now.since(asked.sent) < ASK_INTERVAL;
        if self.asked.get(&member).is_some_and(is_recent) {
            return false;
        }
        let asked = Asked {
            sent: now,
            unanswered: 1,
        };
        self.asked.insert(member, asked);
        true
    }

    /// Records an answer of a member.
    pub fn record_answer(&mut self, member: SocketAddr) {
        if let Some(asked) = self.asked.get_mut(&member) {
            asked.unanswered = 0;
        }
    }

    /// Returns what to do at `now` about questions without an answer.
    pub fn overdue(&mut self, now: Time) -> Vec<Overdue> {
        let mut overdue = Vec::new();
        self.asked.retain(|member, asked| {
            let waits = now.since(asked.sent);
            if asked.unanswered == 0 {
                return waits < ASK_INTERVAL;
            }
            if waits < ANSWER_TIMEOUT {
                return true;
            }
            if asked.unanswered >= MAX_UNANSWERED {
                overdue.push(Overdue::Silent(*member));
                return false;
            }
            asked.sent = now;
            asked.unanswered += 1;
            overdue.push(Overdue::Repeat(*member));
            true
        });
        overdue
    }

    /// Returns when a question is overdue next, if any has no answer.
    pub fn next_overdue(&self) -> Option<Time> {
        let waiting = self.asked.values().filter(|asked| asked.unanswered > 0);
        waiting.map(|asked| asked.sent + ANSWER_TIMEOUT).min()
    }
}
