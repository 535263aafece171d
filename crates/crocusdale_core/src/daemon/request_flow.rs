use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::core_state::CoreState;
use super::held_work::HeldRequest;
use super::{Command, CounterName};
use crate::claims::{RegisterReply, RegisterState};
use crate::configuration::Declarations;
use crate::identity::{CallId, InstanceId, MonotonicTime, RequestKey};
use crate::membership::{LeavingUpstream, WitnessSet};
use crate::pipeline::{
    CallerRequest, FinalAnswer, FinalOutcome, InquiryBasis, OutcomeKind, RefusalReason,
    RegisterCall, RequestPlan, RequestShard, ShardAction,
};
use crate::routing::{AttemptReport, SlotGrant};
use crate::sync::lock;

/// When a caller is told to come back after a limit was reached.
const LIMIT_RETRY: Duration = Duration::from_millis(250);
/// When a caller is told to come back to a daemon that is not ready.
const READY_RETRY: Duration = Duration::from_millis(1_000);
/// When a caller is told to come back that still uses a daemon which is about to end: at once, as
/// another daemon serves it.
const DRAIN_RETRY: Duration = Duration::from_millis(50);
/// When a witness that sees other witnesses of a key may be asked again.
const DISAGREEMENT_RETRY: Duration = Duration::from_millis(1_000);

impl CoreState {
    /// Begins a request, or refuses it. Its deadline runs from when it came.
    pub(super) fn submit(&self, held: HeldRequest, now: MonotonicTime, out: &mut Vec<Command>) {
        let HeldRequest { call, request, arrived } = held;
        let mut steps = Vec::new();
        let key = request.key.clone();
        let claimed = !request.repeatable && request.forward().is_none();
        if claimed && self.shard(call.0).join(call, &key, now, &mut steps) {
            self.run_steps(steps, now, out);
            return;
        }
        let ending = lock(&self.refuse_from).is_some_and(|from| now >= from);
        if ending && request.forward().is_some() {
            let refusal = refusal(&key, RefusalReason::Draining, DRAIN_RETRY);
            self.refuse(call, key, None, refusal, now, out);
            return;
        }
        let basis = self.basis();
        let Some(declarations) = &basis.declarations else {
            let refusal = refusal(&key, RefusalReason::NotReady, READY_RETRY);
            let age = claimed.then_some(request.age);
            self.refuse(call, key, age, refusal, now, out);
            return;
        };
        let (forwarded, age) = (request.forward().is_some(), request.age);
        let repeatable = request.repeatable || forwarded;
        match self.admit(request, declarations, arrived, now) {
            Ok(plan) if !plan.claimed => self.enter(call, plan, now, &mut steps),
            Ok(plan) => self.start_claimed(call, plan, now, &mut steps),
            Err((refusal, repeatable_there)) => {
                let age = (!repeatable || !(repeatable_there || forwarded)).then_some(age);
                self.refuse(call, key, age, refusal, now, out);
            }
        }
        self.run_steps(steps, now, out);
    }

    /// Finds out what became of `key`, which its caller first sent `age` ago.
    pub(super) fn inquire(
        &self,
        call: CallId,
        key: RequestKey,
        age: Option<Duration>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let mut steps = Vec::new();
        if !self.shard(call.0).join(call, &key, now, &mut steps) {
            steps = self.begin_inquiry(call, key, None, age, now);
        }
        self.run_steps(steps, now, out);
    }

    /// Carries steps out until nothing but commands is left.
    pub(super) fn run_steps(
        &self,
        steps: Vec<ShardAction>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let mut queue = VecDeque::from(steps);
        while let Some(step) = queue.pop_front() {
            queue.extend(self.run_step(step, now, out));
        }
    }

    /// Gives upstreams that were found for attempts to their requests.
    pub(super) fn run_grants(
        &self,
        grants: Vec<SlotGrant>,
        now: MonotonicTime,
    ) -> Vec<ShardAction> {
        let mut steps = Vec::new();
        for grant in grants {
            self.shard(grant.request.call.0).granted(grant, now, &mut steps);
        }
        steps
    }

