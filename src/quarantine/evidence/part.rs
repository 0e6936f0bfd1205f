//! Which part of the prompts is to blame when endpoints crash under requests that differ.
//!
//! A part is condemned if endpoint after endpoint crashed under it, each in a run that began after
//! the crash before, and no request with it completed meanwhile. Of several such parts, one that has
//! completed before, was at fewer crashes or stands earlier in the prompt is the less likely cause:
//! many sound requests share it. docs/design/quarantine.md compares the alternatives.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::{CONDEMN_WEIGHT, Crash, Incident, MAX_REQUESTS, Stage};
use crate::clock::Time;
use crate::quarantine::Fingerprint;

/// Weight at which a part is condemned that many requests may share, or while few complete without
/// it: five crashes. A part is shared if it has completed before, or a later part of the prompt was
/// at several of its crashes, which is condemned first if it is the cause.
const DOUBTFUL_CONDEMN_WEIGHT: u32 = 10;
/// Number of requests without a part that have to complete since it is blamed, so that it stands
/// out. Where nothing completes, as while all endpoints are down, the cause may be any other.
const MIN_CONTRAST: u32 = 16;
/// Number of its crashes at which the same later part makes a part a shared one.
const MIN_COMMON_CRASHES: usize = 2;
/// Weight at which requests with the part run one at a time: two crashes.
const SUSPECT_WEIGHT: u32 = 4;
/// A part that completed within this time is not blamed for a crash.
const RECENT_COMPLETION: Duration = Duration::from_secs(1);
/// How long a completion is remembered, to tell which of several parts has run well before.
const COMPLETION_TTL: Duration = Duration::from_secs(600);
/// Minimum interval between reports of a part's completion to other nodes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on the parts whose last completion is remembered.
const MAX_COMPLETIONS: usize = 4_096;
/// Minimum interval between two searches for old completions, when there is no room.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// A run that had written this many pieces of its answer is not blamed by the parts of its prompt:
/// such a part crashes an endpoint as it begins to write.
const MAX_WRITTEN: u32 = 8;
/// A run that failed sooner without any output did not begin: its endpoint had crashed before.
const MIN_RAN: Duration = Duration::from_millis(5);

/// How a request was running when its endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// The stage of the run.
    pub stage: Stage,
    /// How long it ran.
    pub ran: Duration,
    /// The parts of the prompt that may be to blame, in order.
    pub parts: Vec<Fingerprint>,
}

impl Ran {
    /// Describes a run that lasted `ran` and had written this many pieces of its answer.
    pub fn new(ran: Duration, written: u32, parts: &[Fingerprint]) -> Self {
        let has_begun = written > 0 || ran >= MIN_RAN;
        let parts = if has_begun && written < MAX_WRITTEN {
            parts
        } else {
            &[]
        };
        Self {
            stage: Stage::of(ran),
            ran,
            parts: parts.to_vec(),
        }
    }
}

impl From<Stage> for Ran {
    /// Describes a run of a request without parts.
    fn from(stage: Stage) -> Self {
        Self {
            stage,
            ran: Duration::ZERO,
            parts: Vec::new(),
        }
    }
}

/// The runs of requests with one part at a crash.
#[derive(Clone, Debug)]
pub(super) struct Runs {
    /// When the last of them began.
    pub(super) began: Time,
    /// Its place in the prompt.
    pub(super) position: usize,
    pub(super) requests: BTreeSet<Fingerprint>,
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    at: Time,
    reported: Option<Time>,
}

/// Blame of a part for the crashes that no verdict on a part explains.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blame {
    pub(super) weight: u32,
    pub(super) newest: Time,
    last_completion: Option<Time>,
    position: usize,
    /// A later part of the prompt was at several of these crashes.
    is_shared: bool,
    /// Number of requests without the part that have completed since it is blamed.
    contrast: u32,
    /// At one of these crashes another part is the more likely cause, or one request was at all of
    /// them.
    is_outranked: bool,
}

impl Blame {
    /// True when the part is the most likely cause of enough crashes.
    pub(super) fn is_due(&self) -> bool {
        self.has_enough() && !self.is_outranked
    }

    fn has_enough(&self) -> bool {
        let is_shared = self.is_shared || self.last_completion.is_some();
        let stands_out = self.contrast >= MIN_CONTRAST;
        let is_doubtful = is_shared || !stands_out;
        if is_doubtful {
            // Nothing distinguishes a shared part from the cause where nothing completes.
            self.weight >= DOUBTFUL_CONDEMN_WEIGHT && (stands_out || !is_shared)
        } else {
            self.weight >= CONDEMN_WEIGHT
        }
    }

