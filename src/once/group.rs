//! State of marks that are inserted by one transaction.

use std::time::Duration;

use bytes::Bytes;

use crate::table::Fault;

/// Limit on the marks of one transaction.
pub const MAX_MARKS: usize = 64;
/// Number of lost answers after which the pending marks of a group are abandoned.
const MAX_LOST_ANSWERS: u32 = 5;

/// Result of inserting a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The mark was inserted by this node: the request may be sent.
    Marked,
    /// Another mark of the same key existed before.
    Exists,
    /// The mark was not inserted and will not be; retry after this delay.
    Refused(Duration),
    /// The mark may exist. The request must not be sent.
    Unknown,
}

/// Next step of the insertion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Continue with [`Group::pending`].
    Continue,
    /// Read this row, and pass its value to [`Group::apply_row`].
    Read(String),
}

/// Marks that are inserted by one transaction.
#[derive(Clone, Debug)]
pub struct Group {
    marks: Vec<Mark>,
    lost: u32,
}

#[derive(Clone, Debug)]
struct Mark {
    row: String,
    token: String,
    status: Option<Status>,
}

impl Group {
    /// Creates a group from row keys, each with a token that is unique to this insertion.
    ///
    /// Several marks of the same row belong to requests with the same key: the first may be
    /// sent, the others may not.
    pub fn new<M>(marks: M) -> Self
    where
        M: IntoIterator<Item = (String, String)>,
    {
        let mut group: Vec<Mark> = Vec::new();
        for (row, token) in marks {
            let taken = group.iter().any(|mark| mark.row == row);
            group.push(Mark {
                row,
                token,
                status: taken.then_some(Status::Exists),
            });
        }
        Self {
            marks: group,
            lost: 0,
        }
    }

    /// Returns the marks that are still to be inserted, if any.
    pub fn pending(&self) -> Option<Vec<(String, String)>> {
        let pending = self.marks.iter().filter(|mark| mark.status.is_none());
        let pending: Vec<_> = pending
            .map(|mark| (mark.row.clone(), mark.token.clone()))
            .collect();
        (!pending.is_empty()).then_some(pending)
    }

    /// Applies the answer to the transaction of all pending marks.
    pub fn apply_answer(&mut self, answer: &Result<u64, Fault>) -> Step {
        match answer {
            Ok(_) => self.settle(Status::Marked),
            Err(Fault::Conflict { key, .. }) => return Step::Read(key.clone()),
            Err(Fault::Refused { retry_after }) if self.lost == 0 => {
                self.settle(Status::Refused(*retry_after));
            }
            // An earlier attempt may have taken effect, so this refusal does not prove that the
            // mark is absent.
            Err(Fault::Refused { .. }) => self.settle(Status::Unknown),
            Err(Fault::Unknown) => {
                self.lost += 1;
                if self.lost >= MAX_LOST_ANSWERS {
                    self.settle(Status::Unknown);
                }
            }
        }
        Step::Continue
    }

    /// Applies the value of the row that was in conflict.
    pub fn apply_row(&mut self, row: &str, found: &Result<Option<Bytes>, Fault>) {
        let Some(mark) = self
            .marks
            .iter_mut()
            .find(|mark| mark.row == row && mark.status.is_none())
        else {
            return;
        };
        mark.status = match found {
            // An earlier attempt of this group, whose answer was lost.
            Ok(Some(value)) if **value == *mark.token.as_bytes() => Some(Status::Marked),
            Ok(Some(_)) => Some(Status::Exists),
            // The mark was removed meanwhile; the next attempt decides.
            Ok(None) => None,
            Err(_) => Some(Status::Unknown),
        };
    }

    /// Returns the results, in the order of the marks.
    pub fn statuses(&self) -> impl Iterator<Item = Status> {
        self.marks
            .iter()
            .map(|mark| mark.status.unwrap_or(Status::Unknown))
    }

    fn settle(&mut self, status: Status) {
        for mark in &mut self.marks {
            mark.status = mark.status.or(Some(status));
        }
    }
}
