use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::FinalAnswer;
use crate::identity::{CallId, MonotonicTime, RequestKey};

/// Lives of a key for which its outcome is remembered; longer than any register.
const MEMORY_LIVES: u32 = 10;
/// Keys that one shard remembers at most.
const MEMORY_LIMIT: usize = 65_536;

/// What this process life has done with the keys of requests that must not repeat.
#[derive(Debug, Default)]
pub(super) struct KeyMemory {
    uses: HashMap<RequestKey, KeyUse>,
    /// When each key that no longer runs may be forgotten.
    expiries: BTreeSet<(MonotonicTime, RequestKey)>,
}

/// What this process life has done with one key.
#[derive(Clone, Debug)]
pub(super) enum KeyUse {
    /// It is claimed, or runs, for that call.
    Running(CallId),
    /// It never ran here and was given up: it must not be claimed again.
    GivenUp,
    /// It ended so.
    Finished(FinalAnswer),
}

impl KeyMemory {
    /// Number of keys.
    pub(super) fn len(&self) -> usize {
        self.uses.len()
    }

    /// Whether another key can be remembered.
    pub(super) fn has_room(&self) -> bool {
        self.uses.len() < MEMORY_LIMIT
    }

    /// What was done with `key`.
    pub(super) fn get(&self, key: &RequestKey) -> Option<&KeyUse> {
        self.uses.get(key)
    }

    /// Remembers that `key` runs for `call`.
    pub(super) fn begin(&mut self, key: RequestKey, call: CallId) {
        self.uses.insert(key, KeyUse::Running(call));
    }

    /// Remembers that `key` was given up or, with `answer`, how it ended.
    pub(super) fn end(
        &mut self,
        key: RequestKey,
        answer: Option<FinalAnswer>,
        key_life: Duration,
        now: MonotonicTime,
    ) {
        self.expiries.insert((now + key_life * MEMORY_LIVES, key.clone()));
        self.uses.insert(key, answer.map_or(KeyUse::GivenUp, KeyUse::Finished));
    }

    /// Forgets keys whose registers are gone everywhere. None is forgotten earlier to save memory:
    /// this process life would then run a key again for which its old claims still stand.
    pub(super) fn forget(&mut self, now: MonotonicTime) {
        while self.expiries.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, key)) = self.expiries.pop_first() else { break };
            if !matches!(self.uses.get(&key), Some(KeyUse::Running(_))) {
                self.uses.remove(&key);
            }
        }
    }
}