    /// True when requests with the part run one at a time.
    pub(super) fn is_suspect(&self) -> bool {
        self.weight >= SUSPECT_WEIGHT && !self.is_outranked
    }

    /// Orders parts by how likely they are the cause. One that has completed, or later than another,
    /// or that stands earlier in the prompt, is less likely even where it was at more crashes.
    fn rank(&self, part: Fingerprint) -> impl Ord {
        let last = Reverse(self.last_completion);
        (self.has_enough(), last, self.position, self.weight, part)
    }
}

/// What is known of the parts of prompts.
#[derive(Debug, Default)]
pub(super) struct Parts {
    pub(super) blame: HashMap<Fingerprint, Blame>,
    completions: HashMap<Fingerprint, Completion>,
    /// Number of requests without each blamed part that have completed since.
    contrast: HashMap<Fingerprint, u32>,
    /// When old completions were last dropped for lack of room.
    purged: Time,
}

impl Parts {
    /// Returns those of the parts that have not completed recently, with their places.
    pub(super) fn blamable<'a>(
        &'a self,
        now: Time,
        parts: &'a [Fingerprint],
    ) -> impl Iterator<Item = (usize, Fingerprint)> {
        let is_recent = move |part: &Fingerprint| {
            let completion = self.completions.get(part);
            completion.is_some_and(|it| now.since(it.at) < RECENT_COMPLETION)
        };
        let parts = parts.iter().copied().enumerate();
        parts.filter(move |(_, part)| !is_recent(part))
    }

    /// Returns those of the parts that have completed recently and whose completion is due to be
    /// reported to other nodes, which may blame them.
    pub(super) fn take_reports(&mut self, now: Time, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut due = Vec::new();
        for part in parts {
            if let Some(completion) = self.completions.get_mut(part)
                && now.since(completion.at) < RECENT_COMPLETION
                && completion
                    .reported
                    .is_none_or(|reported| now.since(reported) >= REPORT_INTERVAL)
            {
                completion.reported = Some(now);
                due.push(*part);
            }
        }
        due
    }

    /// Records that a request with the part completed.
    pub(super) fn add_completion(&mut self, now: Time, part: Fingerprint) {
        if let Some(completion) = self.completions.get_mut(&part) {
            completion.at = now;
            return;
        }
        if self.completions.len() >= MAX_COMPLETIONS {
            self.purge(now);
        }
        if self.completions.len() < MAX_COMPLETIONS {
            let reported = None;
            self.completions
                .insert(part, Completion { at: now, reported });
        }
    }

    /// Records that a request with these parts completed, which shows the others in contrast.
    pub(super) fn add_contrast(&mut self, parts: &[Fingerprint]) {
        for (part, blame) in &mut self.blame {
            if !parts.contains(part) {
                blame.contrast += 1;
                self.contrast.insert(*part, blame.contrast);
            }
        }
    }

    /// Drops what is not recent, so that parts which complete now find room.
    fn purge(&mut self, now: Time) {
        if now.since(self.purged) < PURGE_INTERVAL {
            return;
        }
        self.purged = now;
        self.completions
            .retain(|_, completion| now.since(completion.at) < RECENT_COMPLETION);
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.completions
            .retain(|_, completion| now.since(completion.at) < COMPLETION_TTL);
    }

    /// Recomputes the blame of each part from the crashes that no verdict on a part explains. A
    /// condemned request explains a crash for the parts that it doesn't have itself.
    pub(super) fn update_blame<'a, I, C>(&mut self, incidents: I, explains: C)
    where
        I: Iterator<Item = &'a Incident>,
        C: Fn(Fingerprint, Time) -> bool,
    {
        let mut incidents: Vec<&Incident> = incidents.collect();
        incidents.sort_by_key(|incident| incident.since);
        let mut tallies: BTreeMap<Fingerprint, Tally> = BTreeMap::new();
        for incident in &incidents {
            let requests = incident.requests.keys();
            let condemned: Vec<_> = requests
                .filter(|it| explains(**it, incident.since))
                .collect();
            for (part, runs) in &incident.parts {
                let has_part = |request: &&Fingerprint| runs.requests.contains(*request);
                if condemned.iter().all(has_part) {
                    tallies.entry(*part).or_default().add(incident, runs);
                }
            }
        }
        let candidates = tallies.iter_mut();
        for (part, tally) in candidates.filter(|(_, tally)| tally.weight >= CONDEMN_WEIGHT) {
            tally.is_shared = is_shared(*part, tally.position, &incidents);
        }
        self.blame = tallies
            .iter()
            .map(|(part, tally)| {
                let completion = self.completions.get(part);
                let blame = Blame {
                    contrast: self.contrast.get(part).copied().unwrap_or_default(),
                    ..tally.blame(completion.map(|it| it.at))
                };
                (*part, blame)
            })
            .collect();
        self.contrast.retain(|part, _| tallies.contains_key(part));
        let mut outranked = BTreeSet::new();
        for incident in incidents {
            let rank = |part: &Fingerprint| self.blame.get(part).map(|it| it.rank(*part));
            let most_likely = incident.parts.keys().max_by_key(|part| rank(part));
            let parts = incident.parts.keys();
            let others = parts.filter(|part| Some(*part) != most_likely);
            outranked.extend(others.copied());
        }
        for part in outranked {
            if let Some(blame) = self.blame.get_mut(&part) {
                blame.is_outranked = true;
            }
        }
    }
}

