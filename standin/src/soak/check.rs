//! What was seen, and which promises it breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use crate::site::replica::{KILLS, Register, Run, events, text};

/// How a request of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A whole answer.
    Whole,
    /// "Not run".
    Refused,
    /// An error that promises nothing, or a connection that broke.
    Broken,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id.
    pub id: String,
    /// It may be repeated.
    pub repeatable: bool,
    /// How it ended.
    pub end: End,
    /// The node that was asked.
    pub node: usize,
    /// When it was sent.
    pub began: Instant,
    /// When its caller noted its end.
    pub at: Instant,
}

/// A node's process was killed or paused.
#[derive(Clone, Copy, Debug)]
pub struct Strike {
    /// The node.
    pub node: usize,
    /// When.
    pub at: Instant,
}

/// One batch job of a caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// Each item's id, path and tokens.
    pub items: Vec<(String, String, u64)>,
    /// When it was accepted; none if it never was.
    pub accepted: Option<Instant>,
    /// Every submission was answered "not run".
    pub refused: bool,
    /// When its end was acknowledged.
    pub ended: Option<Instant>,
    /// What stood at each position, as first read.
    pub results: BTreeMap<usize, (String, String, String)>,
}

/// What a run came to.
#[derive(Debug, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests by how they ended.
    pub ends: BTreeMap<End, usize>,
    /// Jobs accepted.
    pub jobs: usize,
    /// Items listed with their output.
    pub items: usize,
    /// Faults injected.
    pub faults: usize,
    /// Replicas that a request crashed.
    pub crashed: usize,
    /// Calls to the store.
    pub calls: u64,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults, requests {:?}, {} jobs, {} items, {} crashed, {} store calls",
            self.seed, self.faults, self.ends, self.jobs, self.items, self.crashed, self.calls
        )?;
        if self.broken.is_empty() {
            return f.write_str(": kept");
        }
        for broken in &self.broken {
            write!(f, "\n  BROKEN {broken}")?;
        }
        Ok(())
    }
}

/// The whole text that a request for `path` and `tokens` must bring.
pub fn whole_stream(path: &str, tokens: u64) -> String {
    let all: Vec<String> = (1..=events(tokens))
        .map(|number| format!("id: {number}\ndata: {}\n\n", text(path, number)))
        .collect();
    all.concat()
}

/// The output that an item must have.
pub fn whole_output(path: &str, tokens: u64) -> String {
    let texts: Vec<String> = (1..=events(tokens))
        .map(|number| text(path, number))
        .collect();
    texts.join("\n")
}

/// A line is written at most so long after what it tells.
pub const WRITTEN: Duration = Duration::from_millis(400);

impl Report {
    /// Notes a broken promise.
    pub fn broke(&mut self, what: String) {
        self.broken.push(what);
    }

    /// Checks the requests against what replicas ran.
    pub fn check_requests(&mut self, asked: &[Asked], register: &Register) {
        let register = register.borrow();
        for request in asked {
            *self.ends.entry(request.end).or_default() += 1;
            let runs = register.get(&request.id).map_or(0, Vec::len);
            if request.end == End::Refused && runs > 0 {
                self.broke(format!(
                    "{} was called not run and ran {runs} times",
                    request.id
                ));
            }
            if !request.repeatable && runs > 1 {
                self.broke(format!("{} may run once and ran {runs} times", request.id));
            }
        }
    }

    /// Checks that the nodes' logs tell of each request how it ended: its id on a
    /// line that ends it, and for a whole answer on one that granted it a place.
    /// A node that is killed, or was paused before, loses the lines of its last
    /// moments, which are passed over: those of requests that it had when it was
    /// struck, or had answered just before. Its caller may note the end after the
    /// strike, since what was sent still arrives. Other nodes' strikes excuse nothing.
    pub fn check_logs(&mut self, asked: &[Asked], strikes: &[Strike], logs: &[String]) {
        let mut lines: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for line in logs.iter().flat_map(|log| log.lines()) {
            if let Some(id) = line.split(" id=").nth(1) {
                let id = id.split(' ').next().unwrap_or_default();
                lines.entry(id).or_default().push(line);
            }
        }
        let lost = |request: &Asked| {
            let hit = |strike: &Strike| {
                strike.node == request.node
                    && request.began <= strike.at
                    && strike.at <= request.at + WRITTEN
            };
            strikes.iter().any(hit)
        };
        for request in asked.iter().filter(|request| !lost(request)) {
            let lines = lines.get(&*request.id).map_or(&[][..], Vec::as_slice);
            let has = |name: &str| lines.iter().any(|line| line.contains(name));
            let told = match request.end {
                End::Whole => has(" request_granted ") && has(" request_done "),
                End::Refused => has(" request_refused ") || has(" request_turned_away "),
                // It may not have reached a node.
                End::Broken => true,
            };
            if !told {
                self.broke(format!(
                    "the logs don't tell how {} ended ({:?}): {lines:?}",
                    request.id, request.end
                ));
            }
        }
    }

