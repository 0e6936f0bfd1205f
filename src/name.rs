//! Names of services, endpoints, nodes, zones, organisations and jobs.
//!
//! A name is allocated once and shared, so that a request can carry several names
//! without copying text.

use std::sync::Arc;

/// A shared immutable name, serialised as a plain string.
pub type Name = Arc<str>;

/// Maximum length of a name chosen by a caller or an operator, in bytes.
pub const MAX_LEN: usize = 128;

/// Returns true if `text` is a valid name: not empty, not too long, and made of
/// ASCII letters, digits, `-`, `_`, `.` and `:`.
///
/// The set is narrow because names become part of table keys and object names, in
/// which `/` separates parts.
pub fn is_valid(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_LEN
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':'))
}
