use std::time::Duration;

use super::core_state::CoreState;
use super::transit_flow::NO_PATH_RETRY_AFTER;
use super::{Command, StateChange};
use crate::admission::EntryVerdict;
use crate::batching::PoolWait;
use crate::configuration::{PlanStep, StepWork};
use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::{
    FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason, RequestPlan, ShardAction,
};
use crate::sync::lock;

/// Limit on late requests started per round of housekeeping. Their effect on the queues of the
/// pools is reported with their first batches, some rounds later, so more of them would overshoot.
const MAX_LATE_STARTS_PER_ROUND: usize = 2;
/// Largest expected duration of a request that counts as in time, as a fraction of the time to its
/// objective. The rest is a margin, because estimates err in both directions.
const OBJECTIVE_FRACTION: f64 = 0.9;

impl CoreState {
    /// Starts, queues or refuses a request that runs without a claim at witnesses.
    pub(super) fn start_or_queue(
        &self,
        call: CallId,
        mut plan: RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        plan.is_flood =
            lock(&self.workspace_meter).record_request(&plan.request.key.workspace, now);
        if let Some(wait) = self.rate_limit_retry_after(&plan, now) {
            refuse_unstarted(call, &plan, (RefusalReason::Overload, wait), actions);
            return;
        }
        if self.has_unreachable_pool(&plan) {
            let refusal = (RefusalReason::NoUpstream, NO_PATH_RETRY_AFTER);
            refuse_unstarted(call, &plan, refusal, actions);
            return;
        }
        plan.first_response_time = self.placed_first_response(&plan, now);
        plan.aligns_parallel_steps =
            self.is_coordinated() && self.coordination.settings.align_parallel_steps;
        if let Some(plan) = self.ask_admission(call, plan, now, actions) {
            self.start_or_queue_locally(call, plan, now, actions);
        }
    }

    /// Starts, queues or refuses a request by the verdict of this daemon alone.
    pub(super) fn start_or_queue_locally(
        &self,
        call: CallId,
        mut plan: RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        plan.queueing_delays = self.expected_delays(&plan, now);
        match self.entry_verdict(&plan, now) {
            EntryVerdict::InTime => self.shard(call.0).start(call, plan, now, actions),
            EntryVerdict::Unservable => self.refuse_overloaded(call, &plan, now, actions),
            verdict @ (EntryVerdict::LateWithCapacity | EntryVerdict::Late) => {
                actions.push(ShardAction::Command(Command::LogStateChange(
                    StateChange::RequestWaits {
                        request: plan.request.key.clone(),
                        verdict: verdict.to_string(),
                        needed_ms: whole_millis(self.expected_duration(&plan, now)),
                        objective_ms: whole_millis(plan.objective.since(now)),
                        is_flood: plan.is_flood,
                    },
                )));
                lock(&self.entry_backlog).push(call, plan);
            }
        }
    }

    /// Starts queued requests that the pools have room for, and refuses those that can no longer be
    /// answered before their deadline.
    pub(super) fn start_queued_requests(&self, now: MonotonicTime, actions: &mut Vec<ShardAction>) {
        let verdict_of = |plan: &RequestPlan| self.entry_verdict(plan, now);
        let ready = lock(&self.entry_backlog).take_ready(MAX_LATE_STARTS_PER_ROUND, verdict_of);
        for (call, mut plan, verdict) in ready {
            plan.queueing_delays = self.expected_delays(&plan, now);
            if verdict == EntryVerdict::Unservable {
                self.refuse_overloaded(call, &plan, now, actions);
            } else {
                self.shard(call.0).start(call, plan, now, actions);
            }
        }
    }

    /// Removes the queued request of `call`, whose caller has disconnected.
    pub(super) fn remove_queued_request(&self, call: CallId, actions: &mut Vec<ShardAction>) {
        lock(&self.held_work).remove_request(call);
        let pending = lock(&self.coordination.pending_admissions).remove(call);
        let queued = lock(&self.entry_backlog).remove(call);
        let resuming = lock(&self.pending_streams).remove(call).map(|pending| pending.plan);
        if let Some(plan) = queued.or(pending.map(|pending| pending.plan)).or(resuming) {
            actions.push(ShardAction::ReleasePermit(plan.permit));
        }
    }

    /// Refuses every queued request.
    pub(super) fn refuse_queued_requests(
        &self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let mut queued = lock(&self.entry_backlog).take_all();
        queued.extend(lock(&self.coordination.pending_admissions).take_all());
        queued.extend(lock(&self.pending_streams).take_all());
        for (call, plan) in queued {
            self.refuse_overloaded(call, &plan, now, actions);
        }
    }

    /// Expected time from `now` to the answer of a request, from the latest reports of dispatchers.
    fn expected_duration(&self, plan: &RequestPlan, now: MonotonicTime) -> Duration {
        let delays = self.expected_delays(plan, now);
        let steps = &plan.pipeline.plan;
        steps.critical_path_time(|step, position| plan.step_time(position, step) + delays[position])
    }

