//! Which requests are to blame for endpoints that ended, as a decision.
//!
//! Each crash is kept with the requests that ran there. A request that several
//! crashes have in common is condemned; a crash that a condemned request explains
//! blames nobody else. Nodes tell each other single observations, which can come
//! late, twice and in any order, so that every node comes to the same verdict and
//! no node has to live for it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::clock::Time;
use crate::name::Name;

/// Weight of crashes from which a request is condemned: three soon after it began.
const CONDEMNED: u32 = 6;
/// A run that lasted so long was more likely there by chance when its endpoint ended;
/// batch items run for seconds, and are run again after each crash.
const SOON: Duration = Duration::from_secs(2);
/// How long a verdict waits for what other nodes saw of the last crash.
const SETTLE: Duration = Duration::from_millis(800);
/// A request that ran to its end so long ago is not blamed: it was there by chance.
/// One that is sent often runs at many endpoints at once, and so where they end.
const SOUND: Duration = Duration::from_secs(30);
/// How often others are told so.
const TELL_SOUND: Duration = Duration::from_secs(1);
/// How long a crash is remembered.
const CRASH_MEMORY: Duration = Duration::from_secs(600);
/// How long a first verdict lasts; each further one doubles it.
const FIRST_TERM: Duration = Duration::from_secs(900);
/// Most doublings.
const MOST_DOUBLINGS: u32 = 5;
/// Most crashes, requests of one crash, and verdicts that are remembered.
const MAX_CRASHES: usize = 256;
const MAX_REQUESTS: usize = 64;
const MAX_VERDICTS: usize = 4_096;
/// Most requests of which it is remembered that they ran to their end.
const MAX_SOUND: usize = 4_096;

/// An endpoint's process that ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Name,
    /// Its process.
    pub incarnation: u64,
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It may run like any other.
    Clear,
    /// Endpoints ended while it ran there: it runs apart from other suspects, and
    /// once at a time.
    Suspect,
    /// It is about to be condemned; it does not run for so long.
    Held(Duration),
    /// It does not run any more.
    Condemned,
}

/// When in a run its endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Later than [`SOON`] after it began.
    Late,
    /// Soon after it began.
    Early,
}

impl Stage {
    /// Of a run that had lasted for `ran`.
    pub fn of(ran: Duration) -> Self {
        if ran < SOON { Self::Early } else { Self::Late }
    }

    fn weight(self) -> u32 {
        match self {
            Self::Late => 1,
            Self::Early => 2,
        }
    }
}

/// What an observation of a crash was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Added {
    /// News.
    New,
    /// Nothing new, or more than is remembered.
    Ignored,
    /// Wrong: the request has run to its end lately. True when others are to be told.
    Refuted(bool),
}

/// A request that was condemned, and the crashes it is condemned for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condemnation {
    /// The request.
    pub request: Fingerprint,
    /// The endpoints that ended under it.
    pub crashes: Vec<Crash>,
    /// How long it lasts.
    pub term: Duration,
    /// How many verdicts there were, with this one.
    pub times: u32,
}

#[derive(Clone, Debug)]
struct Case {
    since: Time,
    /// When an observation of it last came.
    told: Time,
    requests: BTreeMap<Fingerprint, Stage>,
}

#[derive(Clone, Copy, Debug)]
struct Verdict {
    until: Time,
    times: u32,
}

impl Verdict {
    fn is_active(&self, now: Time) -> bool {
        now < self.until
    }
}

#[derive(Clone, Copy, Debug)]
struct Sound {
    at: Time,
    told: Time,
}

/// What the crashes without an explanation say about a request.
#[derive(Clone, Copy, Debug)]
struct Blame {
    weight: u32,
    newest: Time,
    /// Another one ran at one of them that is to blame as much or more.
    is_outranked: bool,
}

