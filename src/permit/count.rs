//! Counting requests of organisations that have a limit.
//!
//! The question goes to the keeper of the organisation's shard while the place is
//! looked for, in datagrams of the same kind: it adds no time. A keeper that does
//! not answer is passed over as a pool is; when the next one is silent too, this
//! node lets its own part of the limit through.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::tries::Tries;
use super::{ANSWER, Broker};
use crate::catalog::keyring::Organisation;
use crate::clock::Time;
use crate::event;
use crate::limit::coordinator::{self, Answer, Decision};
use crate::limit::{self, Rate};
use crate::name::Name;
use crate::pool::message::Request;

/// After so many silent keepers this node decides by itself. What it lets through
/// comes on top of what a keeper does that others still reach.
const MOST_PASSED: u32 = 3;

/// A request of an organisation that has a limit.
#[derive(Clone, Debug)]
pub struct Limited {
    /// The organisation.
    pub organisation: Arc<Organisation>,
    /// Its limit.
    pub rate: Rate,
    /// The version of the configuration that says so.
    pub version: u64,
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Its organisation is over its limit; so long until there is room.
    Over(Duration),
    /// Nobody can tell here now.
    Unsettled,
}

pub(super) struct Counting {
    limited: Limited,
    shard: Name,
    reply: oneshot::Sender<Result<Option<SocketAddr>, Denial>>,
    tries: Tries,
}

/// A request that is counted. Unless it is spent, it is given back when it is
/// dropped: what did not run does not count.
pub struct Token {
    desk: Rc<Broker>,
    seq: u64,
    limited: Limited,
    keeper: Option<SocketAddr>,
    spent: bool,
}

impl Token {
    /// Says whether the request may have run.
    pub fn spend(&mut self, may_have_run: bool) {
        self.spent = may_have_run;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if let Some(keeper) = self.keeper
            && !self.spent
        {
            self.desk.send_back(keeper, self.seq, &self.limited);
        }
    }
}

/// Withdraws a question whose asker has gone; it may be counted already.
struct Withdraw<'a> {
    desk: &'a Rc<Broker>,
    seq: u64,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        let Some(counting) = self.desk.counting.borrow_mut().remove(&self.seq) else {
            return;
        };
        let keeper = self.desk.owners.borrow_mut().owner(&counting.shard);
        if let Some(keeper) = keeper {
            self.desk.send_back(keeper, self.seq, &counting.limited);
        }
    }
}

impl Broker {
    /// True when a request is to be counted before a place is looked for.
    pub fn is_suspicious(&self, limited: &Limited) -> bool {
        let now = self.clock.now();
        self.meter
            .borrow()
            .was_over_limit(now, &limited.organisation.name)
    }

    /// Counts a request. Dropping the future withdraws.
    ///
    /// # Errors
    /// [`Denial`] when it may not run.
    pub async fn count(self: &Rc<Self>, limited: Limited) -> Result<Token, Denial> {
        let now = self.clock.now();
        let organisation = limited.organisation.name.clone();
        if let Some(wait) = self.meter.borrow_mut().exhausted_for(now, &organisation) {
            return Err(Denial::Over(wait));
        }
        let seq = self.next.get();
        self.next.set(seq + 1);
        let (reply, answer) = oneshot::channel();
        let mut counting = Counting {
            limited: limited.clone(),
            shard: limit::shard_name(&organisation),
            reply,
            tries: Tries::new(now),
        };
        self.send_count(now, seq, &mut counting);
        self.counting.borrow_mut().insert(seq, counting);
        let withdraw = Withdraw { desk: self, seq };
        // The sender is dropped only with the desk.
        let keeper = answer.await.unwrap_or(Ok(None))?;
        drop(withdraw);
        Ok(Token {
            desk: Rc::clone(self),
            seq,
            limited,
            keeper,
            spent: false,
        })
    }

    /// A keeper answered.
    pub(super) fn counted(&self, now: Time, from: SocketAddr, seq: u64, verdict: Answer) {
        let Some(counting) = self.counting.borrow_mut().remove(&seq) else {
            return;
        };
        let organisation = &counting.limited.organisation.name;
        self.meter
            .borrow_mut()
            .record_answer(now, organisation, from, verdict);
        let result = match verdict.decision {
            Decision::Isolated(nodes) => self.decide_alone(now, &counting.limited, nodes),
            Decision::Allow => Ok(Some(from)),
            Decision::Deny(wait) => Err(Denial::Over(wait)),
            Decision::Unsettled => Err(Denial::Unsettled),
        };
        let passed = result.is_ok();
        if counting.reply.send(result).is_err() && passed {
            self.send_back(from, seq, &counting.limited);
        }
    }

    /// Asks again what got no answer, the next keeper after a while.
    pub(super) fn repeat_counts(&self, now: Time) {
        let mut alone = Vec::new();
        for (seq, counting) in self.counting.borrow_mut().iter_mut() {
            let Some(due) = counting.tries.due(now, ANSWER, MOST_PASSED) else {
                continue;
            };
            if let Some(keeper) = due.silent {
                self.pass_over(now, keeper);
            }
            if due.alone {
                alone.push(*seq);
            } else {
                self.send_count(now, *seq, counting);
            }
        }
        for seq in alone {
            self.count_alone(now, seq);
        }
    }

    fn count_alone(&self, now: Time, seq: u64) {
        let Some(counting) = self.counting.borrow_mut().remove(&seq) else {
            return;
        };
        let nodes = self.view.read().usable().count();
        let result = self.decide_alone(now, &counting.limited, nodes);
        // A failure means that the asker has gone.
        let _ = counting.reply.send(result);
    }

    /// Lets this node's part of the limit through, one of `nodes`.
    fn decide_alone(
        &self,
        now: Time,
        limited: &Limited,
        nodes: usize,
    ) -> Result<Option<SocketAddr>, Denial> {
        let Limited {
            organisation, rate, ..
        } = limited;
        let chance = rand::random();
        let mut meter = self.meter.borrow_mut();
        let passed = meter.take_isolated(now, &organisation.name, *rate, nodes, chance);
        log::info!(
            "{} organisation={} nodes={nodes} passed={passed}",
            event::LIMIT_ALONE,
            organisation.name,
        );
        if passed {
            Ok(None)
        } else {
            Err(Denial::Unsettled)
        }
    }

    fn send_count(&self, now: Time, seq: u64, counting: &mut Counting) {
        let keeper = self.owners.borrow_mut().owner(&counting.shard);
        counting.tries.sending(now, keeper);
        let Some(keeper) = keeper else {
            return;
        };
        let Limited {
            organisation,
            rate,
            version,
        } = &counting.limited;
        let hint = self.meter.borrow().hint(now, &organisation.name, keeper);
        let count = coordinator::Query {
            organisation: organisation.name.clone(),
            rate: *rate,
            version: *version,
            hint,
        };
        self.send(keeper, &Request::Count { seq, count });
    }

    fn send_back(&self, keeper: SocketAddr, seq: u64, limited: &Limited) {
        let organisation = limited.organisation.name.clone();
        self.send(keeper, &Request::Refund { seq, organisation });
    }
}
