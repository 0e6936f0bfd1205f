//! What became of marks that were inserted by one transaction.

use std::time::Duration;

use bytes::Bytes;

use crate::table::Fault;

/// Most marks of one transaction.
pub const MAX_MARKS: usize = 64;
/// Lost answers after which the rest of a group is given up.
const MAX_LOST: u32 = 5;

/// What became of one mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It is there, and ours: the request may be sent.
    Marked,
    /// Another one was there before.
    Exists,
    /// It is not there and will not be; come back after this long.
    Refused(Duration),
    /// It may be there. Nobody may send the request.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Go on with [`Group::open`].
    Continue,
    /// Read this row, and tell what it has.
    Read(String),
}

/// Marks that are inserted together.
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
    /// A group of rows with the token that tells each from everybody else's.
    ///
    /// Two marks of the same row in one group are two requests with the same
    /// key: the first may be sent, the others may not.
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

    /// The marks to insert next, if any is left.
    pub fn open(&self) -> Option<Vec<(String, String)>> {
        let open = self.marks.iter().filter(|mark| mark.status.is_none());
        let open: Vec<_> = open
            .map(|mark| (mark.row.clone(), mark.token.clone()))
            .collect();
        (!open.is_empty()).then_some(open)
    }

    /// Takes the answer to the transaction of all open marks.
    pub fn apply_answer(&mut self, answer: &Result<u64, Fault>) -> Step {
        match answer {
            Ok(_) => self.settle(Status::Marked),
            Err(Fault::Conflict { key, .. }) => return Step::Read(key.clone()),
            Err(Fault::Refused { retry_after }) if self.lost == 0 => {
                self.settle(Status::Refused(*retry_after));
            }
            // An earlier try may have taken effect, so the refusal of this one
            // does not say that the mark is not there.
            Err(Fault::Refused { .. }) => self.settle(Status::Unknown),
            Err(Fault::Unknown) => {
                self.lost += 1;
                if self.lost >= MAX_LOST {
                    self.settle(Status::Unknown);
                }
            }
        }
        Step::Continue
    }

    /// Takes what the row has whose mark was in conflict.
    pub fn apply_row(&mut self, row: &str, found: &Result<Option<Bytes>, Fault>) {
        let Some(mark) = self
            .marks
            .iter_mut()
            .find(|mark| mark.row == row && mark.status.is_none())
        else {
            return;
        };
        mark.status = match found {
            // Our own earlier try, whose answer was lost.
            Ok(Some(value)) if **value == *mark.token.as_bytes() => Some(Status::Marked),
            Ok(Some(_)) => Some(Status::Exists),
            // It was removed meanwhile; the next try decides.
            Ok(None) => None,
            Err(_) => Some(Status::Unknown),
        };
    }

    /// The fates, in the order of the marks.
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
