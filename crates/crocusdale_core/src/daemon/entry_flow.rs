use std::time::Duration;

use super::core_state::CoreState;
use super::{Command, StateChange};
use crate::admission::EntryVerdict;
use crate::batching::PoolWait;
use crate::configuration::{PlanStep, StepWork};
use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::{
    FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason, RequestPlan, ShardAction,
};
use crate::sync::lock;

/// Late requests that begin in one turn. The news of what they do to the pools comes back with
/// their first calls, some turns later.
const LATE_PER_TURN: usize = 2;
/// Part of the time to its objective that a request may be expected to take. Estimates lie on
/// either side of the truth.
const OBJECTIVE_SHARE: f64 = 0.9;

impl CoreState {
    /// Begins a request whose key no witness keeps, or lets it wait for room.
    pub(super) fn enter(
        &self,
        call: CallId,
        mut plan: RequestPlan,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
    ) {
        plan.is_flood = lock(&self.workspaces).count(&plan.request.key.workspace, now);
        if let Some(wait) = self.refused_by_rates(&plan, now) {
            refuse_unbegun(call, &plan, (RefusalReason::Overload, wait), steps);
            return;
        }
        plan.delays = self.expected_delays(&plan, now);
        match self.entry_verdict(&plan, now) {
            EntryVerdict::InTime => self.shard(call.0).start(call, plan, now, steps),
            EntryVerdict::Unservable => self.refuse_late(call, &plan, now, steps),
            verdict @ (EntryVerdict::LateWithRoom | EntryVerdict::Late) => {
                steps.push(ShardAction::Command(Command::Note(StateChange::RequestWaits {
                    request: plan.request.key.clone(),
                    verdict: verdict.to_string(),
                    needed_ms: millis(self.expected_way(&plan, now)),
                    objective_ms: millis(plan.objective.since(now)),
                    is_flood: plan.is_flood,
                })));
                lock(&self.backlog).wait(call, plan);
            }
        }
    }

    /// Lets requests that wait begin, or ends them.
    pub(super) fn turn_backlog(&self, now: MonotonicTime, steps: &mut Vec<ShardAction>) {
        let judge = |plan: &RequestPlan| self.entry_verdict(plan, now);
        let taken = lock(&self.backlog).take(LATE_PER_TURN, judge);
        for (call, mut plan, verdict) in taken {
            plan.delays = self.expected_delays(&plan, now);
            if verdict == EntryVerdict::Unservable {
                self.refuse_late(call, &plan, now, steps);
            } else {
                self.shard(call.0).start(call, plan, now, steps);
            }
        }
    }

    /// The caller of a request that waits is gone.
    pub(super) fn abandon_waiting(&self, call: CallId, steps: &mut Vec<ShardAction>) {
        lock(&self.held).abandon(call);
        if let Some(plan) = lock(&self.backlog).withdraw(call) {
            steps.push(ShardAction::ReleasePermit(plan.permit));
        }
    }

    /// Ends every request that waits.
    pub(super) fn end_waiting(&self, now: MonotonicTime, steps: &mut Vec<ShardAction>) {
        for (call, plan) in lock(&self.backlog).take_all() {
            self.refuse_late(call, &plan, now, steps);
        }
    }

    /// Time that a request should need from now to its answer, by what dispatchers said last.
    fn expected_way(&self, plan: &RequestPlan, now: MonotonicTime) -> Duration {
        let delays = self.expected_delays(plan, now);
        let steps = &plan.pipeline.plan;
        steps.longest_way(|step, position| plan.step_time(position, step) + delays[position])
    }

    /// Time that each step should take beyond what it takes if nothing waits, by what dispatchers said
    /// last: the wait for its calls, and the pieces of others in these. A flood stands behind all others,
    /// and what it waits for is told by the wait of late requests alone.
    fn expected_delays(&self, plan: &RequestPlan, now: MonotonicTime) -> Vec<Duration> {
        let steps = plan.pipeline.plan.steps().iter().enumerate();
        let delay = |(position, step): (usize, &PlanStep)| {
            let batched = matches!(step.work, StepWork::Batched { .. });
            if plan.is_flood || !batched || plan.pieces(position) == 0 {
                return Duration::ZERO;
            }
            let wait = self.step_wait(plan, step, now);
            wait.in_time + wait.call.saturating_sub(plan.step_time(position, step))
        };
        steps.map(delay).collect()
    }

