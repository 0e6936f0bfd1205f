//! Decides which requests are to blame for endpoint processes that ended. Performs no I/O.
//!
//! Each crash is kept with the requests that were running there. A request that several
//! crashes have in common is condemned; a crash that a condemned request explains counts
//! against no other request. Nodes exchange single observations, which may arrive late, twice
//! and in any order, so every node reaches the same verdict and none depends on another
//! node staying up.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::export::{self, Export};
use super::{Fingerprint, Subject};
use crate::clock::Time;
use crate::name::Name;

mod blame;
mod ends;
mod part;
mod term;

use blame::Blame;
use ends::Ends;
use part::Parts;
pub use part::Ran;
pub use term::Trial;
use term::{FIRST_DOUBTFUL_TERM, FIRST_PART_TERM, FIRST_TERM};

/// Total crash weight at which a request is condemned: three crashes early in a run.
const CONDEMN_WEIGHT: u32 = 6;
/// Runs shorter than this count as early when their endpoint ends. A longer run was more
/// likely there by chance: batch items run for seconds, and are retried after each crash.
const EARLY_LIMIT: Duration = Duration::from_secs(2);
/// Delay between the last crash and a verdict, for other nodes' observations to arrive.
const SETTLE_DELAY: Duration = Duration::from_millis(800);
/// A request that completed within this time is not blamed for a crash. A frequent request
/// runs on many endpoints at once, and so by chance also on those that crash.
const COMPLETION_TTL: Duration = Duration::from_secs(30);
/// Minimum interval between reports of a request's completion to other nodes.
const COMPLETION_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a crash is remembered.
pub(super) const CRASH_TTL: Duration = Duration::from_secs(600);
/// Number of crashes beside no others that a quarantine of the full length takes. Where fewer are
/// known, as after a quarantine that outlasted what it rests on, all of them.
const MIN_LONE_CRASHES: usize = 2;
/// Limits on the crashes, the requests of one crash, and the verdicts that are remembered.
const MAX_CRASHES: usize = 256;
const MAX_REQUESTS: usize = 64;
const MAX_VERDICTS: usize = 4_096;
/// Limit on the verdicts that a node which has just started is sent at once; it reads the others
/// from the store.
const MAX_EXPORTED_VERDICTS: usize = 1_024;
/// Limit on the requests whose last completion is remembered.
const MAX_COMPLETIONS: usize = 4_096;

/// An endpoint process that ended unexpectedly.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Name,
    /// Start of the process, which distinguishes restarts under the same endpoint name.
    pub incarnation: u64,
}

/// Quarantine status of a request or of a part of prompts, in order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// It may run without restrictions.
    Clear,
    /// Endpoints ended while it ran there: it runs on an endpoint without other suspects,
    /// one run at a time.
    Suspect,
    /// It is about to be condemned and does not run for this long.
    Held(Duration),
    /// It is refused while its quarantine lasts.
    Condemned,
}

/// Stage of a run at which its endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// At or after `EARLY_LIMIT` since the run began.
    Late,
    /// Before `EARLY_LIMIT`.
    Early,
}

impl Stage {
    /// Returns the stage of a run that lasted `ran`.
    pub fn of(ran: Duration) -> Self {
        if ran < EARLY_LIMIT {
            Self::Early
        } else {
            Self::Late
        }
    }

    fn weight(self) -> u32 {
        match self {
            Self::Late => 1,
            Self::Early => 2,
        }
    }
}

/// Effect of adding an observation of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Added {
    /// It was new and is recorded.
    New,
    /// It was already recorded, or is beyond the limits.
    Ignored,
    /// The request has completed recently, so the crash is not counted. True when that
    /// completion is due to be reported to other nodes again.
    Refuted(bool),
}

/// A verdict that puts a request, or all requests whose prompts share a part, into quarantine, with
/// the crashes it rests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condemnation {
    /// The request or the part.
    pub request: Fingerprint,
    /// The endpoint processes that ended while running it.
    pub crashes: Vec<Crash>,
    /// Number of endpoint processes that ended at about the same times without running it.
    pub others: usize,
    /// Duration of the quarantine.
    pub term: Duration,
    /// Number of verdicts on the request, including this one.
    pub times: u32,
    /// Whether the crashes may have had another cause, since others happened at the same times.
    pub is_doubtful: bool,
}

#[derive(Clone, Debug)]
struct Incident {
    since: Time,
    /// When the latest observation of it was added.
    last_observed: Time,
    requests: BTreeMap<Fingerprint, Stage>,
    /// The shared parts of their prompts that may be to blame.
    parts: BTreeMap<Fingerprint, part::Runs>,
}

