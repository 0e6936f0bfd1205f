//! One node's copy of the index of open lanes of a service.
//!
//! Rows sort by organisation and due time. Reading starts at an organisation's earliest due time
//! and skips to the next organisation once enough free lanes were found. So the cost of looking for
//! work does not grow with the number of open jobs, and an organisation with very many jobs cannot
//! hide the others.

use std::collections::BTreeMap;

use super::key::{self, Id};
use super::lane::{Held, Lane};
use super::record;
use crate::name::Name;
use crate::table::{Page, Row};

/// Rows of one page, which costs one read.
pub const PAGE_ROWS: usize = 100;
/// Free lanes of one organisation after which the scan skips to the next one.
const MAX_FREE_PER_ORGANISATION: usize = 24;

/// An unfinished lane as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// Identity of its job.
    pub id: Id,
    /// Due time of the job.
    pub due_at_ms: u64,
    /// Index of the lane in the job.
    pub number: u32,
    /// The row's content.
    pub lane: Lane,
    /// The row itself.
    pub row: Row,
}

impl Open {
    /// Parses a row of the index; returns `None` if it is not one.
    pub fn parse(row: Row) -> Option<Self> {
        let mut parts = row.key.split('/').skip(2);
        let organisation = Name::from(parts.next()?);
        let due_at_ms = parts.next()?.parse().ok()?;
        let hash = Name::from(parts.next()?);
        let number = parts.next()?.parse().ok()?;
        let lane = record::decode(&row.value)?;
        let id = Id { organisation, hash };
        Some(Self {
            id,
            due_at_ms,
            number,
            lane,
            row,
        })
    }
}

/// Lanes seen recently, and the position of the scan.
#[derive(Clone, Debug)]
pub struct Index {
    service: Name,
    cursor: String,
    round: u64,
    lanes: BTreeMap<String, (u64, Open)>,
}

impl Index {
    /// Creates an empty index.
    pub const fn new(service: Name) -> Self {
        Self {
            service,
            cursor: String::new(),
            round: 0,
            lanes: BTreeMap::new(),
        }
    }

    /// Key after which to read the next page.
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    /// Adds the page that was read after [`Index::cursor`].
    pub fn add_page(&mut self, page: Page) {
        let last = page.rows.last().map(|row| row.key.clone());
        let mut free = 0;
        let mut organisation = Name::from("");
        for open in page.rows.into_iter().filter_map(Open::parse) {
            if open.id.organisation != organisation {
                organisation = open.id.organisation.clone();
                free = 0;
            }
            free += usize::from(open.lane.is_free());
            // More free lanes than can be claimed before the next read would only use memory. Held
            // lanes are kept, because they may have to be taken over.
            if free <= MAX_FREE_PER_ORGANISATION || !open.lane.held.is_empty() {
                self.lanes.insert(open.row.key.clone(), (self.round, open));
            }
        }
        match last {
            Some(last) if page.more => {
                self.cursor = if free >= MAX_FREE_PER_ORGANISATION {
                    key::after_organisation(&self.service, &organisation)
                } else {
                    last
                };
            }
            _ => self.finish_round(),
        }
    }

    /// Lanes with a chunk that can be claimed.
    pub fn free(&self) -> impl Iterator<Item = &Open> {
        let lanes = self.lanes.values().map(|(_, open)| open);
        lanes.filter(|open| open.lane.is_free())
    }

    /// Chunks that have a holder.
    pub fn held(&self) -> impl Iterator<Item = (&Open, &Held)> {
        let lanes = self.lanes.values().map(|(_, open)| open);
        lanes.flat_map(|open| open.lane.held.iter().map(move |held| (open, held)))
    }

    /// Removes a lane whose row has changed since it was read.
    pub fn remove(&mut self, key: &str) {
        self.lanes.remove(key);
    }

    /// Ends a scan of the whole index: lanes that it did not find are finished.
    fn finish_round(&mut self) {
        let round = self.round;
        self.lanes.retain(|_, (seen, _)| *seen == round);
        self.round += 1;
        self.cursor.clear();
    }
}
