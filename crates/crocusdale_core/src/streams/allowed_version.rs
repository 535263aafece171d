use super::StreamOrigin;
use crate::identity::SoftwareVersion;

/// Software versions of the upstreams to which an attempt may be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedVersion {
    /// All versions, because no event of a stream has been passed on.
    #[default]
    Any,
    /// The version that began the stream.
    Only(SoftwareVersion),
    /// None, because the version that began the stream is not known.
    Unknown,
}

impl AllowedVersion {
    /// Whether only some versions are allowed.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        *self != Self::Any
    }

    /// Whether an upstream with this version is allowed. `None` stands for an unknown version.
    #[must_use]
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => version == Some(allowed),
            Self::Unknown => false,
        }
    }
}

impl From<&StreamOrigin> for AllowedVersion {
    fn from(origin: &StreamOrigin) -> Self {
        origin.software_version.clone().map_or(Self::Unknown, Self::Only)
    }
}