/// A verdict on a request, or on a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// End of the quarantine.
    pub until: Time,
    /// Number of verdicts so far.
    pub times: u32,
    /// Whether the crashes may have had another cause.
    pub is_doubtful: bool,
}

impl Verdict {
    fn is_active(&self, now: Time) -> bool {
        now < self.until
    }
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    at: Time,
    reported: Time,
}

/// Crashes and verdicts recorded by one node.
#[derive(Debug, Default)]
pub struct Evidence {
    incidents: BTreeMap<Crash, Incident>,
    /// Endpoint processes that ended, whatever ran there.
    ends: Ends,
    verdicts: HashMap<Fingerprint, Verdict>,
    blame: HashMap<Fingerprint, Blame>,
    /// Last completion of each request.
    completions: HashMap<Fingerprint, Completion>,
    parts: Parts,
    /// A crash was added since `blame` was last computed.
    is_stale: bool,
}

impl Evidence {
    /// Returns the status of a request with the parts of its prompt: the most severe one.
    pub fn status_of(&self, now: Time, subject: &Subject) -> Status {
        let parts = subject
            .parts
            .iter()
            .map(|part| self.part_status(now, *part));
        let request = self.status(now, subject.request);
        parts.fold(request, Status::max)
    }

    /// Returns the request, or the part of its prompt, that is condemned.
    pub fn condemned_by(&self, now: Time, subject: &Subject) -> Option<Fingerprint> {
        let request = std::iter::once(subject.request);
        let mut all = request.chain(subject.parts.iter().copied());
        all.find(|it| self.is_condemned(now, *it))
    }

    /// Returns for how long the request, or all requests with a part of its prompt, are refused. A
    /// doubtful verdict may end at any moment, by a trial that completes.
    pub fn condemned_for(&self, now: Time, subject: &Subject) -> Duration {
        let request = std::iter::once(&subject.request);
        let verdicts = request.chain(subject.parts.iter());
        let verdicts = verdicts.filter_map(|it| self.verdicts.get(it));
        let left = verdicts.map(|verdict| {
            let left = verdict.until.since(now);
            if verdict.is_doubtful {
                left.min(FIRST_DOUBTFUL_TERM)
            } else {
                left
            }
        });
        left.max().unwrap_or_default()
    }

    /// Returns what a request is admitted as at a pool, which runs one suspect of a kind at a time:
    /// a suspect part of its prompt, or else the request itself.
    pub fn admitted_as(&self, now: Time, subject: &Subject) -> Fingerprint {
        let mut parts = subject.parts.iter().copied();
        let is_suspect = |part: &Fingerprint| self.part_status(now, *part) != Status::Clear;
        parts.find(is_suspect).unwrap_or(subject.request)
    }

    /// Returns the status of all requests whose prompts have this part.
    pub fn part_status(&self, now: Time, part: Fingerprint) -> Status {
        let verdict = self.verdicts.get(&part);
        if verdict.is_some_and(|verdict| verdict.is_active(now)) {
            return Status::Condemned;
        }
        match self.parts.blame.get(&part) {
            Some(blame) if blame.is_due() || verdict.is_some() => {
                let settled = blame.newest + SETTLE_DELAY;
                Status::Held(settled.since(now))
            }
            Some(blame) if blame.is_suspect() => Status::Suspect,
            _ if verdict.is_some() => Status::Suspect,
            _ => Status::Clear,
        }
    }

    /// Returns the status of a request by itself.
    pub fn status(&self, now: Time, request: Fingerprint) -> Status {
        let verdict = self.verdicts.get(&request);
        if verdict.is_some_and(|verdict| verdict.is_active(now)) {
            return Status::Condemned;
        }
        match self.blame.get(&request) {
            Some(blame) if self.is_due(request, blame) => {
                let settled = blame.newest + SETTLE_DELAY;
                Status::Held(settled.since(now))
            }
            Some(_) => Status::Suspect,
            None if verdict.is_some() => Status::Suspect,
            None => Status::Clear,
        }
    }

    /// Returns all requests that may have another status than [`Status::Clear`].
    pub fn requests(&self) -> impl Iterator<Item = Fingerprint> {
        self.blame.keys().chain(self.verdicts.keys()).copied()
    }

    /// True when a verdict only waits for [`SETTLE_DELAY`]. A request that was condemned
    /// before needs a single crash. Crashes with a sole candidate suffice by themselves:
    /// two killers that once ran on the same endpoint outrank each other there.
    fn is_due(&self, request: Fingerprint, blame: &Blame) -> bool {
        self.verdicts.contains_key(&request)
            || blame.weight >= CONDEMN_WEIGHT && !blame.is_outranked
            || blame.sole_weight >= CONDEMN_WEIGHT
    }

