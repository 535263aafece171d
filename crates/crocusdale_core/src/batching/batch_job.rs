use std::collections::VecDeque;
use std::time::Duration;

use super::BatchItem;
use crate::admission::AdmissionClass;
use crate::identity::MonotonicTime;
use crate::pipeline::{PieceOrder, PieceSource, PlacedResult};

/// Delay in the queue per priority level, about the duration of one call. A job of the next less
/// urgent level goes first only if it is due earlier by more than this.
const PRIORITY_LEVEL_DELAY: Duration = Duration::from_millis(400);

/// Delay in the queue per priority level of promised jobs. The admission coordinator has already
/// preferred the urgent ones, and a longer delay would make the others late.
const PROMISED_LEVEL_DELAY: Duration = Duration::from_millis(50);

/// Delay in the queue of jobs whose workspace floods the daemon. It exceeds the usual latency
/// objectives, so that all other jobs go first.
const FLOOD_DELAY: Duration = Duration::from_secs(3);

/// Number of suspected crashes from which on the pieces of a request run in calls of their own. It
/// is one below the number of crashes that quarantines a request.
const RUN_ALONE_CRASHES: usize = 2;

/// The pieces of one step of one request, until all have results.
#[derive(Debug)]
pub(super) struct BatchJob {
    pub(super) order: PieceOrder,
    /// Results by piece index, `None` until the piece is done.
    pub(super) results: Vec<Option<PlacedResult>>,
    /// Indices of the pieces that are in no call.
    pub(super) waiting: VecDeque<u32>,
    /// Whether an upstream may have run any piece, at this or another dispatcher.
    may_have_run: bool,
    /// Number of pieces that are in calls.
    in_calls: usize,
    /// Number of upstreams that crashed under the request, and of failed calls that contained its
    /// pieces.
    suspected_crashes: usize,
}

impl BatchJob {
    pub(super) fn new(order: PieceOrder) -> Self {
        let pieces = order.pieces;
        let (results, waiting) = (vec![None; pieces as usize], (0..pieces).collect());
        Self {
            results,
            waiting,
            may_have_run: order.is_resubmission,
            in_calls: 0,
            suspected_crashes: 0,
            order,
        }
    }

    /// Sort key in the queue: the due time, with a penalty for low priority and for floods. The job
    /// with the earliest time goes first.
    pub(super) fn priority_time(&self) -> MonotonicTime {
        let flood_delay = if self.order.is_flood { FLOOD_DELAY } else { Duration::ZERO };
        let is_promised = self.order.admission.is_promised();
        let level_delay = if is_promised { PROMISED_LEVEL_DELAY } else { PRIORITY_LEVEL_DELAY };
        self.order.target_end + level_delay * u32::from(self.order.level) + flood_delay
    }

    /// Whether the job is on time if its call ends at `end`. On-time jobs are served before late
    /// ones. Work already spent on the request does not count: otherwise, in a burst, each request
    /// would make the next one late.
    pub(super) fn can_meet_due(&self, end: MonotonicTime) -> bool {
        end <= self.order.target_end && self.order.admission != AdmissionClass::Late
    }

    /// Time that must remain between the end of a call and the due time for the job to wait for an
    /// upstream in its preferred zone. `default_margin` applies to jobs whose input comes from the
    /// caller: without the wait, their results would have to cross zones.
    ///
    /// A job that fetches large inputs waits as long as it can be on time. Its inputs cross zones
    /// once per piece, and its due time already reserves time for the later pools. Results for a
    /// model engine cross zones only once, and the engine's time to the first event varies by more
    /// than a call.
    pub(super) fn zone_wait_margin(&self, default_margin: Duration) -> Duration {
        match self.order.source {
            PieceSource::Results(_) => Duration::ZERO,
            PieceSource::Caller(_) => default_margin,
        }
    }

    /// Adds `count` crashed upstreams or failed calls to the suspicion against the request.
    pub(super) fn add_suspected_crashes(&mut self, count: usize) {
        self.suspected_crashes += count;
    }

    /// Whether the pieces may only share a call with pieces of the same request.
    ///
    /// Guards against innocent requests being quarantined along with one that crashes upstreams,
    /// because all requests of a failed call are suspected. A single crash may have happened by
    /// chance, under the pieces of many requests.
    pub(super) fn must_run_alone(&self) -> bool {
        self.suspected_crashes >= RUN_ALONE_CRASHES
    }

    /// Whether no upstream has run or may run any piece, so that another dispatcher can take the job
    /// as a new one.
    pub(super) fn is_undispatched(&self) -> bool {
        !self.may_have_run && self.in_calls == 0
    }

    /// Whether no piece is in a call.
    pub(super) fn is_waiting(&self) -> bool {
        self.in_calls == 0
    }

    /// Records that a call with one of the pieces has ended. `may_have_run` tells whether the
    /// upstream may have run the piece.
    pub(super) fn end_piece(&mut self, may_have_run: bool) {
        self.in_calls = self.in_calls.saturating_sub(1);
        self.may_have_run |= may_have_run;
    }

    /// Whether all pieces have results.
    pub(super) fn is_complete(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    /// Removes up to `limit` waiting pieces and returns them as items of a call.
    pub(super) fn take_pieces(&mut self, limit: usize) -> Vec<BatchItem> {
        let count = limit.min(self.waiting.len());
        self.in_calls += count;
        let pieces: Vec<u32> = self.waiting.drain(..count).collect();
        let item = |piece| BatchItem {
            request: self.order.request.clone(),
            step: self.order.step,
            piece,
            source: self.order.source.clone(),
            expires: self.order.expires,
        };
        pieces.into_iter().map(item).collect()
    }

    /// Returns `piece` to the front of the waiting pieces, unless it has a result or is waiting
    /// already.
    pub(super) fn requeue(&mut self, piece: u32) {
        let has_result = self.results.get(piece as usize).is_some_and(Option::is_some);
        if !has_result && !self.waiting.contains(&piece) {
            self.waiting.push_front(piece);
        }
    }
}
