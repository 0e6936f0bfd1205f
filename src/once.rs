//! Marks of online requests that must run at most once.
//!
//! A mark is a row that is inserted before the request reaches an endpoint, and
//! only if no row is there. Whoever finds one does not run the request. Marks
//! that are wanted at the same time go into one transaction, so that a burst of
//! such requests costs the table few of them. docs/design/once.md weighs where a
//! mark can be kept. Batch items have their marks in their lane's row instead,
//! see [`crate::job::lane`].

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::job::key;
use crate::name::{self, Name};
use crate::outcome::{Reason, Refusal};
use crate::table::{Expect, Fault, Table, Transaction};

mod group;

pub use group::{Group, Status, Step};

/// When to come back after the platform's answer was lost for good.
const LOST_ANSWER_WAIT: Duration = Duration::from_secs(1);

/// Identity of a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Who asks.
    pub organisation: Name,
    /// The caller's key.
    pub key: Name,
}

impl Key {
    /// The mark's row.
    pub fn row(&self) -> String {
        format!("once/{}/{}", self.organisation, self.key)
    }
}

/// Inserts marks. One for each thread; clones share its queue.
#[derive(Debug)]
pub struct Marks<T> {
    table: Rc<T>,
    owner: Name,
    queue: Rc<RefCell<Queue>>,
}

impl<T> Clone for Marks<T> {
    fn clone(&self) -> Self {
        Self {
            table: self.table.clone(),
            owner: self.owner.clone(),
            queue: self.queue.clone(),
        }
    }
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Waiting>,
    busy: bool,
    drawn: u64,
}

#[derive(Debug)]
struct Waiting {
    row: String,
    reply: oneshot::Sender<(Status, String)>,
}

/// A mark that is one's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark {
    row: String,
    token: String,
}

impl<T> Marks<T>
where
    T: Table + 'static,
{
    /// Marks on behalf of `owner`, which must be unique for each thread of each
    /// start of a process: a mark that carries it is known to be one's own.
    pub fn new(owner: Name, table: T) -> Self {
        Self {
            table: Rc::new(table),
            owner,
            queue: Rc::default(),
        }
    }

    /// Inserts the mark; the request may be sent only after this returned well.
    ///
    /// Nothing is sent by this call itself, so every refusal means that this
    /// request has not run on account of it.
    ///
    /// # Errors
    /// [`Reason::Invalid`] when the key can't name a row;
    /// [`Reason::AlreadyRun`] when it has a mark; [`Reason::Platform`] when
    /// the table can't be reached. After a lost answer that could not be resolved
    /// the mark may be there, so that coming back with the same key may be told
    /// that it was used: nobody runs it then, which is what was promised.
    pub async fn mark(&self, key: &Key) -> Result<Mark, Refusal> {
        for name in [&key.organisation, &key.key] {
            if !name::is_valid(name) {
                let message = format!("{name:?} can't be part of a key");
                return Err(Refusal::new(Reason::Invalid).with_message(message));
            }
        }
        let (reply, status) = oneshot::channel();
        self.queue.borrow_mut().waiting.push_back(Waiting {
            row: key.row(),
            reply,
        });
        self.work();
        let (status, token) = status.await.unwrap_or((Status::Unknown, String::new()));
        match status {
            Status::Marked => Ok(Mark {
                row: key.row(),
                token,
            }),
            Status::Exists => Err(Refusal::new(Reason::AlreadyRun)),
            Status::Refused(wait) => Err(Refusal::new(Reason::Platform).after(wait)),
            Status::Unknown => Err(Refusal::new(Reason::Platform)
                .after(LOST_ANSWER_WAIT)
                .with_message(
                    "the mark's answer was lost; it was not run, and its key may be used up",
                )),
        }
    }

    /// Starts the task that empties the queue, unless one is under way.
    fn work(&self) {
        if std::mem::replace(&mut self.queue.borrow_mut().busy, true) {
            return;
        }
        let marks = self.clone();
        // A task of its own, so that a caller who goes away does not leave the
        // others of its group without their answer.
        actix_rt::spawn(async move {
            while let Some(group) = marks.take() {
                marks.insert(group).await;
            }
            marks.queue.borrow_mut().busy = false;
        });
    }

    fn take(&self) -> Option<Vec<(Waiting, String)>> {
        let mut queue = self.queue.borrow_mut();
        if queue.waiting.is_empty() {
            return None;
        }
        let count = queue.waiting.len().min(group::MAX_MARKS);
        let waiting: Vec<Waiting> = queue.waiting.drain(..count).collect();
        let mut group = Vec::new();
        for waiting in waiting {
            queue.drawn += 1;
            group.push((waiting, format!("{}/{}", self.owner, queue.drawn)));
        }
        Some(group)
    }

    async fn insert(&self, waiting: Vec<(Waiting, String)>) {
        let marks = waiting
            .iter()
            .map(|(waiting, token)| (waiting.row.clone(), token.clone()));
        let mut group = Group::new(marks);
        while let Some(open) = group.open() {
            let transaction = open
                .iter()
                .fold(Transaction::default(), |all, (row, token)| {
                    all.check(row, Expect::Absent).put(row, token.clone())
                });
            let answer = self.table.transact(transaction).await;
            if let Step::Read(row) = group.apply_answer(&answer) {
                let found = self.table.get(&row).await;
                group.apply_row(&row, &found.map(|row| row.map(|row| row.value)));
            }
        }
        for ((waiting, token), status) in waiting.into_iter().zip(group.statuses()) {
            let _ = waiting.reply.send((status, token));
        }
    }

    /// Removes a mark of one's own whose request surely did not run, so that its
    /// caller can come back with the same key.
    ///
    /// Only the very row that was inserted goes: a removal that arrives late,
    /// or twice, would otherwise take away the mark of the caller's next try
    /// while that runs, and a third could run beside it.
    ///
    /// # Errors
    /// [`Fault`]; the key then stays used up, which is safe.
    pub async fn unmark(&self, mark: &Mark) -> Result<(), Fault> {
        let Some(row) = self.table.get(&mark.row).await? else {
            return Ok(());
        };
        if *row.value != *mark.token.as_bytes() {
            return Ok(());
        }
        let removal = Transaction::default()
            .check(mark.row.clone(), Expect::Version(row.version))
            .delete(mark.row.clone());
        self.table.transact(removal).await?;
        Ok(())
    }
}

/// A name for the owner of marks that no other start of a process has.
pub fn owner(node: &str, started_ms: u64, thread: usize) -> Name {
    format!(
        "{node}-{}-{thread}",
        key::hex(&started_ms.to_be_bytes(), 16)
    )
    .into()
}
