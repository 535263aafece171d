use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use serde_json::value::RawValue;

use super::branch_run::{AttemptRole, BranchAnswer, BranchRun, FailedAttempt, OpenAttempt};
use super::{
    AnswerHead, AttemptEvent, AttemptOrder, BreakReason, FinalAnswer, FinalOutcome, OutcomeKind,
    PieceFault, PieceOrder, PieceSource, PlacedResult, RefusalReason, RelayOrder, RequestContent,
    RequestPlan, ResultHandle, RunEvidence, RunProof, ShardStep, StageCost, StreamFault,
    StreamLine,
};
use crate::configuration::{PlanStep, RepeatRule, StepWork};
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{AttemptId, CallId, MonotonicTime};
use crate::routing::{AttemptReport, SlotGrant, SlotRequest};

/// Dispatchers that a batched step is given to, one after another, before it is given up.
const DISPATCHERS: usize = 3;
/// When a caller that was refused for want of room may come back. A batched call takes a few tenths
/// of a second, so that queues have moved on by then.
const COME_BACK: Duration = Duration::from_millis(400);
/// Bytes that a step fetches from which on it goes where they lie rather than where its own results
/// will be needed. Below it, a fetch from another zone costs next to nothing.
const HEAVY_BYTES: u64 = 200_000;
/// Times that batched steps are made anew because a result was gone when it was needed.
const REMAKES: u32 = 1;

/// One request on its way through the steps of its pipeline.
#[derive(Debug)]
pub struct RequestRun {
    call: CallId,
    incarnation: u64,
    plan: RequestPlan,
    /// Steps that have begun.
    branches: Vec<BranchRun>,
    costs: Vec<StageCost>,
    evidence: RunEvidence,
    sequence: u32,
    /// Whether the caller has got a part of the answer.
    forwarded: bool,
    /// Times that results were gone and their steps were begun anew.
    remakes: u32,
    /// Whether results were given up because an upstream had fetched them.
    freed: bool,
    /// What the forwarded step had tried before its inputs were made anew.
    carried: Option<(u32, Vec<String>)>,
}

/// Answer of one stage.
#[derive(Clone, Debug, Serialize)]
struct StageAnswer<'a> {
    stage: &'a str,
    answer: &'a RawValue,
}

/// Body of a call of an upstream.
#[derive(Serialize)]
struct StageInput<'a> {
    attempt: String,
    workspace: &'a str,
    key: &'a str,
    stage: &'a str,
    request: &'a RawValue,
    inputs: &'a [StageAnswer<'a>],
}

