//! Records what callers and replicas saw in a run, and checks it against the guarantees of the
//! system.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use crate::site::replica::{CRASH_MARKER, History, Run, events, split_software, text};

pub mod stop;

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A complete response.
    Whole,
    /// A response that guarantees that the request was not run.
    Refused,
    /// An error that guarantees nothing, or a broken connection.
    Broken,
}

/// One request that a caller sent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// How it ended.
    pub end: End,
    /// Whether its caller got a complete response, whatever its status.
    pub is_answered: bool,
    /// The node that received it.
    pub node: usize,
    /// When it was sent.
    pub began: Instant,
    /// When its caller saw it end.
    pub ended: Instant,
}

/// A moment at which a node's process was killed or paused.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The node.
    pub node: usize,
    /// When the signal was sent.
    pub at: Instant,
}

/// One batch job that a caller submitted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// Each item's id, path and tokens.
    pub items: Vec<(String, String, u64)>,
    /// When it was accepted, if it was.
    pub accepted: Option<Instant>,
    /// Whether every submission was answered "not run".
    pub refused: bool,
    /// When its cancellation was acknowledged.
    pub cancelled: Option<Instant>,
    /// The result at each position, as first read: id, state and output.
    pub results: BTreeMap<usize, (String, String, String)>,
}

/// The outcome of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of requests by how they ended.
    pub ends: BTreeMap<End, usize>,
    /// Number of streams that their callers resumed, by how they ended.
    pub resumed: BTreeMap<End, usize>,
    /// Number of requests that nodes read after a planned signal to them.
    pub stopping: usize,
    /// Number of requests that were cut around planned signals, by why that is allowed.
    pub excused: BTreeMap<stop::Excuse, usize>,
    /// Number of accepted jobs.
    pub jobs: usize,
    /// Number of items listed as complete.
    pub items: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of requests that came while the cause of crashes in other requests' prompts was known,
    /// by how they ended.
    pub beside: BTreeMap<End, usize>,
    /// Number of replicas that a killer crashed.
    pub crashed: usize,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults, requests {:?}, resumed {:?} ({} around planned signals, cut {:?}), {} jobs, {} items, {} crashed, beside {:?}, {} store calls",
            self.seed,
            self.faults,
            self.ends,
            self.resumed,
            self.stopping,
            self.excused,
            self.jobs,
            self.items,
            self.crashed,
            self.beside,
            self.store_calls
        )?;
        if self.violations.is_empty() {
            return f.write_str(": kept");
        }
        for violation in &self.violations {
            write!(f, "\n  BROKEN {violation}")?;
        }
        Ok(())
    }
}

/// Returns what is wrong with a stream, which may have been cut off, as an answer to a request for
/// `path` and `tokens`.
pub fn fault_of_stream(path: &str, tokens: u64, stream: &str) -> Option<String> {
    let (text, versions) = split_software(stream);
    if versions.len() > 1 {
        return Some(format!("events of the software versions {versions:?}"));
    }
    // A connection may break inside an event.
    let whole = text.rfind("\n\n").map_or("", |at| &text[..at + 2]);
    let is_prefix = expected_stream(path, tokens).starts_with(whole);
    (!is_prefix).then(|| format!("wrong events in {} bytes", stream.len()))
}

/// Returns the complete event stream that must answer a request for `path` and `tokens`, without
/// the versions of the software that writes it.
pub fn expected_stream(path: &str, tokens: u64) -> String {
    let all: Vec<String> = (1..=events(tokens))
        .map(|number| format!("id: {number}\ndata: {}\n\n", text(path, number)))
        .collect();
    all.concat()
}

/// Returns the output that a completed item must have, without the versions of the software that
/// writes it.
pub fn expected_output(path: &str, tokens: u64) -> String {
    let texts: Vec<String> = (1..=events(tokens))
        .map(|number| text(path, number))
        .collect();
    texts.join("\n")
}

/// Time in which a verdict reaches every node.
const VERDICT_DELAY: Duration = Duration::from_secs(3);
/// Longest delay between an event and its line in a node's log.
pub const LOG_DELAY: Duration = Duration::from_millis(400);

