//! The size of a transaction as the store receives it, which the store limits.
//!
//! The store refuses a larger transaction however often it is repeated. Code that collects rows for
//! one calls [`Transaction::has_room`] before it adds each.

use super::{Transaction, Write};

/// Most entries of a transaction, conditions and writes.
pub const MAX_ENTRIES: usize = 100;
/// Most bytes of an encoded transaction.
pub const MAX_BYTES: usize = 1_000_000;
/// Bytes of an encoded entry besides its key and its value.
const ENTRY_OVERHEAD_BYTES: usize = 96;
/// Bytes of an encoded transaction besides its entries.
const OVERHEAD_BYTES: usize = 128;

/// Returns an upper bound of the bytes of an encoded entry with a value of this many bytes.
pub fn entry_bytes(key: &str, value_bytes: usize) -> usize {
    let base64 = value_bytes.div_ceil(3) * 4;
    key.len() + base64 + ENTRY_OVERHEAD_BYTES
}

impl Transaction {
    /// Returns an upper bound of the bytes of the encoded transaction.
    pub fn encoded_bytes(&self) -> usize {
        let checks = self.checks.iter().map(|check| entry_bytes(&check.key, 0));
        let writes = self.writes.iter().map(|write| match write {
            Write::Put { key, value } => entry_bytes(key, value.len()),
            Write::Delete { key } => entry_bytes(key, 0),
        });
        OVERHEAD_BYTES + checks.sum::<usize>() + writes.sum::<usize>()
    }

    /// Returns true if the store accepts the transaction with further entries of this many encoded
    /// bytes in total.
    pub fn has_room(&self, entries: usize, bytes: usize) -> bool {
        self.checks.len() + self.writes.len() + entries <= MAX_ENTRIES
            && self.encoded_bytes() + bytes <= MAX_BYTES
    }
}
