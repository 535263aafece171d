use serde::Serialize;
use serde_json::value::RawValue;

use super::{
    AttemptEvent, AttemptOrder, BreakReason, FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason,
    RequestPlan, RunEvidence, ShardStep, StageCost, StreamAssembler, StreamFault, StreamLine,
};
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{AttemptId, CallId, MonotonicTime};
use crate::routing::{AttemptReport, SlotGrant, SlotRequest};

/// One request on its way through the stages of its pipeline.
#[derive(Debug)]
pub struct RequestRun {
    call: CallId,
    incarnation: u64,
    plan: RequestPlan,
    step: usize,
    branches: Vec<BranchRun>,
    inputs: Vec<StageAnswer>,
    costs: Vec<StageCost>,
    evidence: RunEvidence,
    sequence: u32,
    forwarded: bool,
}

/// One branch of the current step.
#[derive(Debug)]
struct BranchRun {
    stage: String,
    since: MonotonicTime,
    attempts: u32,
    tried: Vec<String>,
    open: Option<OpenAttempt>,
    answer: Option<Box<RawValue>>,
}

#[derive(Debug)]
struct OpenAttempt {
    id: AttemptId,
    upstream: String,
    sent: MonotonicTime,
    progress: MonotonicTime,
    assembler: StreamAssembler,
}

/// Answer of one stage.
#[derive(Clone, Debug, Serialize)]
struct StageAnswer {
    stage: String,
    answer: Box<RawValue>,
}

/// Body of a call of an upstream.
#[derive(Serialize)]
struct StageInput<'a> {
    attempt: String,
    workspace: &'a str,
    key: &'a str,
    stage: &'a str,
    request: &'a RawValue,
    inputs: &'a [StageAnswer],
}

impl RequestRun {
    /// Prepares the run of `plan` for `call` in the process life `incarnation`.
    #[must_use]
    pub fn new(call: CallId, incarnation: u64, plan: RequestPlan) -> Self {
        Self {
            call,
            incarnation,
            plan,
            step: 0,
            branches: Vec::new(),
            inputs: Vec::new(),
            costs: Vec::new(),
            evidence: RunEvidence::default(),
            sequence: 0,
            forwarded: false,
        }
    }

    /// What the run follows.
    #[must_use]
    pub fn plan(&self) -> &RequestPlan {
        &self.plan
    }

