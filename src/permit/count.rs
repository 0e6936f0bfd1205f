//! Counting of requests of organisations that have a limit.
//!
//! The coordinator of the organisation's shard is queried while the slot is acquired, in
//! datagrams of the same kind, so counting adds no latency. A coordinator that does not
//! answer is skipped like the owner of a pool. If the next ones do not answer either,
//! this node enforces its own share of the limit.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::attempts::Attempts;
use super::owner::Choice;
use super::{ANSWER_TIMEOUT, Broker};
use crate::catalog::keyring::Organisation;
use crate::clock::Time;
use crate::event;
use crate::limit::coordinator::{self, Answer, Decision, Hint};
use crate::limit::witness::Overdue;
use crate::limit::{self, Rate};
use crate::name::Name;
use crate::pool::message::{MAX_LEVELS, Request};

/// Number of silent coordinators after which this node decides locally. What it admits
/// comes on top of what a coordinator admits that other nodes still reach.
const MAX_SILENT_COORDINATORS: u32 = 3;

/// A request of an organisation that has a limit.
#[derive(Clone, Debug)]
pub struct Limited {
    /// The organisation.
    pub organisation: Arc<Organisation>,
    /// Its limit.
    pub rate: Rate,
    /// Version of the configuration that sets the limit.
    pub version: u64,
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Its organisation is over its limit; retry after this delay.
    Over(Duration),
    /// Whether the limit is exceeded can't be determined now.
    Unsettled,
}

pub(super) struct Counting {
    limited: Limited,
    shard: Name,
    reply: oneshot::Sender<Result<Option<SocketAddr>, Denial>>,
    attempts: Attempts,
}

/// A counted request. It is refunded on drop unless it is spent, since requests that
/// did not run do not count.
pub struct Token {
    broker: Rc<Broker>,
    seq: u64,
    limited: Limited,
    coordinator: Option<SocketAddr>,
    spent: bool,
}

impl Token {
    /// Records whether the request may have run.
    pub fn spend(&mut self, may_have_run: bool) {
        self.spent = may_have_run;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if let Some(coordinator) = self.coordinator
            && !self.spent
        {
            self.broker
                .send_refund(coordinator, self.seq, &self.limited);
        }
    }
}

/// Refunds a request when its future is dropped before the answer, since it may already
/// be counted.
struct Withdraw<'a> {
    broker: &'a Rc<Broker>,
    seq: u64,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        let Some(counting) = self.broker.counting.borrow_mut().remove(&self.seq) else {
            return;
        };
        let coordinator = self.broker.owners.borrow_mut().owner(&counting.shard);
        if let Some(coordinator) = coordinator {
            self.broker
                .send_refund(coordinator, self.seq, &counting.limited);
        }
    }
}

impl Broker {
    /// True when a request must be counted before a slot is acquired, because its
    /// organisation was recently over its limit.
    pub fn was_over_limit(&self, limited: &Limited) -> bool {
        let now = self.clock.now();
        self.meter
            .borrow()
            .was_over_limit(now, &limited.organisation.name)
    }

    /// Counts a request. Dropping the future withdraws it.
    ///
    /// # Errors
    /// [`Denial`] when it may not run.
    pub async fn count(self: &Rc<Self>, limited: Limited) -> Result<Token, Denial> {
        let now = self.clock.now();
        let organisation = limited.organisation.name.clone();
        if let Some(wait) = self.meter.borrow_mut().exhausted_for(now, &organisation) {
            return Err(Denial::Over(wait));
        }
        let seq = self.next_seq.get();
        self.next_seq.set(seq + 1);
        let (reply, answer) = oneshot::channel();
        let mut counting = Counting {
            limited: limited.clone(),
            shard: limit::shard_name(&organisation),
            reply,
            attempts: Attempts::new(now),
        };
        self.send_count(now, seq, &mut counting);
        self.counting.borrow_mut().insert(seq, counting);
        self.activity.notify_one();
        let withdraw = Withdraw { broker: self, seq };
        // The sender is dropped only with the broker.
        let coordinator = answer.await.unwrap_or(Ok(None))?;
        drop(withdraw);
        Ok(Token {
            broker: Rc::clone(self),
            seq,
            limited,
            coordinator,
            spent: false,
        })
    }

