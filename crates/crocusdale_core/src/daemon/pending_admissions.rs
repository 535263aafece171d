use std::collections::HashMap;
use std::time::Duration;

use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::RequestPlan;

/// Maximum number of requests that wait for their coordinators. At 100 ms a reply, a daemon would
/// have to receive 40,000 requests a second to reach it.
const MAX_PENDING: usize = 4_096;
/// Time after which a request stops waiting, if not even the failure of its call was reported.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Requests for which an admission coordinator on another daemon has been asked.
#[derive(Debug, Default)]
pub(super) struct PendingAdmissions {
    waiting: HashMap<CallId, PendingAdmission>,
}

/// A request that waits for the decision of its coordinator.
#[derive(Debug)]
pub(super) struct PendingAdmission {
    pub(super) plan: RequestPlan,
    /// VM of the coordinator.
    pub(super) vm: String,
    asked_at: MonotonicTime,
}

impl PendingAdmissions {
    /// Whether another request can wait.
    pub(super) fn has_capacity(&self) -> bool {
        self.waiting.len() < MAX_PENDING
    }

    pub(super) fn insert(
        &mut self,
        call: CallId,
        plan: RequestPlan,
        vm: String,
        now: MonotonicTime,
    ) {
        self.waiting.insert(call, PendingAdmission { plan, vm, asked_at: now });
    }

    pub(super) fn remove(&mut self, call: CallId) -> Option<PendingAdmission> {
        self.waiting.remove(&call)
    }

    /// Removes the requests that have waited for too long.
    pub(super) fn take_overdue(&mut self, now: MonotonicTime) -> Vec<(CallId, PendingAdmission)> {
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