    /// Whether no attempt was written.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        self.evidence.sent == 0
    }

    /// Begins the first step.
    pub fn begin(&mut self, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        self.begin_step(now, steps);
    }

    /// Dispatches an attempt to the upstream that was found for it.
    ///
    /// The deadline is checked again here and, through `expires`, right before the call is
    /// written: a process that was paused in between still believes that there is time.
    pub fn dispatch(
        &mut self,
        grant: SlotGrant,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let branch = self.branches.get(grant.request.branch);
        let wanted = branch.is_some_and(|branch| {
            branch.stage == grant.request.stage && branch.open.is_none() && branch.answer.is_none()
        });
        // What can't be answered in time any more would only take the place of what can.
        let hopeless = now + grant.fastest >= self.plan.deadline;
        if !wanted || hopeless {
            let report = AttemptReport::Cancelled;
            steps.push(ShardStep::Release { upstream: grant.upstream, report });
            return (wanted && hopeless).then(|| self.end(RefusalReason::Overload, steps));
        }
        self.sequence += 1;
        let id =
            AttemptId { incarnation: self.incarnation, call: self.call, sequence: self.sequence };
        let order = self.order(id, &grant);
        let silence = self.plan.stage(&grant.request.stage).silence;
        let branch = &mut self.branches[grant.request.branch];
        branch.attempts += 1;
        branch.open = Some(OpenAttempt {
            id,
            upstream: grant.upstream,
            sent: now,
            progress: now,
            assembler: StreamAssembler::new(id),
        });
        self.evidence.sent += 1;
        steps.push(ShardStep::Command(Command::Send(order)));
        steps.push(set_timer(TimerKey::Silence(id), now + silence));
        steps.push(count(CounterName::AttemptsSent));
        None
    }

    /// No upstream can be had for a branch.
    pub fn denied(&mut self, reason: RefusalReason, steps: &mut Vec<ShardStep>) -> FinalAnswer {
        self.end(reason, steps)
    }

    /// Takes what an upstream did about an attempt; returns the final answer if this ends the run.
    pub fn attempt_event(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let open = |branch: &BranchRun| branch.open.as_ref().is_some_and(|open| open.id == id);
        let Some(index) = self.branches.iter().position(open) else {
            steps.push(count(CounterName::LateAnswers));
            return None;
        };
        match event {
            AttemptEvent::NotSent => {
                self.evidence.sent -= 1;
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
                self.stage_answered(index, answer, now, steps)
            }
            AttemptEvent::Declined { status: _ } => {
                self.evidence.ran += 1;
                self.attempt_failed(index, FailedAttempt::Declined, now, steps)
            }
            AttemptEvent::Broken(reason) => {
                self.attempt_failed(index, FailedAttempt::Broken(reason), now, steps)
            }
        }
    }

    /// Checks an attempt for silence.
    ///
    /// Guards against connections that went silent for good while their hosts answer new ones:
    /// progress is expected of the attempt itself, not of the host.
    pub fn silence_check(
        &mut self,
        id: AttemptId,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let open = |branch: &BranchRun| branch.open.as_ref().is_some_and(|open| open.id == id);
        let index = self.branches.iter().position(open)?;
        let silence = self.plan.stage(&self.branches[index].stage).silence;
        let progress = self.branches[index].open.as_ref()?.progress;
        if now.since(progress) < silence {
            steps.push(set_timer(TimerKey::Silence(id), progress + silence));
            return None;
        }
        steps.push(ShardStep::Command(Command::Cancel(id)));
        self.attempt_failed(index, FailedAttempt::Broken(BreakReason::Silent), now, steps)
    }

    /// Ends the run without an answer; whatever is open is given up.
    pub fn end(&mut self, reason: RefusalReason, steps: &mut Vec<ShardStep>) -> FinalAnswer {
        let stage = self.branches.iter().find(|branch| branch.answer.is_none());
        let stage = stage.map(|branch| branch.stage.clone());
        self.close_branches(steps);
        let verdict = self.evidence.verdict(self.plan.repeatable);
        let mut outcome = FinalOutcome::new(verdict, &self.plan.request.key).reason(reason);
        outcome.stage = stage;
        outcome.stages = std::mem::take(&mut self.costs);
        FinalAnswer::from(outcome)
    }

    fn begin_step(&mut self, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        let stages = &self.plan.pipeline.plan.steps()[self.step];
        self.branches = stages.iter().map(|stage| BranchRun::new(stage, now)).collect();
        for index in 0..self.branches.len() {
            steps.push(ShardStep::Acquire(self.slot_request(index)));
        }
    }

    fn slot_request(&self, branch: usize) -> SlotRequest {
        SlotRequest {
            call: self.call,
            branch,
            stage: self.branches[branch].stage.clone(),
            level: self.plan.level,
            deadline: self.plan.deadline,
            tried: self.branches[branch].tried.clone(),
        }
    }

    fn order(&self, attempt: AttemptId, grant: &SlotGrant) -> AttemptOrder {
        let stage = self.plan.stage(&grant.request.stage);
        let input = StageInput {
            attempt: attempt.to_string(),
            workspace: &self.plan.request.key.workspace,
            key: &self.plan.request.key.key,
            stage: &grant.request.stage,
            request: &self.plan.request.payload,
            inputs: &self.inputs,
        };
        AttemptOrder {
            attempt,
            upstream: grant.upstream.clone(),
            address: grant.address,
            path: stage.path.clone(),
            body: serde_json::to_vec(&input).expect("an input has no maps with odd keys"),
            stream: stage.stream,
            fresh: !self.plan.repeatable,
            level: self.plan.level,
            expires: self.plan.deadline,
        }
    }

    fn progress(&mut self, index: usize, now: MonotonicTime) -> &str {
        match &mut self.branches[index].open {
            Some(open) => {
                open.progress = now;
                &open.upstream
            }
            None => "",
        }
    }

    fn line(
        &mut self,
        index: usize,
        line: &StreamLine,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        self.progress(index, now);
        let open = self.branches[index].open.as_mut()?;
        match open.assembler.take(line) {
            Ok(None) => {
                if self.passes_on() {
                    self.forwarded = true;
                    let text = line.text.clone();
                    steps.push(ShardStep::Command(Command::Forward { call: self.call, text }));
                }
                None
            }
            Ok(Some(text)) => {
                let answer = serde_json::value::to_raw_value(text).expect("text is JSON");
                self.stage_answered(index, answer, now, steps)
            }
            Err(fault) => {
                let reason = match fault {
                    StreamFault::Foreign => BreakReason::Foreign,
                    StreamFault::OutOfOrder => BreakReason::Malformed,
                    StreamFault::TooLarge => BreakReason::TooLarge,
                };
                steps.push(ShardStep::Command(Command::Cancel(open.id)));
                self.attempt_failed(index, FailedAttempt::Broken(reason), now, steps)
            }
        }
    }

    /// Whether the caller gets the current step's stream as it comes.
    fn passes_on(&self) -> bool {
        let last = self.step + 1 == self.plan.pipeline.plan.steps().len();
        self.plan.request.stream && last && self.branches.len() == 1
    }

    fn stage_answered(
        &mut self,
        index: usize,
        answer: Box<RawValue>,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        self.evidence.ran += 1;
        let branch = &mut self.branches[index];
        let open = branch.open.take()?;
        let spent = now.since(open.sent);
        branch.answer = Some(answer);
        let rate = self.plan.stage(&self.branches[index].stage).cost;
        let branch = &self.branches[index];
        self.costs.push(StageCost {
            stage: branch.stage.clone(),
            upstream: open.upstream.clone(),
            time_ms: now.since(branch.since).as_secs_f64() * 1e3,
            attempts: branch.attempts,
            cost: spent.as_secs_f64() * rate,
        });
        let report = AttemptReport::Answered(spent);
        steps.push(ShardStep::Release { upstream: open.upstream, report });
        if self.branches.iter().any(|branch| branch.answer.is_none()) {
            return None;
        }
        self.step_answered(now, steps)
    }

    /// Puts the branches together in declared order, whichever order they came in.
    fn step_answered(
        &mut self,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let branches = std::mem::take(&mut self.branches).into_iter();
        self.inputs = branches
            .filter_map(|branch| Some(StageAnswer { stage: branch.stage, answer: branch.answer? }))
            .collect();
        self.step += 1;
        if self.step < self.plan.pipeline.plan.steps().len() {
            self.begin_step(now, steps);
            return None;
        }
        let mut outcome = FinalOutcome::new(OutcomeKind::Answered, &self.plan.request.key);
        outcome.answer = Some(match self.inputs.as_slice() {
            [single] => single.answer.clone(),
            several => serde_json::value::to_raw_value(several).expect("answers are JSON"),
        });
        outcome.stages = std::mem::take(&mut self.costs);
        Some(FinalAnswer::from(outcome))
    }

    fn attempt_failed(
        &mut self,
        index: usize,
        failure: FailedAttempt,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let branch = &mut self.branches[index];
        let open = branch.open.take()?;
        branch.tried.push(open.upstream.clone());
        steps.push(count(failure.counter()));
        if failure.is_distrusted() {
            steps.push(ShardStep::Command(Command::Distrust(open.upstream.clone())));
        }
        let report = AttemptReport::Failed;
        steps.push(ShardStep::Release { upstream: open.upstream, report });
        let unrun = failure == FailedAttempt::NotSent;
        let may_repeat = (self.plan.repeatable || unrun) && !self.forwarded;
        if may_repeat && now < self.plan.deadline {
            let request = self.slot_request(index);
            steps.push(ShardStep::Retry { request, reason: failure.reason() });
            return None;
        }
        Some(self.end(failure.reason(), steps))
    }

    fn close_branches(&mut self, steps: &mut Vec<ShardStep>) {
        for index in 0..self.branches.len() {
            if let Some(open) = self.branches[index].open.take() {
                let report = AttemptReport::Cancelled;
                steps.push(ShardStep::Command(Command::Cancel(open.id)));
                steps.push(ShardStep::Release { upstream: open.upstream, report });
            } else if self.branches[index].answer.is_none() {
                steps.push(ShardStep::Withdraw(self.slot_request(index)));
            }
        }
    }
}

