use std::collections::BTreeSet;

use super::DirectoryEntry;
use crate::identity::MonotonicTime;

/// Maximum number of changed upstreams that are recorded one by one. More of them add up to the
/// cost of a whole list.
const MAX_RECORDED_CHANGES: usize = 1_024;

/// What has changed in the list of published upstreams since routing was last updated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// Any upstream may have changed.
    All,
    /// Only these upstreams have changed.
    Upstreams(Vec<ChangedUpstream>),
}

/// A published upstream whose routing has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedUpstream {
    /// Name of the upstream, which is unique to this run of its process.
    pub name: String,
    /// Current entry. `None` if the upstream may get no new work.
    pub entry: Option<DirectoryEntry>,
    /// End of the cold start. `None` if no cold start was reported.
    pub cold_until: Option<MonotonicTime>,
}

/// Names of the upstreams whose routing has changed.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeRecord {
    names: BTreeSet<String>,
    /// Whether upstreams have changed that `names` lacks.
    has_unnamed: bool,
}

impl ChangeRecord {
    /// Records a change of the upstream `name`.
    pub(super) fn record(&mut self, name: String) {
        if self.has_unnamed {
            return;
        }
        self.names.insert(name);
        if self.names.len() > MAX_RECORDED_CHANGES {
            self.record_all();
        }
    }

    /// Records that any upstream may have changed.
    pub(super) fn record_all(&mut self) {
        self.has_unnamed = true;
        self.names.clear();
    }

    /// Returns the names of the changed upstreams and clears the record. `None` if any upstream may
    /// have changed.
    pub(super) fn take(&mut self) -> Option<BTreeSet<String>> {
        let Self { names, has_unnamed } = std::mem::take(self);
        (!has_unnamed).then_some(names)
    }
}
