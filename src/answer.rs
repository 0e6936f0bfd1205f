//! Decides whether an endpoint has sent its whole answer.
//!
//! The end of a body does not prove it: an answer without a length or chunks ends with its
//! connection, and so does one whose endpoint crashed.

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use crate::split::Scanner;

/// How an endpoint marks the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// By closing the connection.
    Connection,
}

impl Framing {
    /// Returns the framing that the headers of a response declare.
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            return Self::Chunks;
        }
        if headers.contains_key(CONTENT_LENGTH) {
            return Self::Length;
        }
        Self::Connection
    }

    /// Returns the name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Where a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// At the end of an event, or of an answer that is not a stream.
    Whole,
    /// Inside an event.
    InsideEvent,
}

impl End {
    /// Returns the name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::InsideEvent => "inside_event",
        }
    }
}

/// Follows the body of one answer.
#[derive(Clone, Debug)]
pub struct Tracker {
    framing: Framing,
    /// None if the answer is not a stream of events.
    scanner: Option<Scanner>,
}

impl Tracker {
    /// Creates the tracker of an answer that has no body yet.
    pub fn new(framing: Framing, is_stream: bool) -> Self {
        Self {
            framing,
            scanner: is_stream.then(Scanner::default),
        }
    }

    /// Returns how the endpoint marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Follows the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        if let Some(scanner) = &mut self.scanner {
            scanner.push(bytes);
        }
    }

    /// Returns where the body has ended, once the HTTP client reports its end.
    pub fn end(&self) -> End {
        let scanner = self.scanner.as_ref();
        if scanner.is_some_and(Scanner::is_inside_event) {
            return End::InsideEvent;
        }
        End::Whole
    }
}
