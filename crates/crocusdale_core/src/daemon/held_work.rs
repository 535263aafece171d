use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::{CallerRequest, RefusalReason};
use crate::routing::SlotRequest;

/// Work that waits until what the platform publishes has been read.
///
/// Whether work waits is decided under the same lock as it is put aside. Guards against an attempt that
/// is put aside by one thread just as another one lets all go on: it would wait until its deadline.
#[derive(Debug, Default)]
pub(super) struct HeldWork {
    is_closed: bool,
    released: ReleasedWork,
}

/// Work that may go on.
#[derive(Debug, Default)]
pub(super) struct ReleasedWork {
    /// Attempts that need an upstream, and why their requests are refused if there is none.
    pub(super) attempts: Vec<(SlotRequest, RefusalReason)>,
    /// Requests that have not been judged.
    pub(super) requests: Vec<HeldRequest>,
}

/// A request that has not been judged.
#[derive(Debug)]
pub(super) struct HeldRequest {
    pub(super) call: CallId,
    pub(super) request: CallerRequest,
    /// When it came.
    pub(super) arrived: MonotonicTime,
}

impl HeldWork {
    /// Whether work waits.
    pub(super) fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Sets whether work waits. Returns what may go on if it no longer does, and `None` if nothing has
    /// changed.
    pub(super) fn set_closed(&mut self, is_closed: bool) -> Option<ReleasedWork> {
        if std::mem::replace(&mut self.is_closed, is_closed) == is_closed {
            return None;
        }
        Some(if is_closed { ReleasedWork::default() } else { std::mem::take(&mut self.released) })
    }

    /// Lets an attempt wait, or gives it back if it may go on.
    pub(super) fn hold_attempt(
        &mut self,
        request: SlotRequest,
        reason: RefusalReason,
    ) -> Option<SlotRequest> {
        if !self.is_closed {
            return Some(request);
        }
        self.released.attempts.push((request, reason));
        None
    }

    /// Lets a request wait, or gives it back if it may go on.
    pub(super) fn hold_request(&mut self, held: HeldRequest) -> Option<HeldRequest> {
        if !self.is_closed {
            return Some(held);
        }
        self.released.requests.push(held);
        None
    }

    /// Takes out what waits for the call and the stage of `request`.
    pub(super) fn withdraw(&mut self, request: &SlotRequest) {
        let other = |held: &SlotRequest| held.call != request.call || held.stage != request.stage;
        self.released.attempts.retain(|(held, _)| other(held));
    }

    /// Takes out the request of `call`, whose caller is gone.
    pub(super) fn abandon(&mut self, call: CallId) {
        self.released.requests.retain(|held| held.call != call);
    }

    /// Takes out all requests that wait.
    pub(super) fn take_requests(&mut self) -> Vec<HeldRequest> {
        std::mem::take(&mut self.released.requests)
    }

    /// Requests that wait.
    pub(super) fn request_count(&self) -> usize {
        self.released.requests.len()
    }
}
