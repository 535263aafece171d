//! Steps that forward the caller's own request to an upstream.

use super::request_run::{REMAKES, count};
use super::step_run::{AttemptFailure, StepOutput};
use super::{
    AnswerHead, FinalAnswer, PlacedResult, RefusalReason, RelayOrder, RequestRun, RunProof,
    ShardStep,
};
use crate::configuration::{PlanStep, StepWork};
use crate::daemon::{Command, CounterName};
use crate::identity::{AttemptId, MonotonicTime};
use crate::routing::{AttemptReport, CONNECT_PATIENCE, SlotGrant, SlotRequest};

impl RequestRun {
    pub(super) fn relay_order(
        &self,
        attempt: AttemptId,
        grant: &SlotGrant,
        now: MonotonicTime,
    ) -> RelayOrder {
        let workspace = &self.plan.request.key.workspace;
        RelayOrder {
            attempt,
            upstream: grant.upstream.clone(),
            process: grant.process.clone(),
            address: grant.address,
            workspace: (!workspace.is_empty()).then(|| workspace.clone()),
            inputs: self.results().iter().map(|result| result.handle.clone()).collect(),
            level: self.plan.level,
            fresh: !self.plan.repeatable,
            kept_connections: grant.kept_connections,
            expires: self.plan.deadline,
            write_by: now + CONNECT_PATIENCE,
        }
    }

    /// Results that the forwarded request reads: those of the batched steps that no other batched
    /// step reads.
    fn results(&self) -> Vec<&PlacedResult> {
        let plan = &self.plan.pipeline.plan;
        let ends = plan.ends(|step: &PlanStep| matches!(step.work, StepWork::Batched { .. }));
        let mut results = Vec::new();
        for position in ends {
            let step_run = self.step_runs.iter().find(|step_run| step_run.step == position);
            if let Some(StepOutput::Results(made)) = step_run.and_then(|each| each.answer.as_ref())
            {
                results.extend(made);
            }
        }
        results
    }

    /// The slot request that the forwarded step would make now; `None` if the pipeline has no such
    /// step.
    pub(super) fn target_request(&self) -> Option<SlotRequest> {
        let mut steps = self.plan.pipeline.plan.steps().iter().enumerate();
        let (position, step) = steps.find(|(_, step)| step.work == StepWork::Forward)?;
        let demand = self.plan.request.forward().and_then(|head| head.demand.clone());
        Some(SlotRequest {
            call: self.call,
            branch: position,
            stage: step.stage.clone(),
            level: self.plan.level,
            deadline: self.plan.deadline,
            tried: Vec::new(),
            demand,
            digest: self.plan.digest,
            homes: self.plan.homes.clone(),
        })
    }

    pub(super) fn headed(
        &mut self,
        index: usize,
        id: AttemptId,
        head: AnswerHead,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        match head.proof {
            RunProof::Ran => {}
            RunProof::Declined | RunProof::WrongProcess | RunProof::Malformed => {
                self.evidence.sent -= 1;
                self.step_runs[index].attempts -= 1;
                return self.attempt_failed(index, AttemptFailure::NotRun, now, actions);
            }
            RunProof::InputGone => {
                self.evidence.sent -= 1;
                self.step_runs[index].attempts -= 1;
                self.release(index, AttemptReport::Cancelled, actions);
                self.step_runs[index].in_flight = None;
                if self.remakes < REMAKES && now < self.plan.deadline {
                    self.remake(now, actions);
                    return None;
                }
                return Some(self.end(RefusalReason::UpstreamBroken, now, actions));
            }
        }
        self.progress(index, now);
        if head.is_success() {
            self.succeeded = true;
            self.pass_on(id, actions);
            return None;
        }
        if self.forwarded {
            // The caller already has the head of an earlier response, so this error can't be passed
            // on.
            self.evidence.ran += 1;
            actions.push(ShardStep::Command(Command::Cancel(id)));
            return self.attempt_failed(index, AttemptFailure::Declined, now, actions);
        }
        self.forward_failed(index, id, now, actions)
    }

    /// Handles an error response from an upstream that ran the forwarded request. A repeatable
    /// request is retried on another upstream, and the error response is held until another attempt
    /// starts.
    fn forward_failed(
        &mut self,
        index: usize,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        if !self.may_repeat(index) || self.forwarded || now >= self.plan.deadline {
            self.pass_on(id, actions);
            return None;
        }
        self.evidence.ran += 1;
        actions.push(count(CounterName::AttemptsDeclined));
        self.release(index, AttemptReport::Failed, actions);
        let step_run = &mut self.step_runs[index];
        if let Some(in_flight) = step_run.in_flight.take() {
            step_run.tried.push(in_flight.upstream);
        }
        step_run.held = Some(id);
        let request = self.slot_request(index);
        actions.push(ShardStep::Retry { request, reason: RefusalReason::UpstreamError });
        None
    }

    pub(super) fn pass_on(&mut self, attempt: AttemptId, actions: &mut Vec<ShardStep>) {
        self.forwarded = true;
        actions.push(ShardStep::Command(Command::PassOn { call: self.call, attempt }));
    }
}
