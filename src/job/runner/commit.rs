//! Commits finished chunks and gives back unfinished ones.

use std::rc::Rc;

use super::work::{Phase, Work};
use super::{Event, Platform, Runner};
use crate::event;
use crate::job::change::{self, Change, Place};
use crate::job::lane::Committed;
use crate::job::{Execute, Reply, record};
use crate::table::{Store, Table};

/// What a commit came to.
pub(super) struct Ended {
    work: u64,
    change: Change,
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Stores a finished chunk's results and commits their name.
    pub(super) fn commit(&mut self, number: u64) {
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        work.phase = Phase::Committing;
        let place = work.place.clone();
        let committed = work.chunk.committed(work.held.epoch);
        let replies = work.chunk.replies();
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let change = commit(&platform, &place, committed, &replies).await;
            Event::Ended(Ended {
                work: number,
                change,
            })
        });
    }

    pub(super) fn ended(&mut self, ended: &Ended) {
        if ended.change != Change::Settled {
            self.lose(ended.work);
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

    /// Another holder has the chunk, or its job is over.
    pub(super) fn lose(&mut self, number: u64) {
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
    /// Forgets a chunk, and its lane's row as it was known, which has changed.
    fn drop_work(&mut self, number: u64) -> Option<Work> {
        let work = self.works.remove(&number)?;
        if let Some(search) = self.services.get_mut(&work.place.job.service) {
            search
                .index
                .forget(&work.place.job.open_lane(work.place.lane));
        }
        Some(work)
    }
}

/// Goes on until it is certain whether the chunk is committed, through any
/// outage: nobody else can commit under this epoch, and whoever takes the chunk
/// meanwhile makes this commit fail.
async fn commit<T, S>(
    platform: &Rc<Platform<T, S>>,
    place: &Place,
    committed: Committed,
    replies: &[Reply],
) -> Change
where
    T: Table,
    S: Store,
{
    let name = place.job.id().replies(committed.chunk, committed.epoch);
    let object = record::encode(&replies);
    while let Err(fault) = platform.store.put(&name, object.clone()).await {
        tokio::time::sleep(change::wait(&fault)).await;
    }
    loop {
        let change = change::apply(&platform.table, place, None, None, |lane| {
            lane.commit(committed)
        })
        .await;
        let Change::Unsure(wait) = change else {
            if change == Change::Settled && place.job.lanes > 1 {
                end(platform, place).await;
            }
            return change;
        };
        tokio::time::sleep(wait).await;
    }
}

/// Ends the job when this was the last chunk of its last lane. Failing to is
/// harmless: whoever asks for the job's status does it then.
async fn end<T, S>(platform: &Platform<T, S>, place: &Place)
where
    T: Table,
{
    let closed = platform.table.get(&place.job.closed_lane(place.lane)).await;
    if matches!(closed, Ok(Some(_))) {
        let _ = change::end(&platform.table, &place.job, place.version).await;
    }
}
