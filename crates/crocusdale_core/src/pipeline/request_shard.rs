use std::collections::HashMap;
use std::time::Duration;

use super::key_memory::{KeyMemory, KeyUse};
use super::{
    AttemptEvent, FinalAnswer, HolderReply, KeyInquiry, RefusalReason, RequestPlan, RequestRun,
    ShardStep,
};
use crate::claims::WitnessPoll;
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{AttemptId, CallId, InstanceId, MonotonicTime, RequestDigest, RequestKey};
use crate::membership::WitnessSet;
use crate::routing::{AttemptReport, SlotGrant};

/// Requests whose keys hash to one shard.
#[derive(Debug)]
pub struct RequestShard {
    pub(super) own: InstanceId,
    pub(super) runs: HashMap<CallId, ActiveRun>,
    pub(super) inquiries: HashMap<CallId, KeyInquiry>,
    pub(super) keys: KeyMemory,
}

#[derive(Debug)]
pub(super) struct ActiveRun {
    pub(super) run: RequestRun,
    /// Present until the key is claimed.
    pub(super) poll: Option<WitnessPoll>,
    /// Witnesses that hold the claim, to leave the outcome with.
    pub(super) witnesses: Option<WitnessSet>,
    /// Other calls that wait for the same outcome.
    pub(super) followers: Vec<CallId>,
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

    /// The pieces of `attempt` are made by `section` of their pool.
    pub fn note_section(&mut self, attempt: AttemptId, section: &str) {
        if let Some(active) = self.runs.get_mut(&attempt.call) {
            active.run.note_section(attempt, section);
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
}

pub(super) fn reply(call: CallId, answer: FinalAnswer) -> ShardStep {
    ShardStep::Command(Command::Reply { call, answer })
}

pub(super) fn set_timer(timer: TimerKey, at: MonotonicTime) -> ShardStep {
    ShardStep::Command(Command::SetTimer { timer, at })
}