    /// Checks that a request that crashes replicas is hardly sent to any more once it
    /// has crashed three and every node has had time to hear of it.
    pub fn check_killers(&mut self, register: &Register) {
        const CRASHES: usize = 3;
        const CONTACT: Duration = Duration::from_secs(3);
        const MORE: usize = 3;
        let register = register.borrow();
        let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in register.values().flatten() {
            if run.path.contains(KILLS) {
                runs.entry(&run.path).or_default().push(run);
            }
        }
        for (path, mut runs) in runs {
            runs.sort_by_key(|run| run.began);
            let mut crashed = BTreeSet::new();
            let known = runs.iter().find_map(|run| {
                crashed.insert(&run.replica);
                (crashed.len() >= CRASHES).then_some(run.began + CONTACT)
            });
            let replicas: BTreeSet<_> = runs.iter().map(|run| &run.replica).collect();
            self.crashed += replicas.len();
            let late = runs
                .iter()
                .filter(|run| known.is_some_and(|at| run.began > at));
            let late = late.count();
            if late > MORE {
                self.broke(format!(
                    "{path} had crashed {CRASHES} replicas and was sent to {late} more; {} ended in all",
                    replicas.len()
                ));
            }
        }
    }

    /// Checks that endpoints were told whose each request is and were never shown a
    /// key, and that no node wrote one.
    pub fn check_keys(
        &mut self,
        key: &str,
        organisation: &str,
        register: &Register,
        logs: &[String],
    ) {
        let register = register.borrow();
        for (id, run) in register
            .iter()
            .flat_map(|(id, runs)| runs.iter().map(move |run| (id, run)))
        {
            if run.shows_key {
                self.broke(format!("{id} came to a replica with its caller's key"));
            }
            if run.organisation != organisation {
                self.broke(format!("{id} was said to be of `{}`", run.organisation));
            }
        }
        let written = logs.iter().filter(|log| log.contains(key)).count();
        if written > 0 {
            self.broke(format!("{written} nodes wrote a key into their logs"));
        }
    }

    /// Checks the jobs, once everything has had time to end.
    pub fn check_jobs(&mut self, jobs: &[Job], register: &Register) {
        /// After this nothing of an ended job may begin.
        const CANCEL: Duration = Duration::from_secs(3);
        let register = register.borrow();
        for job in jobs {
            self.jobs += usize::from(job.accepted.is_some());
            let first = |id: &str| register.get(id).and_then(|runs| runs.last()).cloned();
            for (id, path, tokens) in &job.items {
                let last = first(id);
                if job.refused && last.is_some() {
                    self.broke(format!("item {id} of refused job {} ran", job.id));
                }
                if let (Some(ended), Some(run)) = (job.ended, &last)
                    && run.began > ended + CANCEL
                {
                    self.broke(format!("item {id} of ended job {} ran late", job.id));
                }
                let listed: Vec<_> = job
                    .results
                    .values()
                    .filter(|(other, _, _)| other == id)
                    .collect();
                if listed.len() > 1 {
                    self.broke(format!("item {id} of job {} is listed twice", job.id));
                }
                if job.accepted.is_none() || job.ended.is_some() {
                    continue;
                }
                match listed.first() {
                    None => self.broke(format!("item {id} of job {} was lost", job.id)),
                    Some((_, state, output)) if state == "complete" => {
                        self.items += 1;
                        if *output != whole_output(path, *tokens) {
                            self.broke(format!("item {id} of job {} has a wrong text", job.id));
                        }
                    }
                    Some(_) if path.contains("never") || path.contains("fails") => {}
                    Some(_) => self.broke(format!("item {id} of job {} failed", job.id)),
                }
            }
        }
    }
}
