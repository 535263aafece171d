use std::collections::HashMap;
use std::time::Duration;

use super::key_table::{KeyState, KeyTable};
use super::{
    AttemptEvent, FinalAnswer, HolderReply, OutcomeLookup, RefusalReason, RequestPlan, RequestRun,
    ShardAction,
};
use crate::claims::WitnessPoll;
use crate::daemon::{Command, CounterName, TimerKey};
use crate::identity::{AttemptId, CallId, InstanceId, MonotonicTime, RequestKey};
use crate::membership::WitnessSet;
use crate::routing::{AttemptReport, SlotGrant};

/// State of the requests whose keys hash to one shard.
#[derive(Debug)]
pub struct RequestShard {
    pub(super) own_instance: InstanceId,
    pub(super) runs: HashMap<CallId, ActiveRun>,
    pub(super) lookups: HashMap<CallId, OutcomeLookup>,
    pub(super) key_table: KeyTable,
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
    pub(super) waiting_calls: Vec<CallId>,
}

/// Retention times under which an outcome lookup may prove that a key never ran.
#[derive(Clone, Copy, Debug)]
pub struct LookupRetention {
    /// How long keys are remembered.
    pub key_life: Duration,
    /// Time until which the witnesses surely remember the key.
    pub remembered_until: MonotonicTime,
}

impl RequestShard {
    /// Creates an empty shard of the process incarnation `own_instance`.
    #[must_use]
    pub fn new(own_instance: InstanceId) -> Self {
        Self {
            own_instance,
            runs: HashMap::new(),
            lookups: HashMap::new(),
            key_table: KeyTable::default(),
        }
    }

