use serde::{Deserialize, Serialize};

use crate::identity::AttemptId;

/// Longest text that is assembled, in bytes.
const TEXT_LIMIT: usize = 4 << 20;

/// One line of an upstream's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLine {
    /// Attempt that the line says it belongs to.
    pub attempt: String,
    /// Position among the pieces of text, from 0; the last line has their number.
    pub index: u64,
    /// Piece of text; empty on the last line.
    #[serde(default)]
    pub text: String,
    /// Whether this is the last line.
    #[serde(default)]
    pub end: bool,
}

/// Why a stream can't be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// A line belongs to another attempt.
    Foreign,
    /// A line is missing, doubled, or came after the end.
    OutOfOrder,
    /// The text is larger than what is kept.
    TooLarge,
}

/// Puts a stream together and proves that it is whole.
///
/// Guards against a right head with a wrong tail, which shows as an answer that ends in another
/// request's words: each line carries the attempt and its position, and the end their number.
#[derive(Clone, Debug)]
pub struct StreamAssembler {
    attempt: AttemptId,
    text: String,
    pieces: u64,
    ended: bool,
}

impl StreamAssembler {
    /// Begins the stream of `attempt`.
    #[must_use]
    pub fn new(attempt: AttemptId) -> Self {
        Self { attempt, text: String::new(), pieces: 0, ended: false }
    }

    /// Takes the next line; returns the whole text with the last one.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't be trusted; it must then be given up.
    pub fn take(&mut self, line: &StreamLine) -> Result<Option<&str>, StreamFault> {
        if line.attempt.parse() != Ok(self.attempt) {
            return Err(StreamFault::Foreign);
        }
        if self.ended || line.index != self.pieces || (line.end && !line.text.is_empty()) {
            return Err(StreamFault::OutOfOrder);
        }
        if self.text.len() + line.text.len() > TEXT_LIMIT {
            return Err(StreamFault::TooLarge);
        }
        self.ended = line.end;
        if line.end {
            return Ok(Some(&self.text));
        }
        self.pieces += 1;
        self.text.push_str(&line.text);
        Ok(None)
    }
}
