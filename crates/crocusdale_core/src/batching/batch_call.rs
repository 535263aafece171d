use std::net::SocketAddr;

use crate::identity::MonotonicTime;
use crate::pipeline::{PieceSource, ResultHandle};

/// Identity of one call of a batched upstream, within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BatchId(pub u64);

/// One call of a batched upstream, to be carried out.
#[derive(Clone, Debug)]
pub struct BatchOrder {
    /// Identity of the call.
    pub batch: BatchId,
    /// Name of the upstream.
    pub upstream: String,
    /// Identity of its process; whoever else listens at its address must not run the call.
    pub process: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The pieces.
    pub items: Vec<BatchItem>,
    /// Time after which it must not be written any more: the upstream may have left since it was chosen.
    pub write_by: MonotonicTime,
}

/// One piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchItem {
    /// Identity of the request, as its caller chose it.
    pub request: String,
    /// Position of the step in its pipeline.
    pub step: u32,
    /// Position of the piece in its step.
    pub piece: u32,
    /// What it is made from.
    pub source: PieceSource,
    /// Time after which its result is of no use.
    pub expires: MonotonicTime,
}

/// How a call of a batched upstream ended.
#[derive(Clone, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum BatchOutcome {
    /// The upstream said what became of each piece, in the order of the call.
    Answered(Vec<ItemOutcome>),
    /// The upstream had no room for the call, and has not run it.
    Declined,
    /// Another process listens at the address.
    WrongProcess,
    /// No byte of the call was written.
    NotSent,
    /// The call broke off, or its answer could not be read.
    Broken,
}

/// What became of one piece.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ItemOutcome {
    /// It has a result.
    Made(ResultHandle),
    /// Its time was over at its turn.
    Late,
    /// A result that it needs no longer exists.
    InputGone,
    /// The upstream has no room for its result.
    NoRoom,
    /// The upstream failed it.
    Failed,
}
