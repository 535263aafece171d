//! Steps that forward the caller's own request to an upstream.

use super::request_run::count;
use super::step_run::{AttemptFailure, StepOutput};
use super::{
    ExecutionStatus, FinalAnswer, ForwardOrder, PlacedResult, RefusalReason, RequestRun,
    ResponseHead, ShardAction,
};
use crate::configuration::{PlanStep, RepeatRule, StepWork};
use crate::daemon::{Command, CounterName, StateChange};
use crate::identity::{AttemptId, MonotonicTime, RequestKey};
use crate::routing::{AttemptReport, CONNECT_TIMEOUT, SlotGrant, SlotRequest};
use crate::streams::{AllowedVersion, StreamKey, StreamOrigin, StreamRecord};

impl RequestRun {
    pub(super) fn forward_order(
        &self,
        attempt: AttemptId,
        grant: &SlotGrant,
        now: MonotonicTime,
    ) -> ForwardOrder {
        let workspace = &self.plan.request.key.workspace;
        ForwardOrder {
            attempt,
            upstream: grant.upstream.clone(),
            pool: grant.request.stage.clone(),
            process: grant.process.clone(),
            address: grant.address,
            workspace: (!workspace.is_empty()).then(|| workspace.clone()),
            inputs: self.forward_inputs().iter().map(|result| result.handle.clone()).collect(),
            level: self.plan.level,
            needs_new_connection: !self.plan.repeatable,
            kept_connections: grant.max_idle_connections,
            expires: self.plan.deadline,
            write_by: now + CONNECT_TIMEOUT,
        }
    }

    /// Results that the forwarded request reads: those of the batched steps that no other batched
    /// step reads.
    fn forward_inputs(&self) -> Vec<&PlacedResult> {
        let plan = &self.plan.pipeline.plan;
        let last_steps = plan.ends(|step: &PlanStep| matches!(step.work, StepWork::Batched { .. }));
        let mut results = Vec::new();
        for position in last_steps {
            let step_run = self.step_runs.iter().find(|step_run| step_run.step == position);
            if let Some(StepOutput::Results(placed_results)) =
                step_run.and_then(|run| run.output.as_ref())
            {
                results.extend(placed_results);
            }
        }
        results
    }

    /// The slot request that the forwarded step would make now; `None` if the pipeline has no such
    /// step.
    pub(super) fn forward_slot_request(&self) -> Option<SlotRequest> {
        let mut steps = self.plan.pipeline.plan.steps().iter().enumerate();
        let (position, step) = steps.find(|(_, step)| step.work == StepWork::Forward)?;
        let demand = self.plan.request.forward_head().and_then(|head| head.demand.clone());
        Some(SlotRequest {
            call: self.call,
            branch: position,
            stage: step.stage.clone(),
            level: self.plan.level,
            deadline: self.plan.deadline,
            failed_upstreams: Vec::new(),
            demand,
            digest: self.plan.digest,
            allowed_regions: self.plan.allowed_regions.clone(),
            allowed_version: self.allowed_version(step.work),
        })
    }

    pub(super) fn handle_response_head(
        &mut self,
        index: usize,
        id: AttemptId,
        head: ResponseHead,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        match head.execution {
            ExecutionStatus::Ran => {}
            ExecutionStatus::Declined
            | ExecutionStatus::WrongProcess
            | ExecutionStatus::Malformed => {
                self.attempt_counts.possibly_sent -= 1;
                self.step_runs[index].attempts -= 1;
                return self.handle_attempt_failure(index, AttemptFailure::NotRun, now, actions);
            }
            ExecutionStatus::InputGone => {
                self.attempt_counts.possibly_sent -= 1;
                self.step_runs[index].attempts -= 1;
                self.release_slot(index, AttemptReport::Cancelled, actions);
                self.step_runs[index].in_flight = None;
                if self.can_rebuild() && now < self.plan.deadline {
                    return self.rebuild_inputs(self.step_runs[index].step, now, actions);
                }
                return Some(self.finish_unanswered(RefusalReason::UpstreamBroken, now, actions));
            }
        }
        self.record_progress(index, now);
        if head.is_success() {
            self.has_upstream_success = true;
            self.forward_response(id, actions);
            return None;
        }
        if self.has_sent_response {
            // The caller already has the head of an earlier response, so this error can't be passed
            // on.
            self.attempt_counts.executed += 1;
            actions.push(ShardAction::Command(Command::Cancel(id)));
            return self.handle_attempt_failure(index, AttemptFailure::Declined, now, actions);
        }
        self.handle_error_response(index, id, now, actions)
    }