    /// What dispatchers said last of the pools that a request needs.
    fn pool_waits(&self, plan: &RequestPlan, now: MonotonicTime) -> Vec<PoolWait> {
        let steps = plan.pipeline.plan.steps().iter().enumerate();
        let needed = steps.filter(|(position, step)| {
            matches!(step.work, StepWork::Batched { .. }) && plan.pieces(*position) > 0
        });
        needed.map(|(_, step)| self.step_wait(plan, step, now)).collect()
    }

    /// What the dispatcher said last that would make the pieces of `step`.
    fn step_wait(&self, plan: &RequestPlan, step: &PlanStep, now: MonotonicTime) -> PoolWait {
        let section = self.section_for(&step.stage, &plan.request.key.key, now);
        lock(&self.waits).wait(&section, now)
    }

    /// Refuses a request that never began and can't be answered before its deadline. Its caller is
    /// told when the pools that it needs should have made what waits there now.
    fn refuse_late(
        &self,
        call: CallId,
        plan: &RequestPlan,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
    ) {
        let waits = self.pool_waits(plan, now);
        let retry_after = waits.iter().map(PoolWait::retry_after).max().unwrap_or_default();
        refuse_unbegun(call, plan, (RefusalReason::Overload, retry_after), steps);
    }

    /// Refuses a request that waits and is quarantined for `left`.
    pub(super) fn refuse_waiting(
        &self,
        call: CallId,
        plan: &RequestPlan,
        left: Duration,
        steps: &mut Vec<ShardAction>,
    ) {
        refuse_unbegun(call, plan, (RefusalReason::Quarantined, left), steps);
    }

    /// Time after which a request should come back, if the rates that the upstreams of its last step name
    /// leave it no place: its batched steps would be made in vain.
    fn refused_by_rates(&self, plan: &RequestPlan, now: MonotonicTime) -> Option<Duration> {
        let steps = plan.pipeline.plan.steps();
        let forwarded = steps.iter().find(|step| step.work == StepWork::Forward)?;
        self.router().refused_for(&forwarded.stage, &plan.homes, plan.deadline, now)
    }

    /// Whether a request with batched steps can be in time, by what their dispatchers said last.
    fn entry_verdict(&self, plan: &RequestPlan, now: MonotonicTime) -> EntryVerdict {
        let steps = plan.pipeline.plan.steps();
        let is_batched = |work| matches!(work, StepWork::Batched { .. });
        if !steps.iter().any(|step| is_batched(step.work)) {
            return EntryVerdict::InTime;
        }
        let way = self.expected_way(plan, now);
        let waits = self.pool_waits(plan, now);
        let late = waits.iter().map(|wait| wait.late_for(plan.level)).max();
        let bare = plan.pipeline.plan.longest_way(|step, position| plan.step_time(position, step));
        // A flood stands behind all others.
        let way = if plan.is_flood { way.max(bare + late.unwrap_or_default()) } else { way };
        if now + bare >= plan.deadline {
            EntryVerdict::Unservable
        } else if now + way.mul_f64(1.0 / OBJECTIVE_SHARE) <= plan.objective {
            EntryVerdict::InTime
        } else if now + late.unwrap_or_default() >= plan.deadline {
            EntryVerdict::Unservable
        } else if waits.iter().all(PoolWait::has_room) {
            EntryVerdict::LateWithRoom
        } else {
            EntryVerdict::Late
        }
    }
}

fn refuse_unbegun(
    call: CallId,
    plan: &RequestPlan,
    (reason, retry_after): (RefusalReason, Duration),
    steps: &mut Vec<ShardAction>,
) {
    steps.push(ShardAction::ReleasePermit(plan.permit.clone()));
    let outcome = FinalOutcome::new(OutcomeKind::Refused, &plan.request.key).reason(reason);
    let answer = FinalAnswer::from(outcome.retry(retry_after, true));
    steps.push(ShardAction::Command(Command::Reply { call, answer }));
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
