//! Attempts wait while the list of published upstreams is too old to choose by.

use super::core_state::CoreState;
use super::{Command, CounterName};
use crate::identity::MonotonicTime;
use crate::pipeline::{RefusalReason, ShardStep};
use crate::routing::SlotRequest;
use crate::sync::lock;

/// Attempts that wait until the list of published upstreams has been read.
#[derive(Debug, Default)]
pub(super) struct HeldAttempts {
    attempts: Vec<(SlotRequest, RefusalReason)>,
}

impl HeldAttempts {
    /// Lets an attempt wait; `reason` is why its request is refused if there is no upstream.
    pub(super) fn hold(&mut self, request: SlotRequest, reason: RefusalReason) {
        self.attempts.push((request, reason));
    }

    /// Takes out what waits for the call and the stage of `request`.
    pub(super) fn withdraw(&mut self, request: &SlotRequest) {
        self.attempts.retain(|(held, _)| held.call != request.call || held.stage != request.stage);
    }
}

impl CoreState {
    /// Decides at `now` whether the list of published upstreams is fit to choose by, before anything
    /// is chosen.
    ///
    /// Guards against requests to an upstream that has left, sent by a list that was not renewed in
    /// time: this process got no processor, or a timer, a peer or a reading was late. It shows as a
    /// leaving upstream that is called seconds after its notice. The guard holds because it is asked
    /// where the choice is made, and needs nothing to be on time.
    pub(super) fn check_list(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let overdue = lock(&self.directory).is_overdue(now, out);
        if !self.router().hold(overdue) {
            return;
        }
        lock(&self.desk).hold(overdue);
        if overdue {
            return;
        }
        let held = std::mem::take(&mut *lock(&self.held));
        let mut steps = Vec::new();
        for (request, reason) in held.attempts {
            self.acquire(request, reason, now, &mut steps);
        }
        steps.extend(self.run_grants(self.router().serve_all_waiting(now), now));
        self.turn_desk(now, &mut steps, out);
        self.run_steps(steps, now, out);
    }

    /// Finds an upstream for an attempt, lets it wait for one, or denies it for `reason`.
    pub(super) fn acquire(
        &self,
        request: SlotRequest,
        reason: RefusalReason,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        let router = self.router();
        if router.is_held() {
            steps.push(ShardStep::Command(Command::Count(CounterName::AttemptsHeld)));
            lock(&self.held).hold(request, reason);
            return;
        }
        match router.acquire(request, now) {
            Ok(Some(grant)) => self.shard(grant.request.call.0).granted(grant, now, steps),
            Ok(None) => {}
            Err(request) => self.shard(request.call.0).denied(request.call, reason, now, steps),
        }
    }
}
