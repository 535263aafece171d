use std::time::Duration;

use super::step_run::{AttemptFailure, AttemptKind, InFlightAttempt, StepOutput, StepRun};
use super::{
    AttemptCounts, AttemptEvent, BreakReason, FinalAnswer, FinalOutcome, OutcomeKind,
    RefusalReason, RequestPlan, ShardStep, StageCost,
};
use crate::configuration::{RepeatRule, StepWork};
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{AttemptId, CallId, MonotonicTime};
use crate::routing::{AttemptReport, SlotGrant, SlotRequest};

/// Minimum retry delay for a caller whose request was shed. A batched call takes a few tenths of a
/// second, so the queues have moved on by then.
const COME_BACK: Duration = Duration::from_millis(400);
/// Maximum number of times that the batched steps of a request are run again because a result was
/// gone when it was needed.
pub(super) const REMAKES: u32 = 1;

/// Execution state of one request on its way through the steps of its pipeline.
#[derive(Debug)]
pub struct RequestRun {
    pub(super) call: CallId,
    pub(super) incarnation: u64,
    pub(super) plan: RequestPlan,
    /// Runs of the steps that have started.
    pub(super) step_runs: Vec<StepRun>,
    pub(super) costs: Vec<StageCost>,
    pub(super) evidence: AttemptCounts,
    pub(super) sequence: u32,
    /// Whether a part of the response was passed on to the caller.
    pub(super) forwarded: bool,
    /// Whether an upstream answered the forwarded request with a success status.
    pub(super) succeeded: bool,
    /// Number of times that the batched steps were run again because results were gone.
    pub(super) remakes: u32,
    /// Whether results were freed after an upstream had fetched them.
    pub(super) freed: bool,
    /// Attempt count and tried upstreams of the forwarded step, kept while its inputs are computed
    /// again.
    pub(super) carried: Option<(u32, Vec<String>)>,
    /// Time after which the pool that refused the request is expected to have capacity again.
    pub(super) retry_after: Option<Duration>,
}