/// What one node knows of crashes and verdicts.
#[derive(Debug, Default)]
pub struct Evidence {
    cases: BTreeMap<Crash, Case>,
    verdicts: HashMap<Fingerprint, Verdict>,
    blame: HashMap<Fingerprint, Blame>,
    /// When requests last ran to their end.
    sound: HashMap<Fingerprint, Sound>,
    /// Something was added that is not weighed yet.
    is_stale: bool,
}

impl Evidence {
    /// How a request stands.
    pub fn status(&self, now: Time, request: Fingerprint) -> Status {
        let verdict = self.verdicts.get(&request);
        if verdict.is_some_and(|verdict| verdict.is_active(now)) {
            return Status::Condemned;
        }
        match self.blame.get(&request) {
            Some(blame) if self.is_due(request, blame) => {
                let settled = blame.newest + SETTLE;
                Status::Held(settled.since(now))
            }
            Some(_) => Status::Suspect,
            None if verdict.is_some() => Status::Suspect,
            None => Status::Clear,
        }
    }

    /// All requests that don't stand like any other.
    pub fn requests(&self) -> impl Iterator<Item = Fingerprint> {
        self.blame.keys().chain(self.verdicts.keys()).copied()
    }

    /// True when nothing else than time is missing for a verdict. One that was
    /// condemned before needs one crash only.
    fn is_due(&self, request: Fingerprint, blame: &Blame) -> bool {
        self.verdicts.contains_key(&request) || blame.weight >= CONDEMNED && !blame.is_outranked
    }

    /// An endpoint ended while the request ran there. It counts from the next
    /// [`Self::update_blame`] or [`Self::step`] on: in a storm the observations of all nodes
    /// come together.
    pub fn add_crash(
        &mut self,
        now: Time,
        crash: Crash,
        request: Fingerprint,
        stage: Stage,
    ) -> Added {
        if let Some(sound) = self.sound.get_mut(&request)
            && now.since(sound.at) < SOUND
        {
            let tells = now.since(sound.told) >= TELL_SOUND;
            if tells {
                sound.told = now;
            }
            return Added::Refuted(tells);
        }
        let case = self.cases.entry(crash).or_insert_with(|| Case {
            since: now,
            told: now,
            requests: BTreeMap::new(),
        });
        let known = case.requests.get(&request).copied();
        if known >= Some(stage) || known.is_none() && case.requests.len() >= MAX_REQUESTS {
            return Added::Ignored;
        }
        case.requests.insert(request, stage);
        case.told = now;
        if self.cases.len() > MAX_CRASHES {
            self.drop_oldest();
        }
        self.is_stale = true;
        Added::New
    }

    fn drop_oldest(&mut self) {
        let oldest = self.cases.iter().min_by_key(|(_, case)| case.since);
        if let Some(crash) = oldest.map(|(crash, _)| crash.clone()) {
            self.cases.remove(&crash);
        }
    }

    /// True when the request ran at an endpoint that ended, as far as is known.
    pub fn is_known(&self, request: Fingerprint) -> bool {
        let ran = |case: &Case| case.requests.contains_key(&request);
        self.cases.values().any(ran)
    }

    /// The request ran to its end: what ended while it ran elsewhere had another
    /// cause. True when that is news to tell.
    pub fn add_completion(&mut self, now: Time, request: Fingerprint) -> bool {
        let known = self.is_known(request);
        let told = match self.sound.get(&request) {
            Some(sound) if !known => sound.told,
            _ => now,
        };
        if self.sound.len() < MAX_SOUND || self.sound.contains_key(&request) {
            self.sound.insert(request, Sound { at: now, told });
        }
        if !known {
            return false;
        }
        for case in self.cases.values_mut() {
            case.requests.remove(&request);
        }
        self.cases.retain(|_, case| !case.requests.is_empty());
        self.update_blame(now);
        true
    }

