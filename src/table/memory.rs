//! In-memory implementation of the whole platform, for `try`, for the stand-in
//! program and for tests.
//!
//! Clones share one state and may be used from several threads. Faults and limits
//! are applied by [`super::fault::Injector`]; without commands there are none.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::fault::{Bucket, Command, Decision, Delivery, Injector, Operation};
use super::protocol::{Answer, Call, Transport, Value};
use super::{Expect, Fault, Page, Row, Transaction, Vm, Write};
use crate::clock::{Clock, Time};
use crate::name::Name;

/// Number of scanned rows that count as one read.
const ROWS_PER_READ: usize = 100;
/// Maximum number of rows per page.
const MAX_PAGE_ROWS: usize = 1_000;
/// How long an unanswered operation keeps its caller waiting.
const NO_ANSWER_DELAY: Duration = Duration::from_secs(60);

/// Reads and writes of keys that share their first part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Rows written or removed, and objects stored or removed.
    pub writes: u64,
    /// Reads as counted by the rate limits.
    pub reads: u64,
}

/// Operations of the platform since it was started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Rows and objects written or removed by operations that took effect.
    pub writes: u64,
    /// Reads as counted by the rate limits.
    pub reads: u64,
    /// Transactions that took effect.
    pub transactions: u64,
    /// Transactions that failed a check.
    pub conflicts: u64,
    /// Operations refused by an outage or a limit.
    pub refused: u64,
    /// Writes whose answers were lost.
    pub lost: u64,
    /// Reads of the list of VMs.
    pub lists: u64,
    /// Loads admitted by the weight store.
    pub admitted: u64,
    /// Loads refused by the weight store.
    pub load_refused: u64,
    /// Usage by the part of the key before its first `/`.
    pub by_prefix: BTreeMap<String, Usage>,
}

/// Source of the current time.
#[derive(Clone, Copy, Debug)]
enum Source {
    Real(Clock),
    Virtual(Time),
}

#[derive(Debug)]
struct State {
    source: Source,
    injector: Injector,
    rows: BTreeMap<String, (u64, Bytes)>,
    objects: BTreeMap<String, Bytes>,
    version: u64,
    vms: BTreeMap<Name, Vm>,
    lists: VecDeque<(Time, Vec<Vm>)>,
    lag: Duration,
    weight: Bucket,
    counts: Counts,
}

