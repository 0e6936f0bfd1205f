//! Limits and injected faults of the platform's stand-in, as a pure decision.
//!
//! [`Injector::decide`] says for each operation whether it is refused, delayed, or
//! loses its answer. Everything that is random comes from one seed, so that a
//! failure found in a test can be replayed.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::Vm;
use crate::clock::Time;
use crate::name::Name;

/// When to come back after an outage refused an operation.
const OUTAGE_RETRY: Duration = Duration::from_millis(500);
/// A bucket holds this part of a second's tokens, so that a limit of so many a
/// second is hard over any longer time.
const BURST_PART: f64 = 0.25;

/// A command that changes how the stand-in behaves, as JSON such as
/// `{"outage":{"ms":5000}}` or `"clear"`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Ends every injected fault; limits, lag and list stay.
    Clear,
    /// Nothing works for a time, or until [`Command::Clear`].
    Outage {
        /// How long, in milliseconds; until cleared when absent.
        #[serde(default)]
        ms: Option<u64>,
        /// True to leave operations without an answer instead of refusing.
        #[serde(default)]
        silent: bool,
    },
    /// Each operation takes longer, before it has its effect.
    Slow {
        /// Least delay in milliseconds; 0 ends it.
        ms: u64,
        /// Random addition of up to this many milliseconds.
        #[serde(default)]
        jitter_ms: u64,
    },
    /// Bounds on operations of the table and the store together.
    Limit {
        /// Rows and objects written a second; 0 is no bound.
        writes: u32,
        /// Reads a second; 0 is no bound.
        reads: u32,
    },
    /// The next writes of matching keys lose their answers.
    Lose {
        /// What a row's key or an object's name starts with.
        #[serde(default)]
        prefix: String,
        /// How many writes.
        count: u32,
        /// True when they have no effect either.
        #[serde(default)]
        before: bool,
    },
    /// Each write loses its answer with this probability.
    LoseSome {
        /// From 0 to 1.
        probability: f64,
        /// The part of them that has no effect either, from 0 to 1.
        #[serde(default)]
        before: f64,
    },
    /// How far the list of VMs lags.
    Lag {
        /// In milliseconds.
        ms: u64,
    },
    /// Loads that the weight store admits.
    Weight {
        /// Loads a minute; 0 is no bound.
        per_minute: u32,
        /// Loads that may follow each other at once.
        burst: u32,
    },
    /// Puts a VM into the list.
    Register(Vm),
    /// The platform announces that it takes a VM away.
    Leaving {
        /// The VM's name.
        name: Name,
    },
    /// Takes a VM out of the list.
    Remove {
        /// The VM's name.
        name: Name,
    },
}

/// What an operation asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation<'a> {
    /// So many reads.
    Read(u32),
    /// Writes of these keys.
    Write(&'a [&'a str]),
    /// The list of VMs or the weight store, which have no share in the limits.
    Other,
}

/// What becomes of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is refused before any effect.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
    /// It has no effect and gets no answer.
    NoAnswer,
    /// It goes on after a delay.
    Proceed {
        /// The delay before its effect.
        delay: Duration,
        /// What becomes of its effect and its answer.
        fate: Delivery,
    },
}

/// What becomes of a write and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Both arrive.
    Answered,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It is lost before it takes effect.
    RequestLost,
}

/// A hard token bucket; a rate of 0 admits everything.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    at: Time,
}

impl Bucket {
    /// A full bucket.
    pub fn new(now: Time, per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            at: now,
        }
    }

    /// Takes `count` tokens, or says after which time to ask again.
    ///
    /// A count above the whole bucket passes when the bucket is full and leaves
    /// it in debt; otherwise it could never pass.
    ///
    /// # Errors
    /// The time until enough tokens will be there.
    pub fn take(&mut self, now: Time, count: f64) -> Result<(), Duration> {
        if self.per_second <= 0.0 {
            return Ok(());
        }
        let grown = now.since(self.at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + grown).min(self.burst);
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

/// Decides the fate of each operation.
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
    lose_some: f64,
    lose_before: f64,
}

impl Injector {
    /// A gate without faults or limits.
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
            lose_some: 0.0,
            lose_before: 0.0,
        }
    }

    /// Changes the faults; commands that concern the list or the weight store
    /// are not for the gate and change nothing here.
    pub fn command(&mut self, now: Time, command: &Command) {
        match command {
            Command::Clear => {
                self.outage_until = None;
                self.slow = Duration::ZERO;
                self.jitter = Duration::ZERO;
                self.losses.clear();
                self.lose_some = 0.0;
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
                self.writes = limit(now, *writes);
                self.reads = limit(now, *reads);
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
                self.lose_some = probability.clamp(0.0, 1.0);
                self.lose_before = before.clamp(0.0, 1.0);
            }
            Command::Lag { .. }
            | Command::Weight { .. }
            | Command::Register(_)
            | Command::Leaving { .. }
            | Command::Remove { .. } => {}
        }
    }

    /// Says what becomes of one operation.
    pub fn decide(&mut self, now: Time, ask: Operation<'_>) -> Decision {
        if self.outage_until.is_some_and(|until| now < until) {
            return if self.silent {
                Decision::NoAnswer
            } else {
                Decision::Refuse {
                    retry_after: OUTAGE_RETRY,
                }
            };
        }
        let taken = match ask {
            Operation::Read(count) => self.reads.take(now, f64::from(count)),
            Operation::Write(keys) => self.writes.take(now, keys.len().max(1) as f64),
            Operation::Other => Ok(()),
        };
        if let Err(retry_after) = taken {
            return Decision::Refuse { retry_after };
        }
        let jitter = self.jitter.mul_f64(self.random.random::<f64>());
        let fate = match ask {
            Operation::Write(keys) => self.fate(keys),
            Operation::Read(_) | Operation::Other => Delivery::Answered,
        };
        Decision::Proceed {
            delay: self.slow + jitter,
            fate,
        }
    }

    fn fate(&mut self, keys: &[&str]) -> Delivery {
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
                .random_bool(self.lose_some)
                .then(|| self.random.random_bool(self.lose_before))
        });
        match lost {
            Some(true) => Delivery::RequestLost,
            Some(false) => Delivery::AnswerLost,
            None => Delivery::Answered,
        }
    }
}

fn limit(now: Time, per_second: u32) -> Bucket {
    let rate = f64::from(per_second);
    Bucket::new(now, rate, (rate * BURST_PART).max(1.0))
}