impl RequestRun {
    /// Prepares the run of `plan` for `call` in the process life `incarnation`.
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
            remakes: 0,
            freed: false,
            carried: None,
        }
    }

    /// What the run follows.
    #[must_use]
    pub fn plan(&self) -> &RequestPlan {
        &self.plan
    }

    /// Whether no attempt was written that may have run the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        self.evidence.sent == 0
    }

    /// Begins the steps that need no others.
    pub fn begin(&mut self, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        self.begin_steps(now, steps);
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
        let branch = self.branches.iter().position(|branch| branch.step == grant.request.branch);
        let wanted = branch.filter(|index| {
            let branch = &self.branches[*index];
            branch.stage == grant.request.stage && branch.is_waiting()
        });
        // What can't be answered in time any more would only take the place of what can.
        let hopeless = now + grant.fastest >= self.plan.deadline;
        let Some(index) = wanted.filter(|_| !hopeless) else {
            let (call, report) = (self.call, AttemptReport::Cancelled);
            steps.push(ShardStep::Release { upstream: grant.upstream, call, report });
            return wanted.and_then(|_| self.denied(RefusalReason::Overload, now, steps));
        };
        let id = self.next_attempt();
        let role = match self.branches[index].work {
            StepWork::Forward => {
                let order = self.relay_order(id, &grant);
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
            // Another attempt is made after all: the failure is not passed on.
            steps.push(ShardStep::Command(Command::Cancel(held)));
        }
        branch.attempts += 1;
        branch.open =
            Some(OpenAttempt { id, upstream: grant.upstream, sent: now, progress: now, role });
        self.evidence.sent += 1;
        steps.push(count(CounterName::AttemptsSent));
        None
    }

    /// No upstream can be had for a branch.
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
            // The failure of the attempt before is all that the caller can get; it is passed on
            // as the upstream gave it.
            branch.open = Some(OpenAttempt {
                id: held,
                upstream: String::new(),
                sent: now,
                progress: now,
                role: AttemptRole::Forward,
            });
            self.pass_on(held, steps);
            return None;
        }
        Some(self.end(reason, now, steps))
    }

    /// Takes what an upstream did about an attempt; returns the final answer if this ends the run.
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
                self.evidence.ran = (self.evidence.ran + 1).min(self.evidence.sent);
                self.free_inputs(steps);
                self.branch_answered(index, BranchAnswer::Passed, now, steps)
            }
            AttemptEvent::PiecesMade(results) => {
                self.branch_answered(index, BranchAnswer::Results(results), now, steps)
            }
            AttemptEvent::PiecesFailed(fault) => self.pieces_failed(index, fault, now, steps),
            AttemptEvent::DispatcherLost(vm) => self.dispatcher_lost(index, vm, now, steps),
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
        let index = self.branches.iter().position(|branch| branch.is_attempt(id))?;
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
            // Whoever comes back at once meets the queue that it was refused for.
            let left = self.plan.deadline.since(now);
            outcome = outcome.retry(left.min(COME_BACK), true);
        }
        outcome.stage = stage;
        outcome.stages = std::mem::take(&mut self.costs);
        outcome.took = Some(now.since(self.plan.arrived));
        FinalAnswer::from(outcome)
    }

    /// Whether the run should go on although its caller is gone.
    #[must_use]
    pub fn outlives_caller(&self) -> bool {
        match self.plan.forward().map(|forward| forward.repeat) {
            None => !self.plan.repeatable,
            // Its one run is under way, and to break it off would throw its work away.
            Some(RepeatRule::AtMostOnce) => !self.is_unsent(),
            Some(RepeatRule::Idempotent | RepeatRule::Stream | RepeatRule::ResumableStream) => {
                false
            }
        }
    }

    /// Begins every step whose inputs are there and which has not begun.
    fn begin_steps(&mut self, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
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

    fn is_done(&self, position: usize) -> bool {
        let branch = self.branches.iter().find(|branch| branch.step == position);
        branch.is_some_and(|branch| branch.answer.is_some())
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.sequence += 1;
        AttemptId { incarnation: self.incarnation, call: self.call, sequence: self.sequence }
    }

    fn slot_request(&self, index: usize) -> SlotRequest {
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
        }
    }

    fn order(&self, attempt: AttemptId, grant: &SlotGrant) -> AttemptOrder {
        let stage = self.plan.stage(&grant.request.stage);
        let inputs = self.json_inputs(grant.request.branch);
        let RequestContent::Json(payload) = &self.plan.request.content else {
            unreachable!("a pipeline of JSON stages serves JSON requests")
        };
        let input = StageInput {
            attempt: attempt.to_string(),
            workspace: &self.plan.request.key.workspace,
            key: &self.plan.request.key.key,
            stage: &grant.request.stage,
            request: payload,
            inputs: &inputs,
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

    fn relay_order(&self, attempt: AttemptId, grant: &SlotGrant) -> RelayOrder {
        let workspace = &self.plan.request.key.workspace;
        RelayOrder {
            attempt,
            upstream: grant.upstream.clone(),
            address: grant.address,
            workspace: (!workspace.is_empty()).then(|| workspace.clone()),
            inputs: self.results().iter().map(|result| result.handle.clone()).collect(),
            level: self.plan.level,
            fresh: !self.plan.repeatable,
            expires: self.plan.deadline,
        }
    }

    /// Answers that the JSON step at `position` needs, in declared order, whichever order they
    /// came in.
    fn json_inputs(&self, position: usize) -> Vec<StageAnswer<'_>> {
        let after = &self.plan.pipeline.plan.steps()[position].after;
        let answer = |earlier: &usize| {
            let branch = self.branches.iter().find(|branch| branch.step == *earlier)?;
            match &branch.answer {
                Some(BranchAnswer::Json(answer)) => {
                    Some(StageAnswer { stage: &branch.stage, answer })
                }
                _ => None,
            }
        };
        after.iter().filter_map(answer).collect()
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

    fn offer_pieces(&mut self, index: usize, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        let id = self.next_attempt();
        let position = self.branches[index].step;
        let after = &self.plan.pipeline.plan.steps()[position].after;
        let head = self.plan.request.forward();
        let source = if after.is_empty() {
            PieceSource::Caller(head.map(|head| head.piece_source.clone()).unwrap_or_default())
        } else {
            PieceSource::Results(self.results_of(after))
        };
        let order = PieceOrder {
            attempt: id,
            request: self.plan.request.key.key.clone(),
            pool: self.branches[index].stage.clone(),
            step: u32::try_from(position).unwrap_or(u32::MAX),
            pieces: self.plan.pieces(position),
            result_bytes: self.result_bytes(position),
            source,
            zone: self.heavy_zone(position),
            level: self.plan.level,
            due: self.plan.due(position),
            expires: self.plan.deadline,
            repeated: !self.branches[index].tried.is_empty() || self.remakes > 0,
        };
        let branch = &mut self.branches[index];
        branch.attempts += 1;
        let (upstream, role) = (String::new(), AttemptRole::Pieces);
        branch.open = Some(OpenAttempt { id, upstream, sent: now, progress: now, role });
        let tried = branch.tried.clone();
        let target = self.target_request().filter(|_| self.makes_heavy(position)).map(Box::new);
        steps.push(ShardStep::OfferPieces { order: Box::new(order), tried, target });
    }

    /// Zone in which the inputs of the step at `position` lie, if they are large: each of its
    /// pieces fetches all of them.
    fn heavy_zone(&self, position: usize) -> Option<String> {
        let after = &self.plan.pipeline.plan.steps()[position].after;
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for branch in self.branches.iter().filter(|branch| after.contains(&branch.step)) {
            let Some(BranchAnswer::Results(made)) = &branch.answer else { continue };
            for result in made {
                *zones.entry(&result.zone).or_default() += self.result_bytes(branch.step);
            }
        }
        let (zone, bytes) = zones.into_iter().max_by_key(|(_, bytes)| *bytes)?;
        let fetched = bytes * u64::from(self.plan.pieces(position));
        (fetched >= HEAVY_BYTES).then(|| zone.to_owned())
    }

    /// Whether the results of the step at `position` are large, and fetched by the upstream of the
    /// forwarded step.
    fn makes_heavy(&self, position: usize) -> bool {
        let plan = self.plan.pipeline.plan.steps();
        let mut later = plan.iter().filter(|step| step.after.contains(&position));
        let bytes = self.result_bytes(position) * u64::from(self.plan.pieces(position));
        later.all(|step| step.work == StepWork::Forward) && bytes >= HEAVY_BYTES
    }

    /// The forwarded step as it would ask for an upstream now.
    fn target_request(&self) -> Option<SlotRequest> {
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
        })
    }

    fn result_bytes(&self, position: usize) -> u64 {
        match self.plan.pipeline.plan.steps()[position].work {
            StepWork::Batched { result_bytes } => result_bytes,
            StepWork::Json | StepWork::Forward => 0,
        }
    }

    fn results_of(&self, steps: &[usize]) -> Vec<ResultHandle> {
        let mut handles = Vec::new();
        for branch in self.branches.iter().filter(|branch| steps.contains(&branch.step)) {
            if let Some(BranchAnswer::Results(made)) = &branch.answer {
                handles.extend(made.iter().map(|result| result.handle.clone()));
            }
        }
        handles
    }

    fn pieces_failed(
        &mut self,
        index: usize,
        fault: PieceFault,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        steps.push(count(CounterName::PiecesFailed));
        self.branches[index].open = None;
        let in_time = now < self.plan.deadline;
        match fault {
            PieceFault::InputGone if in_time && self.remakes < REMAKES => {
                self.remake(now, steps);
                None
            }
            _ => Some(self.end(FailedAttempt::Pieces(fault).reason(), now, steps)),
        }
    }

    /// The next dispatcher in rank takes the pieces of one that is lost.
    fn dispatcher_lost(
        &mut self,
        index: usize,
        vm: String,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let branch = &mut self.branches[index];
        branch.open = None;
        branch.tried.push(vm);
        if branch.tried.len() >= DISPATCHERS || now >= self.plan.deadline {
            return Some(self.end(RefusalReason::NoUpstream, now, steps));
        }
        steps.push(count(CounterName::DispatchersLost));
        self.offer_pieces(index, now, steps);
        None
    }

    /// Begins all batched steps anew: a result that a later step needs is gone with the upstream
    /// that made it.
    fn remake(&mut self, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        self.remakes += 1;
        self.close_branches(steps);
        self.free_inputs(steps);
        self.freed = false;
        let forward = self.branches.drain(..).find(|branch| branch.work == StepWork::Forward);
        self.carried = forward.map(|branch| (branch.attempts, branch.tried));
        steps.push(count(CounterName::StepsRemade));
        self.begin_steps(now, steps);
    }

    fn headed(
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

    fn pass_on(&mut self, attempt: AttemptId, steps: &mut Vec<ShardStep>) {
        self.forwarded = true;
        steps.push(ShardStep::Command(Command::PassOn { call: self.call, attempt }));
    }

    /// Whether the branch at `index` may go to another upstream although it may have run.
    fn may_repeat(&self, index: usize) -> bool {
        match self.plan.forward() {
            None => self.plan.repeatable,
            Some(forward) => {
                self.plan.repeatable && self.branches[index].attempts < forward.attempts
            }
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
        let AttemptRole::Json(assembler) = &mut open.role else { return None };
        match assembler.take(line) {
            Ok(None) => {
                if self.passes_on(index) {
                    self.forwarded = true;
                    let text = line.text.clone();
                    steps.push(ShardStep::Command(Command::Forward { call: self.call, text }));
                }
                None
            }
            Ok(Some(text)) => {
                let answer = serde_json::value::to_raw_value(text).expect("text is JSON");
                self.evidence.ran += 1;
                self.branch_answered(index, BranchAnswer::Json(answer), now, steps)
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

    /// Whether the caller gets the stream of the branch at `index` as it comes: it must be the
    /// only one that ends the plan.
    fn passes_on(&self, index: usize) -> bool {
        let mut ends = self.plan.pipeline.plan.ends(|_| true);
        let only = ends.next() == Some(self.branches[index].step) && ends.next().is_none();
        self.plan.request.stream && only
    }

    fn branch_answered(
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

    /// Puts the answers of the last steps together in declared order.
    fn answered(&mut self, now: MonotonicTime) -> FinalAnswer {
        let mut outcome = FinalOutcome::new(OutcomeKind::Answered, &self.plan.request.key);
        if self.plan.forward().is_none() {
            outcome.answer = Some(self.json_answer());
        }
        outcome.stages = std::mem::take(&mut self.costs);
        outcome.took = Some(now.since(self.plan.arrived));
        FinalAnswer::from(outcome)
    }

    fn json_answer(&self) -> Box<RawValue> {
        let mut last = Vec::new();
        for position in self.plan.pipeline.plan.ends(|_| true) {
            let branch = self.branches.iter().find(|branch| branch.step == position);
            if let Some(branch) = branch
                && let Some(BranchAnswer::Json(answer)) = &branch.answer
            {
                last.push(StageAnswer { stage: &branch.stage, answer });
            }
        }
        match last.as_slice() {
            [single] => single.answer.to_owned(),
            several => serde_json::value::to_raw_value(several).expect("answers are JSON"),
        }
    }

    fn attempt_failed(
        &mut self,
        index: usize,
        failure: FailedAttempt,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let report = match failure {
            FailedAttempt::NotRun => AttemptReport::Declined,
            _ => AttemptReport::Failed,
        };
        self.release(index, report, steps);
        let may_repeat = self.may_repeat(index);
        let resumable =
            self.plan.forward().is_some_and(|each| each.repeat == RepeatRule::ResumableStream);
        let branch = &mut self.branches[index];
        let open = branch.open.take()?;
        branch.tried.push(open.upstream.clone());
        steps.push(count(failure.counter()));
        if failure.is_distrusted() {
            steps.push(ShardStep::Command(Command::Distrust(open.upstream)));
        }
        let unrun = matches!(failure, FailedAttempt::NotSent | FailedAttempt::NotRun);
        let may_go_on = (may_repeat || unrun) && (!self.forwarded || resumable);
        if may_go_on && now < self.plan.deadline {
            if self.freed && self.remakes < REMAKES {
                self.remake(now, steps);
                return None;
            }
            let request = self.slot_request(index);
            steps.push(ShardStep::Retry { request, reason: failure.reason() });
            return None;
        }
        Some(self.end(failure.reason(), now, steps))
    }

    fn release(&mut self, index: usize, report: AttemptReport, steps: &mut Vec<ShardStep>) {
        let call = self.call;
        let open = self.branches[index].open.as_ref().filter(|open| open.has_slot());
        if let Some(open) = open {
            steps.push(ShardStep::Release { upstream: open.upstream.clone(), call, report });
        }
    }

    /// Gives up every result: those that were needed have been fetched, or never will be.
    fn free_inputs(&mut self, steps: &mut Vec<ShardStep>) {
        for index in 0..self.branches.len() {
            self.freed |= self.free_results(index, steps);
        }
    }

    /// Gives up results that no step needs any more: an upstream's memory for results holds those
    /// of a few seconds only, and each that stays keeps the pieces of another request out.
    fn free_used(&mut self, position: usize, steps: &mut Vec<ShardStep>) {
        for earlier in self.plan.pipeline.plan.steps()[position].after.clone() {
            let plan = self.plan.pipeline.plan.steps();
            let mut later =
                plan.iter().enumerate().filter(|(_, step)| step.after.contains(&earlier));
            if later.all(|(step, _)| self.is_done(step))
                && let Some(index) = self.branches.iter().position(|each| each.step == earlier)
            {
                self.free_results(index, steps);
            }
        }
    }

    fn free_results(&mut self, index: usize, steps: &mut Vec<ShardStep>) -> bool {
        let branch = &mut self.branches[index];
        let Some(BranchAnswer::Results(made)) = &mut branch.answer else { return false };
        if made.is_empty() {
            return false;
        }
        steps.push(free_results(&branch.stage, std::mem::take(made)));
        true
    }

    fn close_branches(&mut self, steps: &mut Vec<ShardStep>) {
        for index in 0..self.branches.len() {
            if let Some(held) = self.branches[index].held.take() {
                steps.push(ShardStep::Command(Command::Cancel(held)));
            }
            if let Some(open) = self.branches[index].open.take() {
                self.close_attempt(index, open, steps);
            } else if self.branches[index].answer.is_none() {
                steps.push(ShardStep::Withdraw(self.slot_request(index)));
            }
        }
    }

    fn close_attempt(&self, index: usize, open: OpenAttempt, steps: &mut Vec<ShardStep>) {
        if !open.has_slot() {
            let pool = self.branches[index].stage.clone();
            steps.push(ShardStep::WithdrawPieces { attempt: open.id, pool });
            return;
        }
        let (call, report) = (self.call, AttemptReport::Cancelled);
        steps.push(ShardStep::Command(Command::Cancel(open.id)));
        steps.push(ShardStep::Release { upstream: open.upstream, call, report });
    }
}

fn set_timer(timer: TimerKey, at: MonotonicTime) -> ShardStep {
    ShardStep::Command(Command::SetTimer { timer, at })
}

fn count(counter: CounterName) -> ShardStep {
    ShardStep::Command(Command::Count(counter))
}

fn free_results(pool: &str, results: Vec<PlacedResult>) -> ShardStep {
    let results = results.into_iter().map(|result| result.handle).collect();
    ShardStep::FreeResults { pool: pool.to_owned(), results }
}