/// Groups the runs by `key`, each group in order of time.
fn group<K>(history: &HashMap<String, Vec<Run>>, key: K) -> BTreeMap<String, Vec<&Run>>
where
    K: Fn(&Run) -> Option<String>,
{
    let mut groups: BTreeMap<String, Vec<&Run>> = BTreeMap::new();
    for run in history.values().flatten() {
        if let Some(key) = key(run) {
            groups.entry(key).or_default().push(run);
        }
    }
    for runs in groups.values_mut() {
        runs.sort_by_key(|run| run.began);
    }
    groups
}

impl Report {
    /// Records a violated guarantee.
    pub fn record_violation(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Checks that no request ran that was answered "not run", and that none ran twice that may run
    /// only once.
    pub fn check_requests(&mut self, attempts: &[Attempt], history: &History) {
        let history = history.borrow();
        for request in attempts {
            *self.ends.entry(request.end).or_default() += 1;
            let runs = history.get(&request.id).map_or(0, Vec::len);
            if request.end == End::Refused && runs > 0 {
                self.record_violation(format!(
                    "{} was answered \"not run\" and ran {runs} times",
                    request.id
                ));
            }
            if !request.repeatable && runs > 1 {
                self.record_violation(format!("{} may run once and ran {runs} times", request.id));
            }
        }
    }

    /// Checks that the nodes' logs show how each request ended: its id is on a line that ends it
    /// and, for a complete response, on a line that grants it a slot. A node that is killed, or
    /// paused before it is killed, loses its last lines. Requests that it was running at that
    /// moment, or had answered at most [`LOG_DELAY`] before, are therefore not checked. The caller
    /// may see the end after the kill, because bytes already sent still arrive. Outages of other
    /// nodes excuse nothing.
    pub fn check_logs(&mut self, attempts: &[Attempt], outages: &[Outage], logs: &[String]) {
        let mut lines: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for line in logs.iter().flat_map(|log| log.lines()) {
            if let Some(id) = line.split(" id=").nth(1) {
                let id = id.split(' ').next().unwrap_or_default();
                lines.entry(id).or_default().push(line);
            }
        }
        let may_be_lost = |request: &Attempt| {
            let overlaps = |outage: &Outage| {
                outage.node == request.node
                    && request.began <= outage.at
                    && outage.at <= request.ended + LOG_DELAY
            };
            outages.iter().any(overlaps)
        };
        for request in attempts.iter().filter(|request| !may_be_lost(request)) {
            let lines = lines.get(&*request.id).map_or(&[][..], Vec::as_slice);
            let has = |name: &str| lines.iter().any(|line| line.contains(name));
            let is_logged = match request.end {
                End::Whole => has(" request_granted ") && has(" request_done "),
                End::Refused => has(" request_refused ") || has(" request_turned_away "),
                // The request may not have reached a node.
                End::Broken => true,
            };
            if !is_logged {
                self.record_violation(format!(
                    "the logs do not show how {} ended ({:?}): {lines:?}",
                    request.id, request.end
                ));
            }
        }
    }

    /// Checks that a killer runs only a few more times once it has crashed three replicas and the
    /// verdict has had time to reach every node.
    pub fn check_killers(&mut self, history: &History) {
        const CRASHES: usize = 3;
        let history = history.borrow();
        let killer = |run: &Run| {
            let is_killer = run.path.contains(CRASH_MARKER);
            is_killer.then(|| run.path.clone())
        };
        for (path, runs) in group(&history, killer) {
            self.check_crashes(&path, &runs, CRASHES);
        }
    }

    /// Checks that requests whose prompts share a part reach hardly any replica once five have
    /// crashed under them and the verdict has had time to reach every node. Records how the other
    /// requests ended that came later than twice that time, which share the first part of their
    /// prompts.
    pub fn check_crash_parts(&mut self, attempts: &[Attempt], history: &History) {
        const CRASHES: usize = 5;
        let history = history.borrow();
        let part = |run: &Run| run.crash_part().map(|part| format!("the part {part}"));
        for (part, runs) in group(&history, part) {
            let known_at = self.check_crashes(&part, &runs, CRASHES);
            let last = runs.last().map(|run| run.began);
            let Some(from) = known_at.or(last.map(|last| last + VERDICT_DELAY)) else {
                continue;
            };
            let from = from + VERDICT_DELAY;
            for request in attempts.iter().filter(|request| request.began > from) {
                *self.beside.entry(request.end).or_default() += 1;
            }
        }
    }

    /// Checks the runs of requests that crash replicas for the same reason. Returns when every node
    /// knows that, if `limit` replicas have crashed.
    fn check_crashes(&mut self, what: &str, runs: &[&Run], limit: usize) -> Option<Instant> {
        const MAX_LATE_RUNS: usize = 3;
        let mut crashed = BTreeSet::new();
        let known_at = runs.iter().find_map(|run| {
            crashed.insert(&run.replica);
            (crashed.len() >= limit).then_some(run.began + VERDICT_DELAY)
        });
        let replicas: BTreeSet<_> = runs.iter().map(|run| &run.replica).collect();
        self.crashed += replicas.len();
        let late = runs
            .iter()
            .filter(|run| known_at.is_some_and(|at| run.began > at));
        let late = late.count();
        if late > MAX_LATE_RUNS {
            self.record_violation(format!(
                "{what} had crashed {limit} replicas and was sent to {late} more; {} crashed in all",
                replicas.len()
            ));
        }
        known_at
    }

    /// Checks that each request reached its replica with the right organisation and without the
    /// caller's key, and that no node logged a key.
    pub fn check_keys(
        &mut self,
        key: &str,
        organisation: &str,
        history: &History,
        logs: &[String],
    ) {
        let history = history.borrow();
        for (id, run) in history
            .iter()
            .flat_map(|(id, runs)| runs.iter().map(move |run| (id, run)))
        {
            if run.has_caller_key {
                self.record_violation(format!("{id} reached a replica with its caller's key"));
            }
            if run.organisation != organisation {
                self.record_violation(format!(
                    "{id} reached a replica under organisation `{}`",
                    run.organisation
                ));
            }
        }
        let written = logs.iter().filter(|log| log.contains(key)).count();
        if written > 0 {
            self.record_violation(format!("{written} nodes wrote a key into their logs"));
        }
    }

    /// Checks the jobs after all of them have had time to finish: no item is lost, listed twice,
    /// wrong, or run after the job was refused or cancelled.
    pub fn check_jobs(&mut self, jobs: &[Job], history: &History) {
        /// No item of a cancelled job may start later than this after the cancellation.
        const CANCEL_DELAY: Duration = Duration::from_secs(3);
        let history = history.borrow();
        for job in jobs {
            self.jobs += usize::from(job.accepted.is_some());
            let last_run = |id: &str| history.get(id).and_then(|runs| runs.last()).cloned();
            for (id, path, tokens) in &job.items {
                let last = last_run(id);
                if job.refused && last.is_some() {
                    self.record_violation(format!("item {id} of refused job {} ran", job.id));
                }
                if let (Some(cancelled), Some(run)) = (job.cancelled, &last)
                    && run.began > cancelled + CANCEL_DELAY
                {
                    self.record_violation(format!(
                        "item {id} of cancelled job {} ran late",
                        job.id
                    ));
                }
                let listed: Vec<_> = job
                    .results
                    .values()
                    .filter(|(other, _, _)| other == id)
                    .collect();
                if listed.len() > 1 {
                    self.record_violation(format!("item {id} of job {} is listed twice", job.id));
                }
                if job.accepted.is_none() || job.cancelled.is_some() {
                    continue;
                }
                match listed.first() {
                    None => self.record_violation(format!("item {id} of job {} was lost", job.id)),
                    Some((_, state, output)) if state == "complete" => {
                        self.items += 1;
                        let (output, versions) = split_software(output);
                        if output != expected_output(path, *tokens) {
                            self.record_violation(format!(
                                "item {id} of job {} has a wrong output",
                                job.id
                            ));
                        }
                        if versions.len() > 1 {
                            self.record_violation(format!(
                                "item {id} of job {} has output of the software versions {versions:?}",
                                job.id
                            ));
                        }
                    }
                    Some(_) if path.contains("never") || path.contains("fails") => {}
                    Some(_) => self.record_violation(format!("item {id} of job {} failed", job.id)),
                }
            }
        }
    }
}