impl RequestRun {
    /// Prepares the run of `plan` for `call` in the process incarnation `incarnation`.
    #[must_use]
    pub fn new(call: CallId, incarnation: u64, plan: RequestPlan) -> Self {
        Self {
            call,
            incarnation,
            plan,
            step_runs: Vec::new(),
            costs: Vec::new(),
            evidence: AttemptCounts::default(),
            sequence: 0,
            forwarded: false,
            succeeded: false,
            remakes: 0,
            freed: false,
            carried: None,
            retry_after: None,
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
        self.evidence.sent == 0
    }

    /// Starts the steps that need no results of other steps.
    pub fn begin(&mut self, now: MonotonicTime, actions: &mut Vec<ShardStep>) {
        self.begin_steps(now, actions);
    }

    /// Sends an attempt to the upstream that the router assigned.
    ///
    /// The deadline is checked here and, through `expires`, again right before the call is written.
    /// This guards against a process that was paused in between and still believes that there is
    /// time.
    pub fn dispatch(
        &mut self,
        grant: SlotGrant,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let step_run =
            self.step_runs.iter().position(|step_run| step_run.step == grant.request.branch);
        let wanted = step_run.filter(|index| {
            let step_run = &self.step_runs[*index];
            step_run.stage == grant.request.stage && step_run.is_waiting()
        });
        // A request that can't be answered in time would only take up a slot that another request
        // could use.
        let unservable = now + grant.fastest >= self.plan.deadline;
        let Some(index) = wanted.filter(|_| !unservable) else {
            let (call, report) = (self.call, AttemptReport::Cancelled);
            actions.push(ShardStep::Release { upstream: grant.upstream, call, report });
            return wanted.and_then(|_| self.denied(RefusalReason::Overload, now, actions));
        };
        let id = self.next_attempt();
        let role = match self.step_runs[index].work {
            StepWork::Forward => {
                let order = self.relay_order(id, &grant, now);
                actions.push(ShardStep::Command(Command::Relay(order)));
                AttemptKind::Forward
            }
            StepWork::Json | StepWork::Batched { .. } => {
                let order = self.order(id, &grant);
                let silence = self.plan.stage(&grant.request.stage).silence;
                actions.push(ShardStep::Command(Command::Send(order)));
                actions.push(set_timer(TimerKey::Silence(id), now + silence));
                AttemptKind::Json(super::StreamAssembler::new(id))
            }
        };
        let step_run = &mut self.step_runs[index];
        if let Some(held) = step_run.held.take() {
            // Another attempt starts, so the held error response is dropped.
            actions.push(ShardStep::Command(Command::Cancel(held)));
        }
        step_run.attempts += 1;
        step_run.in_flight = Some(InFlightAttempt {
            id,
            upstream: grant.upstream,
            address: Some(grant.address),
            sent: now,
            progress: now,
            role,
        });
        self.evidence.sent += 1;
        actions.push(count(CounterName::AttemptsSent));
        None
    }

    /// Handles the router's refusal to assign an upstream to a step.
    pub fn denied(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let held = self.step_runs.iter_mut().find_map(|step_run| {
            let held = step_run.held.take()?;
            Some((held, step_run))
        });
        if let Some((held, step_run)) = held {
            // The error response of the previous attempt is the best available answer, so it is
            // passed on unchanged.
            step_run.in_flight = Some(InFlightAttempt {
                id: held,
                upstream: String::new(),
                address: None,
                sent: now,
                progress: now,
                role: AttemptKind::Forward,
            });
            self.pass_on(held, actions);
            return None;
        }
        Some(self.end(reason, now, actions))
    }

    /// Handles an event of an attempt. Returns the final answer if the event ends the run.
    pub fn attempt_event(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let Some(index) = self.step_runs.iter().position(|step_run| step_run.is_attempt(id)) else {
            actions.push(count(CounterName::LateAnswers));
            return None;
        };
        match event {
            AttemptEvent::NotSent => {
                self.evidence.sent -= 1;
                self.step_runs[index].attempts -= 1;
                self.attempt_failed(index, AttemptFailure::NotSent, now, actions)
            }
            AttemptEvent::Greeted { life, leaving } => {
                let upstream = self.progress(index, now).to_owned();
                actions.push(ShardStep::Greet { upstream, life, leaving });
                None
            }
            AttemptEvent::Line(line) => self.line(index, &line, now, actions),
            AttemptEvent::Answered { echo, answer } => {
                if echo != Some(id) {
                    let failure = AttemptFailure::Broken(BreakReason::Foreign);
                    return self.attempt_failed(index, failure, now, actions);
                }
                self.evidence.ran += 1;
                actions.push(ShardStep::Succeeded(self.plan.digest));
                self.complete_step(index, StepOutput::Json(answer), now, actions)
            }
            AttemptEvent::Declined { status: _ } => {
                self.evidence.ran += 1;
                self.attempt_failed(index, AttemptFailure::Declined, now, actions)
            }
            AttemptEvent::Broken(reason) => {
                self.attempt_failed(index, AttemptFailure::Broken(reason), now, actions)
            }
            AttemptEvent::Headed(head) => self.headed(index, id, head, now, actions),
            AttemptEvent::Flowing => {
                let upstream = self.progress(index, now).to_owned();
                actions.push(ShardStep::Flowing { upstream, call: self.call });
                self.free_inputs(actions);
                None
            }
            AttemptEvent::Passed => {
                if self.succeeded {
                    actions.push(ShardStep::Succeeded(self.plan.digest));
                }
                self.evidence.ran = (self.evidence.ran + 1).min(self.evidence.sent);
                self.free_inputs(actions);
                self.complete_step(index, StepOutput::Forwarded, now, actions)
            }
            AttemptEvent::PiecesMade(results) => {
                self.complete_step(index, StepOutput::Results(results), now, actions)
            }
            AttemptEvent::PiecesFailed { fault, retry_after } => {
                self.retry_after = Some(retry_after);
                self.pieces_failed(index, fault, now, actions)
            }
            AttemptEvent::DispatcherLost(vm) => self.dispatcher_lost(index, vm, now, actions),
        }
    }

    /// Handles the router's refusal to assign an upstream, for a reason that holds for the time
    /// `left`.
    pub fn denied_for(
        &mut self,
        (reason, left): (RefusalReason, Duration),
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        self.retry_after = Some(left);
        self.denied(reason, now, actions)
    }

    /// Ends the run without an answer and cancels everything that is still open.
    pub fn end(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> FinalAnswer {
        let stage = self.step_runs.iter().find(|step_run| step_run.answer.is_none());
        let stage = stage.map(|step_run| step_run.stage.clone());
        self.close_step_runs(actions);
        self.free_inputs(actions);
        let verdict = self.evidence.verdict(self.plan.repeatable);
        let mut outcome = FinalOutcome::new(verdict, &self.plan.request.key).reason(reason);
        if verdict == OutcomeKind::Refused && self.plan.forward().is_some() {
            // A caller that retries at once meets the queue for which it was refused. A retry delay
            // longer than the caller's deadline is told as well, so that the caller does not retry
            // in vain.
            let least = self.plan.deadline.since(now).min(COME_BACK);
            let retry_after = self.retry_after.map_or(least, |told| told.max(least));
            outcome = outcome.retry(retry_after, true);
        }
        outcome.stage = stage;
        outcome.stages = std::mem::take(&mut self.costs);
        outcome.took = Some(now.since(self.plan.arrived));
        FinalAnswer::from(outcome)
    }

    /// Whether the run continues after its caller has disconnected.
    #[must_use]
    pub fn outlives_caller(&self) -> bool {
        match self.plan.forward().map(|forward| forward.repeat) {
            None => !self.plan.repeatable,
            // The only permitted run has started, and cancelling it would waste its work.
            Some(RepeatRule::AtMostOnce) => !self.is_unsent(),
            Some(RepeatRule::Idempotent | RepeatRule::Stream | RepeatRule::ResumableStream) => {
                false
            }
        }
    }

    /// Starts every step that has not started and whose inputs are available.
    pub(super) fn begin_steps(&mut self, now: MonotonicTime, actions: &mut Vec<ShardStep>) {
        for position in 0..self.plan.pipeline.plan.steps().len() {
            let step = &self.plan.pipeline.plan.steps()[position];
            let begun = self.step_runs.iter().any(|step_run| step_run.step == position);
            if begun || !step.after.iter().all(|earlier| self.is_done(*earlier)) {
                continue;
            }
            let mut step_run = StepRun::new(position, &step.stage, step.work, now);
            let batched = matches!(step.work, StepWork::Batched { .. });
            if step.work == StepWork::Forward
                && let Some((attempts, tried)) = self.carried.take()
            {
                (step_run.attempts, step_run.tried) = (attempts, tried);
            }
            if batched && self.plan.pieces(position) == 0 {
                step_run.answer = Some(StepOutput::Results(Vec::new()));
            }
            let index = self.step_runs.len();
            let is_answered = step_run.answer.is_some();
            self.step_runs.push(step_run);
            if is_answered {
                continue;
            }
            if batched {
                self.offer_pieces(index, now, actions);
            } else {
                actions.push(ShardStep::Acquire(self.slot_request(index)));
            }
        }
    }

    pub(super) fn is_done(&self, position: usize) -> bool {
        let step_run = self.step_runs.iter().find(|step_run| step_run.step == position);
        step_run.is_some_and(|step_run| step_run.answer.is_some())
    }

    pub(super) fn next_attempt(&mut self) -> AttemptId {
        self.sequence += 1;
        AttemptId { incarnation: self.incarnation, call: self.call, sequence: self.sequence }
    }

    pub(super) fn slot_request(&self, index: usize) -> SlotRequest {
        let step_run = &self.step_runs[index];
        let demand = self.plan.request.forward().and_then(|head| head.demand.clone());
        SlotRequest {
            call: self.call,
            branch: step_run.step,
            stage: step_run.stage.clone(),
            level: self.plan.level,
            deadline: self.plan.deadline,
            tried: step_run.tried.clone(),
            demand: demand.filter(|_| step_run.work == StepWork::Forward),
            digest: self.plan.digest,
            homes: self.plan.homes.clone(),
        }
    }

    /// Whether the step run at `index` may be retried on another upstream even if an earlier
    /// attempt may have run.
    pub(super) fn may_repeat(&self, index: usize) -> bool {
        match self.plan.forward() {
            None => self.plan.repeatable,
            Some(forward) => {
                self.plan.repeatable && self.step_runs[index].attempts < forward.attempts
            }
        }
    }

    pub(super) fn progress(&mut self, index: usize, now: MonotonicTime) -> &str {
        match &mut self.step_runs[index].in_flight {
            Some(in_flight) => {
                in_flight.progress = now;
                &in_flight.upstream
            }
            None => "",
        }
    }

    pub(super) fn complete_step(
        &mut self,
        index: usize,
        answer: StepOutput,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let in_flight = self.step_runs[index].in_flight.take()?;
        let spent = now.since(in_flight.sent);
        self.step_runs[index].answer = Some(answer);
        let step_run = &self.step_runs[index];
        let rate = self.plan.stage(&step_run.stage).cost;
        self.costs.push(StageCost {
            stage: step_run.stage.clone(),
            upstream: in_flight.upstream.clone(),
            time_ms: now.since(step_run.since).as_secs_f64() * 1e3,
            attempts: step_run.attempts,
            tried: step_run.tried.clone(),
            cost: spent.as_secs_f64() * rate,
        });
        if in_flight.has_slot() {
            let (call, report) = (self.call, AttemptReport::Answered(spent));
            actions.push(ShardStep::Release { upstream: in_flight.upstream, call, report });
        }
        self.free_used(self.step_runs[index].step, actions);
        self.begin_steps(now, actions);
        let finished = (0..self.plan.pipeline.plan.steps().len()).all(|each| self.is_done(each));
        finished.then(|| self.answered(now))
    }

    /// Builds the final answer from the answers of the last steps, in declared order.
    pub(super) fn answered(&mut self, now: MonotonicTime) -> FinalAnswer {
        let mut outcome = FinalOutcome::new(OutcomeKind::Answered, &self.plan.request.key);
        if self.plan.forward().is_none() {
            outcome.answer = Some(self.json_answer());
        }
        outcome.stages = std::mem::take(&mut self.costs);
        outcome.took = Some(now.since(self.plan.arrived));
        FinalAnswer::from(outcome)
    }
}

pub(super) fn set_timer(timer: TimerKey, at: MonotonicTime) -> ShardStep {
    ShardStep::Command(Command::SetTimer { timer, at })
}

pub(super) fn count(counter: CounterName) -> ShardStep {
    ShardStep::Command(Command::Count(counter))
}
