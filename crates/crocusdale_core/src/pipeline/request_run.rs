use std::time::Duration;

use super::branch_run::{AttemptRole, BranchAnswer, BranchRun, FailedAttempt, OpenAttempt};
use super::{
    AttemptEvent, BreakReason, FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason, RequestPlan,
    RunEvidence, ShardStep, StageCost,
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
    pub(super) branches: Vec<BranchRun>,
    pub(super) costs: Vec<StageCost>,
    pub(super) evidence: RunEvidence,
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
            branches: Vec::new(),
            costs: Vec::new(),
            evidence: RunEvidence::default(),
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
    pub fn begin(&mut self, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        self.begin_steps(now, steps);
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
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let branch = self.branches.iter().position(|branch| branch.step == grant.request.branch);
        let wanted = branch.filter(|index| {
            let branch = &self.branches[*index];
            branch.stage == grant.request.stage && branch.is_waiting()
        });
        // A request that can't be answered in time would only take up a slot that another request
        // could use.
        let unservable = now + grant.fastest >= self.plan.deadline;
        let Some(index) = wanted.filter(|_| !unservable) else {
            let (call, report) = (self.call, AttemptReport::Cancelled);
            steps.push(ShardStep::Release { upstream: grant.upstream, call, report });
            return wanted.and_then(|_| self.denied(RefusalReason::Overload, now, steps));
        };
        let id = self.next_attempt();
        let role = match self.branches[index].work {
            StepWork::Forward => {
                let order = self.relay_order(id, &grant, now);
                steps.push(ShardStep::Command(Command::Relay(order)));
                AttemptRole::Forward
            }
            StepWork::Json | StepWork::Batched { .. } => {
                let order = self.order(id, &grant);
                let silence = self.plan.stage(&grant.request.stage).silence;
                steps.push(ShardStep::Command(Command::Send(order)));
                steps.push(set_timer(TimerKey::Silence(id), now + silence));
                AttemptRole::Json(super::StreamAssembler::new(id))
            }
        };
        let branch = &mut self.branches[index];
        if let Some(held) = branch.held.take() {
            // Another attempt starts, so the held error response is dropped.
            steps.push(ShardStep::Command(Command::Cancel(held)));
        }
        branch.attempts += 1;
        branch.open = Some(OpenAttempt {
            id,
            upstream: grant.upstream,
            address: Some(grant.address),
            sent: now,
            progress: now,
            role,
        });
        self.evidence.sent += 1;
        steps.push(count(CounterName::AttemptsSent));
        None
    }

    /// Handles the router's refusal to assign an upstream to a step.
    pub fn denied(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let held = self.branches.iter_mut().find_map(|branch| {
            let held = branch.held.take()?;
            Some((held, branch))
        });
        if let Some((held, branch)) = held {
            // The error response of the previous attempt is the best available answer, so it is
            // passed on unchanged.
            branch.open = Some(OpenAttempt {
                id: held,
                upstream: String::new(),
                address: None,
                sent: now,
                progress: now,
                role: AttemptRole::Forward,
            });
            self.pass_on(held, steps);
            return None;
        }
        Some(self.end(reason, now, steps))
    }

    /// Handles an event of an attempt. Returns the final answer if the event ends the run.
    pub fn attempt_event(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let Some(index) = self.branches.iter().position(|branch| branch.is_attempt(id)) else {
            steps.push(count(CounterName::LateAnswers));
            return None;
        };
        match event {
            AttemptEvent::NotSent => {
                self.evidence.sent -= 1;
                self.branches[index].attempts -= 1;
                self.attempt_failed(index, FailedAttempt::NotSent, now, steps)
            }
            AttemptEvent::Greeted { life, leaving } => {
                let upstream = self.progress(index, now).to_owned();
                steps.push(ShardStep::Greet { upstream, life, leaving });
                None
            }
            AttemptEvent::Line(line) => self.line(index, &line, now, steps),
            AttemptEvent::Answered { echo, answer } => {
                if echo != Some(id) {
                    let failure = FailedAttempt::Broken(BreakReason::Foreign);
                    return self.attempt_failed(index, failure, now, steps);
                }
                self.evidence.ran += 1;
                steps.push(ShardStep::Succeeded(self.plan.digest));
                self.branch_answered(index, BranchAnswer::Json(answer), now, steps)
            }
            AttemptEvent::Declined { status: _ } => {
                self.evidence.ran += 1;
                self.attempt_failed(index, FailedAttempt::Declined, now, steps)
            }
            AttemptEvent::Broken(reason) => {
                self.attempt_failed(index, FailedAttempt::Broken(reason), now, steps)
            }
            AttemptEvent::Headed(head) => self.headed(index, id, head, now, steps),
            AttemptEvent::Flowing => {
                let upstream = self.progress(index, now).to_owned();
                steps.push(ShardStep::Flowing { upstream, call: self.call });
                self.free_inputs(steps);
                None
            }
            AttemptEvent::Passed => {
                if self.succeeded {
                    steps.push(ShardStep::Succeeded(self.plan.digest));
                }
                self.evidence.ran = (self.evidence.ran + 1).min(self.evidence.sent);
                self.free_inputs(steps);
                self.branch_answered(index, BranchAnswer::Passed, now, steps)
            }
            AttemptEvent::PiecesMade(results) => {
                self.branch_answered(index, BranchAnswer::Results(results), now, steps)
            }
            AttemptEvent::PiecesFailed { fault, retry_after } => {
                self.retry_after = Some(retry_after);
                self.pieces_failed(index, fault, now, steps)
            }
            AttemptEvent::DispatcherLost(vm) => self.dispatcher_lost(index, vm, now, steps),
        }
    }

    /// Handles the router's refusal to assign an upstream, for a reason that holds for the time
    /// `left`.
    pub fn denied_for(
        &mut self,
        (reason, left): (RefusalReason, Duration),
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        self.retry_after = Some(left);
        self.denied(reason, now, steps)
    }

    /// Ends the run without an answer and cancels everything that is still open.
    pub fn end(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> FinalAnswer {
        let stage = self.branches.iter().find(|branch| branch.answer.is_none());
        let stage = stage.map(|branch| branch.stage.clone());
        self.close_branches(steps);
        self.free_inputs(steps);
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
    pub(super) fn begin_steps(&mut self, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        for position in 0..self.plan.pipeline.plan.steps().len() {
            let step = &self.plan.pipeline.plan.steps()[position];
            let begun = self.branches.iter().any(|branch| branch.step == position);
            if begun || !step.after.iter().all(|earlier| self.is_done(*earlier)) {
                continue;
            }
            let mut branch = BranchRun::new(position, &step.stage, step.work, now);
            let batched = matches!(step.work, StepWork::Batched { .. });
            if step.work == StepWork::Forward
                && let Some((attempts, tried)) = self.carried.take()
            {
                (branch.attempts, branch.tried) = (attempts, tried);
            }
            if batched && self.plan.pieces(position) == 0 {
                branch.answer = Some(BranchAnswer::Results(Vec::new()));
            }
            let index = self.branches.len();
            let is_answered = branch.answer.is_some();
            self.branches.push(branch);
            if is_answered {
                continue;
            }
            if batched {
                self.offer_pieces(index, now, steps);
            } else {
                steps.push(ShardStep::Acquire(self.slot_request(index)));
            }
        }
    }

    pub(super) fn is_done(&self, position: usize) -> bool {
        let branch = self.branches.iter().find(|branch| branch.step == position);
        branch.is_some_and(|branch| branch.answer.is_some())
    }

    pub(super) fn next_attempt(&mut self) -> AttemptId {
        self.sequence += 1;
        AttemptId { incarnation: self.incarnation, call: self.call, sequence: self.sequence }
    }

    pub(super) fn slot_request(&self, index: usize) -> SlotRequest {
        let branch = &self.branches[index];
        let demand = self.plan.request.forward().and_then(|head| head.demand.clone());
        SlotRequest {
            call: self.call,
            branch: branch.step,
            stage: branch.stage.clone(),
            level: self.plan.level,
            deadline: self.plan.deadline,
            tried: branch.tried.clone(),
            demand: demand.filter(|_| branch.work == StepWork::Forward),
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
                self.plan.repeatable && self.branches[index].attempts < forward.attempts
            }
        }
    }

    pub(super) fn progress(&mut self, index: usize, now: MonotonicTime) -> &str {
        match &mut self.branches[index].open {
            Some(open) => {
                open.progress = now;
                &open.upstream
            }
            None => "",
        }
    }

    pub(super) fn branch_answered(
        &mut self,
        index: usize,
        answer: BranchAnswer,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let open = self.branches[index].open.take()?;
        let spent = now.since(open.sent);
        self.branches[index].answer = Some(answer);
        let branch = &self.branches[index];
        let rate = self.plan.stage(&branch.stage).cost;
        self.costs.push(StageCost {
            stage: branch.stage.clone(),
            upstream: open.upstream.clone(),
            time_ms: now.since(branch.since).as_secs_f64() * 1e3,
            attempts: branch.attempts,
            tried: branch.tried.clone(),
            cost: spent.as_secs_f64() * rate,
        });
        if open.has_slot() {
            let (call, report) = (self.call, AttemptReport::Answered(spent));
            steps.push(ShardStep::Release { upstream: open.upstream, call, report });
        }
        self.free_used(self.branches[index].step, steps);
        self.begin_steps(now, steps);
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
