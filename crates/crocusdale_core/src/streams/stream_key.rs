use crate::identity::RequestDigest;

/// Number of sections into which streams are divided by their keys. The daemons that keep the
/// records of one section are the same for all its streams, so that the number of daemons that each
/// daemon calls does not grow with the fleet.
const SECTION_COUNT: u8 = 64;

/// Identity of a stream: the workspace of its caller, and the caller's attempt that brought the
/// first event.
///
/// The key is a cryptographic hash, so that no caller can name the stream of another workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(RequestDigest);

impl StreamKey {
    /// Length of a key in a message, in bytes.
    pub const LEN: usize = RequestDigest::LEN;

    /// Key of the stream whose first event `first_attempt` brought to a caller of `workspace`.
    #[must_use]
    pub fn new(workspace: &str, first_attempt: &str) -> Self {
        Self(RequestDigest::of(&[b"stream", workspace.as_bytes(), first_attempt.as_bytes()]))
    }

    /// Section of the stream, below [`SECTION_COUNT`].
    #[must_use]
    pub fn section(&self) -> u8 {
        let [first, ..] = self.0.0;
        first % SECTION_COUNT
    }
}

impl From<[u8; StreamKey::LEN]> for StreamKey {
    fn from(bytes: [u8; Self::LEN]) -> Self {
        Self(RequestDigest(bytes))
    }
}

impl From<StreamKey> for [u8; StreamKey::LEN] {
    fn from(key: StreamKey) -> Self {
        key.0.0
    }
}