    /// Handles the answer of a coordinator.
    pub(super) fn handle_count(&self, now: Time, from: SocketAddr, seq: u64, answer: Answer) {
        let Some(counting) = self.counting.borrow_mut().remove(&seq) else {
            return;
        };
        let organisation = &counting.limited.organisation.name;
        self.meter
            .borrow_mut()
            .record_answer(now, organisation, from, answer);
        let result = match answer.decision {
            Decision::Isolated(nodes) => self.decide_locally(now, &counting.limited, nodes),
            Decision::Allow => Ok(Some(from)),
            Decision::Deny(wait) => Err(Denial::Over(wait)),
            Decision::Unsettled => Err(Denial::Unsettled),
        };
        let passed = result.is_ok();
        if counting.reply.send(result).is_err() && passed {
            self.send_refund(from, seq, &counting.limited);
        }
    }

    /// Repeats unanswered requests, and switches to the next coordinator after several
    /// attempts.
    pub(super) fn repeat_counts(&self, now: Time) {
        let mut exhausted = Vec::new();
        for (seq, counting) in self.counting.borrow_mut().iter_mut() {
            let Some(due) = counting
                .attempts
                .due(now, ANSWER_TIMEOUT, MAX_SILENT_COORDINATORS)
            else {
                continue;
            };
            if let Some(coordinator) = due.silent {
                self.mark_silent(now, coordinator);
            }
            if due.give_up {
                exhausted.push(*seq);
            } else {
                self.send_count(now, *seq, counting);
            }
        }
        for seq in exhausted {
            self.count_locally(now, seq);
        }
    }

    fn count_locally(&self, now: Time, seq: u64) {
        let Some(counting) = self.counting.borrow_mut().remove(&seq) else {
            return;
        };
        let nodes = self.view.read().usable().count();
        let result = self.decide_locally(now, &counting.limited, nodes);
        // Fails only if the requester is gone.
        let _ = counting.reply.send(result);
    }

    /// Admits requests up to this node's share of the limit among `nodes` nodes.
    fn decide_locally(
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
        let choice = self.owners.borrow_mut().choose(&counting.shard);
        counting
            .attempts
            .record_send(now, choice.map(|choice| choice.owner));
        let Some(Choice {
            owner,
            passed_over,
            others_silent,
        }) = choice
        else {
            return;
        };
        if Some(owner.ip()) == self.own {
            self.ask_witness(now, &counting.shard);
        }
        let Limited {
            organisation,
            rate,
            version,
        } = &counting.limited;
        let hint = self.meter.borrow().hint(now, &organisation.name, owner);
        let count = coordinator::Query {
            organisation: organisation.name.clone(),
            rate: *rate,
            version: *version,
            hint,
            passed_over,
            others_silent,
        };
        self.send(owner, &Request::Count { seq, count });
    }

    /// Asks another candidate whether it is there, while this node counts its own requests. A
    /// candidate always finds a coordinator that answers, itself, and would not notice that it
    /// is isolated.
    fn ask_witness(&self, now: Time, shard: &Name) {
        let Some(own) = self.own else {
            return;
        };
        let witness = self.owners.borrow_mut().witness(shard, own);
        if let Some(witness) = witness
            && self.witnesses.borrow_mut().ask(now, witness)
        {
            self.send(witness, &Request::Probe);
        }
    }

    /// Asks witnesses again that have not answered, and passes over those that are silent.
    pub(super) fn repeat_witnesses(&self, now: Time) {
        let overdue = self.witnesses.borrow_mut().overdue(now);
        for overdue in overdue {
            match overdue {
                Overdue::Repeat(witness) => self.send(witness, &Request::Probe),
                Overdue::Silent(witness) => self.mark_silent(now, witness),
            }
        }
    }

    /// Tells a coordinator that is back the levels at those that counted meanwhile. Its own
    /// buckets have refilled, and it would let a second burst through before each gateway's next
    /// request.
    pub(super) fn send_levels(&self, now: Time, coordinator: SocketAddr) {
        let levels: Vec<(Name, Hint)> = {
            let meter = self.meter.borrow();
            let mut owners = self.owners.borrow_mut();
            let mut is_owner = |organisation: &Name| {
                owners.owner(&limit::shard_name(organisation)) == Some(coordinator)
            };
            let counted = meter.levels(now, coordinator);
            counted
                .filter(|(organisation, _)| is_owner(organisation))
                .map(|(organisation, hint)| (organisation.clone(), hint))
                .collect()
        };
        for some in levels.chunks(MAX_LEVELS) {
            let levels = some.to_vec();
            self.send(coordinator, &Request::Levels { levels });
        }
    }

    fn send_refund(&self, coordinator: SocketAddr, seq: u64, limited: &Limited) {
        let organisation = limited.organisation.name.clone();
        self.send(coordinator, &Request::Refund { seq, organisation });
    }
}
