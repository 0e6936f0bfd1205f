//! Generates online requests and batch items from a seed.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::name::Name;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::case::{Case, Deployment, WARM_UP};

/// Tokens in a block of the prefix cache.
const BLOCK_TOKENS: u32 = 16;
/// Number of organisations; the first sends the most requests.
const ORGANISATIONS: u32 = 40;
/// Length of the prefix that all online requests share.
const COMMON_PREFIX_TOKENS: u32 = 96;
/// Length of the prefix that the online requests of an organisation share after the common one.
const ORGANISATION_PREFIX_TOKENS: u32 = 64;
/// Length of the prefix that all items of a job share.
const JOB_PREFIX_TOKENS: u32 = 160;

/// An online request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When its caller sends it.
    pub at: Time,
    /// Index of the gateway that it is sent to.
    pub gateway: usize,
    /// Organisation of the caller.
    pub organisation: Name,
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens of the complete response.
    pub length: u32,
}

/// A prompt as the engine's cache sees it.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Its length in tokens.
    pub tokens: u32,
    /// Its prefix cache blocks.
    pub blocks: Vec<u64>,
}

/// A batch item.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens of the complete response.
    pub length: u32,
}

struct Medians {
    prompt: f64,
    answer: f64,
}

/// Limit on the response's tokens that an online request sets.
pub const MAX_TOKENS: u32 = 400;

fn request_medians(deployment: Deployment) -> Medians {
    match deployment {
        Deployment::Association => Medians {
            prompt: 120.0,
            answer: 60.0,
        },
        Deployment::Trust => Medians {
            prompt: 80.0,
            answer: 50.0,
        },
    }
}

fn item_medians(deployment: Deployment) -> Medians {
    match deployment {
        Deployment::Association => Medians {
            prompt: 160.0,
            answer: 80.0,
        },
        Deployment::Trust => Medians {
            prompt: 220.0,
            answer: 160.0,
        },
    }
}

/// A generator of prompts and lengths.
pub struct Source {
    random: ChaCha8Rng,
    deployment: Deployment,
    unique: u64,
}

impl Source {
    /// Creates a source with its own seed.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            deployment,
            unique: seed << 32,
        }
    }

    /// Returns all online requests of the run.
    pub fn requests(&mut self, case: &Case) -> Vec<Request> {
        let end = (WARM_UP + case.seconds) as f64;
        let rate = case.deployment.rate() * case.deployment.endpoints() as f64;
        // Thinning of a Poisson process: candidates arrive at the highest rate, and each is kept
        // with a probability in proportion to the current rate.
        let max_factor = 4.0;
        let (mut seconds, mut all) = (0.0, Vec::new());
        loop {
            let uniform: f64 = self.random.random_range(1e-12..1.0);
            seconds -= uniform.ln() / (rate * max_factor);
            if seconds >= end {
                return all;
            }
            let drawn = self.random.random_range(0.0..max_factor);
            if drawn < case.scenario.load_factor(seconds) {
                let at = Time::ZERO + Duration::from_secs_f64(seconds);
                all.push(self.request(at));
            }
        }
    }

    /// Returns the next item of a job.
    pub fn item(&mut self, job: u64) -> Item {
        let medians = item_medians(self.deployment);
        let own = self.lognormal(medians.prompt);
        let blocks = self.blocks(&[(1_000_000 + job, JOB_PREFIX_TOKENS)], own);
        Item {
            prompt: Prompt {
                tokens: JOB_PREFIX_TOKENS + own,
                blocks,
            },
            length: self.lognormal(medians.answer).min(2 * MAX_TOKENS),
        }
    }

    fn request(&mut self, at: Time) -> Request {
        let medians = request_medians(self.deployment);
        let skewed: f64 = self.random.random_range(0.0..1.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Below 40.
        let organisation = (skewed * skewed * f64::from(ORGANISATIONS)) as u64;
        let own = self.lognormal(medians.prompt);
        let blocks = self.blocks(
            &[
                (1, COMMON_PREFIX_TOKENS),
                (100 + organisation, ORGANISATION_PREFIX_TOKENS),
            ],
            own,
        );
        let gateways = self.deployment.gateways();
        Request {
            at,
            gateway: self.random.random_range(0..gateways),
            organisation: format!("o{organisation}").into(),
            prompt: Prompt {
                tokens: COMMON_PREFIX_TOKENS + ORGANISATION_PREFIX_TOKENS + own,
                blocks,
            },
            length: self.lognormal(medians.answer).min(MAX_TOKENS),
        }
    }

    fn blocks(&mut self, shared: &[(u64, u32)], own: u32) -> Vec<u64> {
        let mut blocks = Vec::new();
        for (name, tokens) in shared {
            blocks.extend((0..u64::from(tokens / BLOCK_TOKENS)).map(|at| (name << 8) + at));
        }
        for _ in 0..own / BLOCK_TOKENS {
            self.unique += 1;
            blocks.push((1 << 60) + self.unique);
        }
        blocks
    }

    /// Draws a length from a log-normal distribution with this median; some lengths are several
    /// times as long.
    fn lognormal(&mut self, median: f64) -> u32 {
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let value = (median * (0.5 * normal).exp()).clamp(4.0, 4_000.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped.
        let value = value as u32;
        value
    }
}