    /// Answers as a witness of `key`: claims it for `claimant`, or buries it.
    pub(super) fn witness(
        &self,
        key: &RequestKey,
        claimant: Option<&InstanceId>,
        witnesses: &WitnessSet,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> RegisterReply {
        let basis = self.basis();
        let own = WitnessSet::choose(key, basis.history.current());
        if basis.declarations.is_none()
            || !own.contains(&self.own.vm)
            || !own.agrees_with(witnesses)
        {
            out.push(Command::Count(CounterName::WitnessAbstentions));
            return RegisterReply::Abstains(DISAGREEMENT_RETRY);
        }
        if let Some(wait) = basis.history.abstention(&self.own.vm, key, now, basis.key_life) {
            out.push(Command::Count(CounterName::WitnessAbstentions));
            return RegisterReply::Abstains(wait);
        }
        let mut register = self.register(key);
        let reply = match claimant {
            Some(claimant) => register.claim(key, claimant, now, basis.key_life),
            None => register.bury(key, now, basis.key_life),
        };
        out.push(Command::Count(match &reply {
            RegisterReply::Holds(RegisterState::Claimed { .. }) => CounterName::WitnessClaims,
            RegisterReply::Holds(RegisterState::Buried) => CounterName::WitnessTombstones,
            RegisterReply::Abstains(_) => CounterName::WitnessAbstentions,
        }));
        reply
    }

    fn admit(
        &self,
        request: CallerRequest,
        declarations: &Arc<Declarations>,
        arrived: MonotonicTime,
        now: MonotonicTime,
    ) -> Result<RequestPlan, (Box<FinalOutcome>, bool)> {
        let key = request.key.clone();
        let mut plan =
            RequestPlan::make(request, declarations, arrived).map_err(|refusal| (refusal, true))?;
        let repeatable = plan.repeatable;
        if let Some(left) = self.quarantine_left(plan.digest, now) {
            return Err((refusal(&key, RefusalReason::Quarantined, left), repeatable));
        }
        // A request that can't end in time is refused before it takes anything from those that can.
        let needed = self.router().estimate(&plan.pipeline.plan, plan.level);
        if now + needed > plan.deadline {
            let retry = needed.saturating_sub(plan.request.deadline).max(LIMIT_RETRY);
            return Err((refusal(&key, RefusalReason::Overload, retry), repeatable));
        }
        let workspace = &plan.request.key.workspace;
        let admitted = lock(&self.gate).admit(declarations, workspace, &plan.labels);
        plan.permit =
            admitted.map_err(|reason| (refusal(&key, reason, LIMIT_RETRY), repeatable))?;
        Ok(plan)
    }

    fn start_claimed(
        &self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
    ) {
        let key = plan.request.key.clone();
        let mut shard = self.shard(call.0);
        // A request that its caller calls repeatable may reach a pipeline that is not.
        if plan.request.repeatable && shard.join(call, &key, now, steps) {
            steps.push(ShardAction::ReleasePermit(plan.permit));
            return;
        }
        if let Some(reason) = self.obstacle(&plan, &shard, now) {
            drop(shard);
            steps.push(ShardAction::ReleasePermit(plan.permit));
            let refusal = refusal(&key, reason, Duration::ZERO);
            let age_is_known =
                matches!(reason, RefusalReason::NeverRun | RefusalReason::RequestLimit);
            let age = (age_is_known && !self.is_suspicious(now)).then_some(plan.request.age);
            steps.extend(self.begin_inquiry(call, key, Some(refusal), age, now));
            return;
        }
        let witnesses = WitnessSet::choose(&key, self.basis().history.current());
        shard.start_claimed(call, plan, witnesses, now, steps);
    }

    /// Why a request that must not repeat can't be run here, if so.
    ///
    /// Guards against a request that is older than its witnesses remember: it has waited in a
    /// socket while this process was paused, or comes from a caller that has tried for long. Its
    /// key may have run, or been said never to run, and been forgotten since. A ticket proves by
    /// this process's own clock that it is not so old; without one, a long pause is noticed.
    fn obstacle(
        &self,
        plan: &RequestPlan,
        shard: &RequestShard,
        now: MonotonicTime,
    ) -> Option<RefusalReason> {
        let key = &plan.request.key;
        if shard.has_given_up(key) {
            return Some(RefusalReason::NeverRun);
        }
        if !shard.has_memory() {
            return Some(RefusalReason::RequestLimit);
        }
        if plan.deadline >= plan.provable_until {
            return Some(RefusalReason::KeyExpired);
        }
        match &plan.request.ticket {
            Some(ticket) => {
                let good = self.tickets.is_good(ticket, key, now, self.basis().ticket_life());
                (!good).then_some(RefusalReason::BadTicket)
            }
            None => self.is_suspicious(now).then_some(RefusalReason::KeyExpired),
        }
    }

    /// Refuses a request. Of one that must not be repeated, which has an `age`, "not run" is said
    /// only once its witnesses prove it: the same key may have run through another daemon.
    fn refuse(
        &self,
        call: CallId,
        key: RequestKey,
        age: Option<Duration>,
        refusal: Box<FinalOutcome>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if age.is_none() {
            out.push(Command::Reply { call, answer: FinalAnswer::from(*refusal) });
            return;
        }
        let age = age.filter(|_| !self.is_suspicious(now));
        let steps = self.begin_inquiry(call, key, Some(refusal), age, now);
        self.run_steps(steps, now, out);
    }

    /// Begins an inquiry about `key`, which is `age` old; without an age, it can't prove "not run".
    fn begin_inquiry(
        &self,
        call: CallId,
        key: RequestKey,
        refusal: Option<Box<FinalOutcome>>,
        age: Option<Duration>,
        now: MonotonicTime,
    ) -> Vec<ShardAction> {
        let basis = self.basis();
        let witnesses = WitnessSet::choose(&key, basis.history.current());
        // A daemon that has no configuration yet does not know how long the others remember keys.
        let known_life = basis.declarations.as_ref().map(|_| basis.key_life);
        let left =
            known_life.zip(age).map_or(Duration::ZERO, |(life, age)| life.saturating_sub(age));
        let inquiry = InquiryBasis { key_life: basis.key_life, provable_until: now + left };
        self.shard(call.0).inquire(call, key, witnesses, refusal, inquiry, now)
    }

    fn run_step(
        &self,
        step: ShardAction,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Vec<ShardAction> {
        let mut steps = Vec::new();
        match step {
            ShardAction::Command(command) => out.push(command),
            ShardAction::AcquireSlot(request) => {
                self.acquire(request, RefusalReason::NoUpstream, now, &mut steps);
            }
            ShardAction::AcquireRetrySlot { request, reason } => {
                if self.router().allow_retry(&request, now) {
                    out.push(Command::Count(CounterName::Retries));
                    self.acquire(request, reason, now, &mut steps);
                } else {
                    out.push(Command::Count(CounterName::RetriesDenied));
                    self.shard(request.call.0).denied(request.call, reason, now, &mut steps);
                }
            }
            ShardAction::CancelSlotRequest(request) => {
                lock(&self.held).withdraw(&request);
                self.router().withdraw(&request);
            }
            ShardAction::ReleaseSlot { upstream, call, report } => {
                let report = self.judge_time(report, now);
                steps = self.run_grants(self.router().release(&upstream, call, report, now), now);
            }
            ShardAction::RecordStreamStart { upstream, call } => {
                self.router().flowing(&upstream, call)
            }
            ShardAction::FreeResults { pool, results } => self.free_results(&pool, results, out),
            ShardAction::SubmitPieces { mut order, tried, target } => {
                if let Some(target) = target.filter(|_| order.zone.is_none()) {
                    // Results are made where they will be needed, if nothing speaks against it.
                    order.zone = self.router().engine_zone(&target, now).map(str::to_owned);
                }
                self.offer_pieces(*order, &tried, now, &mut steps, out);
            }
            ShardAction::CancelPieces { attempt, pool } => {
                lock(&self.dispatcher).withdraw(attempt, &pool);
                out.push(Command::CancelPieces(attempt));
            }
            ShardAction::CheckCrash { digest, upstream, address } => {
                self.suspect(digest, upstream, address, out);
            }
            ShardAction::RecordSuccess(digest) => self.note_success(digest, now, out),
            ShardAction::ReleasePermit(permit) => lock(&self.gate).release(&permit),
            ShardAction::WriteRegister(register) => {
                self.ask_witness(register, now, &mut steps, out)
            }
            ShardAction::RecordProcess { upstream, life, leaving: false } => {
                self.router().greet(&upstream, &life)
            }
            ShardAction::RecordProcess { upstream, life, leaving: true } => {
                let news = LeavingUpstream { upstream, life };
                lock(&self.fleet).view.take_leaving_upstream(&news, now);
                self.take_leaving(&[news], now, out);
            }
        }
        steps
    }

    /// A time that this process was paused in says nothing of an upstream.
    fn judge_time(&self, report: AttemptReport, now: MonotonicTime) -> AttemptReport {
        let AttemptReport::Answered(time) = report else { return report };
        let since = MonotonicTime::from_start(now.since_start().saturating_sub(time));
        if lock(&self.pauses).ran_since(since) { report } else { AttemptReport::Unmeasured }
    }

    fn ask_witness(
        &self,
        register: RegisterCall,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let RegisterCall { call, witness, key, witnesses, bury } = register;
        if witness != self.own.vm {
            out.push(Command::Register { call, witness, key, witnesses, bury });
            return;
        }
        let claimant = (!bury).then_some(&self.own);
        let reply = self.witness(&key, claimant, &witnesses, now, out);
        self.shard(call.0).register_replied(call, &witness, Some(reply), now, steps);
    }
}

fn refusal(key: &RequestKey, reason: RefusalReason, retry: Duration) -> Box<FinalOutcome> {
    Box::new(FinalOutcome::new(OutcomeKind::Refused, key).reason(reason).retry(retry, true))
}
