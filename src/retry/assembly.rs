//! Puts the pieces of an answer together, whichever path they took.
//!
//! What goes wrong without it: after a broken stream was resumed elsewhere, a
//! late piece of the first path arrives and the caller reads a word twice, or
//! reads a word that belongs further on. Here a piece goes to the caller only
//! when its offset is exactly what the caller has.

use std::collections::BTreeMap;

use crate::request::Piece;

/// Pieces that may wait for an earlier one.
const MAX_AHEAD: usize = 256;

/// The answer so far.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    tokens: u32,
    text: String,
    ahead: BTreeMap<u32, Piece>,
}

/// What became of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Push {
    /// These pieces come next and go to the caller, in order.
    Next(Vec<Piece>),
    /// The caller has it, or it waits for an earlier one.
    Nothing,
    /// It contradicts what the caller has, or too many wait; the path that
    /// brought it must be given up.
    Broken,
}

impl Assembly {
    /// An answer of which the caller has `tokens` with `text`.
    pub fn resumed(tokens: u32, text: &str) -> Self {
        Self {
            tokens,
            text: text.to_owned(),
            ahead: BTreeMap::new(),
        }
    }

    /// Tokens that the caller has, from where a resumed stream goes on.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Their text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The path broke: pieces that wait for an earlier one will be sent again.
    pub fn restart(&mut self) {
        self.ahead.clear();
    }

    /// Takes a piece from any path.
    pub fn push(&mut self, piece: Piece) -> Push {
        let end = piece.offset.saturating_add(piece.tokens);
        if end <= self.tokens {
            return Push::Nothing;
        }
        if piece.offset < self.tokens {
            // Text can't be cut between tokens that came in one piece.
            return Push::Broken;
        }
        if piece.offset > self.tokens {
            if self.ahead.len() >= MAX_AHEAD {
                return Push::Broken;
            }
            self.ahead.entry(piece.offset).or_insert(piece);
            return Push::Nothing;
        }
        let mut next = vec![self.take(piece)];
        while let Some(piece) = self.ahead.remove(&self.tokens) {
            next.push(self.take(piece));
        }
        let tokens = self.tokens;
        self.ahead.retain(|offset, _| *offset > tokens);
        Push::Next(next)
    }

    /// True when `tokens` is the length of the answer and the caller has it all.
    pub fn is_whole(&self, tokens: u32) -> bool {
        self.tokens == tokens && self.ahead.is_empty()
    }

    fn take(&mut self, piece: Piece) -> Piece {
        self.tokens += piece.tokens;
        self.text.push_str(&piece.text);
        piece
    }
}
