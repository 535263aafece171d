use std::collections::HashMap;
use std::time::Duration;

use super::key_memory::{KeyMemory, KeyUse};
use super::{
    AttemptEvent, FinalAnswer, FinalOutcome, HolderReply, InquiryStep, KeyInquiry, OutcomeKind,
    RefusalReason, RegisterCall, RequestPlan, RequestRun, ShardStep,
};
use crate::claims::{ClaimVerdict, RegisterReply, WitnessPoll};
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{AttemptId, CallId, InstanceId, MonotonicTime, RequestDigest, RequestKey};
use crate::membership::WitnessSet;
use crate::routing::{AttemptReport, SlotGrant};

/// Time that the witnesses have to answer a claim before the key is given up.
const CLAIM_PATIENCE: Duration = Duration::from_millis(400);
/// Time that an inquiry may take, once nobody waits for a run any more.
const INQUIRY_PATIENCE: Duration = Duration::from_millis(1_500);
/// Pause before the holder of a key is asked again.
const HOLDER_PACE: Duration = Duration::from_millis(50);

/// Requests whose keys hash to one shard.
#[derive(Debug)]
pub struct RequestShard {
    own: InstanceId,
    runs: HashMap<CallId, ActiveRun>,
    inquiries: HashMap<CallId, KeyInquiry>,
    keys: KeyMemory,
}

#[derive(Debug)]
struct ActiveRun {
    run: RequestRun,
    /// Present until the key is claimed.
    poll: Option<WitnessPoll>,
    /// Witnesses that hold the claim, to leave the outcome with.
    witnesses: Option<WitnessSet>,
    /// Other calls that wait for the same outcome.
    followers: Vec<CallId>,
}

/// What an inquiry may prove, and until when.
#[derive(Clone, Copy, Debug)]
pub struct InquiryBasis {
    /// How long keys are remembered.
    pub key_life: Duration,
    /// Time until which the witnesses remember the key.
    pub provable_until: MonotonicTime,
}

impl RequestShard {
    /// A shard of the process life `own`.
    #[must_use]
    pub fn new(own: InstanceId) -> Self {
        Self { own, runs: HashMap::new(), inquiries: HashMap::new(), keys: KeyMemory::default() }
    }

