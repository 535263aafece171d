use std::time::Duration;

use super::{FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason};
use crate::claims::{KeyVerdict, WitnessPoll};
use crate::identity::{InstanceId, MonotonicTime, RequestKey};

/// What the holder of a claim answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderReply {
    /// That life of the process is over, or never held the key.
    Gone,
    /// The request still runs.
    Running,
    /// It ended so.
    Finished(Vec<u8>),
}

/// Finds out, on behalf of one caller, what became of a key that this daemon will not run.
#[derive(Debug)]
pub struct KeyInquiry {
    /// The key.
    pub key: RequestKey,
    /// Replies of its witnesses.
    pub poll: WitnessPoll,
    /// Time at which the caller is told what is known by then.
    pub until: MonotonicTime,
    /// How long keys are remembered under the declarations that the inquiry began with.
    pub key_life: Duration,
    /// Time until which the witnesses remember the key; later, an empty register proves nothing.
    pub provable_until: MonotonicTime,
    /// Refusal to give if the key never ran; without one, the caller asked for the outcome.
    pub refusal: Option<Box<FinalOutcome>>,
    /// Holder that is being asked.
    pub holder: Option<InstanceId>,
}

/// What an inquiry does next.
#[derive(Debug)]
pub enum InquiryStep {
    /// Wait for more replies.
    Wait,
    /// Ask the holder.
    AskHolder(InstanceId),
    /// Tell the caller.
    Answer(FinalAnswer),
}

impl KeyInquiry {
    /// Decides on the replies of the witnesses so far.
    #[must_use]
    pub fn next_step(&mut self, now: MonotonicTime) -> InquiryStep {
        if self.holder.is_some() {
            return InquiryStep::Wait;
        }
        match self.poll.key_verdict() {
            KeyVerdict::Pending => InquiryStep::Wait,
            KeyVerdict::NotRun => InquiryStep::Answer(self.not_run(now)),
            KeyVerdict::Known(body) => InquiryStep::Answer(self.known(&body)),
            KeyVerdict::AskHolder(holder) => {
                self.holder = Some(holder.clone());
                InquiryStep::AskHolder(holder)
            }
            KeyVerdict::Unknown => InquiryStep::Answer(self.unknown(RefusalReason::NotClaimed)),
        }
    }

    /// Takes the reply of the holder; `None` if it can't be reached.
    #[must_use]
    pub fn take_holder(&mut self, reply: Option<HolderReply>) -> InquiryStep {
        match reply {
            Some(HolderReply::Finished(body)) => InquiryStep::Answer(self.known(&body)),
            Some(HolderReply::Running) => InquiryStep::Wait,
            Some(HolderReply::Gone) | None => {
                InquiryStep::Answer(self.unknown(RefusalReason::HolderLost))
            }
        }
    }

    /// Answers with what is known when the time is over.
    #[must_use]
    pub fn give_up(&mut self, now: MonotonicTime) -> FinalAnswer {
        self.poll.close();
        match self.poll.key_verdict() {
            KeyVerdict::NotRun => self.not_run(now),
            KeyVerdict::Known(body) => self.known(&body),
            _ if self.holder.is_some() => self.unknown(RefusalReason::HolderLost),
            _ => self.unknown(RefusalReason::NotClaimed),
        }
    }

    /// Guards against a witness that has forgotten a key which ran: its register is empty, takes a
    /// tombstone, and would prove "not run". Within the life of the key no register is forgotten.
    fn not_run(&mut self, now: MonotonicTime) -> FinalAnswer {
        if now >= self.provable_until {
            let outcome = FinalOutcome::new(OutcomeKind::Unknown, &self.key);
            let detail = "the key may be older than its witnesses remember; say its age_ms";
            return FinalAnswer::from(outcome.reason(RefusalReason::KeyExpired).detail(detail));
        }
        let plain = || {
            let outcome = FinalOutcome::new(OutcomeKind::Refused, &self.key);
            Box::new(
                outcome.reason(RefusalReason::NeverRun).detail("this key never ran and never will"),
            )
        };
        let mut outcome = self.refusal.take().unwrap_or_else(plain);
        // The key is dead at its witnesses, so it must not be sent again.
        outcome.same_key = Some(false);
        outcome.retry_after_ms.get_or_insert(0);
        FinalAnswer::from(*outcome)
    }

    fn known(&self, body: &[u8]) -> FinalAnswer {
        FinalAnswer::try_from(body).unwrap_or_else(|_| self.unknown(RefusalReason::HolderLost))
    }

    fn unknown(&self, reason: RefusalReason) -> FinalAnswer {
        let wait = self.poll.abstention().unwrap_or(Duration::from_secs(1));
        let outcome = FinalOutcome::new(OutcomeKind::Unknown, &self.key).reason(reason);
        let detail = "it can't be proved whether this key ran; the same key is safe to send again";
        FinalAnswer::from(outcome.detail(detail).retry(wait, true))
    }
}
