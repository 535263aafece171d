use std::time::Duration;

use crate::identity::AttemptId;

/// Progress of a placed request, as its daemon reports it to the placement coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementReport {
    /// Placement that the report is about.
    pub attempt: AttemptId,
    /// What happened.
    pub outcome: PlacementOutcome,
    /// Time from the send to the first event, if there was one.
    pub first_event: Option<Duration>,
    /// Time from the first to the last event. Zero if it was not measured.
    pub stream_time: Duration,
    /// Number of events. Zero if they were not counted.
    pub events: u32,
    /// Name of the upstream that the request was sent to. Empty if it was sent to none.
    pub upstream: String,
}

/// What happened to a placed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementOutcome {
    /// The first event of the answer arrived.
    Started,
    /// The answer is complete.
    Answered,
    /// The attempt failed.
    Failed,
    /// The engine declined the request.
    Declined,
    /// The attempt was cancelled, or its caller has disconnected.
    Cancelled,
    /// The daemon's router did not allow the chosen engine. It sent the request to another one, or
    /// to none.
    NotUsed,
}
