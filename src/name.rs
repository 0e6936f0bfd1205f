//! Names of services, endpoints, nodes, zones, organisations and jobs.
//!
//! A name is made once and shared ever after, so that a request can carry a
//! handful of them without copying text.

use std::sync::Arc;

/// A shared immutable name. It serialises as a plain string.
pub type Name = Arc<str>;

/// Longest name that a caller or an operator may choose, in bytes.
pub const MAX_LEN: usize = 128;

/// True when `text` may name something: not empty, not too long, and made of
/// ASCII letters, digits, `-`, `_`, `.` and `:`.
///
/// The set is narrow because names become part of table keys and object names,
/// in which `/` separates parts.
pub fn is_valid(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_LEN
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':'))
}
