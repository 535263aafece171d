use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Version of the software that an upstream runs. Upstreams that are declared rather than published
/// have the empty version.
///
/// What two versions write does not fit together, so a stream may only go on at its own version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Maximum length of a version, in bytes.
    pub const MAX_BYTES: usize = 128;

    /// The version `text`, or `None` if it is longer than [`Self::MAX_BYTES`].
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        (text.len() <= Self::MAX_BYTES).then(|| Self(text.into()))
    }

    /// The version as it was published.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
