//! Questions and batch items, from a seed.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::name::Name;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::case::{Case, Deployment, WARM_UP};

/// Tokens of a block of the prefix cache.
const BLOCK: u32 = 16;
/// Organisations that ask; the first asks most.
const ORGANISATIONS: u32 = 40;
/// Tokens that every question begins with.
const COMMON: u32 = 96;
/// Tokens that every question of an organisation goes on with.
const OWN: u32 = 64;
/// Tokens that every item of a job begins with.
const JOB: u32 = 160;

/// A question.
#[derive(Clone, Debug)]
pub struct Question {
    /// When its caller sends it.
    pub at: Time,
    /// The node that it is sent to.
    pub gateway: usize,
    /// Who asks.
    pub organisation: Name,
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens of its whole answer.
    pub length: u32,
}

/// A prompt as the engine's cache sees it.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Its length.
    pub tokens: u32,
    /// Its blocks.
    pub blocks: Vec<u64>,
}

/// A batch item.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens of its whole answer.
    pub length: u32,
}

struct Shape {
    prompt: f64,
    answer: f64,
}

/// Most tokens that a question asks for.
pub const MAX_TOKENS: u32 = 400;

fn question_shape(deployment: Deployment) -> Shape {
    match deployment {
        Deployment::Association => Shape {
            prompt: 120.0,
            answer: 60.0,
        },
        Deployment::Trust => Shape {
            prompt: 80.0,
            answer: 50.0,
        },
    }
}

fn item_shape(deployment: Deployment) -> Shape {
    match deployment {
        Deployment::Association => Shape {
            prompt: 160.0,
            answer: 80.0,
        },
        Deployment::Trust => Shape {
            prompt: 220.0,
            answer: 160.0,
        },
    }
}

/// Makes prompts and lengths.
pub struct Source {
    random: ChaCha8Rng,
    deployment: Deployment,
    unique: u64,
}

impl Source {
    /// A source with a seed of its own.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            deployment,
            unique: seed << 32,
        }
    }

    /// Every question of the run.
    pub fn questions(&mut self, case: &Case) -> Vec<Question> {
        let end = (WARM_UP + case.seconds) as f64;
        let rate = case.deployment.rate() * case.deployment.endpoints() as f64;
        // Thinning: candidates at the highest rate, of which a part is kept.
        let highest = 4.0;
        let (mut seconds, mut all) = (0.0, Vec::new());
        loop {
            let uniform: f64 = self.random.random_range(1e-12..1.0);
            seconds -= uniform.ln() / (rate * highest);
            if seconds >= end {
                return all;
            }
            let kept = self.random.random_range(0.0..highest);
            if kept < case.scenario.factor(seconds) {
                let at = Time::ZERO + Duration::from_secs_f64(seconds);
                all.push(self.question(at));
            }
        }
    }

    /// The next item of job `job`.
    pub fn item(&mut self, job: u64) -> Item {
        let shape = item_shape(self.deployment);
        let own = self.lognormal(shape.prompt);
        let blocks = self.blocks(&[(1_000_000 + job, JOB)], own);
        Item {
            prompt: Prompt {
                tokens: JOB + own,
                blocks,
            },
            length: self.lognormal(shape.answer).min(2 * MAX_TOKENS),
        }
    }

    fn question(&mut self, at: Time) -> Question {
        let shape = question_shape(self.deployment);
        let skewed: f64 = self.random.random_range(0.0..1.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Below 40.
        let organisation = (skewed * skewed * f64::from(ORGANISATIONS)) as u64;
        let own = self.lognormal(shape.prompt);
        let blocks = self.blocks(&[(1, COMMON), (100 + organisation, OWN)], own);
        let gateways = self.deployment.gateways();
        Question {
            at,
            gateway: self.random.random_range(0..gateways),
            organisation: format!("o{organisation}").into(),
            prompt: Prompt {
                tokens: COMMON + OWN + own,
                blocks,
            },
            length: self.lognormal(shape.answer).min(MAX_TOKENS),
        }
    }

    fn blocks(&mut self, shared: &[(u64, u32)], own: u32) -> Vec<u64> {
        let mut blocks = Vec::new();
        for (name, tokens) in shared {
            blocks.extend((0..u64::from(tokens / BLOCK)).map(|at| (name << 8) + at));
        }
        for _ in 0..own / BLOCK {
            self.unique += 1;
            blocks.push((1 << 60) + self.unique);
        }
        blocks
    }

    /// A length whose median is `median`, some of them several times as long.
    fn lognormal(&mut self, median: f64) -> u32 {
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let value = (median * (0.5 * normal).exp()).clamp(4.0, 4_000.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped.
        let value = value as u32;
        value
    }
}
