use std::time::Duration;

use super::rebuild_stage::RebuildStage;
use super::step_run::{AttemptFailure, AttemptKind, InFlightAttempt, StepOutput, StepRun};
use super::{
    AttemptCounts, AttemptEvent, BreakReason, FinalAnswer, FinalOutcome, OutcomeKind,
    RefusalReason, RequestPlan, ShardAction, StageCost,
};
use crate::configuration::{RepeatRule, StepWork};
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{AttemptId, CallId, MonotonicTime};
use crate::routing::{AttemptReport, SlotGrant, SlotRequest};
use crate::streams::StreamOrigin;

/// Minimum retry delay that the caller of a refused forwarded request receives. If less time
/// remains until the request's deadline, that time is the minimum instead. A batched call takes a
/// few tenths of a second, so the queues have moved on after this delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Execution state of one request on its way through the steps of its pipeline.
#[derive(Debug)]
pub struct RequestRun {
    pub(super) call: CallId,
    pub(super) incarnation: u64,
    pub(super) plan: RequestPlan,
    /// Runs of the steps that have started.
    pub(super) step_runs: Vec<StepRun>,
    pub(super) stage_costs: Vec<StageCost>,
    pub(super) attempt_counts: AttemptCounts,
    /// Sequence number in the newest attempt id; 0 before the first attempt.
    pub(super) last_sequence: u32,
    /// Whether a part of the response was passed on to the caller.
    pub(super) has_sent_response: bool,
    /// Whether an upstream answered the forwarded request with a success status.
    pub(super) has_upstream_success: bool,
    /// Steps that were run again because results were gone.
    pub(super) rebuild_stage: RebuildStage,
    /// Whether results were freed after an upstream had fetched them.
    pub(super) has_freed_results: bool,
    /// Attempt count and tried upstreams of the forwarded step, kept while its inputs are computed
    /// again.
    pub(super) forward_history: Option<(u32, Vec<String>)>,
    /// Time after which the reason of the latest refusal or piece failure is expected to be over: a
    /// pool has capacity again, or a quarantine has ended. `None` if none has stated such a time.
    pub(super) retry_after: Option<Duration>,
    /// Where the first event of the forwarded stream came from. `None` before it.
    pub(super) stream_origin: Option<StreamOrigin>,
}

impl RequestRun {
    /// Prepares the run of `plan` for `call` in the process incarnation `incarnation`.
    #[must_use]
    pub fn new(call: CallId, incarnation: u64, plan: RequestPlan) -> Self {
        let stream_origin = plan.stream_origin.clone();
        Self {
            call,
            incarnation,
            plan,
            step_runs: Vec::new(),
            stage_costs: Vec::new(),
            attempt_counts: AttemptCounts::default(),
            last_sequence: 0,
            has_sent_response: false,
            has_upstream_success: false,
            rebuild_stage: RebuildStage::None,
            has_freed_results: false,
            forward_history: None,
            retry_after: None,
            stream_origin,
        }
    }

    /// The plan that the run follows.
    #[must_use]
    pub fn plan(&self) -> &RequestPlan {
        &self.plan
    }

