//! Outlier detection: distinguishes an endpoint that fails its requests from
//! requests that fail on every endpoint.
//!
//! An endpoint may return errors while its health check passes. It returns them
//! within milliseconds, so its slots are always free, and balancing by load alone
//! would send it most requests: in a fleet of 71 endpoints, six such endpoints
//! attracted 7,340 of 21,710 requests. Some batch items fail on every endpoint, so
//! an endpoint's error rate is compared with that of the others.

use super::message::Class;

/// Weights of an error and of a good answer in an endpoint's error rate. Three errors
/// in quick succession raise it to [`MIN_OUTLIER_RATE`], and five consecutive good answers
/// lower it to [`HEALTHY_RATE`], which an endpoint that fails 40% of its requests rarely
/// reaches.
const ERROR_WEIGHT: f64 = 0.2;
const GOOD_WEIGHT: f64 = 0.3;
/// Minimum error rate of an outlier. Endpoints that lose 6% of their
/// answers have two consecutive failures every few seconds and must stay in use.
const MIN_OUTLIER_RATE: f64 = 0.45;
/// Factor by which an outlier's error rate must exceed the median of the others.
const OUTLIER_FACTOR: f64 = 3.0;
/// Error rate below which an endpoint is healthy.
const HEALTHY_RATE: f64 = 0.1;

/// Moving averages of an endpoint's error rate by class. Batch items that always fail
/// do not indicate that online requests fail.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ErrorRates {
    online: f64,
    batch: f64,
}

impl ErrorRates {
    pub(super) fn rate(&self, class: Class) -> f64 {
        match class {
            Class::Online => self.online,
            Class::Batch => self.batch,
        }
    }

    pub(super) fn record(&mut self, class: Class, good: bool) {
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

    pub(super) fn is_healthy(&self) -> bool {
        self.worst() < HEALTHY_RATE
    }

    /// Number of `slots` that an endpoint on trial gets: one at first, and more with
    /// each good answer.
    pub(super) fn trial_slots(&self, slots: u32) -> u32 {
        if self.is_healthy() {
            return slots.min(1);
        }
        let share = (1.0 - self.worst() / MIN_OUTLIER_RATE).max(0.0);
        // The value is between 0 and the slots of one endpoint.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let earned = (f64::from(slots.saturating_sub(1)) * share) as u32;
        slots.min(1 + earned)
    }

    fn worst(&self) -> f64 {
        self.online.max(self.batch)
    }
}

/// True when an endpoint with this error rate is an outlier if the others' rates are low.
pub(super) fn may_be_outlier(rate: f64) -> bool {
    rate >= MIN_OUTLIER_RATE
}

/// True when an endpoint with this error rate is an outlier. Without other endpoints
/// there is no alternative, so it never is.
pub(super) fn is_outlier(rate: f64, others: &mut [f64]) -> bool {
    if !may_be_outlier(rate) || others.is_empty() {
        return false;
    }
    let middle = others.len() / 2;
    let (_, median, _) = others.select_nth_unstable_by(middle, f64::total_cmp);
    rate >= *median * OUTLIER_FACTOR
}
