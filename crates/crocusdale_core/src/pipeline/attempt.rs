use std::net::SocketAddr;
use std::time::Duration;

use serde_json::value::RawValue;

use super::{PlacedResult, ResultHandle, StreamLine};
use crate::identity::{AttemptId, MonotonicTime};

/// One HTTP call of an upstream, for the engine to send.
#[derive(Clone, Debug)]
pub struct JsonCallOrder {
    /// Identity of the attempt, which the upstream echoes in its answer.
    pub attempt: AttemptId,
    /// Name of the upstream.
    pub upstream: String,
    /// Socket address at which the upstream listens.
    pub address: SocketAddr,
    /// HTTP path to call.
    pub path: String,
    /// JSON request body.
    pub body: Vec<u8>,
    /// Whether the answer is a stream of lines rather than one JSON document.
    pub stream: bool,
    /// Whether the call needs a new connection. The peer can close a pooled connection just as the
    /// call is written, and then it is unknown whether the call ran.
    pub needs_new_connection: bool,
    /// Priority level; 0 is the most urgent.
    pub level: u8,
    /// Deadline of the request, after which the call must no longer be written.
    pub expires: MonotonicTime,
}

/// One forwarding of a caller's own HTTP request to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardOrder {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// Name of the upstream.
    pub upstream: String,
    /// Pool of the upstream.
    pub pool: String,
    /// Identity of the upstream's process. Another process that listens at the same address must
    /// not run the request.
    pub process: String,
    /// Socket address at which the upstream listens.
    pub address: SocketAddr,
    /// Workspace of the caller, or `None` if it showed no access key.
    pub workspace: Option<String>,
    /// Handles of the results that the upstream has to fetch: those of the batched steps that no
    /// other batched step reads.
    pub inputs: Vec<ResultHandle>,
    /// Priority level; 0 is the most urgent.
    pub level: u8,
    /// Whether the request needs a new connection, see [`JsonCallOrder::needs_new_connection`].
    pub needs_new_connection: bool,
    /// Maximum number of idle connections that may be kept to the upstream.
    pub kept_connections: usize,
    /// Deadline of the request, after which it must no longer be written.
    pub expires: MonotonicTime,
    /// Time after which the request must no longer be written to this upstream, because the
    /// upstream may have left since it was chosen.
    pub write_by: MonotonicTime,
}

/// Head of an upstream's response to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Whether the upstream ran the request.
    pub execution: ExecutionStatus,
}

impl ResponseHead {
    /// Whether the HTTP status is a success (2xx).
    #[must_use]
    pub fn is_success(self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Whether an upstream ran a forwarded request, as its response states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ExecutionStatus {
    /// The upstream ran the request, or may have run it.
    Ran,
    /// The upstream did not run the request because it lacks capacity or time.
    Declined,
    /// The request did not run because another process listens at the upstream's address.
    WrongProcess,
    /// The upstream did not run the request because a result that it needs no longer exists.
    InputGone,
    /// The upstream did not run the request because the request itself is invalid.
    Malformed,
}

/// Progress or result of an attempt, as its upstream reported it.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The response head of a forwarded request arrived, together with the whole body unless the
    /// response is a stream. The response is held until [`crate::daemon::Command::ReleaseAnswer`].
    HeadReceived(ResponseHead),
    /// The response to a forwarded request was passed on to the caller in full.
    ResponseForwarded,
    /// The first event of a forwarded stream was passed on to the caller.
    StreamStarted,
    /// All pieces of a batched step have results.
    PiecesCompleted(Vec<PlacedResult>),
    /// Pieces of a batched step have no results, and the dispatcher no longer retries them.
    PiecesFailed {
        /// Reason for the failure.
        fault: PieceFault,
        /// Time after which the pool is expected to have capacity again.
        retry_after: Duration,
    },
    /// The daemon that dispatches the pieces can't be reached, or has stopped. Holds its VM
    /// name.
    DispatcherLost(String),
    /// No byte of the call was written.
    NotSent,
    /// No byte of the call was written, because no daemon is known to reach the pool. Callers should
    /// retry after this time.
    NoPath(Duration),
    /// The response head arrived, with the identity of the upstream process that sent it.
    ProcessIdentified {
        /// Identity of the process behind the upstream.
        process: String,
        /// Whether the process announced that it is shutting down.
        is_leaving: bool,
    },
    /// One line of a streamed answer arrived.
    Line(StreamLine),
    /// A whole answer that is not a stream arrived.
    Answered {
        /// Attempt id that the answer carries, or `None` if it carries no readable one.
        echo: Option<AttemptId>,
        /// JSON of the answer.
        answer: Box<RawValue>,
    },
    /// The upstream answered with an error status.
    Declined {
        /// HTTP status.
        status: u16,
    },
    /// The answer was cut off, could not be read, or did not end properly.
    Broken(BreakReason),
}

/// Why an attempt has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum BreakReason {
    /// The connection was closed before the answer ended.
    Cut,
    /// The answer could not be parsed.
    Malformed,
    /// The answer carried the id of another attempt.
    #[strum(serialize = "foreign")]
    OtherAttempt,
    /// No data arrived for longer than the stage's silence timeout.
    Silent,
    /// The answer exceeded the size limit.
    TooLarge,
    /// The caller disconnected before the answer ended.
    #[strum(serialize = "unwanted")]
    CallerDisconnected,
}

/// Why pieces of a batched step have no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PieceFault {
    /// The time limit of the pieces passed while they were still queued.
    Late,
    /// An input result of the pieces no longer exists.
    InputGone,
    /// Upstreams failed the pieces more often than the retry budget allows.
    Failed,
    /// The pool has no upstreams.
    NoUpstream,
    /// Another daemon now dispatches the pool, and no upstream may have run a piece.
    Moved,
    /// The dispatcher can't connect to the upstreams, some of which may have run pieces.
    DispatcherCutOff,
    /// Upstreams crashed while they ran this request, so it is quarantined.
    Quarantined,
}
