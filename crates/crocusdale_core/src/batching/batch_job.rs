use std::collections::VecDeque;
use std::time::Duration;

use super::BatchItem;
use crate::identity::MonotonicTime;
use crate::pipeline::{PieceOrder, PieceSource, PlacedResult};

/// Time by which a job of a lower priority must be due sooner to go first: about one call.
const LEVEL_STEP: Duration = Duration::from_millis(400);

/// Time by which jobs of a flood go behind others: more than the usual objectives.
const FLOOD_STEP: Duration = Duration::from_secs(3);

/// Calls that broke off under a request from which on its pieces go alone: one before it is quarantined.
const LONE_BREAKS: usize = 2;

/// The pieces of one step of one request, on their way to results.
#[derive(Debug)]
pub(super) struct BatchJob {
    pub(super) order: PieceOrder,
    /// Results of the pieces.
    pub(super) results: Vec<Option<PlacedResult>>,
    /// Pieces that are in no call.
    pub(super) waiting: VecDeque<u32>,
    /// Whether a piece was in a call, here or at another dispatcher.
    begun: bool,
    /// Upstreams that ended under the request, or broke off a call with its pieces.
    breaks: usize,
}

impl BatchJob {
    pub(super) fn new(order: PieceOrder) -> Self {
        let pieces = order.pieces;
        let (results, waiting) = (vec![None; pieces as usize], (0..pieces).collect());
        Self { results, waiting, begun: order.repeated, breaks: 0, order }
    }

    /// Place in the order of jobs: the earliest time by which results are needed goes first.
    pub(super) fn rank(&self) -> MonotonicTime {
        let flood = if self.order.is_flood { FLOOD_STEP } else { Duration::ZERO };
        self.order.due + LEVEL_STEP * u32::from(self.order.level) + flood
    }

    /// Whether the job goes before those that are late: it is in time if its call ends at `end`. Work that
    /// was done for its request doesn't count, or in a burst each request would make the next one late.
    pub(super) fn is_ahead(&self, end: MonotonicTime) -> bool {
        end <= self.order.due
    }

    /// Time beyond the end of a call that must be left for the job to wait for its zone; `usual` for a job
    /// whose results go to another zone otherwise.
    ///
    /// A job that fetches large inputs waits as long as it can be in time: its inputs cross zones once for
    /// each piece, and the time of the later pools is reserved in its due time. Results for an engine cross
    /// once, and the engine's time to the first event varies by more than a call.
    pub(super) fn zone_margin(&self, usual: Duration) -> Duration {
        match self.order.source {
            PieceSource::Results(_) => Duration::ZERO,
            PieceSource::Caller(_) => usual,
        }
    }

    /// Counts `breaks` upstreams that ended under the request or broke off a call with its pieces.
    pub(super) fn note_breaks(&mut self, breaks: usize) {
        self.breaks += breaks;
    }

    /// Whether its pieces go in calls of their own.
    ///
    /// Guards against a request whose pieces crash upstreams: all requests of a call are suspected, and those
    /// beside it would be quarantined with it. One crash may be by chance, under the pieces of many.
    pub(super) fn goes_alone(&self) -> bool {
        self.breaks >= LONE_BREAKS
    }

    /// Whether another dispatcher may take it as if it were new.
    pub(super) fn is_untouched(&self) -> bool {
        !self.begun
    }

    /// Whether all pieces have results.
    pub(super) fn is_made(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    /// Takes up to `limit` waiting pieces out for a call.
    pub(super) fn take(&mut self, limit: usize) -> Vec<BatchItem> {
        let count = limit.min(self.waiting.len());
        self.begun |= count > 0;
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

    /// Lets `piece` wait for another call.
    pub(super) fn put_back(&mut self, piece: u32) {
        let made = self.results.get(piece as usize).is_some_and(Option::is_some);
        if !made && !self.waiting.contains(&piece) {
            self.waiting.push_front(piece);
        }
    }
}
