//! Limits and injected faults of the platform's stand-in, as a pure state
//! machine.
//!
//! [`Injector::decide`] determines for each operation whether it is refused,
//! delayed, or loses its answer. All randomness comes from one seed, so that a
//! failure found in a test can be replayed.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::Vm;
use crate::clock::Time;
use crate::name::Name;

/// Retry delay of operations that are refused during an outage.
const OUTAGE_RETRY: Duration = Duration::from_millis(500);
/// Capacity of a bucket as a fraction of its rate per second, so that a limit per
/// second is strict over any longer time.
const BURST_FRACTION: f64 = 0.25;

/// A command that changes the behaviour of the stand-in, as JSON such as
/// `{"outage":{"ms":5000}}` or `"clear"`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Ends every injected fault; limits, lag and the list of VMs stay.
    Clear,
    /// All operations fail for a time, or until [`Command::Clear`].
    Outage {
        /// Duration in milliseconds; until cleared if absent.
        #[serde(default)]
        ms: Option<u64>,
        /// True to leave operations unanswered instead of refusing them.
        #[serde(default)]
        silent: bool,
    },
    /// Delays each operation before it takes effect.
    Slow {
        /// Minimum delay in milliseconds; 0 ends it.
        ms: u64,
        /// Additional random delay of up to this many milliseconds.
        #[serde(default)]
        jitter_ms: u64,
    },
    /// Rate limits for operations of the table and the object store together.
    Limit {
        /// Rows and objects written per second; 0 means unlimited.
        writes: u32,
        /// Reads per second; 0 means unlimited.
        reads: u32,
    },
    /// The next writes of matching keys lose their answers.
    Lose {
        /// Prefix of the row's key or the object's name.
        #[serde(default)]
        prefix: String,
        /// Number of writes.
        count: u32,
        /// True if they do not take effect either.
        #[serde(default)]
        before: bool,
    },
    /// Each write loses its answer with this probability.
    LoseSome {
        /// From 0 to 1.
        probability: f64,
        /// Fraction of them that does not take effect either, from 0 to 1.
        #[serde(default)]
        before: f64,
    },
    /// Lag of the list of VMs.
    Lag {
        /// In milliseconds.
        ms: u64,
    },
    /// Rate limit of the weight store.
    Weight {
        /// Loads per minute; 0 means unlimited.
        per_minute: u32,
        /// Loads admitted in one burst.
        burst: u32,
    },
    /// Adds a VM to the list.
    Register(Vm),
    /// The platform announces that it will remove a VM.
    Leaving {
        /// Name of the VM.
        name: Name,
    },
    /// Removes a VM from the list.
    Remove {
        /// Name of the VM.
        name: Name,
    },
}

/// Kind of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation<'a> {
    /// This many reads.
    Read(u32),
    /// Writes of these keys.
    Write(&'a [&'a str]),
    /// The list of VMs or the weight store, to which the rate limits do not
    /// apply.
    Other,
}

/// Decision about an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is refused without any effect.
    Refuse {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// It has no effect and gets no answer.
    NoAnswer,
    /// It proceeds after a delay.
    Proceed {
        /// Delay before its effect.
        delay: Duration,
        /// Whether its request and answer are delivered.
        delivery: Delivery,
    },
}

/// Delivery of a write request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Both are delivered.
    Answered,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The request is lost and has no effect.
    RequestLost,
}

/// A strict token bucket; a rate of 0 admits everything.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    at: Time,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Time, per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            at: now,
        }
    }

    /// Takes `count` tokens.
    ///
    /// A count above the capacity is admitted when the bucket is full and leaves
    /// it in debt; otherwise it could never be admitted.
    ///
    /// # Errors
    /// The time until enough tokens are available.
    pub fn take(&mut self, now: Time, count: f64) -> Result<(), Duration> {
        if self.per_second <= 0.0 {
            return Ok(());
        }
        let refilled = now.since(self.at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refilled).min(self.burst);
        self.at = self.at.max(now);
        let need = count.min(self.burst);
        if self.tokens >= need {
            self.tokens -= count;
            return Ok(());
        }
        Err(Duration::from_secs_f64(
            (need - self.tokens) / self.per_second,
        ))
    }
}

