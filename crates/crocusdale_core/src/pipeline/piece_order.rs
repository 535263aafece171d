use crate::identity::{AttemptId, MonotonicTime, RequestDigest};

use super::ResultHandle;

/// The pieces of one batched step of one request, as its run asks for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceOrder {
    /// Attempt that the results go to; unlike any other of any process.
    pub attempt: AttemptId,
    /// Identity of the request, as its caller chose it.
    pub request: String,
    /// What the request has in common with its repeats, if the daemon that asks tells it.
    pub digest: Option<RequestDigest>,
    /// Section of the pool that works on the pieces.
    pub pool: String,
    /// Position of the step in its pipeline.
    pub step: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// What the pieces are made from.
    pub source: PieceSource,
    /// Section of the pool whose upstreams hold the inputs, if no other step needs them.
    pub inputs_pool: Option<String>,
    /// Zone that will use the results, if that is known.
    pub zone: Option<String>,
    /// Priority level, 0 is the most urgent.
    pub level: u8,
    /// Whether its workspace sends much more than it usually does: others go first.
    pub is_flood: bool,
    /// Time by which the results are needed for the request to meet its objective.
    pub due: MonotonicTime,
    /// Time after which the results are of no use.
    pub expires: MonotonicTime,
    /// Whether another dispatcher may have worked on these pieces before.
    pub repeated: bool,
}

/// What the pieces of a batched step are made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// What the caller named in its request.
    Caller(String),
    /// Results of earlier steps.
    Results(Vec<ResultHandle>),
}

/// A result and the availability zone in which it lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedResult {
    /// The result.
    pub handle: ResultHandle,
    /// Zone of the upstream that made it.
    pub zone: String,
}
