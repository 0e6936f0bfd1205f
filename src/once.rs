//! Idempotency marks of online requests that must run at most once.
//!
//! A mark is a row for the request's idempotency key. It is inserted before the request is sent
//! to an endpoint, on condition that the row is absent; a request whose mark already exists is
//! not run. Marks that are requested at the same time are inserted by one transaction, so that
//! a burst of such requests needs few transactions. docs/design/once.md compares where a mark
//! can be stored. Batch items have their marks in their lane's row instead, see
//! [`crate::job::lane`].

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

/// Retry delay after the platform's answer was lost and could not be resolved.
const LOST_ANSWER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Idempotency key of a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The organisation that sent the request.
    pub organisation: Name,
    /// The caller's key.
    pub key: Name,
}

impl Key {
    /// Returns the key of the mark's row.
    pub fn row(&self) -> String {
        format!("once/{}/{}", self.organisation, self.key)
    }
}

/// Inserts marks. There is one per thread; clones share its queue.
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
    issued: u64,
}

#[derive(Debug)]
struct Waiting {
    row: String,
    reply: oneshot::Sender<(Status, String)>,
}

/// A mark that was inserted by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark {
    row: String,
    token: String,
}

impl<T> Marks<T>
where
    T: Table + 'static,
{
    /// Creates the marks of `owner`, which must be unique per thread and process start: it
    /// identifies the marks that this thread inserted.
    pub fn new(owner: Name, table: T) -> Self {
        Self {
            table: Rc::new(table),
            owner,
            queue: Rc::default(),
        }
    }

    /// Inserts a mark. The request may be sent only after this returned `Ok`.
    ///
    /// This call does not send the request itself, so after every refusal the request has not
    /// run because of this call.
    ///
    /// # Errors
    /// [`Reason::Invalid`] when the key is not a valid row key; [`Reason::AlreadyRun`] when its
    /// mark exists; [`Reason::Platform`] when the table can't be reached. After a lost answer
    /// that could not be resolved the mark may exist, so a retry with the same key may be
    /// refused as already run. The request then never runs, which "at most once" allows.
    pub async fn mark(&self, key: &Key) -> Result<Mark, Refusal> {
        for name in [&key.organisation, &key.key] {
            if !name::is_valid(name) {
                let message = format!(
                    "{name:?} can't be part of a key; use letters, digits, '-', '_', '.' or ':'"
                );
                return Err(Refusal::new(Reason::Invalid).with_message(message));
            }
        }
        let (reply, status) = oneshot::channel();
        self.queue.borrow_mut().waiting.push_back(Waiting {
            row: key.row(),
            reply,
        });
        self.start_worker();
        let (status, token) = status.await.unwrap_or((Status::Unknown, String::new()));
        match status {
            Status::Marked => Ok(Mark {
                row: key.row(),
                token,
            }),
            Status::Exists => Err(Refusal::new(Reason::AlreadyRun)),
            Status::Refused(wait) => Err(Refusal::new(Reason::Platform).after(wait)),
            Status::Unknown => Err(Refusal::new(Reason::Platform)
                .after(LOST_ANSWER_RETRY_DELAY)
                .with_message(
                    "the platform's answer was lost; the request was not run, but its key may be used up",
                )),
        }
    }

    /// Starts the task that drains the queue, unless it is already running.
    fn start_worker(&self) {
        if std::mem::replace(&mut self.queue.borrow_mut().busy, true) {
            return;
        }
        let marks = self.clone();
        // A separate task, so that a caller that disconnects does not leave the other marks of
        // its group without an answer.
        actix_rt::spawn(async move {
            while let Some(group) = marks.next_group() {
                marks.insert(group).await;
            }
            marks.queue.borrow_mut().busy = false;
        });
    }

    fn next_group(&self) -> Option<Vec<(Waiting, String)>> {
        let mut queue = self.queue.borrow_mut();
        if queue.waiting.is_empty() {
            return None;
        }
        let count = queue.waiting.len().min(group::MAX_MARKS);
        let waiting: Vec<Waiting> = queue.waiting.drain(..count).collect();
        let mut group = Vec::new();
        for waiting in waiting {
            queue.issued += 1;
            group.push((waiting, format!("{}/{}", self.owner, queue.issued)));
        }
        Some(group)
    }

    async fn insert(&self, waiting: Vec<(Waiting, String)>) {
        let marks = waiting
            .iter()
            .map(|(waiting, token)| (waiting.row.clone(), token.clone()));
        let mut group = Group::new(marks);
        while let Some(pending) = group.pending() {
            let transaction = pending
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

    /// Removes a mark of this node whose request certainly did not run, so that its caller can
    /// retry with the same key.
    ///
    /// Deletes only the version of the row that was inserted. Otherwise a removal that arrives
    /// late or twice could delete the mark of the caller's retry while that is running, and a
    /// further retry could run concurrently.
    ///
    /// # Errors
    /// [`Fault`]; the key then stays used, which is safe.
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

/// Returns an owner name that is unique per thread and process start.
pub fn owner(node: &str, started_ms: u64, thread: usize) -> Name {
    format!(
        "{node}-{}-{thread}",
        key::hex(&started_ms.to_be_bytes(), 16)
    )
    .into()
}
