use std::fmt;

use serde::{Serialize, Serializer};

/// What a request has in common with its repeats: caller, target and content. Each try of a caller
/// has another [`super::RequestKey`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Digests `parts`; the same in every process.
    ///
    /// # Examples
    ///
    /// ```
    /// use crocusdale_core::identity::RequestDigest;
    ///
    /// let first = RequestDigest::of(&[b"POST", b"/drafts", b"{}"]);
    /// assert_eq!(first, RequestDigest::of(&[b"POST", b"/drafts", b"{}"]));
    /// assert_ne!(first, RequestDigest::of(&[b"POST", b"/draft", b"s{}"]));
    /// ```
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
