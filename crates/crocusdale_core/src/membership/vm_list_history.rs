use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::{VmList, WitnessSet};
use crate::identity::{MonotonicTime, RequestKey};

/// VM lists that were in use within the last key lifetime.
///
/// Guards against a second run of a key after the set of its witnesses has changed. A new witness
/// doesn't know the claims that its predecessor has granted, and might grant another one. A new
/// witness therefore abstains until all keys that its predecessor could have known have expired.
#[derive(Clone, Debug)]
pub struct VmListHistory {
    started: MonotonicTime,
    lists: VecDeque<(MonotonicTime, Arc<VmList>)>,
}

impl VmListHistory {
    /// Creates the history of a process that started at `started`, with an empty VM list.
    #[must_use]
    pub fn new(started: MonotonicTime) -> Self {
        Self { started, lists: VecDeque::from([(started, Arc::default())]) }
    }

    /// VM list in use.
    #[must_use]
    pub fn current(&self) -> &Arc<VmList> {
        &self.lists.back().expect("a VM list history contains at least one list").1
    }

    /// Replaces the current VM list by `vm_list` unless `vm_list` is older or equal, and removes
    /// lists that went out of use more than `key_life` ago. Returns whether the current list was
    /// replaced.
    pub fn take(&mut self, vm_list: VmList, now: MonotonicTime, key_life: Duration) -> bool {
        let current = self.current();
        if vm_list.revision < current.revision || vm_list == **current {
            return false;
        }
        self.lists.push_back((now, Arc::new(vm_list)));
        while self.lists.len() > 1 && now.since(self.lists[1].0) > key_life {
            self.lists.pop_front();
        }
        true
    }

    /// Time for which `vm` must still abstain from votes on `key`, or `None` if it may vote.
    ///
    /// It abstains until its process, and its role as a witness of `key`, are both older than the
    /// key lifetime `key_life`.
    #[must_use]
    pub fn remaining_abstention(
        &self,
        vm: &str,
        key: &RequestKey,
        now: MonotonicTime,
        key_life: Duration,
    ) -> Option<Duration> {
        let startup_wait = key_life.saturating_sub(now.since(self.started));
        let mut wait = startup_wait;
        for (index, (_, vm_list)) in self.lists.iter().enumerate().rev() {
            let ended = self.lists.get(index + 1).map(|(since, _)| *since);
            let is_recent = ended.is_none_or(|ended| now.since(ended) <= key_life);
            if is_recent && !WitnessSet::choose(key, vm_list).contains(vm) {
                let remaining =
                    ended.map_or(key_life, |ended| key_life.saturating_sub(now.since(ended)));
                wait = wait.max(remaining);
                break;
            }
        }
        (wait > Duration::ZERO).then_some(wait)
    }
}