    /// Records that an endpoint ended while the request ran there. It takes effect with the
    /// next [`Self::update_blame`] or [`Self::step`]: after a crash the observations of all
    /// nodes arrive together, and the blame need not be recomputed for each.
    pub fn add_crash<R>(&mut self, now: Time, crash: Crash, request: Fingerprint, ran: R) -> Added
    where
        R: Into<Ran>,
    {
        let Ran { stage, ran, parts } = ran.into();
        self.ends.add(now, &crash);
        if let Some(completion) = self.completions.get_mut(&request)
            && now.since(completion.at) < COMPLETION_TTL
        {
            let report_due = now.since(completion.reported) >= COMPLETION_REPORT_INTERVAL;
            if report_due {
                completion.reported = now;
            }
            return Added::Refuted(report_due);
        }
        let incident = self.incidents.entry(crash).or_insert_with(|| Incident {
            since: now,
            last_observed: now,
            requests: BTreeMap::new(),
            parts: BTreeMap::new(),
        });
        let known = incident.requests.get(&request).copied();
        if known >= Some(stage) || known.is_none() && incident.requests.len() >= MAX_REQUESTS {
            return Added::Ignored;
        }
        incident.requests.insert(request, stage);
        let parts = self.parts.blamable(now, &parts);
        incident.add_parts(now, request, ran, parts);
        incident.last_observed = incident.last_observed.max(now);
        if self.incidents.len() > MAX_CRASHES {
            self.drop_oldest();
        }
        self.is_stale = true;
        Added::New
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .incidents
            .iter()
            .min_by_key(|(_, incident)| incident.since);
        if let Some(crash) = oldest.map(|(crash, _)| crash.clone()) {
            self.incidents.remove(&crash);
        }
    }

    /// Returns a run without the parts that completed so recently that a crash is not blamed on them.
    pub fn without_completed(&self, now: Time, mut ran: Ran) -> Ran {
        let parts = self.parts.blamable(now, &ran.parts);
        ran.parts = parts.map(|(_, part)| part).collect();
        ran
    }

    /// Returns those of the parts that completed so recently that a crash is not blamed on them, if
    /// other nodes, which may blame them, have to be notified.
    pub fn take_part_reports(&mut self, now: Time, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        self.parts.take_reports(now, parts)
    }

    /// Returns the recorded crashes that involve the request, with their times.
    pub fn crashes_of(&self, request: Fingerprint) -> Vec<(Crash, Time, Ran)> {
        let ran = |(crash, incident): (&Crash, &Incident)| {
            let stage = *incident.requests.get(&request)?;
            let (parts, ran) = incident.parts_of(request);
            Some((crash.clone(), incident.since, Ran { stage, ran, parts }))
        };
        self.incidents.iter().filter_map(ran).collect()
    }

    /// True when a recorded crash involves the request.
    pub fn is_known(&self, request: Fingerprint) -> bool {
        let ran = |incident: &Incident| incident.requests.contains_key(&request);
        self.incidents.values().any(ran)
    }

    /// Records that the request completed: crashes while it ran elsewhere had another cause, and a
    /// verdict was wrong. Returns true when other nodes have to be notified.
    pub fn add_completion(&mut self, now: Time, request: Fingerprint) -> bool {
        let is_lifted = self.verdicts.remove(&request).is_some();
        let known = self.is_known(request) || is_lifted;
        let reported = match self.completions.get(&request) {
            Some(completion) if !known => completion.reported,
            _ => now,
        };
        if self.completions.len() < MAX_COMPLETIONS || self.completions.contains_key(&request) {
            self.completions
                .insert(request, Completion { at: now, reported });
        }
        if !known {
            return false;
        }
        for incident in self.incidents.values_mut() {
            incident.requests.remove(&request);
        }
        self.incidents
            .retain(|_, incident| !incident.requests.is_empty());
        self.update_blame();
        true
    }

    /// Records that a request with these parts completed here. Returns the parts whose completion
    /// other nodes have to be notified of.
    pub fn add_parts_completion(&mut self, now: Time, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        self.parts.add_contrast(parts);
        let parts = parts.iter().copied();
        parts
            .filter(|part| self.add_part_completion(now, *part))
            .collect()
    }