    /// Number of running requests and outcome lookups.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.runs.len() + self.lookups.len()
    }

    /// Number of keys in the table of requests that must run at most once.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.key_table.len()
    }

    /// Answers `call` with the outcome of `key` if the key ran here, or attaches it to the running
    /// request. Returns `false` if this shard has no run of the key.
    pub fn join_run(
        &mut self,
        call: CallId,
        key: &RequestKey,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> bool {
        self.key_table.remove_expired(now);
        match self.key_table.get(key) {
            Some(KeyState::Running(running_call)) => {
                let running_call = *running_call;
                if let Some(active_run) = self.runs.get_mut(&running_call) {
                    active_run.waiting_calls.push(call);
                }
                true
            }
            Some(KeyState::Finished(answer)) => {
                actions.push(reply(call, answer.clone()));
                true
            }
            Some(KeyState::Abandoned) | None => false,
        }
    }

    /// Whether the key table can hold another key.
    #[must_use]
    pub fn has_key_capacity(&self) -> bool {
        self.key_table.has_capacity()
    }

    /// Whether this process incarnation has abandoned `key` and must not claim it again.
    #[must_use]
    pub fn has_abandoned(&self, key: &RequestKey) -> bool {
        matches!(self.key_table.get(key), Some(KeyState::Abandoned))
    }

    /// Starts a request whose key needs no claim.
    pub fn start(
        &mut self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        debug_assert!(!plan.needs_claim);
        actions.push(set_timer(TimerKey::Deadline(call), plan.deadline));
        let mut run = RequestRun::new(call, self.own_instance.process_hash(), plan);
        let final_answer = run.start_first_steps(now, actions);
        let active_run = ActiveRun { run, poll: None, witnesses: None, waiting_calls: Vec::new() };
        self.runs.insert(call, active_run);
        self.finish_if_ended(call, final_answer, now, actions);
    }

    /// Handles the upstream that the router assigned to a step.
    pub fn handle_grant(
        &mut self,
        grant: SlotGrant,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let call = grant.request.call;
        match self.runs.get_mut(&call) {
            Some(active_run) => {
                let final_answer = active_run.run.dispatch(grant, now, actions);
                self.finish_if_ended(call, final_answer, now, actions);
            }
            None => {
                let report = AttemptReport::Cancelled;
                actions.push(ShardAction::ReleaseSlot { upstream: grant.upstream, call, report });
            }
        }
    }

    /// Handles the router's refusal to assign an upstream to a step of `call`.
    pub fn handle_refusal(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(active_run) = self.runs.get_mut(&call) {
            let final_answer = active_run.run.handle_refusal(reason, now, actions);
            self.finish_if_ended(call, final_answer, now, actions);
        }
    }

    /// Handles an event of an attempt.
    pub fn handle_attempt_event(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        match self.runs.get_mut(&id.call) {
            Some(active_run) => {
                let final_answer = active_run.run.handle_attempt_event(id, event, now, actions);
                self.finish_if_ended(id.call, final_answer, now, actions);
            }
            None => actions.push(ShardAction::Command(Command::Count(CounterName::LateAnswers))),
        }
    }

    /// Handles an expired timer of this shard.
    pub fn handle_timer(
        &mut self,
        timer: TimerKey,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        match timer {
            TimerKey::Deadline(call) => {
                if self.runs.contains_key(&call) {
                    self.end_run(call, RefusalReason::Deadline, now, actions);
                }
            }
            TimerKey::ClaimTimeout(call) => {
                if let Some(poll) =
                    self.runs.get_mut(&call).and_then(|active_run| active_run.poll.as_mut())
                {
                    poll.stop_waiting();
                    self.advance_claim(call, now, actions);
                }
            }
            TimerKey::IdleTimeout(id) => {
                if let Some(active_run) = self.runs.get_mut(&id.call) {
                    let final_answer = active_run.run.check_silence(id, now, actions);
                    self.finish_if_ended(id.call, final_answer, now, actions);
                }
            }
            TimerKey::InquiryTimeout(call) => {
                if let Some(lookup) = self.lookups.get_mut(&call) {
                    let answer = lookup.time_out(now);
                    self.finish_lookup(call, answer, now, actions);
                }
            }
            TimerKey::HolderQuery(call) => {
                if let Some(lookup) = self.lookups.get(&call)
                    && let Some(holder) = lookup.holder.clone()
                {
                    let key = lookup.key.clone();
                    actions.push(ShardAction::Command(Command::AskHolder { call, key, holder }));
                }
            }
            _ => debug_assert!(
                false,
                "timer {timer:?} does not belong to a request shard; \
                 accepted: Deadline, Claim, Silence, Inquiry, Holder"
            ),
        }
    }

    /// Handles the disconnect of a caller. A run that may be repeated is cancelled and its
    /// resources are freed; a run that must happen at most once continues, and its outcome can be
    /// looked up.
    pub fn handle_disconnect(
        &mut self,
        call: CallId,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let is_cancelled =
            self.runs.get(&call).is_some_and(|active_run| !active_run.run.outlives_caller());
        if is_cancelled {
            actions.push(ShardAction::Command(Command::Count(CounterName::CallersGone)));
            self.end_run(call, RefusalReason::Deadline, now, actions);
        }
    }

    /// Ends the runs that `is_quarantined` selects, unless an attempt was already sent to an upstream.
    /// `ttl` is the remaining time of the quarantine.
    pub fn end_quarantined(
        &mut self,
        is_quarantined: impl Fn(&RequestPlan) -> bool,
        ttl: Duration,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let matching = self.runs.iter().filter(|(_, active_run)| {
            is_quarantined(active_run.run.plan()) && active_run.run.is_unsent()
        });
        let calls: Vec<CallId> = matching.map(|(call, _)| *call).collect();
        for call in calls {
            self.handle_lasting_refusal(call, (RefusalReason::Quarantined, ttl), now, actions);
        }
    }

    /// Records that `section` of the pool runs the pieces of `attempt`.
    pub fn record_section(&mut self, attempt: AttemptId, section: &str) {
        if let Some(active_run) = self.runs.get_mut(&attempt.call) {
            active_run.run.record_section(attempt, section);
        }
    }

    /// Handles a refusal to assign an upstream to `call`, with the reason and the time for which
    /// the reason holds.
    pub fn handle_lasting_refusal(
        &mut self,
        call: CallId,
        refusal: (RefusalReason, Duration),
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        self.settle_run(call, now, actions, |run, actions| {
            run.handle_lasting_refusal(refusal, now, actions)
        });
    }

    /// Ends every run with `reason`.
    pub fn end_all(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let calls: Vec<CallId> = self.runs.keys().copied().collect();
        for call in calls {
            self.end_run(call, reason, now, actions);
        }
    }

    /// Reply to another daemon that asks for the outcome of `key`.
    #[must_use]
    pub fn holder_reply(&self, key: &RequestKey) -> HolderReply {
        match self.key_table.get(key) {
            Some(KeyState::Running(_)) => HolderReply::Running,
            Some(KeyState::Finished(answer)) => HolderReply::Finished(answer.body.to_vec()),
            Some(KeyState::Abandoned) | None => HolderReply::Gone,
        }
    }

    fn end_run(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
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
        actions: &mut Vec<ShardAction>,
        settle: impl FnOnce(&mut RequestRun, &mut Vec<ShardAction>) -> Option<FinalAnswer>,
    ) {
        let Some(active_run) = self.runs.get_mut(&call) else { return };
        if active_run.poll.is_some() {
            self.abandon_claim(call, now, actions);
            return;
        }
        let final_answer = settle(&mut active_run.run, actions);
        self.finish_if_ended(call, final_answer, now, actions);
    }

    pub(super) fn finish_if_ended(
        &mut self,
        call: CallId,
        final_answer: Option<FinalAnswer>,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(answer) = final_answer {
            self.finish_run(call, answer, now, actions);
        }
    }

    fn finish_run(
        &mut self,
        call: CallId,
        answer: FinalAnswer,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(active_run) = self.runs.remove(&call) else { return };
        let plan = active_run.run.plan();
        actions.push(ShardAction::ReleasePermit(plan.permit.clone()));
        if plan.needs_claim {
            let key = plan.request.key.clone();
            for witness in active_run.witnesses.iter().flat_map(WitnessSet::vms) {
                let (key, body) = (key.clone(), answer.body.clone());
                let witness = witness.clone();
                actions.push(ShardAction::Command(Command::RecordOutcome { witness, key, body }));
            }
            let key_life = plan.declarations.deployment().key_life;
            self.key_table.mark_ended(key, Some(answer.clone()), key_life, now);
        }
        for waiting_call in active_run.waiting_calls {
            actions.push(reply(waiting_call, answer.clone()));
        }
        actions.push(reply(call, answer));
    }
}

pub(super) fn reply(call: CallId, answer: FinalAnswer) -> ShardAction {
    ShardAction::Command(Command::Reply { call, answer })
}

pub(super) fn set_timer(timer: TimerKey, at: MonotonicTime) -> ShardAction {
    ShardAction::Command(Command::SetTimer { timer, at })
}
