use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::{VmRoster, WitnessSet};
use crate::identity::{MonotonicTime, RequestKey};

/// The VM lists that were in use during the last life of a key.
///
/// Guards against a witness that became one only now: it can't know what the VM that it replaced
/// promised, and would let a second daemon run the key. It holds because such a witness abstains
/// until every key that its predecessor could have known has been forgotten.
#[derive(Clone, Debug)]
pub struct RosterHistory {
    started: MonotonicTime,
    lists: VecDeque<(MonotonicTime, Arc<VmRoster>)>,
}

impl RosterHistory {
    /// Begins at the start of the process, with an empty list.
    #[must_use]
    pub fn new(started: MonotonicTime) -> Self {
        Self { started, lists: VecDeque::from([(started, Arc::default())]) }
    }

    /// The list in use now.
    #[must_use]
    pub fn current(&self) -> &Arc<VmRoster> {
        &self.lists.back().expect("a history is never empty").1
    }

    /// Takes `roster` into use unless it is older than the current one.
    ///
    /// Returns whether it was taken.
    pub fn take(&mut self, roster: VmRoster, now: MonotonicTime, key_life: Duration) -> bool {
        let current = self.current();
        if roster.revision < current.revision || roster == **current {
            return false;
        }
        self.lists.push_back((now, Arc::new(roster)));
        while self.lists.len() > 1 && now.since(self.lists[1].0) > key_life {
            self.lists.pop_front();
        }
        true
    }

    /// Time until `vm` may vote on `key`; `None` if it may vote now.
    #[must_use]
    pub fn abstention(
        &self,
        vm: &str,
        key: &RequestKey,
        now: MonotonicTime,
        key_life: Duration,
    ) -> Option<Duration> {
        let youth = key_life.saturating_sub(now.since(self.started));
        let mut wait = youth;
        for (index, (_, roster)) in self.lists.iter().enumerate().rev() {
            let ended = self.lists.get(index + 1).map(|(since, _)| *since);
            let recent = ended.is_none_or(|ended| now.since(ended) <= key_life);
            if recent && !WitnessSet::choose(key, roster).contains(vm) {
                let left =
                    ended.map_or(key_life, |ended| key_life.saturating_sub(now.since(ended)));
                wait = wait.max(left);
                break;
            }
        }
        (wait > Duration::ZERO).then_some(wait)
    }
}
