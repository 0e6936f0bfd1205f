//! How long quarantines last.

use std::time::Duration;

use super::super::Fingerprint;
use super::{Evidence, Subject, Verdict};
use crate::clock::Time;

/// Duration of a first quarantine; each further one of the same request doubles it.
pub(super) const FIRST_TERM: Duration = Duration::from_secs(900);
/// The same of a part. It is shorter, because a verdict on the wrong part refuses many requests.
pub(super) const FIRST_PART_TERM: Duration = Duration::from_secs(120);
/// Duration of a first quarantine that rests on crashes beside others, which may have had another
/// cause.
pub(super) const FIRST_DOUBTFUL_TERM: Duration = Duration::from_secs(2);
/// Factor from one doubtful quarantine to the next.
const DOUBTFUL_FACTOR: u32 = 4;
/// Limit on the doubtful quarantines of one request. The runs after them are trials that it had to
/// itself, so endpoints that crash there are no coincidence any more.
const MAX_DOUBTFUL: u32 = 3;
/// Limit on the doublings.
const MAX_DOUBLINGS: u32 = 5;

/// A run that may show whether the cause of a quarantine that has ended is gone. The next quarantine
/// begins with it, and the run's completion ends that one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The request or the part of prompts.
    pub subject: Fingerprint,
    /// Time since the end of the last quarantine.
    pub ended: Duration,
    /// Duration of the next one.
    pub term: Duration,
    /// Number of verdicts, including the next one.
    pub times: u32,
    /// Whether the evidence is doubtful.
    pub is_doubtful: bool,
}

/// Returns the duration of a quarantine after `before` others of the same request or part, and
/// whether it is doubtful.
pub(super) fn next(first: Duration, before: u32, is_doubtful: bool) -> (Duration, bool) {
    if is_doubtful && before < MAX_DOUBTFUL {
        (FIRST_DOUBTFUL_TERM * DOUBTFUL_FACTOR.pow(before), true)
    } else {
        (first * 2_u32.pow(before.min(MAX_DOUBLINGS)), false)
    }
}

impl Evidence {
    /// Returns the trials that a run of the request is: one for each verdict on it, or on a part of
    /// its prompt, that has ended.
    pub fn trials(&self, now: Time, subject: &Subject) -> Vec<Trial> {
        let trial = |subject: Fingerprint, first| {
            let verdict = self.verdicts.get(&subject)?;
            (!verdict.is_active(now)).then(|| verdict.trial(now, subject, first))
        };
        let parts = subject.parts.iter();
        let parts = parts.filter_map(|part| trial(*part, FIRST_PART_TERM));
        let request = trial(subject.request, FIRST_TERM);
        request.into_iter().chain(parts).collect()
    }
}

impl Verdict {
    fn trial(&self, now: Time, subject: Fingerprint, first: Duration) -> Trial {
        let (term, is_doubtful) = next(first, self.times, self.is_doubtful);
        Trial {
            subject,
            ended: now.since(self.until),
            term,
            times: self.times + 1,
            is_doubtful,
        }
    }
}