    /// Number of requests that run or are being resolved.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.runs.len() + self.inquiries.len()
    }

    /// Number of keys of not repeatable requests that are remembered.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Answers `call` from what is known of `key` here; `false` if nothing is.
    pub fn join(
        &mut self,
        call: CallId,
        key: &RequestKey,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> bool {
        self.keys.forget(now);
        match self.keys.get(key) {
            Some(KeyUse::Running(runner)) => {
                let runner = *runner;
                if let Some(active) = self.runs.get_mut(&runner) {
                    active.followers.push(call);
                }
                true
            }
            Some(KeyUse::Finished(answer)) => {
                steps.push(reply(call, answer.clone()));
                true
            }
            Some(KeyUse::GivenUp) | None => false,
        }
    }

    /// Whether another key can be remembered.
    #[must_use]
    pub fn has_memory(&self) -> bool {
        self.keys.has_room()
    }

    /// Whether this process life has given up `key` and must not claim it again.
    #[must_use]
    pub fn has_given_up(&self, key: &RequestKey) -> bool {
        matches!(self.keys.get(key), Some(KeyUse::GivenUp))
    }

    /// Begins a request whose key no witness keeps.
    pub fn start(
        &mut self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        debug_assert!(!plan.claimed);
        steps.push(set_timer(TimerKey::Deadline(call), plan.deadline));
        let mut run = RequestRun::new(call, self.own.mark(), plan);
        run.begin(now, steps);
        let active = ActiveRun { run, poll: None, witnesses: None, followers: Vec::new() };
        self.runs.insert(call, active);
    }

    /// Begins a not repeatable request: nothing is dispatched before its key is claimed.
    pub fn start_claimed(
        &mut self,
        call: CallId,
        plan: RequestPlan,
        witnesses: WitnessSet,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        let key = plan.request.key.clone();
        steps.push(set_timer(TimerKey::Deadline(call), plan.deadline));
        steps.push(set_timer(TimerKey::Claim(call), now + CLAIM_PATIENCE));
        steps.extend(register_calls(call, &key, &witnesses, witnesses.vms().to_vec(), false));
        let poll = Some(WitnessPoll::new(self.own.clone(), witnesses));
        let run = RequestRun::new(call, self.own.mark(), plan);
        let followers = self.take_inquiries(&key);
        self.keys.begin(key, call);
        self.runs.insert(call, ActiveRun { run, poll, witnesses: None, followers });
    }

    /// Finds out what became of `key`, which this daemon will not run; with `refusal`, the caller
    /// wanted it run and is told so if it never ran anywhere.
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
        let mut steps = register_calls(call, &key, &witnesses, witnesses.vms().to_vec(), true);
        let poll = WitnessPoll::new(self.own.clone(), witnesses);
        let until = now + INQUIRY_PATIENCE;
        steps.push(set_timer(TimerKey::Inquiry(call), until));
        let inquiry =
            KeyInquiry { key, poll, until, key_life, provable_until, refusal, holder: None };
        self.inquiries.insert(call, inquiry);
        self.inquiry_step(call, now, &mut steps);
        steps
    }

    /// Takes the reply of a witness, `None` if none came.
    pub fn register_replied(
        &mut self,
        call: CallId,
        witness: &str,
        reply: Option<RegisterReply>,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        if let Some(inquiry) = self.inquiries.get_mut(&call) {
            inquiry.poll.take(witness, reply);
            self.inquiry_step(call, now, steps);
            return;
        }
        let Some(poll) = self.runs.get_mut(&call).and_then(|active| active.poll.as_mut()) else {
            return;
        };
        poll.take(witness, reply);
        self.claim_step(call, now, steps);
    }

    /// Takes the reply of the holder of a key, `None` if it can't be reached.
    pub fn holder_replied(
        &mut self,
        call: CallId,
        reply: Option<HolderReply>,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        let Some(inquiry) = self.inquiries.get_mut(&call) else { return };
        match inquiry.take_holder(reply) {
            InquiryStep::Answer(answer) => self.finish_inquiry(call, answer, now, steps),
            InquiryStep::Wait | InquiryStep::AskHolder(_) => {
                steps.push(set_timer(TimerKey::Holder(call), now + HOLDER_PACE));
            }
        }
    }

    /// Takes an upstream that was found for a branch.
    pub fn granted(&mut self, grant: SlotGrant, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        let call = grant.request.call;
        match self.runs.get_mut(&call) {
            Some(active) => {
                let end = active.run.dispatch(grant, now, steps);
                self.finish_if(call, end, now, steps);
            }
            None => {
                let report = AttemptReport::Cancelled;
                steps.push(ShardStep::Release { upstream: grant.upstream, call, report });
            }
        }
    }

    /// No upstream can be had for a branch of `call`.
    pub fn denied(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        if let Some(active) = self.runs.get_mut(&call) {
            let end = active.run.denied(reason, now, steps);
            self.finish_if(call, end, now, steps);
        }
    }

    /// Takes what an upstream did about an attempt.
    pub fn attempt_event(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        match self.runs.get_mut(&id.call) {
            Some(active) => {
                let end = active.run.attempt_event(id, event, now, steps);
                self.finish_if(id.call, end, now, steps);
            }
            None => steps.push(ShardStep::Command(Command::Count(CounterName::LateAnswers))),
        }
    }

    /// A timer of this shard is due.
    pub fn timer(&mut self, timer: TimerKey, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        match timer {
            TimerKey::Deadline(call) => {
                if self.runs.contains_key(&call) {
                    self.end_run(call, RefusalReason::Deadline, now, steps);
                }
            }
            TimerKey::Claim(call) => {
                if let Some(poll) = self.runs.get_mut(&call).and_then(|active| active.poll.as_mut())
                {
                    poll.close();
                    self.claim_step(call, now, steps);
                }
            }
            TimerKey::Silence(id) => {
                if let Some(active) = self.runs.get_mut(&id.call) {
                    let end = active.run.silence_check(id, now, steps);
                    self.finish_if(id.call, end, now, steps);
                }
            }
            TimerKey::Inquiry(call) => {
                if let Some(inquiry) = self.inquiries.get_mut(&call) {
                    let answer = inquiry.give_up(now);
                    self.finish_inquiry(call, answer, now, steps);
                }
            }
            TimerKey::Holder(call) => {
                if let Some(inquiry) = self.inquiries.get(&call)
                    && let Some(holder) = inquiry.holder.clone()
                {
                    let key = inquiry.key.clone();
                    steps.push(ShardStep::Command(Command::AskHolder { call, key, holder }));
                }
            }
            _ => debug_assert!(false, "{timer:?} is not a timer of a request"),
        }
    }

    /// The caller is gone: repeatable work is given up, what it held is freed; a not repeatable
    /// request goes on, and its outcome can be asked for.
    pub fn abandon(&mut self, call: CallId, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        let ends = self.runs.get(&call).is_some_and(|active| !active.run.outlives_caller());
        if ends {
            steps.push(ShardStep::Command(Command::Count(CounterName::CallersGone)));
            self.end_run(call, RefusalReason::Deadline, now, steps);
        }
    }

    /// Ends the runs that are like `digest`, which is quarantined for `left`, and have not been sent on.
    pub fn end_quarantined(
        &mut self,
        digest: RequestDigest,
        left: Duration,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        let like = self
            .runs
            .iter()
            .filter(|(_, active)| active.run.plan().digest == digest && active.run.is_unsent());
        let calls: Vec<CallId> = like.map(|(call, _)| *call).collect();
        for call in calls {
            self.denied_for(call, (RefusalReason::Quarantined, left), now, steps);
        }
    }

    /// No upstream is given the request of `call`, for a reason that holds for the time beside it.
    pub fn denied_for(
        &mut self,
        call: CallId,
        why: (RefusalReason, Duration),
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        self.settle_run(call, now, steps, |run, steps| run.denied_for(why, now, steps));
    }

    /// Ends every run.
    pub fn end_all(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        let calls: Vec<CallId> = self.runs.keys().copied().collect();
        for call in calls {
            self.end_run(call, reason, now, steps);
        }
    }

    /// Answers another daemon that asks what became of `key` here.
    #[must_use]
    pub fn holder_reply(&self, key: &RequestKey) -> HolderReply {
        match self.keys.get(key) {
            Some(KeyUse::Running(_)) => HolderReply::Running,
            Some(KeyUse::Finished(answer)) => HolderReply::Finished(answer.body.to_vec()),
            Some(KeyUse::GivenUp) | None => HolderReply::Gone,
        }
    }

    fn claim_step(&mut self, call: CallId, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        let Some(active) = self.runs.get_mut(&call) else { return };
        let Some(poll) = &active.poll else { return };
        match poll.claim_verdict() {
            ClaimVerdict::Pending => {}
            ClaimVerdict::Granted => {
                active.witnesses = Some(poll.witnesses().clone());
                active.poll = None;
                active.run.begin(now, steps);
            }
            ClaimVerdict::Impossible => self.give_up_claim(call, now, steps),
        }
    }

    /// The key can't be claimed: from here on this process life never runs it, so its own claims
    /// count as tombstones, and the other registers are buried to prove that nobody will.
    fn give_up_claim(&mut self, call: CallId, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        let Some(active) = self.runs.remove(&call) else { return };
        let Some(mut poll) = active.poll else { return };
        let key = active.run.plan().request.key.clone();
        let key_life = active.run.plan().declarations.deployment().key_life;
        let provable_until = active.run.plan().provable_until;
        self.keys.end(key.clone(), None, key_life, now);
        steps.push(ShardStep::GiveBack(active.run.plan().permit.clone()));
        steps.push(ShardStep::Command(Command::Count(CounterName::ClaimsRefused)));
        let asked = poll.ask_again();
        let witnesses = poll.witnesses().clone();
        let refusal =
            FinalOutcome::new(OutcomeKind::Refused, &key).reason(RefusalReason::NotClaimed);
        let refusal =
            Box::new(refusal.detail("the key could not be claimed").retry(Duration::ZERO, false));
        let until = now + INQUIRY_PATIENCE;
        for call in active.followers.into_iter().chain([call]) {
            steps.push(set_timer(TimerKey::Inquiry(call), until));
            steps.extend(register_calls(call, &key, &witnesses, asked.clone(), true));
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
            self.inquiry_step(call, now, steps);
        }
    }

    fn inquiry_step(&mut self, call: CallId, now: MonotonicTime, steps: &mut Vec<ShardStep>) {
        let Some(inquiry) = self.inquiries.get_mut(&call) else { return };
        match inquiry.next_step(now) {
            InquiryStep::Wait => {}
            InquiryStep::AskHolder(holder) => {
                let key = inquiry.key.clone();
                steps.push(ShardStep::Command(Command::AskHolder { call, key, holder }));
            }
            InquiryStep::Answer(answer) => self.finish_inquiry(call, answer, now, steps),
        }
    }

    fn finish_inquiry(
        &mut self,
        call: CallId,
        answer: FinalAnswer,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        if let Some(inquiry) = self.inquiries.remove(&call) {
            // "Not run" may rest on claims of this process life: they must never be used again.
            if answer.kind == OutcomeKind::Refused {
                self.keys.end(inquiry.key, None, inquiry.key_life, now);
            }
            steps.push(reply(call, answer));
        }
    }

    fn end_run(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        self.settle_run(call, now, steps, |run, steps| Some(run.end(reason, now, steps)));
    }

    /// Has the run of `call` settled by `settle`, or gives up its key if that is not claimed yet.
    fn settle_run(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
        settle: impl FnOnce(&mut RequestRun, &mut Vec<ShardStep>) -> Option<FinalAnswer>,
    ) {
        let Some(active) = self.runs.get_mut(&call) else { return };
        if active.poll.is_some() {
            self.give_up_claim(call, now, steps);
            return;
        }
        let end = settle(&mut active.run, steps);
        self.finish_if(call, end, now, steps);
    }

    fn finish_if(
        &mut self,
        call: CallId,
        end: Option<FinalAnswer>,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        if let Some(answer) = end {
            self.finish_run(call, answer, now, steps);
        }
    }

    fn finish_run(
        &mut self,
        call: CallId,
        answer: FinalAnswer,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) {
        let Some(active) = self.runs.remove(&call) else { return };
        let plan = active.run.plan();
        steps.push(ShardStep::GiveBack(plan.permit.clone()));
        if plan.claimed {
            let key = plan.request.key.clone();
            for witness in active.witnesses.iter().flat_map(WitnessSet::vms) {
                let (key, body) = (key.clone(), answer.body.clone());
                let witness = witness.clone();
                steps.push(ShardStep::Command(Command::RecordOutcome { witness, key, body }));
            }
            let life = plan.declarations.deployment().key_life;
            self.keys.end(key, Some(answer.clone()), life, now);
        }
        for follower in active.followers {
            steps.push(reply(follower, answer.clone()));
        }
        steps.push(reply(call, answer));
    }

    /// Takes out the inquiries about `key`; their callers will get the outcome of its run.
    ///
    /// Guards against an inquiry that meets the claims of a run of this same life. It would count
    /// them as claims of one who never runs, and say "not run" of what is running.
    fn take_inquiries(&mut self, key: &RequestKey) -> Vec<CallId> {
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

fn reply(call: CallId, answer: FinalAnswer) -> ShardStep {
    ShardStep::Command(Command::Reply { call, answer })
}

fn set_timer(timer: TimerKey, at: MonotonicTime) -> ShardStep {
    ShardStep::Command(Command::SetTimer { timer, at })
}
