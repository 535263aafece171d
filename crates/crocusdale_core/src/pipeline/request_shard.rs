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

/// State of the requests whose keys hash to one shard.
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
    /// Replies of the witnesses to the claim; `None` once the key is claimed, or if it needs no
    /// claim.
    pub(super) poll: Option<WitnessPoll>,
    /// Witnesses that hold the claim and receive the outcome; `None` until the key is claimed.
    pub(super) witnesses: Option<WitnessSet>,
    /// Other calls that wait for the same outcome.
    pub(super) followers: Vec<CallId>,
}

/// Retention times under which an outcome lookup may prove that a key never ran.
#[derive(Clone, Copy, Debug)]
pub struct InquiryBasis {
    /// How long keys are remembered.
    pub key_life: Duration,
    /// Time until which the witnesses surely remember the key.
    pub provable_until: MonotonicTime,
}

impl RequestShard {
    /// Creates an empty shard of the process incarnation `own`.
    #[must_use]
    pub fn new(own: InstanceId) -> Self {
        Self { own, runs: HashMap::new(), inquiries: HashMap::new(), keys: KeyMemory::default() }
    }

    /// Number of running requests and outcome lookups.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.runs.len() + self.inquiries.len()
    }

    /// Number of keys in the table of requests that must run at most once.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Answers `call` with the outcome of `key` if the key ran here, or attaches it to the running
    /// request. Returns `false` if this shard has no run of the key.
    pub fn join(
        &mut self,
        call: CallId,
        key: &RequestKey,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
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
                actions.push(reply(call, answer.clone()));
                true
            }
            Some(KeyUse::GivenUp) | None => false,
        }
    }

    /// Whether the key table can hold another key.
    #[must_use]
    pub fn has_memory(&self) -> bool {
        self.keys.has_room()
    }

    /// Whether this process incarnation has abandoned `key` and must not claim it again.
    #[must_use]
    pub fn has_given_up(&self, key: &RequestKey) -> bool {
        matches!(self.keys.get(key), Some(KeyUse::GivenUp))
    }

    /// Starts a request whose key needs no claim.
    pub fn start(
        &mut self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        debug_assert!(!plan.claimed);
        actions.push(set_timer(TimerKey::Deadline(call), plan.deadline));
        let mut run = RequestRun::new(call, self.own.mark(), plan);
        run.begin(now, actions);
        let active = ActiveRun { run, poll: None, witnesses: None, followers: Vec::new() };
        self.runs.insert(call, active);
    }

    /// Handles the upstream that the router assigned to a step.
    pub fn granted(&mut self, grant: SlotGrant, now: MonotonicTime, actions: &mut Vec<ShardStep>) {
        let call = grant.request.call;
        match self.runs.get_mut(&call) {
            Some(active) => {
                let end = active.run.dispatch(grant, now, actions);
                self.finish_if(call, end, now, actions);
            }
            None => {
                let report = AttemptReport::Cancelled;
                actions.push(ShardStep::Release { upstream: grant.upstream, call, report });
            }
        }
    }

    /// Handles the router's refusal to assign an upstream to a step of `call`.
    pub fn denied(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        if let Some(active) = self.runs.get_mut(&call) {
            let end = active.run.denied(reason, now, actions);
            self.finish_if(call, end, now, actions);
        }
    }

    /// Handles an event of an attempt.
    pub fn attempt_event(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        match self.runs.get_mut(&id.call) {
            Some(active) => {
                let end = active.run.attempt_event(id, event, now, actions);
                self.finish_if(id.call, end, now, actions);
            }
            None => actions.push(ShardStep::Command(Command::Count(CounterName::LateAnswers))),
        }
    }

    /// Handles an expired timer of this shard.
    pub fn timer(&mut self, timer: TimerKey, now: MonotonicTime, actions: &mut Vec<ShardStep>) {
        match timer {
            TimerKey::Deadline(call) => {
                if self.runs.contains_key(&call) {
                    self.end_run(call, RefusalReason::Deadline, now, actions);
                }
            }
            TimerKey::Claim(call) => {
                if let Some(poll) = self.runs.get_mut(&call).and_then(|active| active.poll.as_mut())
                {
                    poll.close();
                    self.claim_step(call, now, actions);
                }
            }
            TimerKey::Silence(id) => {
                if let Some(active) = self.runs.get_mut(&id.call) {
                    let end = active.run.check_silence(id, now, actions);
                    self.finish_if(id.call, end, now, actions);
                }
            }
            TimerKey::Inquiry(call) => {
                if let Some(inquiry) = self.inquiries.get_mut(&call) {
                    let answer = inquiry.give_up(now);
                    self.finish_inquiry(call, answer, now, actions);
                }
            }
            TimerKey::Holder(call) => {
                if let Some(inquiry) = self.inquiries.get(&call)
                    && let Some(holder) = inquiry.holder.clone()
                {
                    let key = inquiry.key.clone();
                    actions.push(ShardStep::Command(Command::AskHolder { call, key, holder }));
                }
            }
            _ => debug_assert!(false, "{timer:?} is not a timer of a request"),
        }
    }

    /// Handles the disconnect of a caller. A run that may be repeated is cancelled and its
    /// resources are freed; a run that must happen at most once continues, and its outcome can be
    /// looked up.
    pub fn abandon(&mut self, call: CallId, now: MonotonicTime, actions: &mut Vec<ShardStep>) {
        let ends = self.runs.get(&call).is_some_and(|active| !active.run.outlives_caller());
        if ends {
            actions.push(ShardStep::Command(Command::Count(CounterName::CallersGone)));
            self.end_run(call, RefusalReason::Deadline, now, actions);
        }
    }

    /// Ends the runs with the digest `digest`, which is quarantined for the time `left`, unless an
    /// attempt was already sent to an upstream.
    pub fn end_quarantined(
        &mut self,
        digest: RequestDigest,
        left: Duration,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        let like = self
            .runs
            .iter()
            .filter(|(_, active)| active.run.plan().digest == digest && active.run.is_unsent());
        let calls: Vec<CallId> = like.map(|(call, _)| *call).collect();
        for call in calls {
            self.denied_for(call, (RefusalReason::Quarantined, left), now, actions);
        }
    }

    /// Records that `section` of the pool runs the work items of `attempt`.
    pub fn note_section(&mut self, attempt: AttemptId, section: &str) {
        if let Some(active) = self.runs.get_mut(&attempt.call) {
            active.run.note_section(attempt, section);
        }
    }

    /// Handles a refusal to assign an upstream to `call`, with the reason and the time for which
    /// the reason holds.
    pub fn denied_for(
        &mut self,
        call: CallId,
        why: (RefusalReason, Duration),
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        self.settle_run(call, now, actions, |run, actions| run.denied_for(why, now, actions));
    }

    /// Ends every run with `reason`.
    pub fn end_all(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        let calls: Vec<CallId> = self.runs.keys().copied().collect();
        for call in calls {
            self.end_run(call, reason, now, actions);
        }
    }

    /// Reply to another daemon that asks for the outcome of `key`.
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
        actions: &mut Vec<ShardStep>,
    ) {
        self.settle_run(call, now, actions, |run, actions| {
            Some(run.finish_unanswered(reason, now, actions))
        });
    }

    /// Ends the run of `call` through `settle`, or abandons its key if the key is not claimed yet.
    fn settle_run(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
        settle: impl FnOnce(&mut RequestRun, &mut Vec<ShardStep>) -> Option<FinalAnswer>,
    ) {
        let Some(active) = self.runs.get_mut(&call) else { return };
        if active.poll.is_some() {
            self.give_up_claim(call, now, actions);
            return;
        }
        let end = settle(&mut active.run, actions);
        self.finish_if(call, end, now, actions);
    }

    fn finish_if(
        &mut self,
        call: CallId,
        end: Option<FinalAnswer>,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        if let Some(answer) = end {
            self.finish_run(call, answer, now, actions);
        }
    }

    fn finish_run(
        &mut self,
        call: CallId,
        answer: FinalAnswer,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) {
        let Some(active) = self.runs.remove(&call) else { return };
        let plan = active.run.plan();
        actions.push(ShardStep::GiveBack(plan.permit.clone()));
        if plan.claimed {
            let key = plan.request.key.clone();
            for witness in active.witnesses.iter().flat_map(WitnessSet::vms) {
                let (key, body) = (key.clone(), answer.body.clone());
                let witness = witness.clone();
                actions.push(ShardStep::Command(Command::RecordOutcome { witness, key, body }));
            }
            let life = plan.declarations.deployment().key_life;
            self.keys.end(key, Some(answer.clone()), life, now);
        }
        for follower in active.followers {
            actions.push(reply(follower, answer.clone()));
        }
        actions.push(reply(call, answer));
    }
}

pub(super) fn reply(call: CallId, answer: FinalAnswer) -> ShardStep {
    ShardStep::Command(Command::Reply { call, answer })
}

pub(super) fn set_timer(timer: TimerKey, at: MonotonicTime) -> ShardStep {
    ShardStep::Command(Command::SetTimer { timer, at })
}
