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

/// `Retry-After` of requests refused because a limit is reached.
const LIMIT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// `Retry-After` of requests refused because the daemon is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// `Retry-After` of requests refused because the daemon is about to exit. It is short, because
/// another daemon can serve the retry.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after which a witness may be asked again if it computes other witnesses for the key than
/// the asking daemon.
const WITNESS_MISMATCH_RETRY_AFTER: Duration = Duration::from_millis(1_000);

impl CoreState {
    /// Starts, queues or refuses a request. Its deadline counts from its arrival, not from `now`.
    pub(super) fn submit(&self, held: HeldRequest, now: MonotonicTime, out: &mut Vec<Command>) {
        let HeldRequest { call, request, arrived } = held;
        let mut steps = Vec::new();
        let key = request.key.clone();
        let claimed = !request.repeatable && request.forward().is_none();
        if claimed && self.shard(call.0).join(call, &key, now, &mut steps) {
            self.run_steps(steps, now, out);
            return;
        }
        let is_about_to_exit = lock(&self.refuse_requests_from).is_some_and(|from| now >= from);
        if is_about_to_exit && request.forward().is_some() {
            let refusal = refusal(&key, RefusalReason::Draining, DRAINING_RETRY_AFTER);
            self.refuse(call, key, None, refusal, now, out);
            return;
        }
        let basis = self.basis();
        let Some(declarations) = &basis.declarations else {
            let refusal = refusal(&key, RefusalReason::NotReady, NOT_READY_RETRY_AFTER);
            let age = claimed.then_some(request.age);
            self.refuse(call, key, age, refusal, now, out);
            return;
        };
        let (forwarded, age) = (request.forward().is_some(), request.age);
        let repeatable = request.repeatable || forwarded;
        match self.admit(request, declarations, arrived, now) {
            Ok(plan) if !plan.claimed => self.start_or_queue(call, plan, now, &mut steps),
            Ok(plan) => self.start_claimed(call, plan, now, &mut steps),
            Err((refusal, is_pipeline_repeatable)) => {
                let age = (!repeatable || !(is_pipeline_repeatable || forwarded)).then_some(age);
                self.refuse(call, key, age, refusal, now, out);
            }
        }
        self.run_steps(steps, now, out);
    }

    /// Resolves the outcome of the request `key`, which its caller first sent `age` ago.
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

    /// Runs `steps`, and all steps that result from them, until only commands are left.
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

    /// Assigns the granted upstream slots to the requests that were queued for them.
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

    /// Votes as a witness of `key`: stores a claim of `claimant`, or a tombstone for `None`.
    pub(super) fn witness(
        &self,
        key: &RequestKey,
        claimant: Option<&InstanceId>,
        witnesses: &WitnessSet,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> RegisterReply {
        let basis = self.basis();
        let own_witnesses = WitnessSet::choose(key, basis.history.current());
        if basis.declarations.is_none()
            || !own_witnesses.contains(&self.own_instance.vm)
            || !own_witnesses.shares_quorum_with(witnesses)
        {
            out.push(Command::Count(CounterName::WitnessAbstentions));
            return RegisterReply::Abstains(WITNESS_MISMATCH_RETRY_AFTER);
        }
        if let Some(abstention) =
            basis.history.remaining_abstention(&self.own_instance.vm, key, now, basis.key_life)
        {
            out.push(Command::Count(CounterName::WitnessAbstentions));
            return RegisterReply::Abstains(abstention);
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

    /// Plans a request and admits it. The error holds the refusal, and whether the request's
    /// pipeline allows repeated runs.
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
        if let Some(quarantine) = self.quarantine_left(plan.digest, now) {
            return Err((refusal(&key, RefusalReason::Quarantined, quarantine), repeatable));
        }
        // Load shedding: a request that can't meet its deadline is refused before it uses any
        // capacity of requests that can.
        let estimated_time = self.router().estimate(&plan.pipeline.plan, plan.level);
        if now + estimated_time > plan.deadline {
            let retry_after =
                estimated_time.saturating_sub(plan.request.deadline).max(LIMIT_RETRY_AFTER);
            return Err((refusal(&key, RefusalReason::Overload, retry_after), repeatable));
        }
        let workspace = &plan.request.key.workspace;
        let admission = lock(&self.admission_gate).admit(declarations, workspace, &plan.labels);
        plan.permit =
            admission.map_err(|reason| (refusal(&key, reason, LIMIT_RETRY_AFTER), repeatable))?;
        Ok(plan)
    }

    /// Claims the key of a non-repeatable request and then runs it, or starts an inquiry about a
    /// key that must not be claimed.
    fn start_claimed(
        &self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
    ) {
        let key = plan.request.key.clone();
        let mut shard = self.shard(call.0);
        // A request that its caller marks as repeatable may match a pipeline that is not.
        if plan.request.repeatable && shard.join(call, &key, now, steps) {
            steps.push(ShardAction::ReleasePermit(plan.permit));
            return;
        }
        if let Some(reason) = self.claim_rejection(&plan, &shard, now) {
            drop(shard);
            steps.push(ShardAction::ReleasePermit(plan.permit));
            let refusal = refusal(&key, reason, Duration::ZERO);
            let is_age_proven =
                matches!(reason, RefusalReason::NeverRun | RefusalReason::RequestLimit);
            let age =
                (is_age_proven && !self.is_request_age_unknown(now)).then_some(plan.request.age);
            steps.extend(self.begin_inquiry(call, key, Some(refusal), age, now));
            return;
        }
        let witnesses = WitnessSet::choose(&key, self.basis().history.current());
        shard.start_claimed(call, plan, witnesses, now, steps);
    }

    /// Reason why this daemon must not claim the key of a non-repeatable request, or `None` if it
    /// may.
    ///
    /// Guards against a request that is older than the retention time of keys at its witnesses.
    /// Such a request spent a pause of this process in a socket buffer, or its caller has retried
    /// for long. Its key may have run, or been reported as never run, and been forgotten since. A
    /// ticket proves by this process's own clock that the request is young enough. Without a
    /// ticket, the daemon relies on detecting its long pauses.
    fn claim_rejection(
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
                let is_good =
                    self.ticket_issuer.is_good(ticket, key, now, self.basis().ticket_life());
                (!is_good).then_some(RefusalReason::BadTicket)
            }
            None => self.is_request_age_unknown(now).then_some(RefusalReason::KeyExpired),
        }
    }