/// The crashes of a part so far, in order of time.
#[derive(Default)]
struct Tally {
    crashes: usize,
    /// Weight of the crashes whose run began after the crash before.
    weight: u32,
    counted: Option<Time>,
    newest: Time,
    position: usize,
    is_shared: bool,
    /// The number of these crashes that each request was at, with the part or without.
    by_request: BTreeMap<Fingerprint, usize>,
}

impl Tally {
    fn add(&mut self, incident: &Incident, runs: &Runs) {
        self.crashes += 1;
        // Runs that were under way at the crash before may have ended by the same cause, such as
        // the loss of a zone.
        if self.counted.is_none_or(|counted| runs.began > counted) {
            self.weight += Stage::of(incident.since.since(runs.began)).weight();
            self.counted = Some(incident.since);
        }
        self.newest = self.newest.max(incident.last_observed);
        self.position = self.position.max(runs.position);
        for request in incident.requests.keys() {
            *self.by_request.entry(*request).or_default() += 1;
        }
    }

    fn blame(&self, last_completion: Option<Time>) -> Blame {
        // A request that was at all of these crashes may crash endpoints by itself.
        let is_request = self.by_request.values().any(|count| *count == self.crashes);
        Blame {
            weight: self.weight,
            newest: self.newest,
            last_completion,
            position: self.position,
            is_shared: self.is_shared,
            contrast: 0,
            is_outranked: is_request,
        }
    }
}

/// Returns true if one later part of the prompt was at several of a part's crashes.
fn is_shared(part: Fingerprint, position: usize, incidents: &[&Incident]) -> bool {
    let mut common: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    let own = incidents.iter().filter(|it| it.parts.contains_key(&part));
    for (other, runs) in own.flat_map(|incident| &incident.parts) {
        if runs.position > position {
            *common.entry(*other).or_default() += 1;
        }
    }
    common.values().any(|count| *count >= MIN_COMMON_CRASHES)
}

impl Incident {
    /// Adds the parts of a request that ran at the crash.
    pub(super) fn add_parts<P>(&mut self, now: Time, request: Fingerprint, ran: Duration, parts: P)
    where
        P: Iterator<Item = (usize, Fingerprint)>,
    {
        for (position, part) in parts {
            if self.parts.len() >= MAX_REQUESTS && !self.parts.contains_key(&part) {
                continue;
            }
            let began = now - ran;
            let runs = self.parts.entry(part).or_insert_with(|| Runs {
                began,
                position,
                requests: BTreeSet::new(),
            });
            runs.began = runs.began.max(began);
            runs.position = runs.position.max(position);
            if runs.requests.len() < MAX_REQUESTS {
                runs.requests.insert(request);
            }
        }
    }

    /// Returns the parts of a request that ran at the crash, in order, and how long it ran.
    pub(super) fn parts_of(&self, request: Fingerprint) -> (Vec<Fingerprint>, Duration) {
        let own = self.parts.iter();
        let mut own: Vec<_> = own
            .filter(|(_, runs)| runs.requests.contains(&request))
            .collect();
        own.sort_by_key(|(_, runs)| runs.position);
        let began = own.iter().map(|(_, runs)| runs.began).max();
        let ran = began.map_or(Duration::ZERO, |began| self.since.since(began));
        (own.into_iter().map(|(part, _)| *part).collect(), ran)
    }
}

/// Returns the crashes that involve a part.
pub(super) fn crashes<'a, I>(part: Fingerprint, incidents: I) -> Vec<Crash>
where
    I: Iterator<Item = (&'a Crash, &'a Incident)>,
{
    let involved = incidents.filter(|(_, incident)| incident.parts.contains_key(&part));
    involved.map(|(crash, _)| crash.clone()).collect()
}
