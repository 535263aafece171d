use std::net::SocketAddr;

use serde_json::value::RawValue;

use super::{BreakReason, PieceFault, PlacedResult, RefusalReason, StreamAssembler};
use crate::configuration::StepWork;
use crate::daemon::CounterName;
use crate::identity::{AttemptId, MonotonicTime};

/// One step of a request that has begun.
#[derive(Debug)]
pub(super) struct BranchRun {
    /// Position of the step in the plan.
    pub(super) step: usize,
    pub(super) stage: String,
    /// Section of the pool that has its pieces made, or the stage.
    pub(super) section: String,
    pub(super) work: StepWork,
    pub(super) since: MonotonicTime,
    /// Attempts that may have run.
    pub(super) attempts: u32,
    /// Upstreams, or dispatchers, that failed it.
    pub(super) tried: Vec<String>,
    /// Times that its pieces were handed to another dispatcher without having been in a call.
    pub(super) moves: u32,
    pub(super) open: Option<OpenAttempt>,
    /// Attempt whose failure is kept back, to be passed on if no other attempt can be made.
    pub(super) held: Option<AttemptId>,
    pub(super) answer: Option<BranchAnswer>,
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) id: AttemptId,
    pub(super) upstream: String,
    /// Where the upstream listens, if this daemon calls it itself.
    pub(super) address: Option<SocketAddr>,
    pub(super) sent: MonotonicTime,
    pub(super) progress: MonotonicTime,
    pub(super) role: AttemptRole,
}

/// What an attempt is of.
#[derive(Debug)]
pub(super) enum AttemptRole {
    /// A JSON call.
    Json(StreamAssembler),
    /// Pieces with a dispatcher.
    Pieces,
    /// The caller's own request.
    Forward,
}

/// Answer of a step.
#[derive(Clone, Debug)]
pub(super) enum BranchAnswer {
    Json(Box<RawValue>),
    Results(Vec<PlacedResult>),
    /// The caller has it already.
    Passed,
}

impl BranchRun {
    pub(super) fn new(step: usize, stage: &str, work: StepWork, now: MonotonicTime) -> Self {
        Self {
            step,
            stage: stage.to_owned(),
            section: stage.to_owned(),
            work,
            since: now,
            attempts: 0,
            tried: Vec::new(),
            moves: 0,
            open: None,
            held: None,
            answer: None,
        }
    }

    /// Whether the branch waits for an upstream of the router.
    pub(super) fn is_waiting(&self) -> bool {
        self.open.is_none() && self.answer.is_none()
    }

    pub(super) fn is_attempt(&self, id: AttemptId) -> bool {
        self.open.as_ref().is_some_and(|open| open.id == id)
    }
}

impl OpenAttempt {
    /// Whether the attempt has a place at an upstream of the router.
    pub(super) fn has_slot(&self) -> bool {
        !matches!(self.role, AttemptRole::Pieces)
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailedAttempt {
    NotSent,
    Declined,
    /// The upstream said that it did not run the forwarded request.
    NotRun,
    Broken(BreakReason),
    Pieces(PieceFault),
}

impl FailedAttempt {
    pub(super) fn counter(self) -> CounterName {
        match self {
            Self::NotSent => CounterName::AttemptsNotSent,
            Self::Declined => CounterName::AttemptsDeclined,
            Self::NotRun => CounterName::AttemptsNotRun,
            Self::Broken(BreakReason::Foreign) => CounterName::ForeignAnswers,
            Self::Broken(BreakReason::Silent) => CounterName::SilentAttempts,
            Self::Broken(_) => CounterName::BrokenAnswers,
            Self::Pieces(_) => CounterName::PiecesFailed,
        }
    }

    /// Whether the upstream may have ended under the attempt.
    pub(super) fn is_suspicious(self) -> bool {
        matches!(self, Self::Broken(BreakReason::Cut))
    }

    /// Whether idle connections to the upstream may be as bad as this one was.
    pub(super) fn is_distrusted(self) -> bool {
        matches!(self, Self::Broken(_))
    }

    pub(super) fn reason(self) -> RefusalReason {
        match self {
            Self::NotSent | Self::Pieces(PieceFault::NoUpstream) => RefusalReason::NoUpstream,
            Self::NotRun | Self::Pieces(PieceFault::Late | PieceFault::Moved) => {
                RefusalReason::Overload
            }
            Self::Pieces(PieceFault::Quarantined) => RefusalReason::Quarantined,
            Self::Declined | Self::Pieces(PieceFault::Failed) => RefusalReason::UpstreamError,
            Self::Broken(_) | Self::Pieces(PieceFault::InputGone) => RefusalReason::UpstreamBroken,
        }
    }
}
