//! Holds back requests and attempts while the list of upstreams is too old to route by.

use super::core_state::CoreState;
use super::held_work::HeldRequest;
use super::{Command, CounterName};
use crate::identity::MonotonicTime;
use crate::pipeline::{RefusalReason, ShardAction};
use crate::routing::{SlotGrant, SlotRequest};
use crate::sync::lock;

impl CoreState {
    /// Checks at `now` whether the configuration and the list of upstreams are fresh enough to
    /// route by, and holds or releases work accordingly. Runs before any routing decision.
    ///
    /// Guards against requests to an upstream that has left, and against requests that are handled
    /// under a replaced configuration. Both happen if the data was not refreshed in time, because
    /// this process got no CPU time, or because a timer, a peer or a platform read was late. The
    /// symptoms are a leaving upstream that is called seconds after its notice, or a revoked access
    /// key that works for seconds longer. Checking at the point of decision makes the guard
    /// independent of any timer.
    pub(super) fn check_staleness(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let (is_expired, released_work) = {
            let mut directory = lock(&self.directory);
            let is_expired = directory.is_expired(now, out);
            (is_expired, lock(&self.held_work).set_holding(is_expired))
        };
        let Some(released_work) = released_work else { return };
        self.router().set_suspended(is_expired);
        lock(&self.dispatcher).set_paused(is_expired);
        if is_expired {
            return;
        }
        let mut actions = Vec::new();
        for (request, reason) in released_work.attempts {
            self.acquire_placed(request, reason, now, &mut actions, out);
        }
        actions.extend(self.assign_granted_slots(self.router().serve_all_waiting(now), now));
        self.advance_dispatcher(now, &mut actions, out);
        self.run_actions(actions, now, out);
        for held_request in released_work.requests {
            self.submit(held_request, now, out);
        }
    }

    /// Assigns an upstream to an attempt, queues the attempt until one is free, or denies it for
    /// `reason`.
    pub(super) fn acquire(
        &self,
        request: SlotRequest,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        // Checked when an upstream is chosen, so that attempts of requests that started before the
        // quarantine are denied too.
        if let Some(retry_after) = self.slot_quarantine(&request, now) {
            let refusal = (RefusalReason::Quarantined, retry_after);
            self.shard(request.call.0).handle_lasting_refusal(request.call, refusal, now, actions);
            return;
        }
        let Some(request) = lock(&self.held_work).hold_attempt(request, reason) else {
            actions.push(ShardAction::Command(Command::Count(CounterName::AttemptsHeld)));
            return;
        };
        let result = self.router().acquire(request, now);
        self.finish_acquire(result, reason, now, actions);
    }

    /// Passes the router's decision on an attempt to its request. A denied attempt is refused for
    /// `reason`.
    pub(super) fn finish_acquire(
        &self,
        result: Result<Option<SlotGrant>, Box<SlotRequest>>,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        match result {
            Ok(Some(grant)) => self.shard(grant.request.call.0).handle_grant(grant, now, actions),
            Ok(None) => {}
            Err(request) => match self.router().retry_delay(&request, now) {
                Some(retry_after) => {
                    let refusal = (RefusalReason::Overload, retry_after);
                    self.shard(request.call.0).handle_lasting_refusal(
                        request.call,
                        refusal,
                        now,
                        actions,
                    );
                }
                None => {
                    self.shard(request.call.0).handle_refusal(request.call, reason, now, actions)
                }
            },
        }
    }

    /// Starts or refuses a request, or holds it until the list and the configuration are fresh.
    pub(super) fn submit_or_hold(
        &self,
        held_request: HeldRequest,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let held_request = lock(&self.held_work).hold_request(held_request);
        match held_request {
            Some(held_request) => self.submit(held_request, now, out),
            None => out.push(Command::Count(CounterName::RequestsHeld)),
        }
    }

    /// Submits all held requests without waiting for a fresh list, because the process is about to
    /// exit and callers must get an answer before that.
    pub(super) fn submit_all_held(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let requests = lock(&self.held_work).take_requests();
        for held_request in requests {
            self.submit(held_request, now, out);
        }
    }
}
