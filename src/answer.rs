//! Decides whether an endpoint has sent its whole answer.
//!
//! The end of a body does not prove it: an answer without a length or chunks ends with its
//! connection, and so does one whose endpoint crashed.

use bytes::Bytes;
use hyper::Response;
use hyper::body::Body;
use hyper::header::TRANSFER_ENCODING;

use crate::split::{Events, Fault, Scanner, Splitter};

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
    /// Returns the framing of a response. One that can have no body has a length.
    pub fn of<B>(response: &Response<B>) -> Self
    where
        B: Body,
    {
        if response.headers().contains_key(TRANSFER_ENCODING) {
            return Self::Chunks;
        }
        if response.body().size_hint().exact().is_some() {
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
    /// The answer is complete: a stream after an event, another answer anywhere.
    Whole,
    /// Inside an event, so the stream was cut off, however the end of the body was marked.
    InsideEvent,
    /// Before the first event of a stream that does not continue an earlier one.
    NoEvent,
}

impl End {
    /// Returns the name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::InsideEvent => "inside_event",
            Self::NoEvent => "no_event",
        }
    }
}

/// What a body holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Bytes without a structure of their own.
    Opaque,
    /// A stream of events.
    Stream,
    /// A stream of events that another endpoint may continue, so that only whole events are passed
    /// on.
    Resumable,
}

#[derive(Clone, Debug)]
enum Parser {
    Opaque,
    Stream(Scanner),
    Resumable(Splitter),
}

/// Reads the body of one answer. It is the one place that decides whether the answer is complete.
#[derive(Clone, Debug)]
pub struct Reader {
    framing: Framing,
    parser: Parser,
}

impl Reader {
    /// Creates the reader of an answer that has no body yet. A resumable stream resumes after the
    /// event `last`.
    pub fn new(framing: Framing, content: Content, last: Option<u64>) -> Self {
        let parser = match content {
            Content::Opaque => Parser::Opaque,
            Content::Stream => Parser::Stream(Scanner::default()),
            Content::Resumable => Parser::Resumable(Splitter::after(last)),
        };
        Self { framing, parser }
    }

    /// Returns how the endpoint marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Reads the next bytes of the body, and returns what may be passed on. The ids of its events
    /// are known for a resumable stream only.
    pub fn push(&mut self, bytes: Bytes) -> Option<Events> {
        match &mut self.parser {
            Parser::Opaque => {}
            Parser::Stream(scanner) => scanner.scan(&bytes),
            Parser::Resumable(splitter) => return splitter.push(&bytes),
        }
        Some(Events { bytes, last: None })
    }

    /// Returns why the body can't be read on, after what [`Reader::push`] has returned; none while it
    /// can. Only the events of a resumable stream are checked.
    pub fn fault(&self) -> Option<Fault> {
        match &self.parser {
            Parser::Opaque | Parser::Stream(_) => None,
            Parser::Resumable(splitter) => splitter.fault(),
        }
    }

    /// Returns where the body has ended, once the HTTP client reports its end. A run that continues
    /// a stream may have nothing left to send.
    pub fn end(&self, is_continued: bool) -> End {
        let scanner = match &self.parser {
            Parser::Opaque => return End::Whole,
            Parser::Stream(scanner) => scanner,
            Parser::Resumable(splitter) => splitter.scanner(),
        };
        if scanner.is_inside_event() {
            return End::InsideEvent;
        }
        if !scanner.has_events() && !is_continued {
            return End::NoEvent;
        }
        End::Whole
    }

    /// Returns the bytes of a whole answer that were not passed on yet: blank lines and comments
    /// after the last event.
    pub fn rest(self) -> Bytes {
        match self.parser {
            Parser::Opaque | Parser::Stream(_) => Bytes::new(),
            Parser::Resumable(splitter) => splitter.rest(),
        }
    }
}
