//! Steps in which the caller's own request is passed to an upstream.

use super::branch_run::{BranchAnswer, FailedAttempt};
use super::request_run::{REMAKES, count};
use super::{
    AnswerHead, FinalAnswer, PlacedResult, RefusalReason, RelayOrder, RequestRun, RunProof,
    ShardStep,
};
use crate::configuration::{PlanStep, StepWork};
use crate::daemon::{Command, CounterName};
use crate::identity::{AttemptId, MonotonicTime};
use crate::routing::{AttemptReport, CONNECT_TIMEOUT, SlotGrant, SlotRequest};

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
            kept_connections: grant.max_idle_connections,
            expires: self.plan.deadline,
            write_by: now + CONNECT_TIMEOUT,
        }
    }

    /// Results of the batched steps that no other batched step needs.
    fn results(&self) -> Vec<&PlacedResult> {
        let plan = &self.plan.pipeline.plan;
        let ends = plan.ends(|step: &PlanStep| matches!(step.work, StepWork::Batched { .. }));
        let mut results = Vec::new();
        for position in ends {
            let branch = self.branches.iter().find(|branch| branch.step == position);
            if let Some(BranchAnswer::Results(made)) = branch.and_then(|each| each.answer.as_ref())
            {
                results.extend(made);
            }
        }
        results
    }

    /// The forwarded step as it would ask for an upstream now.
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
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        match head.proof {
            RunProof::Ran => {}
            RunProof::Declined | RunProof::WrongProcess | RunProof::Malformed => {
                self.evidence.sent -= 1;
                self.branches[index].attempts -= 1;
                return self.attempt_failed(index, FailedAttempt::NotRun, now, steps);
            }
            RunProof::InputGone => {
                self.evidence.sent -= 1;
                self.branches[index].attempts -= 1;
                self.release(index, AttemptReport::Cancelled, steps);
                self.branches[index].open = None;
                if self.remakes < REMAKES && now < self.plan.deadline {
                    self.remake(now, steps);
                    return None;
                }
                return Some(self.end(RefusalReason::UpstreamBroken, now, steps));
            }
        }
        self.progress(index, now);
        if head.is_success() {
            self.succeeded = true;
            self.pass_on(id, steps);
            return None;
        }
        if self.forwarded {
            // The caller has the head of an earlier answer: a failure can't follow it.
            self.evidence.ran += 1;
            steps.push(ShardStep::Command(Command::Cancel(id)));
            return self.attempt_failed(index, FailedAttempt::Declined, now, steps);
        }
        self.forward_failed(index, id, now, steps)
    }

    /// The upstream ran the forwarded request and failed it. What may be repeated is given to
    /// another one; the failure is kept until that is certain.
    fn forward_failed(
        &mut self,
        index: usize,
        id: AttemptId,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        if !self.may_repeat(index) || self.forwarded || now >= self.plan.deadline {
            self.pass_on(id, steps);
            return None;
        }
        self.evidence.ran += 1;
        steps.push(count(CounterName::AttemptsDeclined));
        self.release(index, AttemptReport::Failed, steps);
        let branch = &mut self.branches[index];
        if let Some(open) = branch.open.take() {
            branch.tried.push(open.upstream);
        }
        branch.held = Some(id);
        let request = self.slot_request(index);
        steps.push(ShardStep::Retry { request, reason: RefusalReason::UpstreamError });
        None
    }

    pub(super) fn pass_on(&mut self, attempt: AttemptId, steps: &mut Vec<ShardStep>) {
        self.forwarded = true;
        steps.push(ShardStep::Command(Command::ReleaseAnswer { call: self.call, attempt }));
    }
}
