use std::net::SocketAddr;

use serde_json::value::RawValue;

use super::{BreakReason, PieceFault, PlacedResult, RefusalReason, StreamAssembler};
use crate::configuration::StepWork;
use crate::daemon::CounterName;
use crate::identity::{AttemptId, MonotonicTime, SoftwareVersion};

/// One started step of a request.
#[derive(Debug)]
pub(super) struct StepRun {
    /// Position of the step in the pipeline's plan.
    pub(super) step: usize,
    pub(super) stage: String,
    /// Name of the pool section, one shard of a batched pool with its own dispatcher, that runs the
    /// step's pieces. The stage name until a section is chosen, and for steps without pieces.
    pub(super) pool_section: String,
    pub(super) work: StepWork,
    pub(super) started_at: MonotonicTime,
    /// Number of attempts that may have run.
    pub(super) attempts: u32,
    /// Names of the upstreams, or of the VMs of dispatchers, that failed the step.
    pub(super) failed_targets: Vec<String>,
    /// Number of times that the pieces were handed to another dispatcher before any call
    /// contained them.
    pub(super) dispatcher_changes: u32,
    pub(super) in_flight: Option<InFlightAttempt>,
    /// Attempt whose error response is held back. It is passed on to the caller if no other attempt
    /// can be made.
    pub(super) held_attempt: Option<AttemptId>,
    pub(super) output: Option<StepOutput>,
    /// Time at which the step ended with `output`.
    pub(super) ended_at: Option<MonotonicTime>,
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) id: AttemptId,
    pub(super) upstream: String,
    /// Socket address of the upstream; `None` unless this daemon calls the upstream itself.
    pub(super) address: Option<SocketAddr>,
    /// Version of the upstream's software. `None` if it is not known.
    pub(super) software_version: Option<SoftwareVersion>,
    pub(super) sent_at: MonotonicTime,
    pub(super) last_progress: MonotonicTime,
    pub(super) kind: AttemptKind,
}

/// What kind of call an attempt makes.
#[derive(Debug)]
pub(super) enum AttemptKind {
    /// A JSON call of a stage, with the assembler for a streamed answer.
    Json(StreamAssembler),
    /// Pieces that were handed to a dispatcher.
    Pieces,
    /// The caller's own request, forwarded to an upstream.
    Forward,
}

/// Output of a finished step.
#[derive(Clone, Debug)]
pub(super) enum StepOutput {
    Json(Box<RawValue>),
    Results(Vec<PlacedResult>),
    /// The response was forwarded to the caller and is not kept.
    Forwarded,
}

impl StepRun {
    pub(super) fn new(step: usize, stage: &str, work: StepWork, now: MonotonicTime) -> Self {
        Self {
            step,
            stage: stage.to_owned(),
            pool_section: stage.to_owned(),
            work,
            started_at: now,
            attempts: 0,
            failed_targets: Vec::new(),
            dispatcher_changes: 0,
            in_flight: None,
            held_attempt: None,
            output: None,
            ended_at: None,
        }
    }

    /// Whether the step waits for the router to assign an upstream.
    pub(super) fn is_waiting(&self) -> bool {
        self.in_flight.is_none() && self.output.is_none()
    }

    pub(super) fn is_attempt(&self, id: AttemptId) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.id == id)
    }
}

impl InFlightAttempt {
    /// Whether the attempt holds a concurrency slot of an upstream in the router.
    pub(super) fn has_slot(&self) -> bool {
        !matches!(self.kind, AttemptKind::Pieces)
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptFailure {
    NotSent,
    Declined,
    /// The upstream stated that it did not run the forwarded request.
    NotRun,
    Broken(BreakReason),
    Pieces(PieceFault),
}

impl AttemptFailure {
    pub(super) fn counter(self) -> CounterName {
        match self {
            Self::NotSent => CounterName::AttemptsNotSent,
            Self::Declined => CounterName::AttemptsDeclined,
            Self::NotRun => CounterName::AttemptsNotRun,
            Self::Broken(BreakReason::OtherAttempt) => CounterName::ForeignAnswers,
            Self::Broken(BreakReason::Silent) => CounterName::SilentAttempts,
            Self::Broken(_) => CounterName::BrokenAnswers,
            Self::Pieces(_) => CounterName::PiecesFailed,
        }
    }

    /// Whether the failure may mean that the upstream crashed during the attempt.
    pub(super) fn is_possible_crash(self) -> bool {
        matches!(self, Self::Broken(BreakReason::Cut))
    }

    /// Whether idle connections to the upstream may be as broken as the one that this attempt used.
    pub(super) fn is_broken_response(self) -> bool {
        matches!(self, Self::Broken(_))
    }

    pub(super) fn refusal_reason(self) -> RefusalReason {
        match self {
            Self::NotSent | Self::Pieces(PieceFault::NoUpstream) => RefusalReason::NoUpstream,
            Self::NotRun | Self::Pieces(PieceFault::Late | PieceFault::Moved) => {
                RefusalReason::Overload
            }
            Self::Pieces(PieceFault::DispatcherCutOff) => RefusalReason::NoUpstream,
            Self::Pieces(PieceFault::Quarantined) => RefusalReason::Quarantined,
            Self::Declined | Self::Pieces(PieceFault::Failed) => RefusalReason::UpstreamError,
            Self::Broken(_) | Self::Pieces(PieceFault::InputGone) => RefusalReason::UpstreamBroken,
        }
    }
}
