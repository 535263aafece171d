//! Requests that must run at most once: their keys are claimed at witnesses, and their outcomes can
//! be looked up later.

use std::time::Duration;

use super::request_shard::{ActiveRun, InquiryBasis, reply, set_timer};
use super::{
    FinalAnswer, FinalOutcome, HolderReply, InquiryStep, KeyInquiry, OutcomeKind, RefusalReason,
    RegisterCall, RequestPlan, RequestRun, RequestShard, ShardStep,
};
use crate::claims::{ClaimVerdict, RegisterReply, WitnessPoll};
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{CallId, MonotonicTime, RequestKey};
use crate::membership::WitnessSet;

/// How long witnesses may take to answer a claim before the key is abandoned.
const CLAIM_PATIENCE: Duration = Duration::from_millis(400);
/// How long an outcome lookup may take before it answers with what is known.
const INQUIRY_PATIENCE: Duration = Duration::from_millis(1_500);
/// Interval at which a lookup asks the claim holder of a running request for the outcome.
const HOLDER_PACE: Duration = Duration::from_millis(50);

impl RequestShard {
    /// Starts a request that must run at most once. Nothing is dispatched before its key is
    /// claimed.
    pub fn start_claimed(
        &mut self,
        call: CallId,
        plan: RequestPlan,
        witnesses: WitnessSet,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        let key = plan.request.key.clone();
        actions.push(set_timer(TimerKey::Deadline(call), plan.deadline));
        actions.push(set_timer(TimerKey::Claim(call), now + CLAIM_PATIENCE));
        actions.extend(register_calls(call, &key, &witnesses, witnesses.vms().to_vec(), false));
        let poll = Some(WitnessPoll::new(self.own.clone(), witnesses));
        let run = RequestRun::new(call, self.own.mark(), plan);
        let followers = self.take_inquiries(&key);
        self.keys.begin(key, call);
        self.runs.insert(call, ActiveRun { run, poll, witnesses: None, followers });
    }

    /// Looks up the outcome of `key`, which this daemon will not run. `refusal` is the answer if
    /// the key never ran anywhere; `None` if the caller asked only for the outcome.
    pub fn inquire(
        &mut self,
        call: CallId,
        key: RequestKey,
        witnesses: WitnessSet,
        refusal: Option<Box<FinalOutcome>>,
        basis: InquiryBasis,
        now: MonotonicTime,
    ) -> Vec<ShardStep> {
        let InquiryBasis { key_life, provable_until } = basis;
        let mut actions = register_calls(call, &key, &witnesses, witnesses.vms().to_vec(), true);
        let poll = WitnessPoll::new(self.own.clone(), witnesses);
        let until = now + INQUIRY_PATIENCE;
        actions.push(set_timer(TimerKey::Inquiry(call), until));
        let inquiry =
            KeyInquiry { key, poll, until, key_life, provable_until, refusal, holder: None };
        self.inquiries.insert(call, inquiry);
        self.inquiry_step(call, now, &mut actions);
        actions
    }

    /// Handles the reply of a witness; `None` if no reply came.
    pub fn register_replied(
        &mut self,
        call: CallId,
        witness: &str,
        reply: Option<RegisterReply>,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        if let Some(inquiry) = self.inquiries.get_mut(&call) {
            inquiry.poll.take(witness, reply);
            self.inquiry_step(call, now, actions);
            return;
        }
        let Some(poll) = self.runs.get_mut(&call).and_then(|active| active.poll.as_mut()) else {
            return;
        };
        poll.take(witness, reply);
        self.claim_step(call, now, actions);
    }

    /// Handles the reply of the daemon that holds the claim of a key; `None` if it can't be
    /// reached.
    pub fn holder_replied(
        &mut self,
        call: CallId,
        reply: Option<HolderReply>,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        let Some(inquiry) = self.inquiries.get_mut(&call) else { return };
        match inquiry.take_holder(reply) {
            InquiryStep::Answer(answer) => self.finish_inquiry(call, answer, now, actions),
            InquiryStep::Wait | InquiryStep::AskHolder(_) => {
                actions.push(set_timer(TimerKey::Holder(call), now + HOLDER_PACE));
            }
        }
    }