    /// Takes a verdict that stands in the store and lasts until `until`; one that is
    /// over is remembered all the same.
    pub fn condemn(&mut self, now: Time, request: Fingerprint, until: Time, times: u32) {
        let verdict = Verdict { until, times };
        let known = self.verdicts.entry(request).or_insert(verdict);
        if known.until < until {
            *known = verdict;
        }
        while self.verdicts.len() > MAX_VERDICTS {
            let first = self.verdicts.iter().min_by_key(|(_, it)| it.until);
            let Some(request) = first.map(|(request, _)| *request) else {
                break;
            };
            self.verdicts.remove(&request);
        }
        self.update_blame(now);
    }

    /// Reaches the verdicts that are due, and forgets what is old.
    pub fn step(&mut self, now: Time) -> Vec<Condemnation> {
        self.expire(now);
        if self.is_stale {
            self.update_blame(now);
        }
        let mut reached = Vec::new();
        while let Some(condemnation) = self.next(now) {
            let Condemnation { term, times, .. } = condemnation;
            self.verdicts.remove(&condemnation.request);
            self.condemn(now, condemnation.request, now + term, times);
            reached.push(condemnation);
        }
        reached
    }

    /// The request that is to blame most, if a verdict on it is due. What it
    /// explains blames nobody else, so the others are weighed anew after it.
    fn next(&self, now: Time) -> Option<Condemnation> {
        let due = self.blame.iter().filter(|(request, blame)| {
            self.is_due(**request, blame) && blame.newest + SETTLE <= now
        });
        let (request, _) = due.max_by_key(|(request, blame)| (blame.weight, **request))?;
        let before = self.verdicts.get(request).map_or(0, |it| it.times);
        let crashes = self.open_cases(now);
        let crashes = crashes.filter(|(_, case)| case.requests.contains_key(request));
        Some(Condemnation {
            request: *request,
            crashes: crashes.map(|(crash, _)| crash.clone()).collect(),
            term: FIRST_TERM * 2_u32.pow(before.min(MOST_DOUBLINGS)),
            times: before + 1,
        })
    }

    fn expire(&mut self, now: Time) {
        self.sound.retain(|_, sound| now.since(sound.at) < SOUND);
        let before = (self.cases.len(), self.verdicts.len());
        self.cases
            .retain(|_, case| now.since(case.since) < CRASH_MEMORY);
        self.verdicts
            .retain(|_, verdict| now < verdict.until + FIRST_TERM);
        if before != (self.cases.len(), self.verdicts.len()) {
            self.update_blame(now);
        }
    }

    /// The crashes that no condemned request explains.
    fn open_cases(&self, now: Time) -> impl Iterator<Item = (&Crash, &Case)> {
        let explains = move |request: &Fingerprint| {
            let verdict = self.verdicts.get(request);
            verdict.is_some_and(|verdict| verdict.is_active(now))
        };
        self.cases
            .iter()
            .filter(move |(_, case)| !case.requests.keys().any(explains))
    }

    /// Weighs anew who is to blame for what.
    pub fn update_blame(&mut self, now: Time) {
        self.is_stale = false;
        let mut blame: HashMap<Fingerprint, Blame> = HashMap::new();
        for (_, case) in self.open_cases(now) {
            for (request, stage) in &case.requests {
                let blame = blame.entry(*request).or_insert(Blame {
                    weight: 0,
                    newest: case.told,
                    is_outranked: false,
                });
                blame.weight += stage.weight();
                blame.newest = blame.newest.max(case.told);
            }
        }
        let mut outranked = BTreeSet::new();
        for (_, case) in self.open_cases(now) {
            let weight = |request: &Fingerprint| blame[request].weight;
            let most = case.requests.keys().map(weight).max().unwrap_or(0);
            let at_top = case.requests.keys().filter(|it| weight(it) == most);
            let is_shared = at_top.count() > 1;
            let below = |it: &&Fingerprint| weight(it) < most || is_shared;
            outranked.extend(case.requests.keys().filter(below).copied());
        }
        for request in outranked {
            if let Some(blame) = blame.get_mut(&request) {
                blame.is_outranked = true;
            }
        }
        self.blame = blame;
    }
}
