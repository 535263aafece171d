use std::time::Duration;

use super::{RegisterReply, RegisterState};
use crate::identity::InstanceId;
use crate::membership::{WITNESS_QUORUM, WitnessSet};

/// Whether a daemon may run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// A quorum of two registers holds the daemon's claim.
    Granted,
    /// The daemon can no longer get a quorum of two registers.
    Impossible,
    /// Replies of witnesses are missing that could still decide the claim.
    Pending,
}

/// What the replies of the witnesses prove about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The key never ran and never will.
    NotRun,
    /// The request ended. Holds the JSON of its outcome.
    Finished(Vec<u8>),
    /// The claim holder has to be asked for the outcome.
    AskHolder(InstanceId),
    /// The replies prove nothing about the key.
    Unknown,
    /// Replies of witnesses are missing that could still prove something.
    Pending,
}

/// Replies of a key's witnesses to one daemon.
#[derive(Clone, Debug)]
pub struct WitnessPoll {
    own_instance: InstanceId,
    witnesses: WitnessSet,
    reply_states: Vec<ReplyState>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum ReplyState {
    Pending,
    Missing,
    Abstained(Duration),
    Held(RegisterState),
}

impl WitnessPoll {
    /// Starts a poll of `witnesses` by the process incarnation `own_instance`, without any replies.
    #[must_use]
    pub fn new(own_instance: InstanceId, witnesses: WitnessSet) -> Self {
        let reply_states = vec![ReplyState::Pending; witnesses.vms().len()];
        Self { own_instance, witnesses, reply_states }
    }

    /// The witnesses that are polled.
    #[must_use]
    pub fn witnesses(&self) -> &WitnessSet {
        &self.witnesses
    }

    /// Records the reply of the witness `vm`; `None` if no reply came. Register content that was
    /// seen once is never overwritten by a missing reply or an abstention.
    pub fn record_reply(&mut self, vm: &str, reply: Option<RegisterReply>) {
        let Some(index) = self.witnesses.vms().iter().position(|witness| witness == vm) else {
            return;
        };
        let reply_state = match reply {
            Some(RegisterReply::Holds(state)) => ReplyState::Held(state),
            Some(RegisterReply::Abstains(wait)) => ReplyState::Abstained(wait),
            None => ReplyState::Missing,
        };
        if matches!(reply_state, ReplyState::Held(_))
            || !matches!(self.reply_states[index], ReplyState::Held(_))
        {
            self.reply_states[index] = reply_state;
        }
    }

    /// Marks the witnesses whose register content is not known as pending again and returns their
    /// VM names.
    pub fn reopen_unknown(&mut self) -> Vec<String> {
        let mut unknown_witnesses = Vec::new();
        for (reply_state, vm) in self.reply_states.iter_mut().zip(self.witnesses.vms()) {
            if !matches!(reply_state, ReplyState::Held(_)) {
                *reply_state = ReplyState::Pending;
                unknown_witnesses.push(vm.clone());
            }
        }
        unknown_witnesses
    }

    /// Marks witnesses that have not replied as missing, so that no verdict waits for them.
    pub fn stop_waiting(&mut self) {
        for reply_state in &mut self.reply_states {
            if *reply_state == ReplyState::Pending {
                *reply_state = ReplyState::Missing;
            }
        }
    }

    /// Whether the polling daemon may run the key.
    #[must_use]
    pub fn claim_verdict(&self) -> ClaimVerdict {
        let own_claims = self.count_replies(|reply_state| self.is_own_claim(reply_state));
        let pending = self.count_replies(|reply_state| *reply_state == ReplyState::Pending);
        if own_claims >= WITNESS_QUORUM {
            ClaimVerdict::Granted
        } else if own_claims + pending < WITNESS_QUORUM {
            ClaimVerdict::Impossible
        } else {
            ClaimVerdict::Pending
        }
    }

    /// What is proved about the key, if the polling daemon has not run it and never will.
    ///
    /// Two registers that hold a tombstone or this daemon's own unused claim leave at most one
    /// register to any other daemon, and one register is not enough to run the key.
    #[must_use]
    pub fn key_verdict(&self) -> KeyVerdict {
        let not_running = self.count_replies(|reply_state| {
            *reply_state == ReplyState::Held(RegisterState::Tombstone)
                || self.is_own_claim(reply_state)
        });
        if not_running >= WITNESS_QUORUM {
            return KeyVerdict::NotRun;
        }
        let mut holder = None;
        for reply_state in &self.reply_states {
            if let ReplyState::Held(RegisterState::Claimed { holder: claimant, outcome }) =
                reply_state
            {
                match outcome {
                    Some(body) => return KeyVerdict::Finished(body.clone()),
                    None if *claimant != self.own_instance => holder = Some(claimant.clone()),
                    None => {}
                }
            }
        }
        if self.reply_states.contains(&ReplyState::Pending) {
            return KeyVerdict::Pending;
        }
        holder.map_or(KeyVerdict::Unknown, KeyVerdict::AskHolder)
    }

    /// Longest time for which a witness said that it abstains; `None` if no witness abstained.
    #[must_use]
    pub fn longest_abstention(&self) -> Option<Duration> {
        let waits = self.reply_states.iter().filter_map(|reply_state| match reply_state {
            ReplyState::Abstained(wait) => Some(*wait),
            _ => None,
        });
        waits.max()
    }

    fn is_own_claim(&self, reply_state: &ReplyState) -> bool {
        matches!(
            reply_state,
            ReplyState::Held(RegisterState::Claimed { holder, .. }) if *holder == self.own_instance
        )
    }

    fn count_replies(&self, is_counted: impl Fn(&ReplyState) -> bool) -> usize {
        self.reply_states.iter().filter(|reply_state| is_counted(reply_state)).count()
    }
}
