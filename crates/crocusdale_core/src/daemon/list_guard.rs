//! Requests and attempts wait while what the platform publishes is too old to choose by.

use super::core_state::CoreState;
use super::held_work::HeldRequest;
use super::{Command, CounterName};
use crate::identity::MonotonicTime;
use crate::pipeline::{RefusalReason, ShardAction};
use crate::routing::SlotRequest;
use crate::sync::lock;

impl CoreState {
    /// Decides at `now` whether what the platform publishes, configuration and list of upstreams, is
    /// known well enough to choose by, before anything is chosen.
    ///
    /// Guards against requests to an upstream that has left, and against requests that are judged by a
    /// configuration that was replaced, because what is known was not renewed in time: this process got
    /// no processor, or a timer, a peer or a reading was late. It shows as a leaving upstream that is
    /// called seconds after its notice, or as an access key that works for seconds after it was taken
    /// away. The guard holds because it is asked where the choice is made, and needs nothing to be on
    /// time.
    pub(super) fn check_list(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let (overdue, released) = {
            let mut directory = lock(&self.directory);
            let overdue = directory.is_overdue(now, out);
            (overdue, lock(&self.held).set_closed(overdue))
        };
        let Some(released) = released else { return };
        self.router().hold(overdue);
        lock(&self.dispatcher).hold(overdue);
        if overdue {
            return;
        }
        let mut steps = Vec::new();
        for (request, reason) in released.attempts {
            self.acquire(request, reason, now, &mut steps);
        }
        steps.extend(self.run_grants(self.router().serve_all_waiting(now), now));
        self.turn_dispatcher(now, &mut steps, out);
        self.run_steps(steps, now, out);
        for held in released.requests {
            self.submit(held, now, out);
        }
    }

    /// Finds an upstream for an attempt, lets it wait for one, or denies it for `reason`.
    pub(super) fn acquire(
        &self,
        request: SlotRequest,
        reason: RefusalReason,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
    ) {
        // Asked where an upstream is chosen, so that nothing that began before the quarantine gets one.
        if let Some(left) = self.quarantine_left(request.digest, now) {
            let why = (RefusalReason::Quarantined, left);
            self.shard(request.call.0).denied_for(request.call, why, now, steps);
            return;
        }
        let Some(request) = lock(&self.held).hold_attempt(request, reason) else {
            steps.push(ShardAction::Command(Command::Count(CounterName::AttemptsHeld)));
            return;
        };
        match self.router().acquire(request, now) {
            Ok(Some(grant)) => self.shard(grant.request.call.0).granted(grant, now, steps),
            Ok(None) => {}
            Err(request) => match self.router().away_for(&request, now) {
                Some(left) => {
                    let why = (RefusalReason::Overload, left);
                    self.shard(request.call.0).denied_for(request.call, why, now, steps);
                }
                None => self.shard(request.call.0).denied(request.call, reason, now, steps),
            },
        }
    }

    /// Begins a request, refuses it, or lets it wait until it can be judged.
    pub(super) fn receive(&self, held: HeldRequest, now: MonotonicTime, out: &mut Vec<Command>) {
        let held = lock(&self.held).hold_request(held);
        match held {
            Some(held) => self.submit(held, now, out),
            None => out.push(Command::Count(CounterName::RequestsHeld)),
        }
    }

    /// Ends the requests that wait to be judged: the process is about to end.
    pub(super) fn end_held(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let requests = lock(&self.held).take_requests();
        for held in requests {
            self.submit(held, now, out);
        }
    }
}
