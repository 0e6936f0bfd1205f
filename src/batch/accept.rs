//! Accepting a job: it is the store's before its caller hears so.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::time::sleep;

use super::item::Item;
use super::ledger::Entry;
use super::quota::Quota;
use super::record::{self, Record};
use super::shell::{Jobs, terms};
use crate::catalog::Route;
use crate::event;
use crate::name::{self, Name};
use crate::platform::{call, job};
use crate::table::{Expect, Fault, Feed as _, FeedError, Store as _, Table as _, Transaction};

/// Tries before the caller is told that the job may have been accepted.
const TRIES: u32 = 6;
/// Tries to store a job's items before the caller is told that it was not
/// accepted.
const OBJECT_TRIES: u32 = 3;
/// Pause between tries; nodes that accept jobs of one route at once disturb
/// each other.
const PAUSE: Duration = Duration::from_millis(20);
/// When to come back while the store can't be reached.
const STORE_RETRY: Duration = Duration::from_millis(500);
/// A node that has not heard the store for so long, over readers or by itself,
/// can't store a job. While the store answers, however slowly, it is heard within
/// 1.4 s, and within 2.4 s where both readers of the zone were lost.
const AWAY: Duration = Duration::from_millis(2_500);
/// When to come back then: at once, since other nodes may reach the store.
const AWAY_RETRY: Duration = Duration::from_millis(100);
/// When to come back while too much waits: about as long as a few items take.
const QUOTA_RETRY: Duration = Duration::from_secs(1);

/// What became of a submission.
enum Accepted {
    /// The job is kept, from now on or from an earlier submission.
    Yes,
    /// Another organisation has a job of that id.
    Taken,
    /// More waits than may.
    Full,
    /// The store surely did not take it.
    Refused,
    /// The store does not answer this node, which is known before it is asked.
    Away,
    /// The store may have taken it, or takes it later.
    Unknown,
}

/// A job of that id is kept already.
fn again(entry: &Entry, organisation: Option<&Name>) -> Accepted {
    if entry.record.organisation.as_ref() == organisation {
        Accepted::Yes
    } else {
        Accepted::Taken
    }
}

fn taken() -> Response<Bytes> {
    let why = "another organisation has a job of this id; choose another id";
    call::error(StatusCode::CONFLICT, why)
}

impl Jobs {
    /// Takes a job that `organisation` submitted on `route`.
    pub async fn submit(
        self: &Rc<Self>,
        route: &Route,
        organisation: Option<Name>,
        job: &Name,
        body: Bytes,
    ) -> Response<Bytes> {
        if !name::is_valid(job) {
            let why = "the job's id may have letters, digits, `-`, `_`, `.` and `:`";
            return call::error(StatusCode::BAD_REQUEST, why);
        }
        let before = self
            .ledger
            .borrow()
            .get(job)
            .map(|known| known.record.organisation.clone());
        match before {
            Some(owner) if owner == organisation => return job::accepted(),
            Some(_) => return taken(),
            None => {}
        }
        let items = match job::decode(&body) {
            Ok(items) => items,
            Err(why) => return call::error(StatusCode::BAD_REQUEST, &why),
        };
        let owner = organisation.clone();
        let (accepted, word) = match self.accept(route, owner, job, items, body).await {
            Accepted::Yes => (job::accepted(), "accepted"),
            Accepted::Taken => (taken(), "id_taken"),
            Accepted::Full => (
                call::refuse(
                    StatusCode::TOO_MANY_REQUESTS,
                    "too many of your tokens wait on this route; come back",
                    QUOTA_RETRY,
                ),
                "quota",
            ),
            Accepted::Refused => (
                call::refuse(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the job can't be stored now; come back",
                    STORE_RETRY,
                ),
                "store_refused",
            ),
            Accepted::Away => (
                call::refuse(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "this node can't reach the store; ask another one",
                    AWAY_RETRY,
                ),
                "store_away",
            ),
            Accepted::Unknown => (
                call::error(
                    StatusCode::GATEWAY_TIMEOUT,
                    "the job may have been accepted; send it again",
                ),
                "unknown",
            ),
        };
        let event = match word {
            "accepted" => event::JOB_ACCEPTED,
            _ => event::JOB_REFUSED,
        };
        log::info!(
            "{event} id={job} route={} organisation={} why={word}",
            route.name,
            organisation.as_deref().unwrap_or("-"),
        );
        self.setup.count.job(word);
        accepted
    }

    async fn accept(
        self: &Rc<Self>,
        route: &Route,
        organisation: Option<Name>,
        job: &Name,
        items: Vec<Item>,
        body: Bytes,
    ) -> Accepted {
        if self.is_away() {
            return Accepted::Away;
        }
        let tokens: Vec<u32> = items.iter().map(|item| item.tokens).collect();
        let total: u64 = tokens.iter().map(|tokens| u64::from(*tokens)).sum();
        if !self.quota(route, organisation.as_deref()).fits(total) {
            // A job that was accepted a moment ago elsewhere comes again.
            return match self.reload(job).await {
                Ok(Some(entry)) => again(&entry, organisation.as_ref()),
                Ok(None) => Accepted::Full,
                Err(_) => Accepted::Refused,
            };
        }
        // The object comes first: a row without its items could not be run.
        if let Err(fault) = self.put_object(job, body).await {
            log::info!("{} id={job} why=\"{fault}\"", event::STORE_CALL_REFUSED);
            // Without its row an object is nothing.
            return Accepted::Refused;
        }
        let Some(accepted) = self.ledger.borrow().store_now(self.now()) else {
            return Accepted::Refused;
        };
        let record = Record {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            organisation,
            accepted,
            owner: Some(self.setup.me.clone()),
            epoch: 1,
            tokens,
            done: Vec::new(),
            ended: false,
            failures: Vec::new(),
        };
        self.register(route, job, items, record, total).await
    }

