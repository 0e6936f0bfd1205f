//! Telling an endpoint that fails its requests from requests that fail wherever
//! they go.
//!
//! An endpoint may answer errors while its health check is good. It answers
//! them within milliseconds, so its slots are always free, and placing by load
//! alone would send it most requests: before a fleet of 71 endpoints, six such
//! ones drew 7,340 of 21,710 requests. Some batch items can never be done, and
//! every endpoint answers them with an error; so an endpoint is judged by
//! comparison with the others.

use super::message::Class;

/// Weight of an error in an endpoint's rate, and of a good answer. Three errors
/// close to each other make an endpoint suspect, and five good answers in a row
/// make it sound again; one that fails four in ten rarely gets there.
const ERROR_WEIGHT: f64 = 0.2;
const GOOD_WEIGHT: f64 = 0.3;
/// The rate from which an endpoint is suspect. Endpoints that lose six answers
/// in a hundred fail two in a row every few seconds, and are worth keeping.
const SUSPECT: f64 = 0.45;
/// How far above the others a suspect endpoint's rate must be.
const OTHERS: f64 = 3.0;
/// The rate below which an endpoint is sound.
const SOUND: f64 = 0.1;

/// The part of an endpoint's last answers that were errors, by class: batch
/// items that can't be done say nothing about questions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Faults {
    online: f64,
    batch: f64,
}

impl Faults {
    pub(super) fn rate(&self, class: Class) -> f64 {
        match class {
            Class::Online => self.online,
            Class::Batch => self.batch,
        }
    }

    pub(super) fn answered(&mut self, class: Class, good: bool) {
        let rate = match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        *rate = if good {
            *rate * (1.0 - GOOD_WEIGHT)
        } else {
            *rate + ERROR_WEIGHT * (1.0 - *rate)
        };
    }

    pub(super) fn is_sound(&self) -> bool {
        self.worst() < SOUND
    }

    /// How many of `slots` an endpoint on trial gets: one at first, and more as
    /// good answers come.
    pub(super) fn trial(&self, slots: u32) -> u32 {
        if self.is_sound() {
            return slots.min(1);
        }
        let trust = (1.0 - self.worst() / SUSPECT).max(0.0);
        // Between 0 and the slots of one endpoint.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let earned = (f64::from(slots.saturating_sub(1)) * trust) as u32;
        slots.min(1 + earned)
    }

    fn worst(&self) -> f64 {
        self.online.max(self.batch)
    }
}

/// True when an endpoint with this rate fails what other endpoints don't.
/// Without others there is nowhere else to go.
pub(super) fn is_outlier(rate: f64, others: &mut [f64]) -> bool {
    if rate < SUSPECT || others.is_empty() {
        return false;
    }
    let middle = others.len() / 2;
    let (_, median, _) = others.select_nth_unstable_by(middle, f64::total_cmp);
    rate >= *median * OTHERS
}
