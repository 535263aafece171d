//! The part of the calls that promised late jobs get, however many others can be on time.

use super::BatchPool;
use super::batch_job::BatchJob;
use crate::identity::{AttemptId, MonotonicTime};

/// Part of all pieces in calls that is left to promised late jobs. It is more than the
/// tenth that admission coordinators promise to late requests, because jobs that became late against
/// the forecast are served from it too.
const LATE_SHARE: f64 = 0.12;
/// Largest unused credit, in full calls. More would let late jobs fill several calls in a row after
/// a time without any.
const MAX_CREDIT_CALLS: f64 = 1.0;

/// Number of pieces of promised late jobs that may go before on-time ones.
///
/// Guards against admitted requests that are refused after some of their steps have run, because
/// their pieces wait behind all that can be on time. A share, unlike a due time, also bounds what
/// on-time requests lose if too many late ones were promised.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LateCredit {
    pieces: f64,
}

impl LateCredit {
    /// Records a call of `pieces` pieces, of which `late` belong to promised late jobs.
    fn record_call(&mut self, pieces: usize, late: usize, max_call_pieces: u32) {
        let max_credit = f64::from(max_call_pieces) * MAX_CREDIT_CALLS;
        let earned = pieces as f64 * LATE_SHARE;
        self.pieces = (self.pieces + earned - late as f64).clamp(-max_credit, max_credit);
    }
}

impl BatchPool {
    /// Records the pieces of a new call for the share of late jobs.
    pub(super) fn record_served_pieces(&mut self, items: &[(AttemptId, u32)], now: MonotonicTime) {
        let shortest = self.rules.expected(1);
        let is_late =
            |job: &BatchJob| job.order.admission.is_promised() && !job.can_meet_due(now + shortest);
        let late = items.iter().filter(|(attempt, _)| self.jobs.get(attempt).is_some_and(is_late));
        let late = late.count();
        self.late_credit.record_call(items.len(), late, self.rules.pieces.max(1));
    }

    /// Removes from `late` the promised jobs that may go before on-time ones, and returns them. Those
    /// that are due first come first, so that jobs that missed their due time are not kept back by the
    /// steady arrivals of late ones.
    pub(super) fn take_promised_late(&self, late: &mut Vec<AttemptId>) -> Vec<AttemptId> {
        let mut credit = self.late_credit.pieces;
        if credit <= 0.0 {
            return Vec::new();
        }
        let job = |attempt: &AttemptId| self.jobs.get(attempt);
        let is_promised = |attempt: &&AttemptId| {
            job(attempt).is_some_and(|job| job.order.admission.is_promised())
        };
        let mut promised: Vec<AttemptId> = late.iter().filter(is_promised).copied().collect();
        promised.sort_by_key(|attempt| job(attempt).map(|job| (job.order.target_end, *attempt)));
        promised.retain(|attempt| {
            let has_credit = credit > 0.0;
            credit -= job(attempt).map_or(0.0, |job| job.waiting.len() as f64);
            has_credit
        });
        late.retain(|attempt| !promised.contains(attempt));
        promised
    }
}
