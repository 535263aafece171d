use std::collections::HashMap;
use std::time::Duration;

use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::RequestPlan;

/// Maximum number of requests that wait at the same time. At 100 ms a reply, a daemon would have to
/// receive 40,000 requests a second to reach it.
const MAX_PENDING: usize = 4_096;

/// Requests that wait for replies of other daemons before they start. `A` is what was asked.
#[derive(Debug)]
pub(super) struct PendingRequests<A> {
    waiting: HashMap<CallId, PendingRequest<A>>,
}

/// A request that waits for replies.
#[derive(Debug)]
pub(super) struct PendingRequest<A> {
    pub(super) plan: RequestPlan,
    pub(super) asked: A,
    asked_at: MonotonicTime,
}

/// The daemon that was asked to decide on the admission of a request.
#[derive(Debug)]
pub(super) struct AskedCoordinator {
    pub(super) vm: String,
}

/// The daemons that were asked where the stream of a request began.
#[derive(Debug)]
pub(super) struct AskedKeepers {
    /// Number of daemons that have not replied.
    pub(super) unanswered: usize,
    /// Whether a daemon that was asked can't be reached, and might know the stream.
    pub(super) has_failures: bool,
}

impl<A> Default for PendingRequests<A> {
    fn default() -> Self {
        Self { waiting: HashMap::new() }
    }
}

impl<A> PendingRequests<A> {
    /// Whether another request can wait.
    pub(super) fn has_capacity(&self) -> bool {
        self.waiting.len() < MAX_PENDING
    }

    pub(super) fn insert(&mut self, call: CallId, plan: RequestPlan, asked: A, now: MonotonicTime) {
        self.waiting.insert(call, PendingRequest { plan, asked, asked_at: now });
    }

    pub(super) fn remove(&mut self, call: CallId) -> Option<PendingRequest<A>> {
        self.waiting.remove(&call)
    }

    /// Removes the requests that have waited for longer than `max_wait`.
    pub(super) fn take_overdue(
        &mut self,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> Vec<(CallId, PendingRequest<A>)> {
        self.waiting.extract_if(|_, pending| now.since(pending.asked_at) > max_wait).collect()
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

impl PendingRequests<AskedKeepers> {
    /// Records that a daemon does not know the stream of `call`, or failed to reply. Removes and
    /// returns the request if no other reply is due.
    pub(super) fn record_miss(
        &mut self,
        call: CallId,
        is_failure: bool,
    ) -> Option<PendingRequest<AskedKeepers>> {
        let asked = &mut self.waiting.get_mut(&call)?.asked;
        asked.unanswered = asked.unanswered.saturating_sub(1);
        asked.has_failures |= is_failure;
        if asked.unanswered > 0 { None } else { self.waiting.remove(&call) }
    }
}
