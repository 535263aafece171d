use std::net::SocketAddr;

use serde_json::value::RawValue;

use super::StreamLine;
use crate::identity::{AttemptId, MonotonicTime};

/// One call of an upstream, to be carried out.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// Identity of the attempt, which the upstream echoes.
    pub attempt: AttemptId,
    /// Name of the upstream.
    pub upstream: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Path to call.
    pub path: String,
    /// JSON body.
    pub body: Vec<u8>,
    /// Whether the answer is a stream of lines.
    pub stream: bool,
    /// Whether a connection of its own must be used: one from a pool may be closed just as the
    /// call is written, and then nobody can tell whether it ran.
    pub fresh: bool,
    /// Priority level, 0 is the most urgent.
    pub level: u8,
    /// Time after which the call must not be written any more.
    pub expires: MonotonicTime,
}

/// What an upstream did about an attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// No byte of the call was written.
    NotSent,
    /// The head of an answer came, from the process `life`.
    Greeted {
        /// Identity of the process behind the upstream.
        life: String,
        /// Whether it says that it is leaving.
        leaving: bool,
    },
    /// A line of a stream came.
    Line(StreamLine),
    /// A whole answer came.
    Answered {
        /// Attempt that the answer says it belongs to.
        echo: Option<AttemptId>,
        /// The answer.
        answer: Box<RawValue>,
    },
    /// The upstream answered with an error status.
    Declined {
        /// HTTP status.
        status: u16,
    },
    /// The answer was cut, could not be read, or had a wrong end.
    Broken(BreakReason),
}

/// Why an attempt has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum BreakReason {
    /// The connection ended before the answer did.
    Cut,
    /// The answer could not be read.
    Malformed,
    /// The answer carried the id of another attempt.
    Foreign,
    /// Nothing came for longer than the stage may be silent.
    Silent,
    /// The answer was larger than what is read.
    TooLarge,
}
