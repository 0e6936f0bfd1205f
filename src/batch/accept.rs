//! Accepts jobs: the store holds a job before its caller gets the acknowledgement.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::time::sleep;

use super::item::Item;
use super::quota::Quota;
use super::record::{self, Record};
use super::registry::Entry;
use super::shell::{Jobs, terms};
use crate::catalog::Route;
use crate::event;
use crate::name::{self, Name};
use crate::platform::{call, job};
use crate::table::{Expect, Fault, Feed as _, FeedError, Store as _, Table as _, Transaction};

/// Attempts to register a job before the caller gets the answer that it may have been accepted.
const MAX_REGISTER_ATTEMPTS: u32 = 6;
/// Attempts to store a job's items before the submission is refused.
const MAX_OBJECT_ATTEMPTS: u32 = 3;
/// Delay between attempts. Nodes that accept jobs on the same route at the same time conflict on
/// the ordering row.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Retry delay sent to the caller when the store refuses or fails.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time without news from the store, through readers or directly, after which this node
/// refuses submissions. While the store answers, however slowly, news arrives within 1.4 s, or
/// within 2.4 s after both readers of the zone were lost.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(2_500);
/// Retry delay sent to the caller in that case: short, because other nodes may reach the store.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry delay sent to the caller when the quota is exceeded: about as long as a few items take.
const QUOTA_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of a submission.
enum Acceptance {
    /// The job is stored, by this or by an earlier submission.
    Stored,
    /// Another organisation has a job with that id.
    IdTaken,
    /// The job would exceed the quota on waiting tokens.
    QuotaExceeded,
    /// The store certainly did not take the job.
    StoreRefused,
    /// The store has not answered this node recently, so it is not asked.
    StoreUnreachable,
    /// The store may have taken the job, or may still take it.
    Unknown,
}

/// Result for a job whose id is stored already.
fn resubmitted(entry: &Entry, organisation: Option<&Name>) -> Acceptance {
    if entry.record.organisation.as_ref() == organisation {
        Acceptance::Stored
    } else {
        Acceptance::IdTaken
    }
}

fn id_taken() -> Response<Bytes> {
    let why = "another organisation has a job with this id; choose another id";
    call::error(StatusCode::CONFLICT, why)
}

impl Jobs {
    /// Accepts a job that `organisation` submitted on `route`.
    pub async fn submit(
        self: &Rc<Self>,
        route: &Route,
        organisation: Option<Name>,
        job: &Name,
        body: Bytes,
    ) -> Response<Bytes> {
        if !name::is_valid(job) {
            let why = "invalid job id; use letters, digits, `-`, `_`, `.` and `:`";
            return call::error(StatusCode::BAD_REQUEST, why);
        }
        let before = self
            .registry
            .borrow()
            .get(job)
            .map(|known| known.record.organisation.clone());
        match before {
            Some(owner) if owner == organisation => return job::accepted(),
            Some(_) => return id_taken(),
            None => {}
        }
        let items = match job::decode(&body) {
            Ok(items) => items,
            Err(why) => return call::error(StatusCode::BAD_REQUEST, &why),
        };
        let owner = organisation.clone();
        let (accepted, reason) = match self.accept(route, owner, job, items, body).await {
            Acceptance::Stored => (job::accepted(), "accepted"),
            Acceptance::IdTaken => (id_taken(), "id_taken"),
            Acceptance::QuotaExceeded => (
                call::refuse(
                    StatusCode::TOO_MANY_REQUESTS,
                    "your organisation has too many tokens waiting on this route; retry later",
                    QUOTA_RETRY_AFTER,
                ),
                "quota",
            ),
            Acceptance::StoreRefused => (
                call::refuse(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the job could not be stored; submit it again later",
                    STORE_RETRY_AFTER,
                ),
                "store_refused",
            ),
            Acceptance::StoreUnreachable => (
                call::refuse(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "this node cannot reach the store; submit the job to another node",
                    UNREACHABLE_RETRY_AFTER,
                ),
                "store_away",
            ),
            Acceptance::Unknown => (
                call::error(
                    StatusCode::GATEWAY_TIMEOUT,
                    "the store did not confirm the job, which may have been accepted; submit it again",
                ),
                "unknown",
            ),
        };
        let event = match reason {
            "accepted" => event::JOB_ACCEPTED,
            _ => event::JOB_REFUSED,
        };
        log::info!(
            "{event} id={job} route={} organisation={} why={reason}",
            route.name,
            organisation.as_deref().unwrap_or("-"),
        );
        self.setup.count.job(reason);
        accepted
    }

    async fn accept(
        self: &Rc<Self>,
        route: &Route,
        organisation: Option<Name>,
        job: &Name,
        items: Vec<Item>,
        body: Bytes,
    ) -> Acceptance {
        if self.is_store_unreachable() {
            return Acceptance::StoreUnreachable;
        }
        let tokens: Vec<u32> = items.iter().map(|item| item.tokens).collect();
        let total: u64 = tokens.iter().map(|tokens| u64::from(*tokens)).sum();
        if !self.quota(route, organisation.as_deref()).fits(total) {
            // This may be a resubmission of a job that another node accepted a moment ago.
            return match self.reload(job).await {
                Ok(Some(entry)) => resubmitted(&entry, organisation.as_ref()),
                Ok(None) => Acceptance::QuotaExceeded,
                Err(_) => Acceptance::StoreRefused,
            };
        }
        // The object is stored first: a row without its items could not be run.
        if let Err(fault) = self.put_object(job, body).await {
            log::info!("{} id={job} why=\"{fault}\"", event::STORE_CALL_REFUSED);
            // An object without its row has no effect.
            return Acceptance::StoreRefused;
        }
        let Some(accepted) = self.registry.borrow().store_now(self.now()) else {
            return Acceptance::StoreRefused;
        };
        let record = Record {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            organisation,
            accepted,
            // A leaving node runs no more items, so any other node may claim the job at once.
            owner: (!self.is_leaving()).then(|| self.setup.me.clone()),
            epoch: 1,
            tokens,
            done: Vec::new(),
            ended: false,
            failures: Vec::new(),
        };
        self.register(route, job, items, record, total).await
    }

