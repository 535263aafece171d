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
    CallerRequest, FinalAnswer, FinalOutcome, LookupRetention, OutcomeKind, RefusalReason,
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
    /// Starts, queues or refuses a caller's request. Its deadline counts from its arrival, not from
    /// `now`.
    pub(super) fn submit(
        &self,
        held_request: HeldRequest,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let HeldRequest { call, request, arrived_at } = held_request;
        let mut actions = Vec::new();
        let key = request.key.clone();
        let needs_claim = !request.repeatable && request.forward_head().is_none();
        if needs_claim && self.shard(call.0).join_run(call, &key, now, &mut actions) {
            self.run_actions(actions, now, out);
            return;
        }
        let is_about_to_exit = lock(&self.refuse_requests_from).is_some_and(|from| now >= from);
        if is_about_to_exit && request.forward_head().is_some() {
            let refusal = refusal(&key, RefusalReason::Draining, DRAINING_RETRY_AFTER);
            self.refuse(call, key, None, refusal, now, out);
            return;
        }
        let snapshot = self.fleet_snapshot();
        let Some(declarations) = &snapshot.declarations else {
            let refusal = refusal(&key, RefusalReason::NotReady, NOT_READY_RETRY_AFTER);
            let age = needs_claim.then_some(request.age);
            self.refuse(call, key, age, refusal, now, out);
            return;
        };
        let (is_forwarded, age) = (request.forward_head().is_some(), request.age);
        let is_repeatable = request.repeatable || is_forwarded;
        match self.admit(request, declarations, arrived_at, now) {
            Ok(plan) if !plan.needs_claim => self.start_or_resume(call, plan, now, &mut actions),
            Ok(plan) => self.start_claimed(call, plan, now, &mut actions),
            Err((refusal, is_pipeline_repeatable)) => {
                let age =
                    (!is_repeatable || !(is_pipeline_repeatable || is_forwarded)).then_some(age);
                self.refuse(call, key, age, refusal, now, out);
            }
        }
        self.run_actions(actions, now, out);
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
        let mut actions = Vec::new();
        if !self.shard(call.0).join_run(call, &key, now, &mut actions) {
            actions = self.start_inquiry(call, key, None, age, now);
        }
        self.run_actions(actions, now, out);
    }

    /// Carries out `actions`, and all actions that result from them, until only commands are left.
    pub(super) fn run_actions(
        &self,
        actions: Vec<ShardAction>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            queue.extend(self.run_action(action, now, out));
        }
    }

    /// Assigns the granted upstream slots to the requests that were queued for them.
    pub(super) fn assign_granted_slots(
        &self,
        grants: Vec<SlotGrant>,
        now: MonotonicTime,
    ) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        for grant in grants {
            self.shard(grant.request.call.0).handle_grant(grant, now, &mut actions);
        }
        actions
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
        let snapshot = self.fleet_snapshot();
        let own_witnesses = WitnessSet::choose(key, snapshot.history.current());
        if snapshot.declarations.is_none()
            || !own_witnesses.contains(&self.own_instance.vm)
            || !own_witnesses.shares_quorum_with(witnesses)
        {
            out.push(Command::Count(CounterName::WitnessAbstentions));
            return RegisterReply::Abstains(WITNESS_MISMATCH_RETRY_AFTER);
        }
        if let Some(abstention) = snapshot.history.remaining_abstention(
            &self.own_instance.vm,
            key,
            now,
            snapshot.key_life,
        ) {
            out.push(Command::Count(CounterName::WitnessAbstentions));
            return RegisterReply::Abstains(abstention);
        }
        let mut register = self.register_shard(key);
        let reply = match claimant {
            Some(claimant) => register.claim(key, claimant, now, snapshot.key_life),
            None => register.write_tombstone(key, now, snapshot.key_life),
        };
        out.push(Command::Count(match &reply {
            RegisterReply::Holds(RegisterState::Claimed { .. }) => CounterName::WitnessClaims,
            RegisterReply::Holds(RegisterState::Tombstone) => CounterName::WitnessTombstones,
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
        arrived_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Result<RequestPlan, (Box<FinalOutcome>, bool)> {
        let key = request.key.clone();
        let mut plan = RequestPlan::build(request, declarations, arrived_at)
            .map_err(|refusal| (refusal, true))?;
        if self.is_coordinated() {
            plan.apply_scheduling(&self.coordination.settings);
        }
        let is_repeatable = plan.repeatable;
        let parts = plan.crash_parts();
        if let Some(quarantine) = self.remaining_quarantine(plan.digest, &parts, now) {
            return Err((refusal(&key, RefusalReason::Quarantined, quarantine), is_repeatable));
        }
        // Load shedding: a request that can't meet its deadline is refused before it uses any
        // capacity of requests that can.
        let estimated_time = self.router().estimate(&plan.pipeline.plan, plan.level);
        if now + estimated_time > plan.deadline {
            let retry_after =
                estimated_time.saturating_sub(plan.request.deadline).max(LIMIT_RETRY_AFTER);
            return Err((refusal(&key, RefusalReason::Overload, retry_after), is_repeatable));
        }
        let workspace = &plan.request.key.workspace;
        let admission = lock(&self.admission_gate).admit(declarations, workspace, &plan.labels);
        plan.permit = admission
            .map_err(|reason| (refusal(&key, reason, LIMIT_RETRY_AFTER), is_repeatable))?;
        Ok(plan)
    }

    /// Claims the key of a non-repeatable request and then runs it, or starts an inquiry about a
    /// key that must not be claimed.
    fn start_claimed(
        &self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let key = plan.request.key.clone();
        let mut shard = self.shard(call.0);
        // A request that its caller marks as repeatable may match a pipeline that is not.
        if plan.request.repeatable && shard.join_run(call, &key, now, actions) {
            actions.push(ShardAction::ReleasePermit(plan.permit));
            return;
        }
        if let Some(reason) = self.claim_rejection(&plan, &shard, now) {
            drop(shard);
            actions.push(ShardAction::ReleasePermit(plan.permit));
            let refusal = refusal(&key, reason, Duration::ZERO);
            let is_age_proven =
                matches!(reason, RefusalReason::NeverRun | RefusalReason::RequestLimit);
            let age =
                (is_age_proven && !self.is_request_age_unknown(now)).then_some(plan.request.age);
            actions.extend(self.start_inquiry(call, key, Some(refusal), age, now));
            return;
        }
        let witnesses = WitnessSet::choose(&key, self.fleet_snapshot().history.current());
        shard.start_claimed(call, plan, witnesses, now, actions);
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
        if shard.has_abandoned(key) {
            return Some(RefusalReason::NeverRun);
        }
        if !shard.has_key_capacity() {
            return Some(RefusalReason::RequestLimit);
        }
        if plan.deadline >= plan.remembered_until {
            return Some(RefusalReason::KeyExpired);
        }
        match &plan.request.ticket {
            Some(ticket) => {
                let is_good = self.ticket_issuer.is_valid(
                    ticket,
                    key,
                    now,
                    self.fleet_snapshot().ticket_life(),
                );
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
        let actions = self.start_inquiry(call, key, Some(refusal), age, now);
        self.run_actions(actions, now, out);
    }

    /// Starts an inquiry about `key`, which its caller first sent `age` ago. If `age` is `None`,
    /// the inquiry can't prove that the request did not run.
    fn start_inquiry(
        &self,
        call: CallId,
        key: RequestKey,
        refusal: Option<Box<FinalOutcome>>,
        age: Option<Duration>,
        now: MonotonicTime,
    ) -> Vec<ShardAction> {
        let snapshot = self.fleet_snapshot();
        let witnesses = WitnessSet::choose(&key, snapshot.history.current());
        // A daemon without a configuration does not know the retention time of keys at its peers.
        let known_key_life = snapshot.declarations.as_ref().map(|_| snapshot.key_life);
        let provable_time = known_key_life
            .zip(age)
            .map_or(Duration::ZERO, |(key_life, age)| key_life.saturating_sub(age));
        let inquiry =
            LookupRetention { key_life: snapshot.key_life, remembered_until: now + provable_time };
        self.shard(call.0).start_lookup(call, key, witnesses, refusal, inquiry, now)
    }

    /// Carries out one action of a request shard and returns the actions that result from it.
    fn run_action(
        &self,
        action: ShardAction,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        match action {
            ShardAction::Command(command) => out.push(command),
            ShardAction::AcquireSlot(request) => {
                self.acquire_placed(request, RefusalReason::NoUpstream, now, &mut actions, out);
            }
            ShardAction::AcquireRetrySlot { request, reason } => {
                if self.router().take_retry(&request, now) {
                    out.push(Command::Count(CounterName::Retries));
                    self.acquire_placed(request, reason, now, &mut actions, out);
                } else {
                    out.push(Command::Count(CounterName::RetriesDenied));
                    self.shard(request.call.0).handle_refusal(
                        request.call,
                        reason,
                        now,
                        &mut actions,
                    );
                }
            }
            ShardAction::CancelSlotRequest(request) => {
                lock(&self.held_work).remove_attempts(&request);
                self.placements.cancel_pending(&request);
                self.router().remove_waiting(&request);
            }
            ShardAction::ReleaseSlot { upstream, call, report } => {
                let report = self.exclude_paused_time(report, now);
                let report = self.exclude_link_failure(report, &upstream);
                self.report_placement_end(call, &upstream, report, now, out);
                actions = self
                    .assign_granted_slots(self.router().release(&upstream, call, report, now), now);
            }
            ShardAction::RecordStreamStart { upstream, call } => {
                self.router().record_first_event(&upstream, call);
                self.report_first_event(call, &upstream, now, out);
            }
            ShardAction::RecordStreamOrigin(record) => self.record_stream(&record, now, out),
            ShardAction::FreeResults { pool, results } => self.free_results(&pool, results, out),
            ShardAction::SubmitPieces { mut order, tried, target } => {
                if let Some(target) = target.filter(|_| order.zone.is_none()) {
                    // Data locality: the batched step prefers the availability zone of the engine
                    // that will consume its results.
                    order.zone = self.router().engine_zone(&target, now).map(str::to_owned);
                }
                self.send_to_dispatcher(*order, &tried, now, &mut actions, out);
            }
            ShardAction::CancelPieces { attempt, pool } => {
                lock(&self.dispatcher).cancel_attempt(attempt, &pool);
                out.push(Command::CancelPieces(attempt));
            }
            ShardAction::CheckCrash { digest, parts, upstream, address } => {
                let subjects = (digest, parts.as_slice());
                self.probe_suspected_upstream(subjects, upstream, address, now, out);
            }
            ShardAction::RecordSuccess { digest, parts } => {
                self.clear_crash_suspicion(digest, &parts, now, out);
            }
            ShardAction::ReleasePermit(permit) => lock(&self.admission_gate).release(&permit),
            ShardAction::WriteRegister(register) => {
                self.ask_witness(register, now, &mut actions, out)
            }
            ShardAction::RecordProcess { upstream, process: life, is_leaving: false } => {
                self.router().confirm_running(&upstream, &life)
            }
            ShardAction::RecordProcess { upstream, process: life, is_leaving: true } => {
                let news = LeavingUpstream { upstream, process: life };
                lock(&self.fleet).view.add_leaving_upstream(&news, now);
                self.mark_leaving(&[news], now, out);
            }
        }
        actions
    }

    /// Replaces an answer time that includes a pause of this process, which would count against the
    /// upstream, by an unmeasured one.
    fn exclude_paused_time(&self, report: AttemptReport, now: MonotonicTime) -> AttemptReport {
        let AttemptReport::Answered(answer_time) = report else { return report };
        let sent_at = MonotonicTime::from_start(now.since_start().saturating_sub(answer_time));
        if lock(&self.pause_detector).has_run_since(sent_at) {
            report
        } else {
            AttemptReport::Unmeasured
        }
    }

    /// Asks one witness for its vote, without a network call if the witness is this daemon.
    fn ask_witness(
        &self,
        register: RegisterCall,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let RegisterCall { call, witness, key, witnesses, writes_tombstone: bury } = register;
        if witness != self.own_instance.vm {
            out.push(Command::AskWitness { call, witness, key, witnesses, is_tombstone: bury });
            return;
        }
        let claimant = (!bury).then_some(&self.own_instance);
        let reply = self.witness(&key, claimant, &witnesses, now, out);
        self.shard(call.0).handle_register_reply(call, &witness, Some(reply), now, actions);
    }
}

/// Refused outcome for `key`, which its caller may retry after `retry_after`.
fn refusal(key: &RequestKey, reason: RefusalReason, retry_after: Duration) -> Box<FinalOutcome> {
    Box::new(
        FinalOutcome::new(OutcomeKind::Refused, key)
            .with_reason(reason)
            .with_retry(retry_after, true),
    )
}
