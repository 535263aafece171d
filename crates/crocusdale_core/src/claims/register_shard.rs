use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

use crate::identity::{InstanceId, MonotonicTime, RequestKey};

/// Registers that one shard keeps at most; beyond that it abstains.
const REGISTERS_LIMIT: usize = 65_536;
/// Largest outcome that a register keeps, in bytes.
const OUTCOME_LIMIT: usize = 16_384;

/// Lives of a key for which its register is kept. One life is what the promise needs; the rest is
/// for callers that ask late, and against a holder that was paused before it was.
const REGISTER_LIVES: u32 = 8;

/// What a register holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RegisterState {
    /// The right of one process life to run the key.
    Claimed {
        /// That process life.
        holder: InstanceId,
        /// JSON of the outcome, once the holder has left it.
        outcome: Option<Vec<u8>>,
    },
    /// Nobody who asks after the tombstone can claim the key here.
    Buried,
}

/// What a witness answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterReply {
    /// What the register holds after the call.
    Holds(RegisterState),
    /// The witness doesn't take part for that long.
    Abstains(Duration),
}

/// The registers of one shard of one witness.
#[derive(Debug, Default)]
pub struct RegisterShard {
    registers: HashMap<RequestKey, RegisterState>,
    expiries: VecDeque<(MonotonicTime, RequestKey)>,
}

impl RegisterShard {
    /// Number of registers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.registers.len()
    }

    /// Whether there are no registers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.registers.is_empty()
    }

    /// Number of registers with an outcome.
    #[must_use]
    pub fn outcome_count(&self) -> usize {
        let outcome = |state: &&RegisterState| {
            matches!(state, RegisterState::Claimed { outcome: Some(_), .. })
        };
        self.registers.values().filter(outcome).count()
    }

    /// Writes a claim of `claimant` unless the register is taken.
    pub fn claim(
        &mut self,
        key: &RequestKey,
        claimant: &InstanceId,
        now: MonotonicTime,
        key_life: Duration,
    ) -> RegisterReply {
        let claim = RegisterState::Claimed { holder: claimant.clone(), outcome: None };
        self.write(key, claim, now, key_life)
    }

    /// Writes a tombstone unless the register is taken.
    pub fn bury(
        &mut self,
        key: &RequestKey,
        now: MonotonicTime,
        key_life: Duration,
    ) -> RegisterReply {
        self.write(key, RegisterState::Buried, now, key_life)
    }

    /// Keeps the outcome of a key that `reporter` claimed.
    ///
    /// Guards against a claim that never got here: the reporter had two others and ran the key, and
    /// with no register to write to, its outcome would be lost on this witness for good. A caller
    /// that lost the reporter and another witness would then be told "unknown" of an order that was
    /// answered. An outcome is a claim as well, by one that held a quorum, so it may be written
    /// where nothing is; what is written already stays.
    pub fn record(
        &mut self,
        key: &RequestKey,
        reporter: &InstanceId,
        body: &[u8],
        now: MonotonicTime,
        key_life: Duration,
    ) {
        if body.len() > OUTCOME_LIMIT {
            return;
        }
        self.claim(key, reporter, now, key_life);
        if let Some(RegisterState::Claimed { holder, outcome }) = self.registers.get_mut(key)
            && holder == reporter
        {
            *outcome = Some(body.to_vec());
        }
    }

    /// Registers are write-once: a claim that was answered can never be taken back, which is what
    /// two quorums that meet rely on.
    fn write(
        &mut self,
        key: &RequestKey,
        state: RegisterState,
        now: MonotonicTime,
        key_life: Duration,
    ) -> RegisterReply {
        self.expire(now);
        if let Some(held) = self.registers.get(key) {
            return RegisterReply::Holds(held.clone());
        }
        if self.registers.len() >= REGISTERS_LIMIT {
            return RegisterReply::Abstains(key_life);
        }
        self.registers.insert(key.clone(), state.clone());
        self.expiries.push_back((now + key_life * REGISTER_LIVES, key.clone()));
        RegisterReply::Holds(state)
    }

    fn expire(&mut self, now: MonotonicTime) {
        while self.expiries.front().is_some_and(|(expiry, _)| *expiry <= now) {
            if let Some((_, key)) = self.expiries.pop_front() {
                self.registers.remove(&key);
            }
        }
    }
}
