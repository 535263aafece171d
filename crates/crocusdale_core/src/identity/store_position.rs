use std::fmt;

use serde::Serialize;

/// A position in what a store has written.
///
/// A store may come back from an older copy. Revisions are given out again then, so that they order what
/// was read within one era only; the era rises with each such return.
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
    /// Times that the store has come back from an older copy, as it counts them.
    pub era: u64,
    /// Revision within that era, 0 for none.
    pub revision: u64,
}

impl StorePosition {
    /// Whether it stands before all that was ever written.
    #[must_use]
    pub fn is_none(self) -> bool {
        self == Self::default()
    }
}

impl From<u64> for StorePosition {
    /// A position in a store that has never come back from a copy, or doesn't count it.
    fn from(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}
