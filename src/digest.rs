//! Digests that identify requests.

use sha2::{Digest as _, Sha256};

/// Returns the beginning of a cryptographic digest of these parts, so that nobody can construct
/// parts that collide with another caller's.
pub fn of(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        // Length prefixes keep adjacent parts from being confused.
        hash.update(part.len().to_be_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let first = digest.iter().take(size_of::<u64>());
    first.fold(0, |value, byte| value << 8 | u64::from(*byte))
}
