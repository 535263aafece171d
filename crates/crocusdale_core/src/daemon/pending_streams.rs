use std::collections::HashMap;
use std::time::Duration;

use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::RequestPlan;

/// Maximum number of requests that wait to learn where their streams began.
const MAX_PENDING: usize = 4_096;
/// Time after which a request stops waiting, if not even the failure of the calls was reported.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Requests that take up streams, while other daemons are asked where these began.
#[derive(Debug, Default)]
pub(super) struct PendingStreams {
    waiting: HashMap<CallId, PendingStream>,
}

/// A request that waits to learn where its stream began.
#[derive(Debug)]
pub(super) struct PendingStream {
    pub(super) plan: RequestPlan,
    /// Number of daemons that have not replied.
    unanswered: usize,
    /// Whether a daemon that was asked can't be reached, and might know the stream.
    pub(super) has_failures: bool,
    asked_at: MonotonicTime,
}

impl PendingStreams {
    /// Whether another request can wait.
    pub(super) fn has_capacity(&self) -> bool {
        self.waiting.len() < MAX_PENDING
    }

    /// Adds a request about whose stream `asked` daemons are asked.
    pub(super) fn insert(
        &mut self,
        call: CallId,
        plan: RequestPlan,
        asked: usize,
        now: MonotonicTime,
    ) {
        let pending = PendingStream { plan, unanswered: asked, has_failures: false, asked_at: now };
        self.waiting.insert(call, pending);
    }

    pub(super) fn remove(&mut self, call: CallId) -> Option<PendingStream> {
        self.waiting.remove(&call)
    }

    /// Records that a daemon does not know the stream of `call`, or failed to reply. Removes and
    /// returns the request if no other reply is due.
    pub(super) fn record_miss(&mut self, call: CallId, is_failure: bool) -> Option<PendingStream> {
        let pending = self.waiting.get_mut(&call)?;
        pending.unanswered = pending.unanswered.saturating_sub(1);
        pending.has_failures |= is_failure;
        if pending.unanswered > 0 { None } else { self.waiting.remove(&call) }
    }

    /// Removes the requests that have waited for too long.
    pub(super) fn take_overdue(&mut self, now: MonotonicTime) -> Vec<(CallId, PendingStream)> {
        self.waiting.extract_if(|_, pending| now.since(pending.asked_at) > MAX_WAIT).collect()
    }

    /// Removes all requests that `is_matching` selects.
    pub(super) fn take_matching(
        &mut self,
        is_matching: impl Fn(&RequestPlan) -> bool,
    ) -> Vec<(CallId, RequestPlan)> {
        let matching = self.waiting.extract_if(|_, pending| is_matching(&pending.plan));
        matching.map(|(call, pending)| (call, pending.plan)).collect()
    }

    /// Removes all requests.
    pub(super) fn take_all(&mut self) -> Vec<(CallId, RequestPlan)> {
        self.waiting.drain().map(|(call, pending)| (call, pending.plan)).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
