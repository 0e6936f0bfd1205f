//! Commits finished chunks, and drops chunks that were lost to another holder.

use std::rc::Rc;

use super::work::{Phase, Work};
use super::{Event, Platform, Runner};
use crate::event;
use crate::job::change::{self, Resolution, Target};
use crate::job::lane::Committed;
use crate::job::{Execute, Reply, record};
use crate::table::{Store, Table};

/// Result of a commit.
pub(super) struct Ended {
    work: u64,
    resolution: Resolution,
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Stores the results of a finished chunk and commits them.
    pub(super) fn commit(&mut self, number: u64) {
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        work.phase = Phase::Committing;
        let target = work.target.clone();
        let committed = work.chunk.committed(work.held.epoch);
        let replies = work.chunk.replies();
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let resolution = commit(&platform, &target, committed, &replies).await;
            Event::Ended(Ended {
                work: number,
                resolution,
            })
        });
    }

    pub(super) fn ended(&mut self, ended: &Ended) {
        if ended.resolution != Resolution::Applied {
            self.abandon(ended.work);
            return;
        }
        if let Some(work) = self.drop_work(ended.work) {
            self.count(|stats| stats.committed += 1);
            log::info!(
                "{} job={} chunk={} epoch={}",
                event::CHUNK_COMMITTED,
                work.id,
                work.held.chunk,
                work.held.epoch
            );
        }
    }

    /// Drops a chunk that another holder has taken over, or whose job is no longer active.
    pub(super) fn abandon(&mut self, number: u64) {
        if let Some(work) = self.drop_work(number) {
            self.count(|stats| stats.lost += 1);
            log::warn!(
                "{} job={} chunk={} epoch={}",
                event::CHUNK_LOST,
                work.id,
                work.held.chunk,
                work.held.epoch
            );
        }
    }
}

impl<T, S, E> Runner<T, S, E> {
    /// Drops a chunk, and the outdated copy of its lane's row.
    fn drop_work(&mut self, number: u64) -> Option<Work> {
        let work = self.works.remove(&number)?;
        if let Some(backlog) = self.services.get_mut(&work.target.job.service) {
            backlog
                .index
                .remove(&work.target.job.open_lane(work.target.lane));
        }
        Some(work)
    }
}

/// Retries, through any outage, until it is certain whether the chunk is committed. No other node
/// can commit under this epoch, and a takeover makes this commit fail.
async fn commit<T, S>(
    platform: &Rc<Platform<T, S>>,
    target: &Target,
    committed: Committed,
    replies: &[Reply],
) -> Resolution
where
    T: Table,
    S: Store,
{
    let name = target.job.id().replies(committed.chunk, committed.epoch);
    let object = record::encode(&replies);
    while let Err(fault) = platform.store.put(&name, object.clone()).await {
        tokio::time::sleep(change::retry_after(&fault)).await;
    }
    loop {
        let resolution = change::apply(&platform.table, target, None, None, |lane| {
            lane.commit(committed)
        })
        .await;
        let Resolution::Unknown(wait) = resolution else {
            if resolution == Resolution::Applied && target.job.lanes > 1 {
                end(platform, target).await;
            }
            return resolution;
        };
        tokio::time::sleep(wait).await;
    }
}

/// Ends the job if this was the last chunk of its last lane. A failure is harmless: the next status
/// request for the job ends it.
async fn end<T, S>(platform: &Platform<T, S>, target: &Target)
where
    T: Table,
{
    let closed = platform
        .table
        .get(&target.job.closed_lane(target.lane))
        .await;
    if matches!(closed, Ok(Some(_))) {
        let _ = change::end_if_complete(&platform.table, &target.job, target.version).await;
    }
}
