use std::time::Duration;

use crate::identity::{AttemptId, RequestDigest};

/// Request that an entry daemon asks the admission coordinator about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Process and call that ask.
    pub attempt: AttemptId,
    /// Name of the admission section.
    pub section: String,
    /// Digest that the request shares with its repeats.
    pub digest: RequestDigest,
    /// Workspace of the request; empty if it belongs to none.
    pub workspace: String,
    /// Priority level; 0 is the most urgent.
    pub level: u8,
    /// Time until the latency objective; zero once it has passed.
    pub objective_in: Duration,
    /// Time until the deadline.
    pub deadline_in: Duration,
    /// Steps in topological order.
    pub steps: Vec<AdmissionStep>,
}

/// Step of a request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionStep {
    /// Name of the step's pool, without a section.
    pub pool: String,
    /// Number of pieces; 0 for a step that is not batched.
    pub pieces: u32,
    /// Positions of the steps that it needs. All are lower than its own.
    pub after: Vec<usize>,
    /// Expected duration without queueing.
    pub step_time: Duration,
}
