//! Takes over jobs whose owner is gone.

use std::rc::Rc;
use std::time::Duration;

use super::record::{self, Record};
use super::registry::Entry;
use super::shell::Jobs;
use crate::event;
use crate::leave::Phase;
use crate::member::vm_name;
use crate::name::Name;
use crate::table::{Expect, Table as _, Transaction};

/// A node that has just started has an incomplete member list, so it claims nothing for this long.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(900);
/// Time that each candidate has to claim a job before the next one may, since a candidate may be
/// unable to reach the store.
const CLAIM_TURN: Duration = Duration::from_millis(1_200);

/// Time for which an owner must have been missing from a complete view. A node that has just
/// joined may accept a job before it has introduced itself to all others, which takes a second
/// from when it has read their list.
const UNKNOWN_OWNER_DELAY: Duration = Duration::from_secs(3);
/// Delay before a failed claim is retried. When all nodes have restarted, their claims exceed the
/// store's write limit; retrying at every interval would keep it there.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Claims the jobs without a live owner for which it is this node's turn.
///
/// An owner that this node has not met may be alive: of a thousand nodes that start
/// together, each knows only some in the first seconds. If it claimed their jobs, runs would
/// be aborted again and again. Only the jobs of earlier processes of its own VM are certain to
/// have no owner.
pub(super) fn claim_orphans(jobs: &Rc<Jobs>) {
    let now = jobs.now();
    if now.since(jobs.started) < MEMBERSHIP_SETTLE_TIME
        || !matches!(**jobs.setup.phase.read(), Phase::Serving)
    {
        return;
    }
    let view = jobs.setup.view.read();
    let owners = view.owners();
    let registry = jobs.registry.borrow();
    let mut orphans = jobs.orphans.borrow_mut();
    let mut claimable = Vec::new();
    for (job, entry) in registry.iter() {
        if entry.record.is_finished() {
            orphans.remove(job);
            jobs.claim_after.borrow_mut().remove(job);
            continue;
        }
        if jobs.is_mine(&entry.record) {
            orphans.remove(job);
            // Its registration took effect although the store's answer was lost.
            if !jobs.works.borrow().contains_key(job) {
                claimable.push((job.clone(), entry.clone()));
            }
            continue;
        }
        let owner = entry.record.owner.as_ref();
        let is_predecessor = owner.is_some_and(|owner| vm_name(owner) == vm_name(&jobs.setup.me));
        if let Some(owner) = owner
            && !is_predecessor
            && !view.is_gone(&owners, owner)
        {
            orphans.remove(job);
            continue;
        }
        let since = *orphans.entry(job.clone()).or_insert(now);
        let wait = if is_predecessor {
            Duration::ZERO
        } else {
            let is_unknown = owner.is_some_and(|owner| view.find(owner).is_none());
            let delay = if is_unknown {
                UNKNOWN_OWNER_DELAY
            } else {
                Duration::ZERO
            };
            delay + CLAIM_TURN * view.rank(job, &jobs.setup.me)
        };
        let pause = jobs.claim_after.borrow().get(job).copied();
        if now.since(since) >= wait && pause.is_none_or(|until| now >= until) {
            claimable.push((job.clone(), entry.clone()));
        }
    }
    for (job, entry) in claimable {
        if jobs.claiming.borrow_mut().insert(job.clone()) {
            let jobs = Rc::clone(jobs);
            actix_rt::spawn(async move {
                take_over(&jobs, &job, entry).await;
                jobs.claiming.borrow_mut().remove(&job);
            });
        }
    }
}

async fn take_over(jobs: &Rc<Jobs>, job: &Name, entry: Entry) {
    let entry = if jobs.is_mine(&entry.record) {
        entry
    } else {
        match claim(jobs, job, entry).await {
            Some(entry) => entry,
            None => return,
        }
    };
    let items = match jobs.load_items(job).await {
        Ok(items) => items,
        Err(fault) => {
            log::warn!("{} job={job} why=\"{fault}\"", event::STORE_CALL_LOST);
            return;
        }
    };
    let partials = load_partials(jobs, job).await;
    // Another task or a change to the row may have come first.
    let current = jobs.registry.borrow().get(job).cloned().unwrap_or(entry);
    if jobs.works.borrow().contains_key(job)
        || !jobs.is_mine(&current.record)
        || current.record.is_finished()
    {
        return;
    }
    log::info!(
        "{} job={job} epoch={} done={} partial={}",
        event::JOB_TAKEN,
        current.record.epoch,
        current.record.done.len(),
        partials.len(),
    );
    jobs.setup.count.job("taken");
    let work = jobs.start(job, items, current);
    for (item, partial) in partials {
        if let Some(slot) = work.partials.borrow_mut().get_mut(item) {
            *slot = partial;
        }
    }
}

/// Makes this node the owner. Returns `None` if another node was faster or the store cannot be
/// reached.
async fn claim(jobs: &Rc<Jobs>, job: &Name, entry: Entry) -> Option<Entry> {
    let record = Record {
        owner: Some(jobs.setup.me.clone()),
        epoch: entry.record.epoch + 1,
        ..entry.record
    };
    let key = record::key(job);
    let transaction = Transaction::default()
        .check(key.clone(), Expect::Version(entry.version))
        .put(key, record.encode());
    match jobs.setup.store.transact(transaction).await {
        Ok(version) => {
            jobs.apply(job, version, record.clone());
            Some(Entry { version, record })
        }
        Err(fault) => {
            log::info!("{} job={job} why=\"{fault}\"", event::STORE_CALL_REFUSED);
            let until = jobs.now() + CLAIM_RETRY_DELAY;
            jobs.claim_after.borrow_mut().insert(job.clone(), until);
            // If only the answer was lost, the row shows the claim.
            let entry = jobs.reload(job).await.ok()??;
            jobs.is_mine(&entry.record).then_some(entry)
        }
    }
}

/// Output of unfinished runs that the previous owner stored when it left.
async fn load_partials(jobs: &Jobs, job: &Name) -> Vec<(usize, super::item::Partial)> {
    let prefix = record::partials(job);
    let page = match jobs.setup.store.scan(&prefix, "", 200).await {
        Ok(page) => page,
        Err(fault) => {
            // Without them the items run from the start, which costs only time.
            log::info!("{} job={job} why=\"{fault}\"", event::STORE_CALL_LOST);
            return Vec::new();
        }
    };
    page.rows
        .iter()
        .filter_map(|row| {
            let item = row.key[prefix.len()..].parse().ok()?;
            Some((item, ciborium::from_reader(&row.value[..]).ok()?))
        })
        .collect()
}
