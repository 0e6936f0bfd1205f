//! The change feeds of the store's tables.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};

use super::row::RowsAnswer;
use super::{
    Client, FIRST_PAGE_ROWS, MAX_PAGE_ROWS, Range, escape, parse, successor, unexpected, value_of,
};
use crate::clock::Uptime;
use crate::table::{Change, Changes, Fault, Feed, FeedError, FirstPage, Row, Snapshot};

/// How much longer than its requested wait a feed call may take. A dead connection is detected
/// within this time, so that the node still learns of a leaving endpoint in time over a new one.
const FEED_MARGIN: Duration = Duration::from_millis(600);

/// Number of lost pages after which a snapshot fails.
const MAX_PAGE_RETRIES: u32 = 3;

/// Adds a page of rows to a snapshot; returns the key from which the next page starts, if any.
fn add_page(
    table: &str,
    snapshot: &mut Snapshot,
    answer: RowsAnswer,
) -> Result<Option<String>, Fault> {
    if snapshot.version == 0 {
        // Later pages may be newer. Following from the first page's version delivers their
        // changes again, which is harmless.
        snapshot.version = answer.ver;
        snapshot.clock = answer.now_ms;
    }
    for entry in answer.rows {
        snapshot.rows.push(Row {
            value: value_of(table, &entry.value)?,
            key: entry.key,
            version: entry.ver,
        });
    }
    let last = snapshot.rows.last().filter(|_| answer.truncated);
    Ok(last.map(|row| successor(&row.key)))
}

impl Feed for Client {
    async fn snapshot(&self, table: &str) -> Result<Snapshot, Fault> {
        let mut snapshot = Snapshot {
            asked: Some(Uptime::now()),
            ..Snapshot::default()
        };
        let mut from = String::new();
        let mut retries = 0;
        loop {
            let range = Range {
                from: &from,
                to: "",
                limit: MAX_PAGE_ROWS,
            };
            let answer = match self.rows(table, range).await {
                // Requests only this page again: 3,000 endpoints take six pages, and starting
                // over with the first one would double the bytes. The loss of a first page is
                // returned, because entries may expire while the store is unreachable, and the
                // follower has to notice that it was.
                Err(Fault::Unknown) if retries < MAX_PAGE_RETRIES && !from.is_empty() => {
                    retries += 1;
                    continue;
                }
                answer => answer?,
            };
            match add_page(table, &mut snapshot, answer)? {
                Some(next) => from = next,
                None => return Ok(snapshot),
            }
        }
    }

    async fn first_page(&self, table: &str) -> Result<FirstPage, Fault> {
        let mut snapshot = Snapshot {
            asked: Some(Uptime::now()),
            ..Snapshot::default()
        };
        let range = Range {
            from: "",
            to: "",
            limit: FIRST_PAGE_ROWS,
        };
        let answer = self.rows(table, range).await?;
        let next = add_page(table, &mut snapshot, answer)?;
        Ok(FirstPage {
            snapshot,
            is_whole: next.is_none(),
        })
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Changes, FeedError> {
        let asked = Uptime::now();
        let path = format!(
            "/-/rows-feed?table={}&after={version}&wait_ms={}",
            escape(table),
            wait.as_millis()
        );
        let answer = self
            .call(Method::GET, &path, Bytes::new(), wait + FEED_MARGIN)
            .await
            .map_err(FeedError::Fault)?;
        match answer.status {
            StatusCode::OK => {}
            StatusCode::GONE => return Err(FeedError::Gone),
            status => return Err(FeedError::Fault(unexpected(&path, status))),
        }
        let answer: RowsAnswer = parse(&path, &answer.body).map_err(FeedError::Fault)?;
        let mut changes = Changes {
            changes: Vec::with_capacity(answer.rows.len()),
            version: answer.ver,
            clock: answer.now_ms,
            age: Duration::ZERO,
            failed_ago: None,
            asked_ago: None,
            asked: Some(asked),
        };
        for entry in answer.rows {
            let value = if entry.removed {
                None
            } else {
                Some(value_of(&path, &entry.value).map_err(FeedError::Fault)?)
            };
            changes.changes.push(Change {
                key: entry.key,
                version: entry.ver,
                value,
            });
        }
        Ok(changes)
    }
}