    /// True while the store has not been heard for so long that a job can't be
    /// kept. Were it tried all the same, each node that is cut off would hold a
    /// caller up for the half second that a connection is waited for, of the 0.8 s
    /// within which a job is to be accepted.
    fn is_away(&self) -> bool {
        let heard = self.ledger.borrow().heard_at();
        heard.is_none_or(|at| self.now().since(at) > AWAY)
    }

    /// Stores a job's items; the same object may be put again.
    async fn put_object(&self, job: &Name, body: Bytes) -> Result<(), Fault> {
        let name = record::object(job);
        let mut result = Err(Fault::Unknown);
        for _ in 0..OBJECT_TRIES {
            result = self.setup.store.put(&name, body.clone()).await;
            if result != Err(Fault::Unknown) {
                break;
            }
        }
        result
    }

    /// The bound on the route for each organisation, and what waits there of this
    /// one as this node knows it.
    fn quota(&self, route: &Route, organisation: Option<&str>) -> Quota {
        let most = terms(route).and_then(|terms| terms.waiting_tokens);
        let ledger = self.ledger.borrow();
        Quota {
            most,
            waiting: ledger.waiting_tokens(&route.host, &route.prefix, organisation),
        }
    }

    async fn register(
        self: &Rc<Self>,
        route: &Route,
        job: &Name,
        items: Vec<Item>,
        record: Record,
        tokens: u64,
    ) -> Accepted {
        let key = record::key(job);
        let organisation = record.organisation.clone();
        let organisation = organisation.as_deref();
        let order = record::quota(&route.host, &route.prefix, organisation);
        let mut doubtful = false;
        for _ in 0..TRIES {
            let mut transaction = Transaction::default()
                .check(key.clone(), Expect::Absent)
                .put(key.clone(), record.encode());
            if self.quota(route, organisation).must_order(tokens) {
                match self.order(&order).await {
                    Ok(expect) => {
                        transaction = transaction
                            .check(order.clone(), expect)
                            .put(order.clone(), record::encode(&record.accepted));
                    }
                    Err(_) if doubtful => return Accepted::Unknown,
                    Err(_) => return Accepted::Refused,
                }
                if !self.quota(route, organisation).fits(tokens) {
                    return if doubtful {
                        Accepted::Unknown
                    } else {
                        Accepted::Full
                    };
                }
            }
            match self.setup.store.transact(transaction).await {
                Ok(version) => {
                    self.apply(job, version, record.clone());
                    self.start(job, items, Entry { version, record });
                    return Accepted::Yes;
                }
                // Somebody accepted it, perhaps this node's own lost call.
                Err(Fault::Conflict { key: failed, .. }) if failed == key => {
                    return self.found(job, record.organisation.as_ref(), items).await;
                }
                Err(Fault::Refused { .. }) if !doubtful => return Accepted::Refused,
                Err(Fault::Conflict { .. } | Fault::Refused { .. }) => {}
                Err(Fault::Unknown) => doubtful = true,
            }
            sleep(PAUSE).await;
        }
        if doubtful {
            Accepted::Unknown
        } else {
            Accepted::Refused
        }
    }

    /// The version that the ordering row must still have, once everything that
    /// was accepted before it is known.
    async fn order(self: &Rc<Self>, key: &str) -> Result<Expect, Fault> {
        let row = self.setup.store.get_row(key).await?;
        let expect = row
            .as_ref()
            .map_or(Expect::Absent, |row| Expect::Version(row.version));
        let needed = row.map_or(0, |row| row.version);
        let known = self.ledger.borrow().version();
        if known < needed {
            let changes = self
                .setup
                .store
                .changes(record::TABLE, known, Duration::ZERO)
                .await
                .map_err(|lapse| match lapse {
                    FeedError::Fault(fault) => fault,
                    FeedError::Gone => Fault::Refused {
                        retry_after: STORE_RETRY,
                    },
                })?;
            self.learn_changes(changes);
        }
        Ok(expect)
    }

    /// The job's row was there already.
    async fn found(
        self: &Rc<Self>,
        job: &Name,
        organisation: Option<&Name>,
        items: Vec<Item>,
    ) -> Accepted {
        match self.reload(job).await {
            Ok(Some(entry)) => {
                let accepted = again(&entry, organisation);
                let running = self.works.borrow().contains_key(job);
                let unfinished = !entry.record.is_over() && !running;
                if matches!(accepted, Accepted::Yes) && self.is_mine(&entry.record) && unfinished {
                    self.start(job, items, entry);
                }
                accepted
            }
            Ok(None) | Err(_) => Accepted::Unknown,
        }
    }
}
