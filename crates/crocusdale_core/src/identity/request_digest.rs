use std::fmt;

use serde::{Serialize, Serializer};

/// Cryptographic digest of caller, target and content of a request, which is equal for all retries
/// by the caller. Each of these retries may have another [`super::RequestKey`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub [u8; RequestDigest::LEN]);

impl RequestDigest {
    /// Length of a digest, in bytes.
    pub const LEN: usize = 16;

    /// Digest of `parts`, equal in all processes. The digest is resistant to collisions, so that a
    /// caller can't forge a request with the digest of another caller's request.
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
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; Self::LEN];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