#[derive(Clone, Debug)]
struct Loss {
    prefix: String,
    count: u32,
    before: bool,
}

/// Decides about each operation.
#[derive(Debug)]
pub struct Injector {
    random: ChaCha8Rng,
    outage_until: Option<Time>,
    silent: bool,
    slow: Duration,
    jitter: Duration,
    writes: Bucket,
    reads: Bucket,
    losses: VecDeque<Loss>,
    loss_probability: f64,
    request_loss_fraction: f64,
}

impl Injector {
    /// Creates an injector without faults or limits.
    pub fn new(now: Time, seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            outage_until: None,
            silent: false,
            slow: Duration::ZERO,
            jitter: Duration::ZERO,
            writes: Bucket::new(now, 0.0, 0.0),
            reads: Bucket::new(now, 0.0, 0.0),
            losses: VecDeque::new(),
            loss_probability: 0.0,
            request_loss_fraction: 0.0,
        }
    }

    /// Changes the faults; commands for the list of VMs or the weight store have
    /// no effect here.
    pub fn command(&mut self, now: Time, command: &Command) {
        match command {
            Command::Clear => {
                self.outage_until = None;
                self.slow = Duration::ZERO;
                self.jitter = Duration::ZERO;
                self.losses.clear();
                self.loss_probability = 0.0;
            }
            Command::Outage { ms, silent } => {
                let until = ms.map_or(Time::MAX, |ms| now + Duration::from_millis(ms));
                self.outage_until = Some(until);
                self.silent = *silent;
            }
            Command::Slow { ms, jitter_ms } => {
                self.slow = Duration::from_millis(*ms);
                self.jitter = Duration::from_millis(*jitter_ms);
            }
            Command::Limit { writes, reads } => {
                self.writes = rate_limit(now, *writes);
                self.reads = rate_limit(now, *reads);
            }
            Command::Lose {
                prefix,
                count,
                before,
            } => self.losses.push_back(Loss {
                prefix: prefix.clone(),
                count: *count,
                before: *before,
            }),
            Command::LoseSome {
                probability,
                before,
            } => {
                self.loss_probability = probability.clamp(0.0, 1.0);
                self.request_loss_fraction = before.clamp(0.0, 1.0);
            }
            Command::Lag { .. }
            | Command::Weight { .. }
            | Command::Register(_)
            | Command::Leaving { .. }
            | Command::Remove { .. } => {}
        }
    }

    /// Decides about one operation.
    pub fn decide(&mut self, now: Time, operation: Operation<'_>) -> Decision {
        if self.outage_until.is_some_and(|until| now < until) {
            return if self.silent {
                Decision::NoAnswer
            } else {
                Decision::Refuse {
                    retry_after: OUTAGE_RETRY,
                }
            };
        }
        let taken = match operation {
            Operation::Read(count) => self.reads.take(now, f64::from(count)),
            Operation::Write(keys) => self.writes.take(now, keys.len().max(1) as f64),
            Operation::Other => Ok(()),
        };
        if let Err(retry_after) = taken {
            return Decision::Refuse { retry_after };
        }
        let jitter = self.jitter.mul_f64(self.random.random::<f64>());
        let delivery = match operation {
            Operation::Write(keys) => self.delivery(keys),
            Operation::Read(_) | Operation::Other => Delivery::Answered,
        };
        Decision::Proceed {
            delay: self.slow + jitter,
            delivery,
        }
    }

    fn delivery(&mut self, keys: &[&str]) -> Delivery {
        let lost = self
            .losses
            .iter_mut()
            .find(|loss| loss.count > 0 && keys.iter().any(|key| key.starts_with(&loss.prefix)))
            .map(|loss| {
                loss.count -= 1;
                loss.before
            });
        self.losses.retain(|loss| loss.count > 0);
        let lost = lost.or_else(|| {
            self.random
                .random_bool(self.loss_probability)
                .then(|| self.random.random_bool(self.request_loss_fraction))
        });
        match lost {
            Some(true) => Delivery::RequestLost,
            Some(false) => Delivery::AnswerLost,
            None => Delivery::Answered,
        }
    }
}

fn rate_limit(now: Time, per_second: u32) -> Bucket {
    let rate = f64::from(per_second);
    Bucket::new(now, rate, (rate * BURST_FRACTION).max(1.0))
}