    /// Returns true if the last news from the store is too old to try to store a job. Without this
    /// check each node that is cut off would hold a caller for the connect timeout of half a
    /// second, out of the 0.8 s within which a job should be accepted.
    fn is_store_unreachable(&self) -> bool {
        let synced_at = self.registry.borrow().synced_at();
        synced_at.is_none_or(|at| self.now().since(at) > MAX_STORE_SILENCE)
    }

    /// Stores a job's items. Storing the same object again is harmless.
    async fn put_object(&self, job: &Name, body: Bytes) -> Result<(), Fault> {
        let name = record::object(job);
        let mut result = Err(Fault::Unknown);
        for _ in 0..MAX_OBJECT_ATTEMPTS {
            result = self.setup.store.put(&name, body.clone()).await;
            if result != Err(Fault::Unknown) {
                break;
            }
        }
        result
    }

    /// The organisation's quota on the route, with the waiting tokens that this node has seen.
    fn quota(&self, route: &Route, organisation: Option<&str>) -> Quota {
        let limit = terms(route).and_then(|terms| terms.waiting_tokens);
        let registry = self.registry.borrow();
        Quota {
            limit,
            waiting: registry.waiting_tokens(&route.host, &route.prefix, organisation),
        }
    }

    async fn register(
        self: &Rc<Self>,
        route: &Route,
        job: &Name,
        items: Vec<Item>,
        record: Record,
        tokens: u64,
    ) -> Acceptance {
        let key = record::key(job);
        let organisation = record.organisation.clone();
        let organisation = organisation.as_deref();
        let order = record::quota(&route.host, &route.prefix, organisation);
        let mut may_be_stored = false;
        for _ in 0..MAX_REGISTER_ATTEMPTS {
            let mut transaction = Transaction::default()
                .check(key.clone(), Expect::Absent)
                .put(key.clone(), record.encode());
            if self.quota(route, organisation).must_order(tokens) {
                match self.read_ordering_version(&order).await {
                    Ok(expect) => {
                        transaction = transaction
                            .check(order.clone(), expect)
                            .put(order.clone(), record::encode(&record.accepted));
                    }
                    Err(_) if may_be_stored => return Acceptance::Unknown,
                    Err(_) => return Acceptance::StoreRefused,
                }
                if !self.quota(route, organisation).fits(tokens) {
                    return if may_be_stored {
                        Acceptance::Unknown
                    } else {
                        Acceptance::QuotaExceeded
                    };
                }
            }
            match self.setup.store.transact(transaction).await {
                Ok(version) => {
                    self.apply(job, version, record.clone());
                    if self.is_mine(&record) {
                        self.start(job, items, Entry { version, record });
                    }
                    return Acceptance::Stored;
                }
                // The job is registered already, possibly by an earlier call of this node whose
                // answer was lost.
                Err(Fault::Conflict { key: failed, .. }) if failed == key => {
                    return self
                        .resolve_existing(job, record.organisation.as_ref(), items)
                        .await;
                }
                Err(Fault::Refused { .. }) if !may_be_stored => return Acceptance::StoreRefused,
                Err(Fault::Conflict { .. } | Fault::Refused { .. }) => {}
                Err(Fault::Unknown) => may_be_stored = true,
            }
            sleep(RETRY_DELAY).await;
        }
        if may_be_stored {
            Acceptance::Unknown
        } else {
            Acceptance::StoreRefused
        }
    }

    /// Returns the version that the ordering row must still have at commit, after this node has
    /// caught up with every job accepted before it.
    async fn read_ordering_version(self: &Rc<Self>, key: &str) -> Result<Expect, Fault> {
        let row = self.setup.store.get_row(key).await?;
        let expect = row
            .as_ref()
            .map_or(Expect::Absent, |row| Expect::Version(row.version));
        let needed = row.map_or(0, |row| row.version);
        let known = self.registry.borrow().version();
        if known < needed {
            let changes = self
                .setup
                .store
                .changes(record::TABLE, known, Duration::ZERO)
                .await
                .map_err(|lapse| match lapse {
                    FeedError::Fault(fault) => fault,
                    FeedError::Gone => Fault::Refused {
                        retry_after: STORE_RETRY_AFTER,
                    },
                })?;
            self.apply_changes(changes);
        }
        Ok(expect)
    }

    /// Resolves a submission whose job's row exists already.
    async fn resolve_existing(
        self: &Rc<Self>,
        job: &Name,
        organisation: Option<&Name>,
        items: Vec<Item>,
    ) -> Acceptance {
        match self.reload(job).await {
            Ok(Some(entry)) => {
                let accepted = resubmitted(&entry, organisation);
                let running = self.works.borrow().contains_key(job);
                let unfinished = !entry.record.is_finished() && !running;
                if matches!(accepted, Acceptance::Stored)
                    && self.is_mine(&entry.record)
                    && unfinished
                {
                    self.start(job, items, entry);
                }
                accepted
            }
            Ok(None) | Err(_) => Acceptance::Unknown,
        }
    }
}
