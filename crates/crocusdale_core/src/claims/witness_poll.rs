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
    Known(Vec<u8>),
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
    own: InstanceId,
    witnesses: WitnessSet,
    ballots: Vec<Ballot>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Ballot {
    Pending,
    Lost,
    Abstained(Duration),
    Held(RegisterState),
}

impl WitnessPoll {
    /// Starts a poll of `witnesses` by the process incarnation `own`, without any replies.
    #[must_use]
    pub fn new(own: InstanceId, witnesses: WitnessSet) -> Self {
        let ballots = vec![Ballot::Pending; witnesses.vms().len()];
        Self { own, witnesses, ballots }
    }

    /// The witnesses that are polled.
    #[must_use]
    pub fn witnesses(&self) -> &WitnessSet {
        &self.witnesses
    }

    /// Records the reply of the witness `vm`; `None` if no reply came. Register content that was
    /// seen once is never overwritten by a missing reply or an abstention.
    pub fn take(&mut self, vm: &str, reply: Option<RegisterReply>) {
        let Some(index) = self.witnesses.vms().iter().position(|each| each == vm) else { return };
        let ballot = match reply {
            Some(RegisterReply::Holds(state)) => Ballot::Held(state),
            Some(RegisterReply::Abstains(wait)) => Ballot::Abstained(wait),
            None => Ballot::Lost,
        };
        if matches!(ballot, Ballot::Held(_)) || !matches!(self.ballots[index], Ballot::Held(_)) {
            self.ballots[index] = ballot;
        }
    }

    /// Marks the witnesses whose register content is not known as pending again and returns their
    /// VM names.
    pub fn ask_again(&mut self) -> Vec<String> {
        let mut asked = Vec::new();
        for (ballot, vm) in self.ballots.iter_mut().zip(self.witnesses.vms()) {
            if !matches!(ballot, Ballot::Held(_)) {
                *ballot = Ballot::Pending;
                asked.push(vm.clone());
            }
        }
        asked
    }

    /// Marks missing replies as lost.
    pub fn close(&mut self) {
        for ballot in &mut self.ballots {
            if *ballot == Ballot::Pending {
                *ballot = Ballot::Lost;
            }
        }
    }

    /// Whether the polling daemon may run the key.
    #[must_use]
    pub fn claim_verdict(&self) -> ClaimVerdict {
        let own = self.count(|ballot| self.is_own(ballot));
        let pending = self.count(|ballot| *ballot == Ballot::Pending);
        if own >= WITNESS_QUORUM {
            ClaimVerdict::Granted
        } else if own + pending < WITNESS_QUORUM {
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
        let dead = self
            .count(|ballot| *ballot == Ballot::Held(RegisterState::Buried) || self.is_own(ballot));
        if dead >= WITNESS_QUORUM {
            return KeyVerdict::NotRun;
        }
        let mut holder = None;
        for ballot in &self.ballots {
            if let Ballot::Held(RegisterState::Claimed { holder: other, outcome }) = ballot {
                match outcome {
                    Some(body) => return KeyVerdict::Known(body.clone()),
                    None if *other != self.own => holder = Some(other.clone()),
                    None => {}
                }
            }
        }
        if self.ballots.contains(&Ballot::Pending) {
            return KeyVerdict::Pending;
        }
        holder.map_or(KeyVerdict::Unknown, KeyVerdict::AskHolder)
    }

    /// Longest time for which a witness said that it abstains; `None` if no witness abstained.
    #[must_use]
    pub fn abstention(&self) -> Option<Duration> {
        let waits = self.ballots.iter().filter_map(|ballot| match ballot {
            Ballot::Abstained(wait) => Some(*wait),
            _ => None,
        });
        waits.max()
    }

    fn is_own(&self, ballot: &Ballot) -> bool {
        matches!(ballot, Ballot::Held(RegisterState::Claimed { holder, .. }) if *holder == self.own)
    }

    fn count(&self, accept: impl Fn(&Ballot) -> bool) -> usize {
        self.ballots.iter().filter(|ballot| accept(ballot)).count()
    }
}