    /// Records that a request with the part completed: crashes while others with it ran elsewhere
    /// had another cause, and a verdict was wrong. Returns true when other nodes have to be notified.
    pub fn add_part_completion(&mut self, now: Time, part: Fingerprint) -> bool {
        self.parts.add_completion(now, part);
        let mut is_known = self.verdicts.remove(&part).is_some();
        for incident in self.incidents.values_mut() {
            is_known |= incident.parts.remove(&part).is_some();
        }
        if is_known {
            self.update_blame();
        }
        is_known
    }

    /// Applies a verdict, such as one from the store. An expired verdict is recorded too, since it
    /// lengthens the term of the next one.
    pub fn condemn(&mut self, request: Fingerprint, verdict: Verdict) {
        let known = self.verdicts.entry(request).or_insert(verdict);
        if known.until < verdict.until {
            *known = verdict;
        }
        while self.verdicts.len() > MAX_VERDICTS {
            let first = self.verdicts.iter().min_by_key(|(_, it)| it.until);
            let Some(request) = first.map(|(request, _)| *request) else {
                break;
            };
            self.verdicts.remove(&request);
        }
        self.update_blame();
    }

    /// Returns the newest verdicts, up to [`MAX_EXPORTED_VERDICTS`], and all crashes, for a node
    /// that has just started.
    pub fn export(&self, now: Time) -> Export {
        let mut verdicts: Vec<_> = self.verdicts.iter().collect();
        verdicts.sort_unstable_by_key(|(request, verdict)| Reverse((verdict.until, **request)));
        verdicts.truncate(MAX_EXPORTED_VERDICTS);
        let verdicts = verdicts
            .into_iter()
            .map(|(request, verdict)| export::Verdict {
                request: *request,
                left: verdict.until.since(now),
                ended: now.since(verdict.until),
                times: verdict.times,
                is_doubtful: verdict.is_doubtful,
            });
        let incidents = self
            .incidents
            .iter()
            .map(|(crash, incident)| export::Incident {
                crash: crash.clone(),
                age: now.since(incident.since),
                requests: incident
                    .requests
                    .iter()
                    .map(|(it, at)| (*it, *at))
                    .collect(),
                parts: incident
                    .parts
                    .iter()
                    .map(|(part, runs)| export::Part {
                        part: *part,
                        position: runs.position,
                        ran: incident.since.since(runs.began),
                        requests: runs.requests.iter().copied().collect(),
                    })
                    .collect(),
            });
        Export {
            verdicts: verdicts.collect(),
            incidents: incidents.collect(),
        }
    }

    /// Adds what another node has exported.
    pub fn import(&mut self, now: Time, export: Export) {
        for verdict in export.verdicts {
            let until = now + verdict.left - verdict.ended;
            let of_peer = Verdict {
                until,
                times: verdict.times,
                is_doubtful: verdict.is_doubtful,
            };
            self.condemn(verdict.request, of_peer);
        }
        for incident in export.incidents {
            let observed = now - incident.age;
            for (request, stage) in incident.requests {
                self.add_crash(observed, incident.crash.clone(), request, stage);
            }
            if let Some(known) = self.incidents.get_mut(&incident.crash) {
                for part in incident.parts {
                    for request in part.requests {
                        let of = std::iter::once((part.position, part.part));
                        known.add_parts(observed, request, part.ran, of);
                    }
                }
            }
        }
        self.update_blame();
    }

    /// Returns the verdicts that are due, and drops expired records.
    pub fn step(&mut self, now: Time) -> Vec<Condemnation> {
        self.expire(now);
        if self.is_stale {
            self.update_blame();
        }
        let mut reached = Vec::new();
        // A part explains the crashes of all requests with it, so it goes first.
        while let Some(condemnation) = self.next_part(now).or_else(|| self.next(now)) {
            let verdict = Verdict {
                until: now + condemnation.term,
                times: condemnation.times,
                is_doubtful: condemnation.is_doubtful,
            };
            self.verdicts.remove(&condemnation.request);
            self.condemn(condemnation.request, verdict);
            reached.push(condemnation);
        }
        reached
    }

    /// Returns the verdict on the request with the most blame, if one is due. The crashes
    /// that it explains count against no other request, so the blame is recomputed after
    /// each verdict.
    fn next(&self, now: Time) -> Option<Condemnation> {
        let due = self.blame.iter().filter(|(request, blame)| {
            self.is_due(**request, blame) && blame.newest + SETTLE_DELAY <= now
        });
        let (request, _) = due.max_by_key(|(request, blame)| (blame.weight, **request))?;
        let crashes = self.unexplained();
        let crashes = crashes.filter(|(_, incident)| incident.requests.contains_key(request));
        let crashes = crashes.map(|(crash, _)| crash.clone()).collect();
        Some(self.condemnation(*request, crashes, FIRST_TERM))
    }