    /// Refuses a request. A non-repeatable request has an `age` and is reported as not run only
    /// after its witnesses prove that, because another daemon may have run the same key.
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
        let age = age.filter(|_| !self.is_request_age_unknown(now));
        let steps = self.begin_inquiry(call, key, Some(refusal), age, now);
        self.run_steps(steps, now, out);
    }

    /// Starts an inquiry about `key`, which its caller first sent `age` ago. If `age` is `None`,
    /// the inquiry can't prove that the request did not run.
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
        // A daemon without a configuration does not know the retention time of keys at its peers.
        let known_key_life = basis.declarations.as_ref().map(|_| basis.key_life);
        let provable_time = known_key_life
            .zip(age)
            .map_or(Duration::ZERO, |(key_life, age)| key_life.saturating_sub(age));
        let inquiry =
            InquiryBasis { key_life: basis.key_life, provable_until: now + provable_time };
        self.shard(call.0).inquire(call, key, witnesses, refusal, inquiry, now)
    }

    /// Runs one step of a request shard and returns the steps that result from it.
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
                let report = self.exclude_paused_time(report, now);
                steps = self.run_grants(self.router().release(&upstream, call, report, now), now);
            }
            ShardAction::RecordStreamStart { upstream, call } => {
                self.router().record_first_event(&upstream, call)
            }
            ShardAction::FreeResults { pool, results } => self.free_results(&pool, results, out),
            ShardAction::SubmitPieces { mut order, tried, target } => {
                if let Some(target) = target.filter(|_| order.zone.is_none()) {
                    // Data locality: the batched step prefers the availability zone of the engine
                    // that will consume its results.
                    order.zone = self.router().engine_zone(&target, now).map(str::to_owned);
                }
                self.offer_pieces(*order, &tried, now, &mut steps, out);
            }
            ShardAction::CancelPieces { attempt, pool } => {
                lock(&self.dispatcher).withdraw(attempt, &pool);
                out.push(Command::CancelPieces(attempt));
            }
            ShardAction::CheckCrash { digest, upstream, address } => {
                self.probe_suspected_upstream(digest, upstream, address, out);
            }
            ShardAction::RecordSuccess(digest) => self.clear_crash_suspicion(digest, now, out),
            ShardAction::ReleasePermit(permit) => lock(&self.admission_gate).release(&permit),
            ShardAction::WriteRegister(register) => {
                self.ask_witness(register, now, &mut steps, out)
            }
            ShardAction::RecordProcess { upstream, life, leaving: false } => {
                self.router().greet(&upstream, &life)
            }
            ShardAction::RecordProcess { upstream, life, leaving: true } => {
                let news = LeavingUpstream { upstream, process: life };
                lock(&self.fleet).view.add_leaving_upstream(&news, now);
                self.take_leaving(&[news], now, out);
            }
        }
        steps
    }

    /// Replaces an answer time that includes a pause of this process, which would count against the
    /// upstream, by an unmeasured one.
    fn exclude_paused_time(&self, report: AttemptReport, now: MonotonicTime) -> AttemptReport {
        let AttemptReport::Answered(answer_time) = report else { return report };
        let sent_at = MonotonicTime::from_start(now.since_start().saturating_sub(answer_time));
        if lock(&self.pause_watch).ran_since(sent_at) { report } else { AttemptReport::Unmeasured }
    }

    /// Asks one witness for its vote, without a network call if the witness is this daemon.
    fn ask_witness(
        &self,
        register: RegisterCall,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let RegisterCall { call, witness, key, witnesses, bury } = register;
        if witness != self.own_instance.vm {
            out.push(Command::Register { call, witness, key, witnesses, bury });
            return;
        }
        let claimant = (!bury).then_some(&self.own_instance);
        let reply = self.witness(&key, claimant, &witnesses, now, out);
        self.shard(call.0).register_replied(call, &witness, Some(reply), now, steps);
    }
}

/// Refused outcome for `key`, which its caller may retry after `retry_after`.
fn refusal(key: &RequestKey, reason: RefusalReason, retry_after: Duration) -> Box<FinalOutcome> {
    Box::new(FinalOutcome::new(OutcomeKind::Refused, key).reason(reason).retry(retry_after, true))
}