    /// Handles an error response from an upstream that ran the forwarded request. A repeatable
    /// request is retried on another upstream, and the error response is held until another attempt
    /// starts.
    fn handle_error_response(
        &mut self,
        index: usize,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        if !self.can_repeat(index) || self.has_sent_response || now >= self.plan.deadline {
            self.forward_response(id, actions);
            return None;
        }
        self.attempt_counts.executed += 1;
        actions.push(count(CounterName::AttemptsDeclined));
        self.release_slot(index, AttemptReport::Failed, actions);
        let step_run = &mut self.step_runs[index];
        if let Some(in_flight) = step_run.in_flight.take() {
            step_run.failed_targets.push(in_flight.upstream);
        }
        step_run.held_attempt = Some(id);
        let request = self.slot_request(index);
        actions
            .push(ShardAction::AcquireRetrySlot { request, reason: RefusalReason::UpstreamError });
        None
    }

    /// Software versions that may run a step. Once a stream has begun, only its own version can go
    /// on with it.
    pub(super) fn allowed_version(&self, work: StepWork) -> AllowedVersion {
        let origin = self.stream_origin.as_ref().filter(|_| work == StepWork::Forward);
        origin.map_or(AllowedVersion::Any, AllowedVersion::from)
    }

    /// Records where the first event of the forwarded stream came from, and tells other daemons if
    /// the caller may take the stream up.
    pub(super) fn record_stream_origin(
        &mut self,
        index: usize,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let step_run = &self.step_runs[index];
        let Some(in_flight) = step_run.in_flight.as_ref().filter(|_| self.stream_origin.is_none())
        else {
            return;
        };
        let origin = StreamOrigin {
            pool: step_run.stage.clone(),
            software_version: in_flight.software_version.clone(),
        };
        self.stream_origin = Some(origin.clone());
        let rules = self.plan.forward_rules();
        if rules.is_some_and(|rules| rules.repeat == RepeatRule::ResumableStream) {
            let RequestKey { workspace, key: attempt } = &self.plan.request.key;
            let record = StreamRecord {
                key: StreamKey::new(workspace, attempt),
                origin,
                time_left: self.plan.return_time(now),
            };
            actions.push(ShardAction::RecordStreamOrigin(Box::new(record)));
        }
    }

    /// Logs that a stream which has begun before goes on at the upstream of `grant`.
    pub(super) fn log_resumption(&self, grant: &SlotGrant, actions: &mut Vec<ShardAction>) {
        let request = &self.plan.request;
        let resumed = request.forward_head().and_then(|head| head.resumed.as_ref());
        if resumed.is_none() && self.stream_origin.is_none() {
            return;
        }
        let first_attempt = match resumed {
            Some(resumed) => resumed.first_attempt.clone(),
            None => Some(request.key.key.clone()),
        };
        let change = StateChange::StreamResumed {
            request: request.key.clone(),
            first_attempt,
            began_at: self.stream_origin.clone(),
            upstream: grant.upstream.clone(),
            software_version: grant.software_version.clone(),
        };
        actions.push(count(CounterName::StreamsResumed));
        actions.push(ShardAction::Command(Command::LogStateChange(change)));
    }

    pub(super) fn forward_response(&mut self, attempt: AttemptId, actions: &mut Vec<ShardAction>) {
        self.has_sent_response = true;
        actions.push(ShardAction::Command(Command::ReleaseAnswer { call: self.call, attempt }));
    }
}