/// A platform in memory.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Creates a platform without limits, faults or lag, on the real clock.
    pub fn new(seed: u64) -> Self {
        Self::with_source(Source::Real(Clock::start()), seed)
    }

    /// Creates a platform in virtual time, which [`Platform::set_time`] advances.
    /// Injected delays have no effect on it.
    pub fn in_virtual_time(now: Time, seed: u64) -> Self {
        Self::with_source(Source::Virtual(now), seed)
    }

    fn with_source(source: Source, seed: u64) -> Self {
        let now = source.now();
        Self {
            state: Arc::new(Mutex::new(State {
                source,
                injector: Injector::new(now, seed),
                rows: BTreeMap::new(),
                objects: BTreeMap::new(),
                version: 0,
                vms: BTreeMap::new(),
                lists: VecDeque::new(),
                lag: Duration::ZERO,
                weight: Bucket::new(now, 0.0, 0.0),
                counts: Counts::default(),
            })),
        }
    }

    /// Sets the virtual time; no effect on the real clock.
    pub fn set_time(&self, now: Time) {
        let mut state = self.lock();
        if let Source::Virtual(at) = &mut state.source {
            *at = now;
        }
    }

    /// Executes a command; see [`Command`].
    pub fn command(&self, command: &Command) {
        self.lock().command(command);
    }

    /// Returns the counts of operations so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// Adds a VM to the list, as the platform does when it starts one.
    pub fn register(&self, vm: Vm) {
        self.lock().command(&Command::Register(vm));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock can leave the state inconsistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Transport for Platform {
    async fn call(&self, call: Call) -> Answer {
        let (decision, real) = {
            let mut state = self.lock();
            let decision = state.decide(&call);
            (decision, matches!(state.source, Source::Real(_)))
        };
        match decision {
            Decision::Refuse { retry_after } => Err(Fault::Refused { retry_after }),
            Decision::NoAnswer => {
                if real {
                    actix_rt::time::sleep(NO_ANSWER_DELAY).await;
                }
                Err(Fault::Unknown)
            }
            Decision::Proceed { delay, delivery } => {
                if real && !delay.is_zero() {
                    actix_rt::time::sleep(delay).await;
                }
                self.lock().apply(call, delivery)
            }
        }
    }
}

impl Source {
    fn now(&self) -> Time {
        match self {
            Self::Real(clock) => clock.now(),
            Self::Virtual(at) => *at,
        }
    }
}

impl State {
    fn command(&mut self, command: &Command) {
        let now = self.source.now();
        match command {
            Command::Lag { ms } => self.lag = Duration::from_millis(*ms),
            Command::Weight { per_minute, burst } => {
                let per_second = f64::from(*per_minute) / 60.0;
                self.weight = Bucket::new(now, per_second, f64::from(*burst));
            }
            Command::Register(vm) => {
                self.vms.insert(vm.name.clone(), vm.clone());
                self.publish(now);
            }
            Command::Leaving { name } => {
                if let Some(vm) = self.vms.get_mut(name) {
                    vm.leaving = true;
                }
                self.publish(now);
            }
            Command::Remove { name } => {
                self.vms.remove(name);
                self.publish(now);
            }
            Command::Clear
            | Command::Outage { .. }
            | Command::Slow { .. }
            | Command::Limit { .. }
            | Command::Lose { .. }
            | Command::LoseSome { .. } => self.injector.command(now, command),
        }
    }

    /// Stores the current list, to be returned once the lag has passed.
    fn publish(&mut self, now: Time) {
        let list = self.vms.values().cloned().collect();
        self.lists.push_back((now, list));
    }

    fn decide(&mut self, call: &Call) -> Decision {
        let now = self.source.now();
        let decision = match call {
            Call::Transact(transaction) => {
                let keys: Vec<&str> = transaction.writes.iter().map(Write::key).collect();
                self.injector.decide(now, Operation::Write(&keys))
            }
            Call::PutObject { name, .. } | Call::DeleteObject { name } => {
                self.injector.decide(now, Operation::Write(&[name]))
            }
            Call::Get { key } => self.read(now, key, 1),
            Call::GetObject { name } => self.read(now, name, 1),
            Call::Scan {
                prefix,
                after,
                limit,
            } => {
                let rows = self.range(prefix, after).take(page_size(*limit)).count();
                let reads = rows.div_ceil(ROWS_PER_READ).max(1);
                self.read(now, prefix, u32::try_from(reads).unwrap_or(u32::MAX))
            }
            Call::List | Call::Admit { .. } | Call::Register(_) => {
                self.injector.decide(now, Operation::Other)
            }
        };
        if matches!(decision, Decision::Refuse { .. }) {
            self.counts.refused += 1;
        }
        decision
    }

    fn read(&mut self, now: Time, key: &str, reads: u32) -> Decision {
        let decision = self.injector.decide(now, Operation::Read(reads));
        if matches!(decision, Decision::Proceed { .. }) {
            self.counts.reads += u64::from(reads);
            self.usage_of(key).reads += u64::from(reads);
        }
        decision
    }

    fn usage_of(&mut self, key: &str) -> &mut Usage {
        let part = key.split('/').next().unwrap_or_default();
        self.counts.by_prefix.entry(part.to_owned()).or_default()
    }

    fn count_write(&mut self, key: &str) {
        self.counts.writes += 1;
        self.usage_of(key).writes += 1;
    }

    fn apply(&mut self, call: Call, delivery: Delivery) -> Answer {
        if delivery != Delivery::Answered {
            self.counts.lost += 1;
        }
        if delivery == Delivery::RequestLost {
            return Err(Fault::Unknown);
        }
        let answer = self.execute(call);
        if delivery == Delivery::AnswerLost {
            return Err(Fault::Unknown);
        }
        answer
    }

    fn execute(&mut self, call: Call) -> Answer {
        match call {
            Call::Transact(transaction) => self.transact(transaction).map(Value::Version),
            Call::Get { key } => Ok(Value::Row(self.row(&key))),
            Call::Scan {
                prefix,
                after,
                limit,
            } => Ok(Value::Page(self.page(&prefix, &after, limit))),
            Call::PutObject { name, value } => {
                self.count_write(&name);
                self.objects.insert(name, value);
                Ok(Value::Done)
            }
            Call::GetObject { name } => Ok(Value::Object(self.objects.get(&name).cloned())),
            Call::DeleteObject { name } => {
                self.count_write(&name);
                self.objects.remove(&name);
                Ok(Value::Done)
            }
            Call::List => Ok(Value::List(self.list())),
            Call::Admit { .. } => self.admit().map(|()| Value::Done),
            Call::Register(vm) => {
                self.command(&Command::Register(vm));
                Ok(Value::Done)
            }
        }
    }

    fn transact(&mut self, transaction: Transaction) -> Result<u64, Fault> {
        for check in &transaction.checks {
            let version = self.rows.get(&check.key).map_or(0, |(version, _)| *version);
            let holds = match check.expect {
                Expect::Absent => version == 0,
                Expect::Version(expected) => version != 0 && version == expected,
                Expect::Present => version != 0,
            };
            if !holds {
                self.counts.conflicts += 1;
                let key = check.key.clone();
                return Err(Fault::Conflict { key, version });
            }
        }
        // All rows share one counter, so that a row that was removed and inserted
        // again never gets a version that it had before.
        self.version += 1;
        self.counts.transactions += 1;
        for write in transaction.writes {
            self.count_write(write.key());
            match write {
                Write::Put { key, value } => {
                    self.rows.insert(key, (self.version, value));
                }
                Write::Delete { key } => {
                    self.rows.remove(&key);
                }
            }
        }
        Ok(self.version)
    }

    fn row(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    fn range(&self, prefix: &str, after: &str) -> impl Iterator<Item = (&String, &(u64, Bytes))> {
        let from = if after > prefix { after } else { prefix }.to_owned();
        let (prefix, after) = (prefix.to_owned(), after.to_owned());
        self.rows
            .range(from..)
            .skip_while(move |(key, _)| **key <= after && !after.is_empty())
            .take_while(move |(key, _)| key.starts_with(&prefix))
    }

    fn page(&self, prefix: &str, after: &str, limit: usize) -> Page {
        let limit = page_size(limit);
        let mut rows: Vec<Row> = self
            .range(prefix, after)
            .take(limit + 1)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        Page { rows, more }
    }

    fn list(&mut self) -> Vec<Vm> {
        self.counts.lists += 1;
        let visible_until = self.source.now() - self.lag;
        while self
            .lists
            .get(1)
            .is_some_and(|(at, _)| *at <= visible_until)
        {
            self.lists.pop_front();
        }
        match self.lists.front() {
            Some((at, list)) if *at <= visible_until => list.clone(),
            _ => Vec::new(),
        }
    }

    fn admit(&mut self) -> Result<(), Fault> {
        let now = self.source.now();
        match self.weight.take(now, 1.0) {
            Ok(()) => {
                self.counts.admitted += 1;
                Ok(())
            }
            Err(retry_after) => {
                self.counts.load_refused += 1;
                Err(Fault::Refused { retry_after })
            }
        }
    }
}

fn page_size(limit: usize) -> usize {
    limit.clamp(1, MAX_PAGE_ROWS)
}