    /// Whether no attempt that may have run the request was written to an upstream.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        self.attempt_counts.possibly_sent == 0
    }

    /// Starts the steps that need no results of other steps. Returns the final answer if they can't
    /// end in time.
    pub fn start_first_steps(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        self.start_ready_steps(now, actions)
    }

    /// Sends an attempt to the upstream that the router assigned.
    ///
    /// The deadline is checked here. The order carries the deadline in its field `expires`, and it
    /// is checked again right before the call is written. The second check guards against a process
    /// that was paused in between and would send a call whose deadline has passed.
    pub fn dispatch(
        &mut self,
        grant: SlotGrant,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let step_index =
            self.step_runs.iter().position(|step_run| step_run.step == grant.request.branch);
        let waiting_index = step_index.filter(|index| {
            let step_run = &self.step_runs[*index];
            step_run.stage == grant.request.stage && step_run.is_waiting()
        });
        // A request that can't be answered in time would only take up a slot that another request
        // could use.
        let is_too_late = now + grant.min_answer_time >= self.plan.deadline;
        let Some(index) = waiting_index.filter(|_| !is_too_late) else {
            let (call, report) = (self.call, AttemptReport::Cancelled);
            actions.push(ShardAction::ReleaseSlot { upstream: grant.upstream, call, report });
            return waiting_index
                .and_then(|_| self.handle_refusal(RefusalReason::Overload, now, actions));
        };
        let id = self.next_attempt_id();
        let kind = match self.step_runs[index].work {
            StepWork::Forward => {
                let order = self.forward_order(id, &grant, now);
                self.log_resumption(&grant, actions);
                actions.push(ShardAction::Command(Command::Relay(order)));
                AttemptKind::Forward
            }
            StepWork::Json | StepWork::Batched { .. } => {
                let order = self.json_order(id, &grant);
                let silence_timeout = self.plan.stage(&grant.request.stage).silence;
                actions.push(ShardAction::Command(Command::Send(order)));
                actions.push(set_timer(TimerKey::IdleTimeout(id), now + silence_timeout));
                AttemptKind::Json(super::StreamAssembler::new(id))
            }
        };
        let step_run = &mut self.step_runs[index];
        if let Some(held_attempt) = step_run.held_attempt.take() {
            // Another attempt starts, so the held error response is dropped.
            actions.push(ShardAction::Command(Command::Cancel(held_attempt)));
        }
        step_run.attempts += 1;
        step_run.in_flight = Some(InFlightAttempt {
            id,
            upstream: grant.upstream,
            address: Some(grant.address),
            software_version: grant.software_version,
            sent_at: now,
            last_progress: now,
            kind,
        });
        self.attempt_counts.possibly_sent += 1;
        actions.push(count(CounterName::AttemptsSent));
        None
    }

    /// Handles the router's refusal to assign an upstream to a step.
    pub fn handle_refusal(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let held_attempt = self.step_runs.iter_mut().find_map(|step_run| {
            let held_attempt = step_run.held_attempt.take()?;
            Some((held_attempt, step_run))
        });
        if let Some((held_attempt, step_run)) = held_attempt {
            // The error response of the previous attempt is the best available answer, so it is
            // passed on unchanged.
            step_run.in_flight = Some(InFlightAttempt {
                id: held_attempt,
                upstream: String::new(),
                address: None,
                software_version: None,
                sent_at: now,
                last_progress: now,
                kind: AttemptKind::Forward,
            });
            self.forward_response(held_attempt, actions);
            return None;
        }
        Some(self.finish_unanswered(reason, now, actions))
    }

    /// Handles an event of an attempt. Returns the final answer if the event ends the run.
    pub fn handle_attempt_event(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let Some(index) = self.step_runs.iter().position(|step_run| step_run.is_attempt(id)) else {
            actions.push(count(CounterName::LateAnswers));
            return None;
        };
        match event {
            AttemptEvent::NotSent => {
                self.attempt_counts.possibly_sent -= 1;
                self.step_runs[index].attempts -= 1;
                self.handle_attempt_failure(index, AttemptFailure::NotSent, now, actions)
            }
            AttemptEvent::NoPath(retry_after) => {
                self.attempt_counts.possibly_sent -= 1;
                self.step_runs[index].attempts -= 1;
                self.release_slot(index, AttemptReport::Cancelled, actions);
                self.step_runs[index].in_flight = None;
                let refusal = (RefusalReason::NoUpstream, retry_after);
                self.handle_lasting_refusal(refusal, now, actions)
            }
            AttemptEvent::ProcessIdentified { process, is_leaving } => {
                let upstream = self.record_progress(index, now).to_owned();
                actions.push(ShardAction::RecordProcess { upstream, process, is_leaving });
                None
            }
            AttemptEvent::Line(line) => self.handle_stream_line(index, &line, now, actions),
            AttemptEvent::Answered { echo, answer } => {
                if echo != Some(id) {
                    let failure = AttemptFailure::Broken(BreakReason::OtherAttempt);
                    return self.handle_attempt_failure(index, failure, now, actions);
                }
                self.attempt_counts.executed += 1;
                let (digest, parts) = (self.plan.digest, self.crash_parts(index));
                actions.push(ShardAction::RecordSuccess { digest, parts });
                self.complete_step(index, StepOutput::Json(answer), now, actions)
            }
            AttemptEvent::Declined { status: _ } => {
                self.attempt_counts.executed += 1;
                self.handle_attempt_failure(index, AttemptFailure::Declined, now, actions)
            }
            AttemptEvent::Broken(reason) => {
                self.handle_attempt_failure(index, AttemptFailure::Broken(reason), now, actions)
            }
            AttemptEvent::HeadReceived(head) => {
                self.handle_response_head(index, id, head, now, actions)
            }
            AttemptEvent::StreamStarted => {
                self.record_stream_origin(index, now, actions);
                let upstream = self.record_progress(index, now).to_owned();
                actions.push(ShardAction::RecordStreamStart { upstream, call: self.call });
                self.free_all_results(actions);
                None
            }
            AttemptEvent::ResponseForwarded => {
                if self.has_upstream_success {
                    let (digest, parts) = (self.plan.digest, self.crash_parts(index));
                    actions.push(ShardAction::RecordSuccess { digest, parts });
                }
                self.attempt_counts.executed =
                    (self.attempt_counts.executed + 1).min(self.attempt_counts.possibly_sent);
                self.free_all_results(actions);
                self.complete_step(index, StepOutput::Forwarded, now, actions)
            }
            AttemptEvent::PiecesCompleted(results) => {
                self.complete_step(index, StepOutput::Results(results), now, actions)
            }
            AttemptEvent::PiecesFailed { fault, retry_after } => {
                self.retry_after = Some(retry_after);
                self.handle_piece_failure(index, fault, now, actions)
            }
            AttemptEvent::DispatcherLost(vm) => {
                self.handle_lost_dispatcher(index, vm, now, actions)
            }
        }
    }

    /// Handles a refusal to assign an upstream, for a reason that is expected to hold for another
    /// `retry_after`. If the forwarded request is refused, its caller receives this time as the
    /// retry delay, unless the minimum retry delay is longer.
    pub fn handle_lasting_refusal(
        &mut self,
        (reason, retry_after): (RefusalReason, Duration),
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        self.retry_after = Some(retry_after);
        self.handle_refusal(reason, now, actions)
    }

    /// Ends the run without an answer. Cancels its attempts and its queued slot requests, and frees
    /// the results of its batched steps.
    pub fn finish_unanswered(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> FinalAnswer {
        let stage = self.step_runs.iter().find(|step_run| step_run.output.is_none());
        let stage = stage.map(|step_run| step_run.stage.clone());
        self.close_step_runs(actions);
        self.free_all_results(actions);
        let outcome_kind = self.attempt_counts.outcome_kind(self.plan.repeatable);
        let mut outcome =
            FinalOutcome::new(outcome_kind, &self.plan.request.key).with_reason(reason);
        if outcome_kind == OutcomeKind::Refused && self.plan.forward_rules().is_some() {
            // A caller that retries at once meets the queue for which it was refused. The caller
            // receives the retry delay in the field `retry_after_ms` even if the delay ends after
            // the request's deadline. With a shorter delay, the caller would retry while the reason
            // of the refusal still holds.
            let min_retry_after = self.plan.deadline.since(now).min(MIN_RETRY_AFTER);
            let retry_after = self
                .retry_after
                .map_or(min_retry_after, |pool_retry_after| pool_retry_after.max(min_retry_after));
            outcome = outcome.with_retry(retry_after, true);
        }
        outcome.stage = stage;
        outcome.stages = std::mem::take(&mut self.stage_costs);
        outcome.duration = Some(now.since(self.plan.arrived_at));
        FinalAnswer::from(outcome)
    }

    /// Whether the run continues after its caller has disconnected.
    #[must_use]
    pub fn outlives_caller(&self) -> bool {
        match self.plan.forward_rules().map(|rules| rules.repeat) {
            None => !self.plan.repeatable,
            // The only permitted run has started, and cancelling it would waste its work.
            Some(RepeatRule::AtMostOnce) => !self.is_unsent(),
            Some(RepeatRule::Idempotent | RepeatRule::Stream | RepeatRule::ResumableStream) => {
                false
            }
        }
    }

    /// Starts every step that has not started and whose inputs are available. Returns the final
    /// answer if one of them can't end in time.
    pub(super) fn start_ready_steps(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        for position in 0..self.plan.pipeline.plan.steps().len() {
            let step = &self.plan.pipeline.plan.steps()[position];
            let is_started = self.step_runs.iter().any(|step_run| step_run.step == position);
            if is_started || !step.after.iter().all(|input_step| self.is_done(*input_step)) {
                continue;
            }
            let mut step_run = StepRun::new(position, &step.stage, step.work, now);
            let is_batched = matches!(step.work, StepWork::Batched { .. });
            if step.work == StepWork::Forward
                && let Some((attempts, failed_targets)) = self.forward_history.take()
            {
                (step_run.attempts, step_run.failed_targets) = (attempts, failed_targets);
            }
            if is_batched && self.plan.pieces(position) == 0 {
                step_run.output = Some(StepOutput::Results(Vec::new()));
            }
            let index = self.step_runs.len();
            let is_answered = step_run.output.is_some();
            self.step_runs.push(step_run);
            if is_answered {
                continue;
            }
            if !is_batched {
                actions.push(ShardAction::AcquireSlot(self.slot_request(index)));
            } else if let Some(refusal) = self.submit_pieces(index, now, actions) {
                return Some(refusal);
            }
        }
        None
    }

    pub(super) fn is_done(&self, position: usize) -> bool {
        let step_run = self.step_runs.iter().find(|step_run| step_run.step == position);
        step_run.is_some_and(|step_run| step_run.output.is_some())
    }

    pub(super) fn next_attempt_id(&mut self) -> AttemptId {
        self.last_sequence += 1;
        AttemptId { incarnation: self.incarnation, call: self.call, sequence: self.last_sequence }
    }

    pub(super) fn slot_request(&self, index: usize) -> SlotRequest {
        let step_run = &self.step_runs[index];
        let demand = self.plan.request.forward_head().and_then(|head| head.demand.clone());
        SlotRequest {
            call: self.call,
            branch: step_run.step,
            stage: step_run.stage.clone(),
            level: self.plan.level,
            deadline: self.plan.deadline,
            failed_upstreams: step_run.failed_targets.clone(),
            demand: demand.filter(|_| step_run.work == StepWork::Forward),
            digest: self.plan.digest,
            allowed_regions: self.plan.allowed_regions.clone(),
            allowed_version: self.allowed_version(step_run.work),
        }
    }

    /// Whether the step run at `index` may be retried on another upstream even if an earlier
    /// attempt may have run.
    pub(super) fn can_repeat(&self, index: usize) -> bool {
        match self.plan.forward_rules() {
            None => self.plan.repeatable,
            Some(rules) => self.plan.repeatable && self.step_runs[index].attempts < rules.attempts,
        }
    }

    pub(super) fn record_progress(&mut self, index: usize, now: MonotonicTime) -> &str {
        match &mut self.step_runs[index].in_flight {
            Some(in_flight) => {
                in_flight.last_progress = now;
                &in_flight.upstream
            }
            None => "",
        }
    }

    pub(super) fn complete_step(
        &mut self,
        index: usize,
        output: StepOutput,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let in_flight = self.step_runs[index].in_flight.take()?;
        let upstream_time = now.since(in_flight.sent_at);
        self.step_runs[index].output = Some(output);
        self.step_runs[index].ended_at = Some(now);
        let step_run = &self.step_runs[index];
        let cost_factor = self.plan.stage(&step_run.stage).cost;
        self.stage_costs.push(StageCost {
            stage: step_run.stage.clone(),
            upstream: in_flight.upstream.clone(),
            time_ms: now.since(step_run.started_at).as_secs_f64() * 1e3,
            attempts: step_run.attempts,
            tried: step_run.failed_targets.clone(),
            cost: upstream_time.as_secs_f64() * cost_factor,
        });
        if in_flight.has_slot() {
            let (call, report) = (self.call, AttemptReport::Answered(upstream_time));
            actions.push(ShardAction::ReleaseSlot { upstream: in_flight.upstream, call, report });
        }
        self.free_unneeded_inputs(self.step_runs[index].step, actions);
        if let Some(refusal) = self.start_ready_steps(now, actions) {
            return Some(refusal);
        }
        let is_finished =
            (0..self.plan.pipeline.plan.steps().len()).all(|position| self.is_done(position));
        is_finished.then(|| self.finish_answered(now))
    }

    /// Builds the final answer from the answers of the last steps, in declared order.
    pub(super) fn finish_answered(&mut self, now: MonotonicTime) -> FinalAnswer {
        let mut outcome = FinalOutcome::new(OutcomeKind::Answered, &self.plan.request.key);
        if self.plan.forward_rules().is_none() {
            outcome.answer = Some(self.combined_answer());
        }
        outcome.stages = std::mem::take(&mut self.stage_costs);
        outcome.duration = Some(now.since(self.plan.arrived_at));
        FinalAnswer::from(outcome)
    }
}

pub(super) fn set_timer(timer: TimerKey, at: MonotonicTime) -> ShardAction {
    ShardAction::Command(Command::SetTimer { timer, at })
}

pub(super) fn count(counter: CounterName) -> ShardAction {
    ShardAction::Command(Command::Count(counter))
}
