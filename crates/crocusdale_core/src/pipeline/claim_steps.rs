//! Requests that must run at most once. Their idempotency keys are claimed at witnesses, which are
//! daemons that store a register for each key. Their outcomes can be looked up later.

use std::time::Duration;

use super::request_shard::{ActiveRun, LookupRetention, reply, set_timer};
use super::{
    FinalAnswer, FinalOutcome, HolderReply, LookupStep, OutcomeKind, OutcomeLookup, RefusalReason,
    RegisterCall, RequestPlan, RequestRun, RequestShard, ShardAction,
};
use crate::claims::{ClaimVerdict, RegisterReply, WitnessPoll};
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{CallId, MonotonicTime, RequestKey};
use crate::membership::WitnessSet;

/// How long witnesses may take to answer a claim before the key is abandoned.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an outcome lookup may take before it answers with what is known.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which a lookup asks the claim holder of a running request for the outcome.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl RequestShard {
    /// Starts a request that must run at most once. Nothing is dispatched before its key is
    /// claimed.
    pub fn start_claimed(
        &mut self,
        call: CallId,
        plan: RequestPlan,
        witnesses: WitnessSet,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let key = plan.request.key.clone();
        actions.push(set_timer(TimerKey::Deadline(call), plan.deadline));
        actions.push(set_timer(TimerKey::ClaimTimeout(call), now + CLAIM_TIMEOUT));
        actions.extend(register_calls(call, &key, &witnesses, witnesses.vms().to_vec(), false));
        let poll = Some(WitnessPoll::new(self.own_instance.clone(), witnesses));
        let run = RequestRun::new(call, self.own_instance.process_hash(), plan);
        let waiting_calls = self.take_lookups(&key);
        self.key_table.mark_running(key, call);
        self.runs.insert(call, ActiveRun { run, poll, witnesses: None, waiting_calls });
    }

    /// Looks up the outcome of `key`, which this daemon will not run. `refusal` is the answer if
    /// the key never ran anywhere; `None` if the caller asked only for the outcome.
    ///
    /// The lookup writes a tombstone to each register of the key that is still empty, so that no
    /// daemon can claim the key later.
    pub fn start_lookup(
        &mut self,
        call: CallId,
        key: RequestKey,
        witnesses: WitnessSet,
        refusal: Option<Box<FinalOutcome>>,
        retention: LookupRetention,
        now: MonotonicTime,
    ) -> Vec<ShardAction> {
        let LookupRetention { key_life, remembered_until } = retention;
        let mut actions = register_calls(call, &key, &witnesses, witnesses.vms().to_vec(), true);
        let poll = WitnessPoll::new(self.own_instance.clone(), witnesses);
        let answer_by = now + LOOKUP_TIMEOUT;
        actions.push(set_timer(TimerKey::InquiryTimeout(call), answer_by));
        let lookup = OutcomeLookup {
            key,
            poll,
            answer_by,
            key_life,
            remembered_until,
            refusal,
            holder: None,
        };
        self.lookups.insert(call, lookup);
        self.advance_lookup(call, now, &mut actions);
        actions
    }

    /// Handles the reply of a witness to a write to its register; `None` if no reply came.
    pub fn handle_register_reply(
        &mut self,
        call: CallId,
        witness: &str,
        reply: Option<RegisterReply>,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(lookup) = self.lookups.get_mut(&call) {
            lookup.poll.record_reply(witness, reply);
            self.advance_lookup(call, now, actions);
            return;
        }
        let Some(poll) = self.runs.get_mut(&call).and_then(|active_run| active_run.poll.as_mut())
        else {
            return;
        };
        poll.record_reply(witness, reply);
        self.advance_claim(call, now, actions);
    }

    /// Handles the reply of the daemon that holds the claim of a key; `None` if it can't be
    /// reached.
    pub fn handle_holder_reply(
        &mut self,
        call: CallId,
        reply: Option<HolderReply>,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(lookup) = self.lookups.get_mut(&call) else { return };
        match lookup.handle_holder_reply(reply) {
            LookupStep::Answer(answer) => self.finish_lookup(call, answer, now, actions),
            LookupStep::Wait | LookupStep::AskHolder(_) => {
                actions.push(set_timer(TimerKey::HolderQuery(call), now + HOLDER_POLL_INTERVAL));
            }
        }
    }

    /// Starts the request once enough witnesses granted its claim, or abandons the key once they no
    /// longer can.
    pub(super) fn advance_claim(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(active_run) = self.runs.get_mut(&call) else { return };
        let Some(poll) = &active_run.poll else { return };
        match poll.claim_verdict() {
            ClaimVerdict::Pending => {}
            ClaimVerdict::Granted => {
                active_run.witnesses = Some(poll.witnesses().clone());
                active_run.poll = None;
                let final_answer = active_run.run.start_first_steps(now, actions);
                self.finish_if_ended(call, final_answer, now, actions);
            }
            ClaimVerdict::Impossible => self.abandon_claim(call, now, actions),
        }
    }

    /// Abandons a key that can't be claimed.
    ///
    /// This process incarnation never runs the key from here on, so its own claims count as
    /// tombstones. It writes tombstones to the registers whose content is not known, to prove that
    /// no daemon will run the key.
    pub(super) fn abandon_claim(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(active_run) = self.runs.remove(&call) else { return };
        let Some(mut poll) = active_run.poll else { return };
        let key = active_run.run.plan().request.key.clone();
        let key_life = active_run.run.plan().declarations.deployment().key_life;
        let remembered_until = active_run.run.plan().remembered_until;
        self.key_table.mark_ended(key.clone(), None, key_life, now);
        actions.push(ShardAction::ReleasePermit(active_run.run.plan().permit.clone()));
        actions.push(ShardAction::Command(Command::Count(CounterName::ClaimsRefused)));
        let unknown_witnesses = poll.reopen_unknown();
        let witnesses = poll.witnesses().clone();
        let refusal =
            FinalOutcome::new(OutcomeKind::Refused, &key).with_reason(RefusalReason::NotClaimed);
        let refusal = Box::new(
            refusal.with_detail("the key could not be claimed").with_retry(Duration::ZERO, false),
        );
        let answer_by = now + LOOKUP_TIMEOUT;
        for call in active_run.waiting_calls.into_iter().chain([call]) {
            actions.push(set_timer(TimerKey::InquiryTimeout(call), answer_by));
            actions.extend(register_calls(call, &key, &witnesses, unknown_witnesses.clone(), true));
            let (poll, refusal) = (poll.clone(), Some(refusal.clone()));
            let lookup = OutcomeLookup {
                key: key.clone(),
                poll,
                answer_by,
                key_life,
                remembered_until,
                refusal,
                holder: None,
            };
            self.lookups.insert(call, lookup);
            self.advance_lookup(call, now, actions);
        }
    }

    pub(super) fn advance_lookup(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(lookup) = self.lookups.get_mut(&call) else { return };
        match lookup.next_step(now) {
            LookupStep::Wait => {}
            LookupStep::AskHolder(holder) => {
                let key = lookup.key.clone();
                actions.push(ShardAction::Command(Command::AskHolder { call, key, holder }));
            }
            LookupStep::Answer(answer) => self.finish_lookup(call, answer, now, actions),
        }
    }

    pub(super) fn finish_lookup(
        &mut self,
        call: CallId,
        answer: FinalAnswer,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(lookup) = self.lookups.remove(&call) {
            // The refusal may count claims of this process incarnation as proof that the key never
            // ran, so the key must never be claimed here again.
            if answer.kind == OutcomeKind::Refused {
                self.key_table.mark_ended(lookup.key, None, lookup.key_life, now);
            }
            actions.push(reply(call, answer));
        }
    }

    /// Removes the lookups of `key` and returns their calls, which then receive the outcome of the
    /// new run.
    ///
    /// Guards against a lookup that reads the claims of a run of this same process incarnation. The
    /// lookup would take them for claims of a request that never runs, and answer "not run" while
    /// the request is running.
    pub(super) fn take_lookups(&mut self, key: &RequestKey) -> Vec<CallId> {
        let matching = self.lookups.iter().filter(|(_, lookup)| lookup.key == *key);
        let calls: Vec<CallId> = matching.map(|(call, _)| *call).collect();
        for call in &calls {
            self.lookups.remove(call);
        }
        calls
    }
}

fn register_calls(
    call: CallId,
    key: &RequestKey,
    witnesses: &WitnessSet,
    recipients: Vec<String>,
    writes_tombstone: bool,
) -> Vec<ShardAction> {
    let to_action = |witness| {
        let (key, witnesses) = (key.clone(), witnesses.clone());
        ShardAction::WriteRegister(RegisterCall { call, witness, key, witnesses, writes_tombstone })
    };
    recipients.into_iter().map(to_action).collect()
}
