//! The queue before one endpoint.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Action, End, Id, Input, Load, Offer, Setting};
use crate::clock::Time;
use crate::outcome::{Reason, Refusal};
use crate::request::Class;

/// Questions that may wait for each slot of the endpoint.
const ONLINE_QUEUE_FACTOR: usize = 2;
/// When a refused request should come back.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Admits work to one endpoint.
#[derive(Debug)]
pub struct Queue {
    setting: Setting,
    online: VecDeque<Offer>,
    batch: VecDeque<Offer>,
    running: BTreeMap<Id, Offer>,
}

impl Queue {
    /// An empty queue before an idle endpoint.
    pub fn new(_now: Time, setting: Setting) -> Self {
        Self {
            setting,
            online: VecDeque::new(),
            batch: VecDeque::new(),
            running: BTreeMap::new(),
        }
    }

    /// Takes one input and appends what must be done to `actions`.
    pub fn step(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Offer(offer) => self.offer(offer, actions),
            Input::Ended { id, end } => self.ended(id, end),
            Input::Withdraw { id } => self.withdraw(id, actions),
            Input::Setting(setting) => self.setting = setting,
            Input::Tokens { .. } | Input::Report(_) | Input::Tick => {}
        }
        self.expire(now, actions);
        self.admit(actions);
    }

    /// When the next [`Input::Tick`] is due, if nothing else happens before.
    pub fn wake(&self) -> Option<Time> {
        self.online.iter().map(|offer| offer.deadline).min()
    }

    /// How busy the endpoint is.
    pub fn load(&self) -> Load {
        let online = self.count(Class::Online);
        let batch = self.count(Class::Batch);
        let taken = online + batch + len(&self.batch) + len(&self.online);
        Load {
            online,
            batch,
            queued: len(&self.online),
            room: self.setting.slots.saturating_sub(taken),
            first_token_us: 0,
            slots: self.setting.slots,
        }
    }

    fn offer(&mut self, offer: Offer, actions: &mut Vec<Action>) {
        let bound = self.setting.slots as usize * ONLINE_QUEUE_FACTOR;
        let queue = match offer.class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        if self.setting.closed || queue.len() >= bound {
            let refusal = Refusal::new(Reason::Overloaded).after(RETRY_AFTER);
            actions.push(Action::Refuse {
                id: offer.id,
                refusal,
            });
            return;
        }
        queue.push_back(offer);
    }

    fn ended(&mut self, id: Id, end: End) {
        let Some(offer) = self.running.remove(&id) else {
            return;
        };
        if end == End::Stopped {
            self.batch.push_front(offer);
        }
    }

    fn withdraw(&mut self, id: Id, actions: &mut Vec<Action>) {
        self.online.retain(|offer| offer.id != id);
        self.batch.retain(|offer| offer.id != id);
        if self.running.remove(&id).is_some() {
            actions.push(Action::Stop { id });
        }
    }

    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.online.retain(|offer| {
            let live = now < offer.deadline;
            if !live {
                let refusal = Refusal::new(Reason::Deadline).after(RETRY_AFTER);
                actions.push(Action::Refuse {
                    id: offer.id,
                    refusal,
                });
            }
            live
        });
    }

    fn admit(&mut self, actions: &mut Vec<Action>) {
        while self.running.len() < self.setting.slots as usize {
            let Some(offer) = self.online.pop_front().or_else(|| self.batch.pop_front()) else {
                return;
            };
            actions.push(Action::Start { id: offer.id });
            self.running.insert(offer.id, offer);
        }
    }

    fn count(&self, class: Class) -> u32 {
        let count = self.running.values().filter(|o| o.class == class).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

fn len(queue: &VecDeque<Offer>) -> u32 {
    u32::try_from(queue.len()).unwrap_or(u32::MAX)
}
