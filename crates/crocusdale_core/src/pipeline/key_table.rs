use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::FinalAnswer;
use crate::identity::{CallId, MonotonicTime, RequestKey};

/// Multiple of the key lifetime for which the outcome of a key is kept; longer than the retention
/// of any witness register.
const RETENTION_LIFETIMES: u32 = 10;
/// Maximum number of keys in the table of one shard.
const MAX_KEYS: usize = 65_536;

/// State of the keys that this process incarnation handled for requests that must run at most once.
#[derive(Debug, Default)]
pub(super) struct KeyTable {
    states: HashMap<RequestKey, KeyState>,
    /// Time at which each key that no longer runs may be removed.
    expiries: BTreeSet<(MonotonicTime, RequestKey)>,
}

/// State of one key in this process incarnation.
#[derive(Clone, Debug)]
pub(super) enum KeyState {
    /// The key is being claimed or is running, on behalf of this call.
    Running(CallId),
    /// The key never ran here and was abandoned, so it must not be claimed again.
    Abandoned,
    /// The request ended with this answer.
    Finished(FinalAnswer),
}

impl KeyTable {
    /// Number of keys in the table.
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether the table can hold another key.
    pub(super) fn has_capacity(&self) -> bool {
        self.states.len() < MAX_KEYS
    }

    /// State of `key`, or `None` if the table has no entry for it.
    pub(super) fn get(&self, key: &RequestKey) -> Option<&KeyState> {
        self.states.get(key)
    }

    /// Marks `key` as running on behalf of `call`.
    pub(super) fn mark_running(&mut self, key: RequestKey, call: CallId) {
        self.states.insert(key, KeyState::Running(call));
    }

    /// Marks `key` as finished with `answer`, or as abandoned if `answer` is `None`.
    pub(super) fn mark_ended(
        &mut self,
        key: RequestKey,
        answer: Option<FinalAnswer>,
        key_life: Duration,
        now: MonotonicTime,
    ) {
        self.expiries.insert((now + key_life * RETENTION_LIFETIMES, key.clone()));
        self.states.insert(key, answer.map_or(KeyState::Abandoned, KeyState::Finished));
    }

    /// Removes keys whose registers have expired at all witnesses.
    ///
    /// No key is removed earlier to save memory: this process incarnation would then run a key
    /// again while its old claims still stand at the witnesses.
    pub(super) fn remove_expired(&mut self, now: MonotonicTime) {
        while self.expiries.first().is_some_and(|(expiry, _)| *expiry <= now) {
            let Some((_, key)) = self.expiries.pop_first() else { break };
            if !matches!(self.states.get(&key), Some(KeyState::Running(_))) {
                self.states.remove(&key);
            }
        }
    }
}
