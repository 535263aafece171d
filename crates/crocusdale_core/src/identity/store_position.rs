use std::fmt;

use serde::Serialize;

/// Position in the sequence of changes in a store.
///
/// A store may be restored from an older backup. It then assigns some revisions again, so revisions
/// are only comparable within one era. The era increases with each restore.
///
/// # Examples
///
/// ```
/// use crocusdale_core::identity::StorePosition;
///
/// let before = StorePosition { era: 1, revision: 900 };
/// let after = StorePosition { era: 2, revision: 350 };
/// assert!(after > before);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct StorePosition {
    /// Number of times that the store was restored from a backup, as counted by the store.
    pub era: u64,
    /// Revision within the era. 0 before the first change.
    pub revision: u64,
}

impl StorePosition {
    /// Whether this is the position before the first change in the store.
    #[must_use]
    pub fn is_none(self) -> bool {
        self == Self::default()
    }
}

impl From<u64> for StorePosition {
    /// Position in a store that was never restored from a backup, or doesn't count restores.
    fn from(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}
