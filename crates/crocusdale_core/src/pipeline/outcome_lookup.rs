use std::time::Duration;

use super::{FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason};
use crate::claims::{KeyVerdict, WitnessPoll};
use crate::identity::{InstanceId, MonotonicTime, RequestKey};

/// What the daemon that holds a claim replies about its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderReply {
    /// The process incarnation that claimed the key has ended, or does not know the key.
    Gone,
    /// The request is still running.
    Running,
    /// The request ended. Holds the JSON of its outcome.
    Finished(Vec<u8>),
}

/// Lookup of a key's outcome on behalf of one caller. This daemon will not run the key.
#[derive(Debug)]
pub struct OutcomeLookup {
    /// Workspace and idempotency key that are looked up.
    pub key: RequestKey,
    /// Replies of the key's witnesses.
    pub poll: WitnessPoll,
    /// Time at which the caller gets what is known by then.
    pub answer_by: MonotonicTime,
    /// How long keys are remembered, under the configuration in force when the lookup started.
    pub key_life: Duration,
    /// Time until which the witnesses surely remember the key. Later, an empty register no longer
    /// proves that the key never ran.
    pub remembered_until: MonotonicTime,
    /// Refusal to return if the key never ran; `None` if the caller asked only for the outcome.
    pub refusal: Option<Box<FinalOutcome>>,
    /// Claim holder that is being asked; `None` before the witnesses named one.
    pub holder: Option<InstanceId>,
}

/// Next action of an outcome lookup.
#[derive(Debug)]
pub enum LookupStep {
    /// Wait for more replies of witnesses or of the claim holder.
    Wait,
    /// Ask the claim holder for the outcome.
    AskHolder(InstanceId),
    /// Answer the caller.
    Answer(FinalAnswer),
}

impl OutcomeLookup {
    /// Chooses the next action from the witness replies received so far.
    #[must_use]
    pub fn next_step(&mut self, now: MonotonicTime) -> LookupStep {
        if self.holder.is_some() {
            return LookupStep::Wait;
        }
        match self.poll.key_verdict() {
            KeyVerdict::Pending => LookupStep::Wait,
            KeyVerdict::NotRun => LookupStep::Answer(self.not_run_answer(now)),
            KeyVerdict::Finished(body) => LookupStep::Answer(self.finished_answer(&body)),
            KeyVerdict::AskHolder(holder) => {
                self.holder = Some(holder.clone());
                LookupStep::AskHolder(holder)
            }
            KeyVerdict::Unknown => {
                LookupStep::Answer(self.unknown_answer(RefusalReason::NotClaimed))
            }
        }
    }

    /// Handles the reply of the claim holder; `None` if it can't be reached.
    #[must_use]
    pub fn handle_holder_reply(&mut self, reply: Option<HolderReply>) -> LookupStep {
        match reply {
            Some(HolderReply::Finished(body)) => LookupStep::Answer(self.finished_answer(&body)),
            Some(HolderReply::Running) => LookupStep::Wait,
            Some(HolderReply::Gone) | None => {
                LookupStep::Answer(self.unknown_answer(RefusalReason::HolderLost))
            }
        }
    }

    /// Answers with what is known when the lookup times out.
    #[must_use]
    pub fn time_out(&mut self, now: MonotonicTime) -> FinalAnswer {
        self.poll.stop_waiting();
        match self.poll.key_verdict() {
            KeyVerdict::NotRun => self.not_run_answer(now),
            KeyVerdict::Finished(body) => self.finished_answer(&body),
            _ if self.holder.is_some() => self.unknown_answer(RefusalReason::HolderLost),
            _ => self.unknown_answer(RefusalReason::NotClaimed),
        }
    }

    /// Answers that the key never ran.
    ///
    /// Guards against a witness that has forgotten a key that did run: its empty register accepts a
    /// tombstone, which would count as proof of "not run". No register is forgotten within the
    /// key's lifetime, so after that time the answer is "unknown".
    fn not_run_answer(&mut self, now: MonotonicTime) -> FinalAnswer {
        if now >= self.remembered_until {
            let outcome = FinalOutcome::new(OutcomeKind::Unknown, &self.key);
            let detail = "the key may be older than its witnesses remember; say its age_ms";
            return FinalAnswer::from(
                outcome.with_reason(RefusalReason::KeyExpired).with_detail(detail),
            );
        }
        let never_run_refusal = || {
            let outcome = FinalOutcome::new(OutcomeKind::Refused, &self.key);
            Box::new(
                outcome
                    .with_reason(RefusalReason::NeverRun)
                    .with_detail("this key never ran and never will"),
            )
        };
        let mut outcome = self.refusal.take().unwrap_or_else(never_run_refusal);
        // The registers of the key hold tombstones, so the same key can never run.
        outcome.same_key = Some(false);
        outcome.retry_after_ms.get_or_insert(0);
        FinalAnswer::from(*outcome)
    }

    fn finished_answer(&self, body: &[u8]) -> FinalAnswer {
        FinalAnswer::try_from(body)
            .unwrap_or_else(|_| self.unknown_answer(RefusalReason::HolderLost))
    }

    fn unknown_answer(&self, reason: RefusalReason) -> FinalAnswer {
        let retry_after = self.poll.longest_abstention().unwrap_or(Duration::from_secs(1));
        let outcome = FinalOutcome::new(OutcomeKind::Unknown, &self.key).with_reason(reason);
        let detail = "it can't be proved whether this key ran; the same key is safe to send again";
        FinalAnswer::from(outcome.with_detail(detail).with_retry(retry_after, true))
    }
}
