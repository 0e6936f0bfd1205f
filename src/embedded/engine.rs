//! A stand-in model engine: a cost model in virtual time and an HTTP server around it.
//!
//! [`Model`] uses continuous batching, as the platform's engines do: step time grows with the
//! number of sequences and their context, prefill competes with decode, a full KV memory preempts
//! sequences, prompt prefixes are cached, and the load report is stale. docs/design/engine.md
//! describes the cost model, its parameters and the protocol of [`serve`].

mod answer;
pub mod cache;
pub mod fault;
pub mod model;
pub mod parameter;
pub mod protocol;
pub mod server;
mod state;

pub use fault::Fault;
pub use model::Model;
pub use parameter::Parameters;
pub use server::{Setting, serve};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Estimates the number of tokens in `text`, at least 1.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX)
}

/// Returns the token at `index` of the answer to `prompt`.
///
/// It depends on these two alone, so that a test can detect a missing, duplicated or foreign piece
/// of an answer, even of a resumed one.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    format!("{:04x} ", hash & 0xffff)
}

/// Returns the first `count` tokens of the answer to `prompt`.
pub fn answer(prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// Returns a hash for each full block of a prompt. Each hash covers the preceding blocks as well,
/// so that equal hashes mean equal prefixes.
pub fn blocks(prompt: &str, block_tokens: u32) -> Vec<u64> {
    let len = (block_tokens as usize * BYTES_PER_TOKEN).max(1);
    let mut hash = 0;
    prompt
        .as_bytes()
        .chunks_exact(len)
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}