    /// Returns the verdict on the part with the most blame, if one is due.
    fn next_part(&self, now: Time) -> Option<Condemnation> {
        let due = self.parts.blame.iter().filter(|(part, blame)| {
            let is_due = blame.is_due() || self.verdicts.contains_key(*part);
            is_due && blame.newest + SETTLE_DELAY <= now
        });
        let (part, _) = due.max_by_key(|(part, blame)| (blame.weight, **part))?;
        let crashes = part::crashes(*part, self.unexplained_by_parts());
        Some(self.condemnation(*part, crashes, FIRST_PART_TERM))
    }

    fn condemnation(
        &self,
        request: Fingerprint,
        crashes: Vec<Crash>,
        first_term: Duration,
    ) -> Condemnation {
        let before = self.verdicts.get(&request).map_or(0, |it| it.times);
        let (term, is_doubtful) = term::next(first_term, before, self.is_doubtful(request));
        Condemnation {
            request,
            others: self.ends.beside(&crashes),
            crashes,
            term,
            times: before + 1,
            is_doubtful,
        }
    }

    fn expire(&mut self, now: Time) {
        self.completions
            .retain(|_, completion| now.since(completion.at) < COMPLETION_TTL);
        self.parts.expire(now);
        let before = (self.incidents.len(), self.verdicts.len());
        self.incidents
            .retain(|_, incident| now.since(incident.since) < CRASH_TTL);
        self.verdicts
            .retain(|_, verdict| now < verdict.until + FIRST_TERM);
        if before != (self.incidents.len(), self.verdicts.len()) {
            self.update_blame();
        }
    }

    /// True if too few of the crashes under a request or part happened by themselves. Crashes that an
    /// earlier verdict on it rested on count as well.
    fn is_doubtful(&self, request: Fingerprint) -> bool {
        let is_involved = |incident: &Incident| {
            incident.requests.contains_key(&request) || incident.parts.contains_key(&request)
        };
        let involved = self.incidents.iter();
        let involved = involved.filter(|(_, incident)| is_involved(incident));
        let involved: Vec<_> = involved.map(|(crash, _)| crash.clone()).collect();
        let is_explained = |crash: &Crash| {
            let incident = self.incidents.get(crash);
            incident.is_some_and(|incident| {
                self.is_explained_by_parts(incident) || self.is_explained_by_requests(incident)
            })
        };
        self.ends.lone(&involved, is_explained) < MIN_LONE_CRASHES.min(involved.len())
    }

    fn is_condemned(&self, now: Time, request: Fingerprint) -> bool {
        let verdict = self.verdicts.get(&request);
        verdict.is_some_and(|verdict| verdict.is_active(now))
    }

    /// True if a verdict on the request or part explains a crash at this time: it was reached after
    /// the crash, or still lasted.
    fn explains(&self, subject: Fingerprint, crash: Time) -> bool {
        let verdict = self.verdicts.get(&subject);
        verdict.is_some_and(|verdict| verdict.is_active(crash))
    }

    fn is_explained_by_parts(&self, incident: &Incident) -> bool {
        let mut parts = incident.parts.keys();
        parts.any(|part| self.explains(*part, incident.since))
    }

    fn is_explained_by_requests(&self, incident: &Incident) -> bool {
        let mut requests = incident.requests.keys();
        requests.any(|request| self.explains(*request, incident.since))
    }

    /// Returns the crashes that no verdict on a part explains.
    fn unexplained_by_parts(&self) -> impl Iterator<Item = (&Crash, &Incident)> {
        let all = self.incidents.iter();
        all.filter(|(_, incident)| !self.is_explained_by_parts(incident))
    }

    /// Returns the crashes that no verdict on a part or a request explains.
    fn unexplained(&self) -> impl Iterator<Item = (&Crash, &Incident)> {
        let crashes = self.unexplained_by_parts();
        crashes.filter(|(_, incident)| !self.is_explained_by_requests(incident))
    }

    /// Recomputes the blame of each request.
    pub fn update_blame(&mut self) {
        self.is_stale = false;
        let mut parts = std::mem::take(&mut self.parts);
        let incidents = self.unexplained_by_parts().map(|(_, incident)| incident);
        parts.update_blame(incidents, |request, crash| self.explains(request, crash));
        self.parts = parts;
        let incidents = self.unexplained().map(|(_, incident)| incident);
        self.blame = blame::assign(incidents);
    }
}
