use std::net::SocketAddr;
use std::time::Duration;

use serde_json::value::RawValue;

use super::{PlacedResult, ResultHandle, StreamLine};
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

/// One pass of a caller's own request to an upstream.
#[derive(Clone, Debug)]
pub struct RelayOrder {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// Name of the upstream.
    pub upstream: String,
    /// Identity of its process; whoever else listens at its address must not run the request.
    pub process: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Workspace of the caller, if it showed an access key.
    pub workspace: Option<String>,
    /// Results of the batched steps that no other batched step needs.
    pub inputs: Vec<ResultHandle>,
    /// Priority level, 0 is the most urgent.
    pub level: u8,
    /// Whether a connection of its own must be used, see [`AttemptOrder::fresh`].
    pub fresh: bool,
    /// Idle connections that may be kept to the upstream.
    pub kept_connections: usize,
    /// Deadline of the request, after which it must not be written any more.
    pub expires: MonotonicTime,
    /// Time after which it must not be written to this upstream any more, which may have left since
    /// it was chosen.
    pub write_by: MonotonicTime,
}

/// What the head of an upstream's answer says of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Whether the upstream ran the request.
    pub proof: RunProof,
}

impl AnswerHead {
    /// Whether the answer is a success.
    #[must_use]
    pub fn is_success(self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Whether an upstream ran a forwarded request, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RunProof {
    /// It ran, or may have.
    Ran,
    /// It did not run: the upstream has no room, or no time.
    Declined,
    /// It did not run: another process listens at the address.
    WrongProcess,
    /// It did not run: a result that it needs no longer exists.
    InputGone,
    /// It did not run: the upstream found fault with the request itself.
    Malformed,
}

/// What an upstream did about an attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The head of the answer to a forwarded request came, and for an answer that is no stream its
    /// whole body; it waits for [`crate::daemon::Command::ReleaseAnswer`].
    Headed(AnswerHead),
    /// The forwarded answer was passed on to its end.
    Passed,
    /// The first event of a forwarded stream was passed on.
    Flowing,
    /// All pieces of a batched step have results.
    PiecesMade(Vec<PlacedResult>),
    /// Pieces of a batched step have no results, and the dispatcher has given them up.
    PiecesFailed {
        /// Why.
        fault: PieceFault,
        /// Time after which the pool should have room again.
        retry_after: Duration,
    },
    /// The dispatcher of pieces can't be reached, or has ended.
    DispatcherLost(String),
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
    /// The caller was gone before the answer had ended.
    Unwanted,
}

/// Why pieces of a batched step have no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PieceFault {
    /// Their time was over before their turn came.
    Late,
    /// A result that they need no longer exists.
    InputGone,
    /// Upstreams failed them more often than the retry budget allows.
    Failed,
    /// The pool has no upstreams.
    NoUpstream,
    /// Another daemon dispatches the pool now, and none of them was in a call.
    Moved,
    /// Upstreams ended under their request.
    Quarantined,
}
