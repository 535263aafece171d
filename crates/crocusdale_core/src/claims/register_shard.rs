use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

use crate::identity::{InstanceId, MonotonicTime, RequestKey};

/// Maximum number of registers in one shard. A full shard abstains from further keys.
const MAX_REGISTERS: usize = 65_536;
/// Maximum size of an outcome that a register stores, in bytes. Larger outcomes are not stored.
const MAX_OUTCOME_BYTES: usize = 16_384;

/// Multiple of the key lifetime for which a register is kept. One lifetime is enough for
/// at-most-once execution. The rest serves callers that ask late, and protects against a claim
/// holder whose process was paused in between.
const RETENTION_LIFETIMES: u32 = 8;

/// Content of a register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RegisterState {
    /// Permission for one process incarnation to run the key.
    Claimed {
        /// Process incarnation that claimed the key.
        holder: InstanceId,
        /// JSON of the outcome; `None` until the holder has recorded it.
        outcome: Option<Vec<u8>>,
    },
    /// Tombstone: no later claim of the key succeeds at this witness.
    #[serde(rename = "buried")]
    Tombstone,
}

/// Reply of a witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterReply {
    /// Content of the register after the call.
    Holds(RegisterState),
    /// The witness does not take part in votes for this time.
    Abstains(Duration),
}

/// Registers of one shard at one witness.
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

    /// Whether the shard has no registers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.registers.is_empty()
    }

    /// Number of registers that store an outcome.
    #[must_use]
    pub fn outcome_count(&self) -> usize {
        let has_outcome = |state: &&RegisterState| {
            matches!(state, RegisterState::Claimed { outcome: Some(_), .. })
        };
        self.registers.values().filter(has_outcome).count()
    }

    /// Writes a claim of `claimant` unless the register is already written. Returns the content.
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

    /// Writes a tombstone unless the register is already written. Returns the content.
    pub fn write_tombstone(
        &mut self,
        key: &RequestKey,
        now: MonotonicTime,
        key_life: Duration,
    ) -> RegisterReply {
        self.write(key, RegisterState::Tombstone, now, key_life)
    }

    /// Stores the outcome of a key that `reporter` claimed.
    ///
    /// Guards against a claim that never reached this witness. The reporter had claims at the two
    /// other witnesses and ran the key. Without a register to write to, this witness would never
    /// learn the outcome, and a caller that lost both the reporter and another witness would be
    /// told "unknown" about a request that was answered. The holder of a quorum also counts as a
    /// claimant here, so its outcome may be written to an empty register. Existing content is kept.
    pub fn record(
        &mut self,
        key: &RequestKey,
        reporter: &InstanceId,
        body: &[u8],
        now: MonotonicTime,
        key_life: Duration,
    ) {
        if body.len() > MAX_OUTCOME_BYTES {
            return;
        }
        self.claim(key, reporter, now, key_life);
        if let Some(RegisterState::Claimed { holder, outcome }) = self.registers.get_mut(key)
            && holder == reporter
        {
            *outcome = Some(body.to_vec());
        }
    }

    /// Writes `state` to an empty register. Registers are write-once: a claim that was confirmed
    /// can't be revoked, which the intersection of two quorums relies on.
    fn write(
        &mut self,
        key: &RequestKey,
        state: RegisterState,
        now: MonotonicTime,
        key_life: Duration,
    ) -> RegisterReply {
        self.remove_expired(now);
        if let Some(held) = self.registers.get(key) {
            return RegisterReply::Holds(held.clone());
        }
        if self.registers.len() >= MAX_REGISTERS {
            return RegisterReply::Abstains(key_life);
        }
        self.registers.insert(key.clone(), state.clone());
        self.expiries.push_back((now + key_life * RETENTION_LIFETIMES, key.clone()));
        RegisterReply::Holds(state)
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        while self.expiries.front().is_some_and(|(expiry, _)| *expiry <= now) {
            if let Some((_, key)) = self.expiries.pop_front() {
                self.registers.remove(&key);
            }
        }
    }
}