    pub(super) fn claim_step(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        let Some(active) = self.runs.get_mut(&call) else { return };
        let Some(poll) = &active.poll else { return };
        match poll.claim_verdict() {
            ClaimVerdict::Pending => {}
            ClaimVerdict::Granted => {
                active.witnesses = Some(poll.witnesses().clone());
                active.poll = None;
                active.run.begin(now, actions);
            }
            ClaimVerdict::Impossible => self.give_up_claim(call, now, actions),
        }
    }

    /// Abandons a key that can't be claimed.
    ///
    /// This process incarnation never runs the key from here on, so its own claims count as
    /// tombstones. It writes tombstones to the other registers to prove that no daemon will run the
    /// key.
    pub(super) fn give_up_claim(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        let Some(active) = self.runs.remove(&call) else { return };
        let Some(mut poll) = active.poll else { return };
        let key = active.run.plan().request.key.clone();
        let key_life = active.run.plan().declarations.deployment().key_life;
        let provable_until = active.run.plan().provable_until;
        self.keys.end(key.clone(), None, key_life, now);
        actions.push(ShardStep::GiveBack(active.run.plan().permit.clone()));
        actions.push(ShardStep::Command(Command::Count(CounterName::ClaimsRefused)));
        let asked = poll.ask_again();
        let witnesses = poll.witnesses().clone();
        let refusal =
            FinalOutcome::new(OutcomeKind::Refused, &key).reason(RefusalReason::NotClaimed);
        let refusal =
            Box::new(refusal.detail("the key could not be claimed").retry(Duration::ZERO, false));
        let until = now + INQUIRY_PATIENCE;
        for call in active.followers.into_iter().chain([call]) {
            actions.push(set_timer(TimerKey::Inquiry(call), until));
            actions.extend(register_calls(call, &key, &witnesses, asked.clone(), true));
            let (poll, refusal) = (poll.clone(), Some(refusal.clone()));
            let inquiry = KeyInquiry {
                key: key.clone(),
                poll,
                until,
                key_life,
                provable_until,
                refusal,
                holder: None,
            };
            self.inquiries.insert(call, inquiry);
            self.inquiry_step(call, now, actions);
        }
    }

    pub(super) fn inquiry_step(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        let Some(inquiry) = self.inquiries.get_mut(&call) else { return };
        match inquiry.next_step(now) {
            InquiryStep::Wait => {}
            InquiryStep::AskHolder(holder) => {
                let key = inquiry.key.clone();
                actions.push(ShardStep::Command(Command::AskHolder { call, key, holder }));
            }
            InquiryStep::Answer(answer) => self.finish_inquiry(call, answer, now, actions),
        }
    }

    pub(super) fn finish_inquiry(
        &mut self,
        call: CallId,
        answer: FinalAnswer,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        if let Some(inquiry) = self.inquiries.remove(&call) {
            // The refusal may count claims of this process incarnation as proof that the key never
            // ran, so the key must never be claimed here again.
            if answer.kind == OutcomeKind::Refused {
                self.keys.end(inquiry.key, None, inquiry.key_life, now);
            }
            actions.push(reply(call, answer));
        }
    }

    /// Removes the lookups of `key` and returns their calls, which then receive the outcome of the
    /// new run.
    ///
    /// Guards against a lookup that reads the claims of a run of this same process incarnation. The
    /// lookup would count them as claims that never run, and answer "not run" while the request is
    /// running.
    pub(super) fn take_inquiries(&mut self, key: &RequestKey) -> Vec<CallId> {
        let about = self.inquiries.iter().filter(|(_, inquiry)| inquiry.key == *key);
        let calls: Vec<CallId> = about.map(|(call, _)| *call).collect();
        for call in &calls {
            self.inquiries.remove(call);
        }
        calls
    }
}

fn register_calls(
    call: CallId,
    key: &RequestKey,
    witnesses: &WitnessSet,
    asked: Vec<String>,
    bury: bool,
) -> Vec<ShardStep> {
    let to_step = |witness| {
        let (key, witnesses) = (key.clone(), witnesses.clone());
        ShardStep::Register(RegisterCall { call, witness, key, witnesses, bury })
    };
    asked.into_iter().map(to_step).collect()
}
