use std::net::SocketAddr;

use crate::identity::MonotonicTime;
use crate::pipeline::{PieceSource, ResultHandle};

/// Identifier of one batch call, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BatchId(pub u64);

/// A batch call to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct BatchOrder {
    /// Identifier of the call.
    pub batch: BatchId,
    /// Name of the upstream.
    pub upstream: String,
    /// Identifier of the upstream's process. Another process that listens at the address must not
    /// run the call.
    pub process: String,
    /// Address at which the upstream listens.
    pub address: SocketAddr,
    /// Pieces to process. The upstream answers in the same order.
    pub items: Vec<BatchItem>,
    /// Latest time at which the call may be written to the connection. Afterwards the upstream may
    /// have been removed since it was chosen.
    pub write_by: MonotonicTime,
}

/// One piece in a batch call: a single work item of a pipeline step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchItem {
    /// Request identifier, as chosen by the caller.
    pub request: String,
    /// Index of the step in the pipeline.
    pub step: u32,
    /// Index of the piece in its step.
    pub piece: u32,
    /// Input of the piece.
    pub source: PieceSource,
    /// Time after which the result of the piece is useless, because its request can no longer be
    /// answered in time.
    pub expires: MonotonicTime,
}

/// Outcome of a batch call.
#[derive(Clone, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum BatchOutcome {
    /// The upstream reported the outcome of each piece, in the order of the call.
    Answered(Vec<ItemOutcome>),
    /// The upstream had no capacity for the call and did not run it.
    Declined,
    /// Another process listens at the address, so the call was not run.
    WrongProcess,
    /// The call failed before any byte of it was written.
    NotSent,
    /// The call failed after it was written at least in part, or its answer could not be parsed.
    /// The upstream may have run it.
    Broken,
}

impl BatchOutcome {
    /// Whether the upstream may have run any piece of the call.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Answered(_) | Self::Broken => true,
            Self::Declined | Self::WrongProcess | Self::NotSent => false,
        }
    }
}

/// Outcome of one piece.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ItemOutcome {
    /// The piece succeeded, and the upstream stores its result.
    Made(ResultHandle),
    /// The result would have been useless by the time the upstream reached the piece.
    Late,
    /// A result that the piece takes as input no longer exists.
    InputGone,
    /// The upstream has no memory left for the result.
    NoRoom,
    /// The upstream failed to process the piece.
    Failed,
}
