//! How long answers take, so that a leaving node accepts only requests that can end before it
//! exits; docs/design/leaving.md compares the alternatives.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;

/// Time after which a window of observations is replaced. The estimate covers one to two windows.
const WINDOW: Duration = Duration::from_secs(10);
/// Time to the first event while nothing has been observed; an endpoint that is five times as slow
/// as usual takes 150 ms.
const INITIAL_FIRST: Duration = Duration::from_millis(300);
/// Time per output token while nothing has been observed: three times that of a usual model.
const INITIAL_PER_TOKEN: Duration = Duration::from_millis(10);
/// Output that is assumed of a request that declares none while nothing has been observed.
const INITIAL_OUTPUT: u32 = 100;

/// Slowest of the recent observations of a duration.
#[derive(Clone, Copy, Debug, Default)]
struct Slowest {
    since: Time,
    /// Seconds in this window and in the one before.
    current: Option<f64>,
    previous: Option<f64>,
}

impl Slowest {
    fn advance(&mut self, now: Time) {
        let passed = now.since(self.since);
        if passed < WINDOW {
            return;
        }
        self.previous = self.current.filter(|_| passed < WINDOW * 2);
        self.current = None;
        self.since = now;
    }

    fn record(&mut self, now: Time, seconds: f64) {
        self.advance(now);
        self.current = Some(self.current.map_or(seconds, |it| it.max(seconds)));
    }

    fn seconds(mut self, now: Time) -> Option<f64> {
        self.advance(now);
        match (self.current, self.previous) {
            (Some(current), Some(previous)) => Some(current.max(previous)),
            (current, previous) => current.or(previous),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Service {
    first: Slowest,
    per_token: Slowest,
    /// Answers to requests that declare no output, from their beginning to their end.
    undeclared: Slowest,
}

/// The slowest recent answers of each service.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    services: HashMap<Name, Service>,
}

impl Pace {
    /// Records that an endpoint of `service` began its answer `took` after it was granted.
    pub fn record_first(&mut self, now: Time, service: &Name, took: Duration) {
        let service = self.service(service);
        service.first.record(now, took.as_secs_f64());
    }

    /// Records that an answer of at most `output` tokens, 0 if its request declares none, ended
    /// `took` after it had begun.
    pub fn record_rest(&mut self, now: Time, service: &Name, output: u32, took: Duration) {
        let service = self.service(service);
        let seconds = took.as_secs_f64();
        if output == 0 {
            service.undeclared.record(now, seconds);
        } else {
            service.per_token.record(now, seconds / f64::from(output));
        }
    }

    /// Returns how long an answer of at most `output` tokens takes from its grant if its endpoint
    /// is as slow as the slowest recent one. What is not known of the service is taken from the
    /// slowest of the others.
    pub fn estimate(&self, now: Time, service: &Name, output: u32) -> Duration {
        self.estimate_first(now, service) + self.estimate_rest(now, service, output)
    }

    /// Returns how long an answer takes from its grant to its beginning.
    pub fn estimate_first(&self, now: Time, service: &Name) -> Duration {
        let first = self.seconds(now, service, |it| it.first);
        first.map_or(INITIAL_FIRST, Duration::from_secs_f64)
    }

    /// Returns how long it takes from its beginning to its end.
    pub fn estimate_rest(&self, now: Time, service: &Name, output: u32) -> Duration {
        let undeclared = self.seconds(now, service, |it| it.undeclared);
        if let (0, Some(seconds)) = (output, undeclared) {
            return Duration::from_secs_f64(seconds);
        }
        let per_token = self.seconds(now, service, |it| it.per_token);
        let per_token = per_token.map_or(INITIAL_PER_TOKEN, Duration::from_secs_f64);
        per_token * if output == 0 { INITIAL_OUTPUT } else { output }
    }

    fn service(&mut self, name: &Name) -> &mut Service {
        self.services.entry(name.clone()).or_default()
    }

    fn seconds<P>(&self, now: Time, service: &Name, part: P) -> Option<f64>
    where
        P: Fn(&Service) -> Slowest,
    {
        let own = self.services.get(service);
        own.and_then(|it| part(it).seconds(now)).or_else(|| {
            let all = self.services.values();
            all.filter_map(|it| part(it).seconds(now))
                .max_by(f64::total_cmp)
        })
    }
}
