//! Assembles the pieces of a streamed answer that arrive over several paths.
//!
//! After a broken stream is resumed at another endpoint, a late piece of the first path may
//! still arrive. Without the assembly the caller would get text twice or out of order. Here a
//! piece is delivered only when its offset equals the number of tokens that the caller has.

use std::collections::BTreeMap;

use crate::request::Piece;

/// Limit on the pieces that wait for an earlier one.
const MAX_BUFFERED: usize = 256;

/// The part of an answer that has been delivered.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    tokens: u32,
    text: String,
    buffered: BTreeMap<u32, Piece>,
}

/// Result of pushing a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Push {
    /// These pieces are delivered next, in order.
    Next(Vec<Piece>),
    /// The caller already has the piece, or it waits for an earlier one.
    Nothing,
    /// The piece overlaps what the caller has, or too many are waiting. The path that it came
    /// from must be abandoned.
    Broken,
}

impl Assembly {
    /// Creates an assembly for a caller that already has `tokens` tokens with `text`.
    pub fn resumed(tokens: u32, text: &str) -> Self {
        Self {
            tokens,
            text: text.to_owned(),
            buffered: BTreeMap::new(),
        }
    }

    /// Returns the number of tokens that the caller has, at which a stream resumes.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the text of those tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Drops the waiting pieces after a path broke; they will be sent again.
    pub fn restart(&mut self) {
        self.buffered.clear();
    }

    /// Adds a piece from any path.
    pub fn push(&mut self, piece: Piece) -> Push {
        let end = piece.offset.saturating_add(piece.tokens);
        if end <= self.tokens {
            return Push::Nothing;
        }
        if piece.offset < self.tokens {
            // The text of a piece can't be split between its tokens.
            return Push::Broken;
        }
        if piece.offset > self.tokens {
            if self.buffered.len() >= MAX_BUFFERED {
                return Push::Broken;
            }
            self.buffered.entry(piece.offset).or_insert(piece);
            return Push::Nothing;
        }
        let mut next = vec![self.take(piece)];
        while let Some(piece) = self.buffered.remove(&self.tokens) {
            next.push(self.take(piece));
        }
        let tokens = self.tokens;
        self.buffered.retain(|offset, _| *offset > tokens);
        Push::Next(next)
    }

    /// True when the caller has the whole answer, given that its length is `tokens`.
    pub fn is_complete(&self, tokens: u32) -> bool {
        self.tokens == tokens && self.buffered.is_empty()
    }

    fn take(&mut self, piece: Piece) -> Piece {
        self.tokens += piece.tokens;
        self.text.push_str(&piece.text);
        piece
    }
}
