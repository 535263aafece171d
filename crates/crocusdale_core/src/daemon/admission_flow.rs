use std::time::Duration;

use super::core_state::CoreState;
use super::entry_flow::{refuse_unstarted, whole_millis};
use super::pending_requests::AskedCoordinator;
use super::{Command, CounterName, StateChange, TimerKey};
use crate::admission::{
    AdmissionClass, AdmissionCoordinators, AdmissionDecision, AdmissionRequest, AdmissionStep,
    AdmissionVerdict, SlotOutcome,
};
use crate::configuration::{BatchRules, Declarations, PlanStep, PoolKind, StepWork};
use crate::identity::{AttemptId, CallId, MonotonicTime, stable_hash};
use crate::pipeline::{RefusalReason, RequestPlan, ShardAction};
use crate::sync::lock;

/// Longest part of the time to its deadline within which an admitted late request is due, so that
/// its steps are not all ordered as if they were due at the deadline.
const LATE_END_MARGIN: f64 = 1.1;
/// Time after which a request stops waiting for its coordinator, if not even the failure of the call
/// was reported.
const MAX_REPLY_WAIT: Duration = Duration::from_millis(300);

impl CoreState {
    /// Asks the admission coordinator about a request. Returns the plan if this daemon has to
    /// decide by itself.
    pub(super) fn ask_admission(
        &self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<RequestPlan> {
        if !self.is_admitted_by_coordinator(&plan) {
            return Some(plan);
        }
        let section_count = lock(&self.dispatcher).max_section_count();
        // A repeat has another key, and must reach the coordinator that knows the request.
        let hash = stable_hash(&[&plan.digest.to_string()]);
        let section = AdmissionCoordinators::section_for(hash, section_count);
        let vm = self.coordinator(&section, now);
        let has_capacity = lock(&self.coordination.pending_admissions).has_capacity();
        let Some(vm) = vm.filter(|_| has_capacity) else {
            actions.push(count(CounterName::AdmissionFallbacks));
            return Some(plan);
        };
        let request = self.admission_request(call, &plan, section, now);
        if vm != self.own_instance.vm {
            let asked = AskedCoordinator { vm: vm.clone() };
            lock(&self.coordination.pending_admissions).insert(call, plan, asked, now);
            let request = Box::new(request);
            actions.push(ShardAction::Command(Command::AskAdmission { vm, call, request }));
            return None;
        }
        let mut commands = Vec::new();
        let decision = self.decide_admission(&request, now, &mut commands);
        actions.extend(commands.into_iter().map(ShardAction::Command));
        let Some(decision) = decision else {
            actions.push(count(CounterName::AdmissionFallbacks));
            return Some(plan);
        };
        self.apply_admission(call, plan, decision, now, actions);
        None
    }

    /// Decides as the admission coordinator of the request's section. `None` if this daemon can't
    /// coordinate it.
    pub(super) fn decide_admission(
        &self,
        request: &AdmissionRequest,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Option<AdmissionDecision> {
        let snapshot = self.fleet_snapshot();
        let declarations = snapshot.declarations.as_ref()?;
        let rules_of = |pool: &str| batch_rules(declarations, pool);
        let mut coordinators = lock(&self.coordination.admission_coordinators);
        let decision = coordinators.decide(request, &rules_of, now)?;
        drop(coordinators);
        out.push(Command::Count(match decision.verdict {
            AdmissionVerdict::Start => CounterName::AdmissionsStarted,
            AdmissionVerdict::StartAfter(_) => CounterName::AdmissionsDelayed,
            AdmissionVerdict::Refuse(_) => CounterName::AdmissionsRefused,
        }));
        out.extend(decision.inputs.return_slot.map(slot_counter).map(Command::Count));
        let wait = match decision.verdict {
            AdmissionVerdict::Start => return Some(decision),
            AdmissionVerdict::StartAfter(wait) | AdmissionVerdict::Refuse(wait) => wait,
        };
        if decision.inputs.is_over_share {
            out.push(Command::Count(CounterName::AdmissionsOverShare));
        }
        out.push(Command::LogStateChange(StateChange::AdmissionDecided {
            section: request.section.clone(),
            digest: request.digest,
            workspace: request.workspace.clone(),
            level: request.level,
            verdict: decision.verdict.to_string(),
            wait_ms: whole_millis(wait),
            forecast_ms: whole_millis(decision.inputs.forecast),
            late_wait_ms: whole_millis(decision.inputs.late_wait),
            objective_ms: whole_millis(request.objective_in),
            deadline_ms: whole_millis(request.deadline_in),
            status_age_ms: decision.inputs.status_age.map(whole_millis),
            is_over_share: decision.inputs.is_over_share,
        }));
        Some(decision)
    }

    /// Drops old state of the admission sections that this daemon coordinates.
    pub(super) fn expire_coordinated_admissions(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let expired = lock(&self.coordination.admission_coordinators).expire(now);
        let Some(expired) = expired else { return };
        let slots = (0..expired.expired_slots).map(|_| CounterName::ReturnSlotsExpired);
        out.extend(slots.map(Command::Count));
        let (workspaces, refusals) = (expired.dropped_workspaces, expired.dropped_refusals);
        for (table, dropped) in [("workspaces", workspaces), ("return_slots", refusals)] {
            if dropped > 0 {
                let change = StateChange::AdmissionEntriesDropped { table, dropped };
                out.push(Command::LogStateChange(change));
            }
        }
    }

    /// Handles the reply of the admission coordinator on `vm`. Without a decision this daemon
    /// decides by itself, and does not ask that coordinator for a while.
    pub(super) fn handle_admission_reply(
        &self,
        call: CallId,
        vm: &str,
        decision: Option<AdmissionDecision>,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        if decision.is_none() {
            self.coordination.record_failure(vm, now);
        }
        let pending = lock(&self.coordination.pending_admissions).remove(call);
        let Some(pending) = pending else { return };
        match decision.filter(|decision| can_be_kept(decision, &pending.plan, now)) {
            Some(decision) => self.apply_admission(call, pending.plan, decision, now, actions),
            None => self.fall_back(call, pending.plan, vm, now, actions),
        }
    }

    /// Decides by itself on the requests whose coordinators have not replied, and starts the
    /// admitted requests whose time has come.
    pub(super) fn expire_admissions(&self, now: MonotonicTime, actions: &mut Vec<ShardAction>) {
        let overdue = lock(&self.coordination.pending_admissions).take_overdue(MAX_REPLY_WAIT, now);
        for (call, pending) in overdue {
            let vm = &pending.asked.vm;
            self.coordination.record_failure(vm, now);
            self.fall_back(call, pending.plan, vm, now, actions);
        }
        self.start_scheduled_requests(now, actions);
    }

    /// Starts the admitted late requests whose time has come.
    pub(super) fn start_scheduled_requests(
        &self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let due = lock(&self.entry_backlog).take_scheduled(now);
        for (call, plan) in due {
            self.shard(call.0).start(call, plan, now, actions);
        }
    }

    /// Carries out the decision of the admission coordinator.
    fn apply_admission(
        &self,
        call: CallId,
        mut plan: RequestPlan,
        decision: AdmissionDecision,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        // The coordinator's decision includes whether the workspace takes more than its share.
        plan.is_flood = false;
        plan.queueing_delays = decision.step_delays;
        match decision.verdict {
            AdmissionVerdict::Start => {
                plan.admission = AdmissionClass::OnTime;
                self.shard(call.0).start(call, plan, now, actions);
            }
            AdmissionVerdict::StartAfter(wait) => {
                plan.admission = AdmissionClass::Late;
                let start = now + wait;
                plan.promised_end = Some(promised_end(&plan, start));
                lock(&self.entry_backlog).push_scheduled(call, plan, start);
                let timer = TimerKey::ScheduledStart;
                actions.push(ShardAction::Command(Command::SetTimer { timer, at: start }));
            }
            AdmissionVerdict::Refuse(retry_after) => {
                refuse_unstarted(call, &plan, (RefusalReason::Overload, retry_after), actions);
            }
        }
    }

    fn fall_back(
        &self,
        call: CallId,
        plan: RequestPlan,
        vm: &str,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        actions.push(count(CounterName::AdmissionFallbacks));
        let change = StateChange::AdmissionFellBack {
            request: plan.request.key.clone(),
            coordinator: vm.to_owned(),
        };
        actions.push(ShardAction::Command(Command::LogStateChange(change)));
        self.start_or_queue_locally(call, plan, now, actions);
    }

    fn is_admitted_by_coordinator(&self, plan: &RequestPlan) -> bool {
        let is_batched = |(position, step): (usize, &PlanStep)| {
            matches!(step.work, StepWork::Batched { .. }) && plan.pieces(position) > 0
        };
        self.coordination.settings.chain_admission
            && self.is_coordinated()
            && plan.forward_rules().is_some()
            && plan.pipeline.plan.steps().iter().enumerate().any(is_batched)
    }

    fn admission_request(
        &self,
        call: CallId,
        plan: &RequestPlan,
        section: String,
        now: MonotonicTime,
    ) -> AdmissionRequest {
        let steps = plan.pipeline.plan.steps().iter().enumerate();
        let steps = steps.map(|(position, step)| {
            let is_batched = matches!(step.work, StepWork::Batched { .. });
            AdmissionStep {
                pool: step.stage.clone(),
                pieces: if is_batched { plan.pieces(position) } else { 0 },
                after: step.after.clone(),
                step_time: plan.step_time(position, step),
            }
        });
        AdmissionRequest {
            attempt: AttemptId { incarnation: self.own_instance.process_hash(), call, sequence: 0 },
            section,
            digest: plan.digest,
            workspace: plan.request.key.workspace.clone(),
            level: plan.level,
            objective_in: plan.objective.since(now),
            deadline_in: plan.first_event_deadline.since(now),
            steps: steps.collect(),
        }
    }
}

fn slot_counter(outcome: SlotOutcome) -> CounterName {
    match outcome {
        SlotOutcome::Reserved => CounterName::ReturnSlotsReserved,
        SlotOutcome::Missing => CounterName::ReturnSlotsMissing,
        SlotOutcome::Claimed => CounterName::ReturnSlotsClaimed,
        SlotOutcome::Early => CounterName::ReturnSlotsEarly,
    }
}

/// Declared call of the batched pool `pool`, or `None` if it is not a batched pool.
pub(super) fn batch_rules(declarations: &Declarations, pool: &str) -> Option<BatchRules> {
    match declarations.stage(pool)?.kind {
        PoolKind::Batch(rules) => Some(rules),
        _ => None,
    }
}

/// Whether `decision` leaves the request time before its deadline.
///
/// Guards against a request that is never answered: its deadline is only watched once it has
/// started.
fn can_be_kept(decision: &AdmissionDecision, plan: &RequestPlan, now: MonotonicTime) -> bool {
    match decision.verdict {
        AdmissionVerdict::StartAfter(wait) => now + wait < plan.first_event_deadline,
        AdmissionVerdict::Start | AdmissionVerdict::Refuse(_) => true,
    }
}

/// Time by which a late request that starts at `start` is expected to end.
fn promised_end(plan: &RequestPlan, start: MonotonicTime) -> MonotonicTime {
    let delay = |position| plan.queueing_delays.get(position).copied().unwrap_or(Duration::ZERO);
    let steps = &plan.pipeline.plan;
    let duration =
        steps.critical_path_time(|step, position| plan.step_time(position, step) + delay(position));
    (start + duration.mul_f64(LATE_END_MARGIN)).min(plan.first_event_deadline).max(plan.objective)
}

fn count(name: CounterName) -> ShardAction {
    ShardAction::Command(Command::Count(name))
}
