use std::time::Duration;

use super::{RegisterReply, RegisterState};
use crate::identity::InstanceId;
use crate::membership::{WITNESS_QUORUM, WitnessSet};

/// Whether a daemon may run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// Two registers hold its claim.
    Granted,
    /// Two registers can no longer be had.
    Impossible,
    /// Replies are still missing.
    Pending,
}

/// What the witnesses prove about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// Nobody has run it and nobody will.
    NotRun,
    /// It ended so.
    Known(Vec<u8>),
    /// Its holder must be asked.
    AskHolder(InstanceId),
    /// Nothing can be proved.
    Unknown,
    /// Replies are still missing.
    Pending,
}

/// Replies of a key's witnesses to one asker.
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
    /// Asks `witnesses` on behalf of `own`.
    #[must_use]
    pub fn new(own: InstanceId, witnesses: WitnessSet) -> Self {
        let ballots = vec![Ballot::Pending; witnesses.vms().len()];
        Self { own, witnesses, ballots }
    }

    /// The witnesses that are asked.
    #[must_use]
    pub fn witnesses(&self) -> &WitnessSet {
        &self.witnesses
    }

    /// Takes the reply of `vm`, `None` if none came. What a register was once seen to hold stays.
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

    /// Asks again those whose register is not known; returns them.
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

    /// Gives up on replies that are still missing.
    pub fn close(&mut self) {
        for ballot in &mut self.ballots {
            if *ballot == Ballot::Pending {
                *ballot = Ballot::Lost;
            }
        }
    }

    /// Whether the asker may run the key.
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

    /// What is proved about the key, by an asker that has not run it and never will.
    ///
    /// Two registers that hold a tombstone or the claim of one who never runs leave one register
    /// at most to anybody else, and nobody runs with one.
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

    /// Longest time that a witness said it abstains.
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