    /// Expected delay of each step over its duration on idle pools, from the latest reports of
    /// dispatchers: its queueing time, and the time of other requests' pieces in its batches. Flood
    /// requests get no delay here: they queue behind all others, so that only the queueing time of
    /// late requests applies to them.
    fn expected_delays(&self, plan: &RequestPlan, now: MonotonicTime) -> Vec<Duration> {
        let steps = plan.pipeline.plan.steps().iter().enumerate();
        let delay = |(position, step): (usize, &PlanStep)| {
            let is_batched = matches!(step.work, StepWork::Batched { .. });
            if plan.is_flood || !is_batched || plan.pieces(position) == 0 {
                return Duration::ZERO;
            }
            let wait = self.step_wait(plan, step, now);
            wait.on_time_wait + wait.call_time.saturating_sub(plan.step_time(position, step))
        };
        steps.map(delay).collect()
    }

    /// Latest reported queueing times of the pools that a request needs.
    fn needed_pool_waits(&self, plan: &RequestPlan, now: MonotonicTime) -> Vec<PoolWait> {
        let steps = plan.pipeline.plan.steps().iter().enumerate();
        let needed = steps.filter(|(position, step)| {
            matches!(step.work, StepWork::Batched { .. }) && plan.pieces(*position) > 0
        });
        needed.map(|(_, step)| self.step_wait(plan, step, now)).collect()
    }

    /// Latest reported queueing time of the pool section that would run the pieces of `step`.
    fn step_wait(&self, plan: &RequestPlan, step: &PlanStep, now: MonotonicTime) -> PoolWait {
        let section = self.section_for(&step.stage, &plan.request.key.key, now);
        lock(&self.pool_waits).wait(&section, now)
    }

    /// Refuses a request that has not started and can't be answered before its deadline. Its
    /// `Retry-After` is the time until the pools that it needs should have worked off their queues.
    fn refuse_overloaded(
        &self,
        call: CallId,
        plan: &RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let waits = self.needed_pool_waits(plan, now);
        let retry_after = waits.iter().map(PoolWait::retry_after).max().unwrap_or_default();
        refuse_unstarted(call, plan, (RefusalReason::Overload, retry_after), actions);
    }

    /// Refuses a queued request that is quarantined for `remaining`.
    pub(super) fn refuse_quarantined(
        &self,
        call: CallId,
        plan: &RequestPlan,
        remaining: Duration,
        actions: &mut Vec<ShardAction>,
    ) {
        refuse_unstarted(call, plan, (RefusalReason::Quarantined, remaining), actions);
    }

    /// `Retry-After` of a request that the rate limits of its last step's upstreams leave no slot
    /// for before its deadline, or `None` if it may start. Refusing the request now saves its
    /// batched steps, whose results it could not use.
    fn rate_limit_retry_after(&self, plan: &RequestPlan, now: MonotonicTime) -> Option<Duration> {
        let steps = plan.pipeline.plan.steps();
        let forwarded = steps.iter().find(|step| step.work == StepWork::Forward)?;
        self.router().admission_delay(&forwarded.stage, &plan.allowed_regions, plan.deadline, now)
    }

    /// Admission verdict on a request, from the latest reports of the dispatchers of its batched
    /// steps. A request without batched steps counts as in time.
    fn entry_verdict(&self, plan: &RequestPlan, now: MonotonicTime) -> EntryVerdict {
        let steps = plan.pipeline.plan.steps();
        let is_batched = |work| matches!(work, StepWork::Batched { .. });
        if !steps.iter().any(|step| is_batched(step.work)) {
            return EntryVerdict::InTime;
        }
        let expected = self.expected_duration(plan, now);
        let waits = self.needed_pool_waits(plan, now);
        let late_wait = waits.iter().map(|wait| wait.late_wait(plan.level)).max();
        let unqueued_duration =
            plan.pipeline.plan.critical_path_time(|step, position| plan.step_time(position, step));
        // Flood requests queue behind all others, like late ones.
        let expected = if plan.is_flood {
            expected.max(unqueued_duration + late_wait.unwrap_or_default())
        } else {
            expected
        };
        if now + unqueued_duration >= plan.first_event_deadline {
            EntryVerdict::Unservable
        } else if now + expected.mul_f64(1.0 / OBJECTIVE_FRACTION) <= plan.objective {
            EntryVerdict::InTime
        } else if now + late_wait.unwrap_or_default() >= plan.first_event_deadline {
            EntryVerdict::Unservable
        } else if waits.iter().all(PoolWait::has_spare_capacity) {
            EntryVerdict::LateWithCapacity
        } else {
            EntryVerdict::Late
        }
    }
}

/// Releases the permit of a request that has not started, and answers its caller with a refusal.
pub(super) fn refuse_unstarted(
    call: CallId,
    plan: &RequestPlan,
    (reason, retry_after): (RefusalReason, Duration),
    actions: &mut Vec<ShardAction>,
) {
    actions.push(ShardAction::ReleasePermit(plan.permit.clone()));
    let outcome = FinalOutcome::new(OutcomeKind::Refused, &plan.request.key).with_reason(reason);
    let answer = FinalAnswer::from(outcome.with_retry(retry_after, true));
    actions.push(ShardAction::Command(Command::Reply { call, answer }));
}

/// Whole milliseconds of `duration`.
pub(super) fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
