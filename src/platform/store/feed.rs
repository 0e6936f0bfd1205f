//! Following tables of the store.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};

use super::row::RowsAnswer;
use super::{Client, PAGE, Range, behind, escape, parse, unexpected, value_of};
use crate::clock::Uptime;
use crate::table::{Change, Changes, Fault, Feed, FeedError, Row, Snapshot};

/// How much longer than it should wait a feed may take. A connection that went
/// silent is found within this, so that a node learns of a leaving endpoint in
/// time over a new one.
const FEED_SLACK: Duration = Duration::from_millis(600);

/// Pages that may be lost before a whole reading is given up.
const PAGE_TRIES: u32 = 3;

impl Feed for Client {
    async fn snapshot(&self, table: &str) -> Result<Snapshot, Fault> {
        let mut snapshot = Snapshot {
            asked: Some(Uptime::now()),
            ..Snapshot::default()
        };
        let mut from = String::new();
        let mut tries = 0;
        loop {
            let range = Range {
                from: &from,
                to: "",
                limit: PAGE,
            };
            let answer = match self.rows(table, range).await {
                // Only this page is asked for again: at 3,000 endpoints there are
                // six, and to begin with the first one would double the bytes.
                // A first page that is lost is told: entries may lapse while the
                // store is away, and who follows must know that it was.
                Err(Fault::Unknown) if tries < PAGE_TRIES && !from.is_empty() => {
                    tries += 1;
                    continue;
                }
                answer => answer?,
            };
            if snapshot.version == 0 {
                // Later pages may be newer; following on from the first page
                // tells their changes once more, which is harmless.
                snapshot.version = answer.ver;
                snapshot.clock = answer.now_ms;
            }
            for entry in &answer.rows {
                snapshot.rows.push(Row {
                    key: entry.key.clone(),
                    version: entry.ver,
                    value: value_of(table, &entry.value)?,
                });
            }
            match answer.rows.last() {
                Some(last) if answer.truncated => from = behind(&last.key),
                _ => return Ok(snapshot),
            }
        }
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
            .call(Method::GET, &path, Bytes::new(), wait + FEED_SLACK)
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
