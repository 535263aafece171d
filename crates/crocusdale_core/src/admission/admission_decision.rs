use std::time::Duration;

use super::SlotClaim;

/// Decision of the admission coordinator on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// What the entry daemon does with the request.
    pub verdict: AdmissionVerdict,
    /// Expected delay of each step over its duration without queueing, by position.
    pub step_delays: Vec<Duration>,
    /// Inputs of the decision, for the log.
    pub inputs: AdmissionInputs,
}

/// What an entry daemon does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum AdmissionVerdict {
    /// The request starts now and should be on time.
    Start,
    /// The request starts after the given time, behind all requests that can be on time.
    StartAfter(Duration),
    /// The request is refused. Its caller should come back after the given time.
    Refuse(Duration),
}

/// Inputs of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionInputs {
    /// Expected time until the end of the request if it started now.
    pub forecast: Duration,
    /// Time until the late queues of the needed pools have capacity for the request.
    pub late_wait: Duration,
    /// Age of the oldest status among the needed pools. `None` if a pool has no status.
    pub status_age: Option<Duration>,
    /// Whether the workspace is over its share.
    pub is_over_share: bool,
    /// What the return slots had to do with the request. `None` if nothing.
    pub return_slot: Option<SlotOutcome>,
}

/// What the return slots had to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The request was refused, and capacity is reserved for its return.
    Reserved,
    /// The request was refused, and there was no capacity left to reserve.
    Missing,
    /// The request came back on time and took its slot.
    Claimed,
    /// The request came back before its slot and was refused until then.
    Early,
}

impl From<SlotClaim> for SlotOutcome {
    fn from(claim: SlotClaim) -> Self {
        match claim {
            SlotClaim::OnTime => Self::Claimed,
            SlotClaim::Early { .. } => Self::Early,
        }
    }
}
