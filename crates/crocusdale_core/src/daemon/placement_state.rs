use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::identity::{AttemptId, CallId, MonotonicTime};
use crate::pipeline::RefusalReason;
use crate::placement::{EnginePlacers, FirstEventTime, PlacementOutcome, PlacementReport};
use crate::routing::{AttemptReport, SlotRequest};
use crate::sync::lock;

/// Maximum number of requests that wait for the reply of a placement coordinator.
const MAX_PENDING: usize = 8_192;
/// Age up to which the time to the first event of a pool is used in plans.
const POOL_TIME_LIFETIME: Duration = Duration::from_secs(5);

/// Placements of this daemon's requests, and the sections of engine pools that it coordinates.
#[derive(Debug, Default)]
pub(super) struct PlacementState {
    /// Sections that this daemon coordinates.
    pub(super) placers: Mutex<EnginePlacers>,
    pending: Mutex<HashMap<CallId, PendingPlacement>>,
    active: Mutex<HashMap<CallId, ActivePlacement>>,
    pool_times: Mutex<HashMap<String, (FirstEventTime, MonotonicTime)>>,
    next_sequence: AtomicU32,
}

/// An attempt that waits for the reply of the placement coordinator.
#[derive(Debug)]
pub(super) struct PendingPlacement {
    pub(super) id: AttemptId,
    pub(super) request: SlotRequest,
    /// Reason for which the request is refused if no upstream can be assigned.
    pub(super) reason: RefusalReason,
}

/// Coordinator and section that placed a request.
#[derive(Clone, Debug)]
pub(super) struct PlacementSource {
    pub(super) vm: String,
    pub(super) section: String,
    pub(super) id: AttemptId,
}

/// A placed attempt that runs at an upstream.
#[derive(Debug)]
pub(super) struct ActivePlacement {
    pub(super) source: PlacementSource,
    pub(super) upstream: String,
    pub(super) sent_at: MonotonicTime,
    /// Number of events and time from the first to the last, once the stream has ended.
    pub(super) stream: (u32, Duration),
}

impl PlacementSource {
    /// Report without measurements.
    pub(super) fn report(&self, outcome: PlacementOutcome, upstream: &str) -> PlacementReport {
        PlacementReport {
            attempt: self.id,
            outcome,
            first_event: None,
            stream_time: Duration::ZERO,
            events: 0,
            upstream: upstream.to_owned(),
        }
    }
}

impl PlacementState {
    /// Identity of the next placement for `call`.
    pub(super) fn next_id(&self, incarnation: u64, call: CallId) -> AttemptId {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        AttemptId { incarnation, call, sequence }
    }

    /// Adds an attempt that waits for a reply. Returns it if too many wait.
    pub(super) fn push_pending(&self, placement: PendingPlacement) -> Option<PendingPlacement> {
        let mut pending = lock(&self.pending);
        if pending.len() >= MAX_PENDING {
            return Some(placement);
        }
        pending.insert(placement.request.call, placement);
        None
    }

    /// Removes the attempt that waits for the reply to `id`. `None` if it was cancelled.
    pub(super) fn take_pending(&self, id: AttemptId) -> Option<PendingPlacement> {
        let mut pending = lock(&self.pending);
        pending.get(&id.call).filter(|placement| placement.id == id)?;
        pending.remove(&id.call)
    }

    /// Removes the attempt of the same call and step as `request`, if it waits for a reply.
    pub(super) fn cancel_pending(&self, request: &SlotRequest) {
        let mut pending = lock(&self.pending);
        let is_same = |placement: &PendingPlacement| placement.request.branch == request.branch;
        if pending.get(&request.call).is_some_and(is_same) {
            pending.remove(&request.call);
        }
    }

    /// Number of attempts that wait for a reply.
    pub(super) fn pending_count(&self) -> usize {
        lock(&self.pending).len()
    }

    /// Adds an attempt that was sent to an upstream.
    pub(super) fn push_active(&self, call: CallId, placement: ActivePlacement) {
        lock(&self.active).insert(call, placement);
    }

    /// Source and send time of the attempt of `call` at `upstream`.
    pub(super) fn active(
        &self,
        call: CallId,
        upstream: &str,
    ) -> Option<(PlacementSource, MonotonicTime)> {
        let active = lock(&self.active);
        let placement = active.get(&call).filter(|placement| placement.upstream == upstream)?;
        Some((placement.source.clone(), placement.sent_at))
    }

    /// Records the number of events of the stream to `call`, and the time from first to last.
    pub(super) fn record_stream(&self, call: CallId, events: u32, time: Duration) {
        if let Some(placement) = lock(&self.active).get_mut(&call) {
            placement.stream = (events, time);
        }
    }

    /// Removes the attempt of `call` at `upstream`, which has ended, and returns the report about
    /// it.
    pub(super) fn end(
        &self,
        call: CallId,
        upstream: &str,
        report: AttemptReport,
    ) -> Option<(PlacementSource, PlacementReport)> {
        let mut active = lock(&self.active);
        active.get(&call).filter(|placement| placement.upstream == upstream)?;
        let ActivePlacement { source, stream, .. } = active.remove(&call)?;
        let outcome = match report {
            AttemptReport::Answered(_) | AttemptReport::Unmeasured => PlacementOutcome::Answered,
            AttemptReport::Failed => PlacementOutcome::Failed,
            AttemptReport::Declined => PlacementOutcome::Declined,
            AttemptReport::Cancelled => PlacementOutcome::Cancelled,
        };
        let mut placement_report = source.report(outcome, upstream);
        if matches!(report, AttemptReport::Answered(_)) {
            (placement_report.events, placement_report.stream_time) = stream;
        }
        Some((source, placement_report))
    }

    /// Records the time to the first event that a coordinator has measured in the pool of `stage`.
    pub(super) fn record_pool_time(&self, stage: &str, time: FirstEventTime, now: MonotonicTime) {
        lock(&self.pool_times).insert(stage.to_owned(), (time, now));
    }

    /// Recent time to the first event in the pool of `stage` for a prompt of `tokens` tokens.
    pub(super) fn pool_time(
        &self,
        stage: &str,
        tokens: u64,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let pool_times = lock(&self.pool_times);
        let (time, recorded_at) = pool_times.get(stage)?;
        (now.since(*recorded_at) < POOL_TIME_LIFETIME).then(|| time.for_prompt(tokens))
    }
}