impl BranchRun {
    fn new(stage: &str, now: MonotonicTime) -> Self {
        Self {
            stage: stage.to_owned(),
            since: now,
            attempts: 0,
            tried: Vec::new(),
            open: None,
            answer: None,
        }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailedAttempt {
    NotSent,
    Declined,
    Broken(BreakReason),
}

impl FailedAttempt {
    fn counter(self) -> CounterName {
        match self {
            Self::NotSent => CounterName::AttemptsNotSent,
            Self::Declined => CounterName::AttemptsDeclined,
            Self::Broken(BreakReason::Foreign) => CounterName::ForeignAnswers,
            Self::Broken(BreakReason::Silent) => CounterName::SilentAttempts,
            Self::Broken(_) => CounterName::BrokenAnswers,
        }
    }

    /// Whether idle connections to the upstream may be as bad as this one was.
    fn is_distrusted(self) -> bool {
        matches!(self, Self::Broken(_))
    }

    fn reason(self) -> RefusalReason {
        match self {
            Self::NotSent => RefusalReason::NoUpstream,
            Self::Declined => RefusalReason::UpstreamError,
            Self::Broken(_) => RefusalReason::UpstreamBroken,
        }
    }
}

fn set_timer(timer: TimerKey, at: MonotonicTime) -> ShardStep {
    ShardStep::Command(Command::SetTimer { timer, at })
}

fn count(counter: CounterName) -> ShardStep {
    ShardStep::Command(Command::Count(counter))
}
