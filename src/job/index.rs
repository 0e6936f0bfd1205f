//! What one node knows of the index of open lanes of a service.
//!
//! Rows sort by organisation and due time. A page is read from each
//! organisation's earliest due time on and then skips to the next one, so that
//! the cost of looking for work does not grow with the number of open jobs, and
//! an organisation with very many can't hide the others.

use std::collections::BTreeMap;

use super::key::{self, Id};
use super::lane::{Held, Lane};
use super::record;
use crate::name::Name;
use crate::table::{Page, Row};

/// Rows of one page, which costs one read.
pub const PAGE: usize = 100;
/// Free lanes of one organisation that are enough to know.
const ENOUGH: usize = 24;

/// An unfinished lane as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// Its job.
    pub id: Id,
    /// When the job is due.
    pub due_at_ms: u64,
    /// Which lane of the job.
    pub number: u32,
    /// The row's content.
    pub lane: Lane,
    /// The row itself.
    pub row: Row,
}

impl Open {
    /// Reads a row of the index; nothing when it is none.
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

/// The lanes that were seen lately, and where to read on.
#[derive(Clone, Debug)]
pub struct Index {
    service: Name,
    cursor: String,
    round: u64,
    lanes: BTreeMap<String, (u64, Open)>,
}

impl Index {
    /// Knows nothing yet.
    pub const fn new(service: Name) -> Self {
        Self {
            service,
            cursor: String::new(),
            round: 0,
            lanes: BTreeMap::new(),
        }
    }

    /// The key after which to read the next page.
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    /// Takes the page that was read after [`Index::cursor`].
    pub fn take(&mut self, page: Page) {
        let last = page.rows.last().map(|row| row.key.clone());
        let mut free = 0;
        let mut organisation = Name::from("");
        for open in page.rows.into_iter().filter_map(Open::parse) {
            if open.id.organisation != organisation {
                organisation = open.id.organisation.clone();
                free = 0;
            }
            free += usize::from(open.lane.is_free());
            // More free lanes of one organisation than can be claimed before the
            // next look would only take memory; held ones may need taking over.
            if free <= ENOUGH || !open.lane.held.is_empty() {
                self.lanes.insert(open.row.key.clone(), (self.round, open));
            }
        }
        match last {
            Some(last) if page.more => {
                self.cursor = if free >= ENOUGH {
                    key::after(&self.service, &organisation)
                } else {
                    last
                };
            }
            _ => self.wrap(),
        }
    }

    /// The lanes of which a chunk can be claimed.
    pub fn free(&self) -> impl Iterator<Item = &Open> {
        let lanes = self.lanes.values().map(|(_, open)| open);
        lanes.filter(|open| open.lane.is_free())
    }

    /// The chunks that somebody runs.
    pub fn held(&self) -> impl Iterator<Item = (&Open, &Held)> {
        let lanes = self.lanes.values().map(|(_, open)| open);
        lanes.flat_map(|open| open.lane.held.iter().map(move |held| (open, held)))
    }

    /// Forgets a lane whose row has changed since.
    pub fn forget(&mut self, key: &str) {
        self.lanes.remove(key);
    }

    /// A round is complete: lanes that were not met in it are finished.
    fn wrap(&mut self) {
        let round = self.round;
        self.lanes.retain(|_, (seen, _)| *seen == round);
        self.round += 1;
        self.cursor.clear();
    }
}
