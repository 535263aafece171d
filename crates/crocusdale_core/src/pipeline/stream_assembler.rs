use serde::{Deserialize, Serialize};

use crate::identity::AttemptId;

/// Maximum length of an assembled text, in bytes.
const MAX_TEXT_BYTES: usize = 4 << 20;

/// One line of an upstream's streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLine {
    /// Id of the attempt that the line belongs to, as the upstream wrote it.
    pub attempt: String,
    /// Position of the line, starting at 0. The last line carries the number of text lines before
    /// it.
    pub index: u64,
    /// Text fragment; empty on the last line.
    #[serde(default)]
    pub text: String,
    /// Whether this is the last line.
    #[serde(default)]
    pub end: bool,
}

/// Why a stream is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// A line carries the id of another attempt.
    OtherAttempt,
    /// A line is missing, repeated, or follows the last line.
    OutOfOrder,
    /// The text exceeds the size limit.
    TooLarge,
}

/// Assembles a streamed answer and verifies that it is complete.
///
/// Guards against a stream whose later lines belong to another request, so that the answer ends in
/// that request's text. Each line carries its attempt id and position, and the last line carries
/// their number.
#[derive(Clone, Debug)]
pub struct StreamAssembler {
    attempt: AttemptId,
    text: String,
    text_lines: u64,
    ended: bool,
}

impl StreamAssembler {
    /// Creates an assembler for the stream of `attempt`.
    #[must_use]
    pub fn new(attempt: AttemptId) -> Self {
        Self { attempt, text: String::new(), text_lines: 0, ended: false }
    }

    /// Appends the next line. Returns the complete text with the last line.
    ///
    /// # Errors
    ///
    /// Returns why the stream is rejected; no more lines may be appended after that.
    pub fn take(&mut self, line: &StreamLine) -> Result<Option<&str>, StreamFault> {
        if line.attempt.parse() != Ok(self.attempt) {
            return Err(StreamFault::OtherAttempt);
        }
        if self.ended || line.index != self.text_lines || (line.end && !line.text.is_empty()) {
            return Err(StreamFault::OutOfOrder);
        }
        if self.text.len() + line.text.len() > MAX_TEXT_BYTES {
            return Err(StreamFault::TooLarge);
        }
        self.ended = line.end;
        if line.end {
            return Ok(Some(&self.text));
        }
        self.text_lines += 1;
        self.text.push_str(&line.text);
        Ok(None)
    }
}
