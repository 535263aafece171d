use crate::admission::AdmissionClass;
use crate::identity::{AttemptId, MonotonicTime, RequestDigest};

use super::ResultHandle;

/// Order to a dispatcher to compute the pieces of one batched step of one request. A piece is one
/// unit of work; an upstream call can contain pieces of several requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceOrder {
    /// Attempt that the results go to. Its id is unique across all processes.
    pub attempt: AttemptId,
    /// Request id, as chosen by the caller.
    pub request: String,
    /// Digest that repeats of the request share; `None` if the sending daemon does not tell it.
    pub digest: Option<RequestDigest>,
    /// Name of the pool section, one shard of a batched pool with its own dispatcher, that runs the
    /// pieces. The name of the whole pool until a section is chosen.
    pub pool: String,
    /// Position of the step in its pipeline.
    pub step: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// Input from which the pieces are computed.
    pub source: PieceSource,
    /// Name of the pool section whose upstreams hold the inputs, if the inputs are large and no
    /// other step reads them. They can then be freed as soon as they are fetched.
    pub inputs_pool: Option<String>,
    /// Availability zone that will read the results, if it is known.
    pub zone: Option<String>,
    /// Priority level; 0 is the most urgent.
    pub level: u8,
    /// Whether the workspace sends far more than it usually does, so that others are served first.
    pub is_flood: bool,
    /// How the request was admitted.
    pub admission: AdmissionClass,
    /// Time by which the results are needed for the request to meet its latency objective.
    pub target_end: MonotonicTime,
    /// Latest time at which the step can end for the request to meet its deadline. The dispatcher
    /// fails pieces that can't be computed by then.
    pub expires: MonotonicTime,
    /// Whether another dispatcher may already have worked on these pieces.
    pub is_resubmission: bool,
}

/// Input from which the pieces of a batched step are computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// Reference to the caller's input, as the request states it.
    Caller(String),
    /// Handles of the results of earlier steps.
    Results(Vec<ResultHandle>),
}

/// A result and the availability zone that stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedResult {
    /// Location of the result.
    pub handle: ResultHandle,
    /// Availability zone of the upstream that computed the result.
    pub zone: String,
}
