//! Jobs whose owner is gone, and who takes them over.

use std::rc::Rc;
use std::time::Duration;

use super::ledger::Entry;
use super::record::{self, Record};
use super::shell::Jobs;
use crate::event;
use crate::leave::Phase;
use crate::name::Name;
use crate::table::{Expect, Table as _, Transaction};

/// A node that has just started does not know the members yet.
const SETTLE: Duration = Duration::from_millis(900);
/// How long the first choice has before the next member may take a job over;
/// it may be unable to reach the store.
const TURN: Duration = Duration::from_millis(1_200);

/// How long a claim that failed is not repeated. The store refuses what is more
/// than it can write at once, which is so when all nodes have restarted; claims
/// that are repeated at each look keep it there.
const CLAIM_PAUSE: Duration = Duration::from_millis(600);

/// Looks for jobs without an owner, and takes over those that fall to this
/// node.
pub(super) fn adopt(jobs: &Rc<Jobs>) {
    let now = jobs.now();
    if now.since(jobs.started) < SETTLE || !matches!(**jobs.setup.phase.read(), Phase::Serving) {
        return;
    }
    let view = jobs.setup.view.read();
    let owners = view.owners();
    let ledger = jobs.ledger.borrow();
    let mut orphans = jobs.orphans.borrow_mut();
    let mut mine = Vec::new();
    for (job, entry) in ledger.iter() {
        if entry.record.is_over() {
            orphans.remove(job);
            jobs.claim_after.borrow_mut().remove(job);
            continue;
        }
        if jobs.is_mine(&entry.record) {
            orphans.remove(job);
            // Its acceptance took effect after the store's answer was lost.
            if !jobs.works.borrow().contains_key(job) {
                mine.push((job.clone(), entry.clone()));
            }
            continue;
        }
        if let Some(owner) = &entry.record.owner
            && owners.contains(owner)
        {
            orphans.remove(job);
            continue;
        }
        let since = *orphans.entry(job.clone()).or_insert(now);
        let turn = view.rank(job, &jobs.setup.me);
        let pause = jobs.claim_after.borrow().get(job).copied();
        if now.since(since) >= TURN * turn && pause.is_none_or(|until| now >= until) {
            mine.push((job.clone(), entry.clone()));
        }
    }
    for (job, entry) in mine {
        if jobs.taking.borrow_mut().insert(job.clone()) {
            let jobs = Rc::clone(jobs);
            actix_rt::spawn(async move {
                take(&jobs, &job, entry).await;
                jobs.taking.borrow_mut().remove(&job);
            });
        }
    }
}

async fn take(jobs: &Rc<Jobs>, job: &Name, entry: Entry) {
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
    // Another task, or a change meanwhile, may have come first.
    let current = jobs.ledger.borrow().get(job).cloned().unwrap_or(entry);
    if jobs.works.borrow().contains_key(job)
        || !jobs.is_mine(&current.record)
        || current.record.is_over()
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

/// Makes this node the owner; none when somebody was faster or the store can't
/// be reached.
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
            let until = jobs.now() + CLAIM_PAUSE;
            jobs.claim_after.borrow_mut().insert(job.clone(), until);
            // A claim whose answer was lost shows in the row.
            let entry = jobs.reload(job).await.ok()??;
            jobs.is_mine(&entry.record).then_some(entry)
        }
    }
}

/// What unfinished runs had brought when the owner before left.
async fn load_partials(jobs: &Jobs, job: &Name) -> Vec<(usize, super::item::Partial)> {
    let prefix = record::partials(job);
    let page = match jobs.setup.store.scan(&prefix, "", 200).await {
        Ok(page) => page,
        Err(fault) => {
            // They only save work.
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
