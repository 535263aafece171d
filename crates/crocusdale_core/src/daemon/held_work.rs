use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::{CallerRequest, RefusalReason};
use crate::routing::SlotRequest;

/// Queues of work that waits until the list of upstreams is fresh enough to route by.
///
/// The check whether to hold work and the insertion into a queue happen under one lock. Guards
/// against an attempt that one thread queues just after another thread has released the queues: it
/// would wait until its deadline.
#[derive(Debug, Default)]
pub(super) struct HeldWork {
    is_holding: bool,
    queued: QueuedWork,
}

/// Contents of the queues, returned when the work may continue.
#[derive(Debug, Default)]
pub(super) struct QueuedWork {
    /// Attempts that need an upstream, each with the reason for which its request is refused if
    /// none can be assigned.
    pub(super) attempts: Vec<(SlotRequest, RefusalReason)>,
    /// Requests that have not been admitted or refused yet, in order of arrival.
    pub(super) requests: Vec<HeldRequest>,
}

/// A request that has not been admitted or refused yet.
#[derive(Debug)]
pub(super) struct HeldRequest {
    pub(super) call: CallId,
    pub(super) request: CallerRequest,
    /// When the request arrived, from which its deadline is counted.
    pub(super) arrived_at: MonotonicTime,
}

impl HeldWork {
    /// Whether new work is queued.
    pub(super) fn is_holding(&self) -> bool {
        self.is_holding
    }

    /// Sets whether new work is queued. Returns the queued work when queuing ends, an empty value
    /// when queuing begins, and `None` if neither happens.
    pub(super) fn set_holding(&mut self, is_holding: bool) -> Option<QueuedWork> {
        if std::mem::replace(&mut self.is_holding, is_holding) == is_holding {
            return None;
        }
        Some(if is_holding { QueuedWork::default() } else { std::mem::take(&mut self.queued) })
    }

    /// Queues an attempt while work is held; otherwise returns it to the caller, who continues with
    /// it.
    pub(super) fn hold_attempt(
        &mut self,
        request: SlotRequest,
        reason: RefusalReason,
    ) -> Option<SlotRequest> {
        if !self.is_holding {
            return Some(request);
        }
        self.queued.attempts.push((request, reason));
        None
    }

    /// Queues a request while work is held; otherwise returns it to the caller, who continues with
    /// it.
    pub(super) fn hold_request(&mut self, held_request: HeldRequest) -> Option<HeldRequest> {
        if !self.is_holding {
            return Some(held_request);
        }
        self.queued.requests.push(held_request);
        None
    }

    /// Removes queued attempts for the same call and stage as `request`.
    pub(super) fn remove_attempts(&mut self, request: &SlotRequest) {
        let is_other =
            |attempt: &SlotRequest| attempt.call != request.call || attempt.stage != request.stage;
        self.queued.attempts.retain(|(attempt, _)| is_other(attempt));
    }

    /// Removes the queued request of `call`, because its caller has disconnected.
    pub(super) fn remove_request(&mut self, call: CallId) {
        self.queued.requests.retain(|held_request| held_request.call != call);
    }

    /// Removes and returns all queued requests.
    pub(super) fn take_requests(&mut self) -> Vec<HeldRequest> {
        std::mem::take(&mut self.queued.requests)
    }

    /// Number of queued requests.
    pub(super) fn request_count(&self) -> usize {
        self.queued.requests.len()
    }
}
