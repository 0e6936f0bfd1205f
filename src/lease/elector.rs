//! Runs a [`Claim`]: reads and writes its row in the table.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::{Action, Claim, Held, Input, Setting};
use crate::clock::Clock;
use crate::event;
use crate::table::Table;

/// Interval between ticks of the claim.
const TICK: Duration = Duration::from_millis(200);

/// Contends for one lease on the control thread. Clones are handles to the same
/// claim.
#[derive(Debug)]
pub struct Elector<T> {
    inner: Rc<Inner<T>>,
}

#[derive(Debug)]
struct Inner<T> {
    table: T,
    clock: Clock,
    key: String,
    claim: RefCell<Claim>,
}

impl<T> Clone for Elector<T> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<T> Elector<T>
where
    T: Table + 'static,
{
    /// Creates an elector; [`Elector::run`] starts it.
    pub fn new(table: T, clock: Clock, setting: Setting) -> Self {
        Self {
            inner: Rc::new(Inner {
                table,
                clock,
                key: setting.key.clone(),
                claim: RefCell::new(Claim::new(clock.now(), setting)),
            }),
        }
    }

    /// Runs until the thread's runtime ends.
    pub async fn run(self) {
        loop {
            self.step(Input::Tick);
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Sets whether this node contends for the lease; ceasing to contend releases
    /// it.
    pub fn contend(&self, contend: bool) {
        self.step(Input::Contend(contend));
    }

    /// Returns the lease while it is valid.
    pub fn held(&self) -> Option<Held> {
        self.inner.claim.borrow().held(self.inner.clock.now())
    }

    fn step(&self, input: Input) {
        let mut actions = Vec::new();
        let now = self.inner.clock.now();
        self.inner.claim.borrow_mut().step(now, input, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        let elector = self.clone();
        let key = &self.inner.key;
        match action {
            Action::Read(token) => {
                actix_rt::spawn(async move {
                    let result = elector.inner.table.get(&elector.inner.key).await;
                    elector.step(Input::Read { token, result });
                });
            }
            Action::Write(token, transaction) => {
                actix_rt::spawn(async move {
                    let result = elector.inner.table.transact(transaction).await;
                    elector.step(Input::Wrote { token, result });
                });
            }
            Action::Gained(epoch) => {
                log::info!("{} lease={key} epoch={epoch}", event::LEASE_GAINED);
            }
            Action::Lost(epoch) => {
                log::warn!("{} lease={key} epoch={epoch}", event::LEASE_LOST);
            }
        }
    }
}
