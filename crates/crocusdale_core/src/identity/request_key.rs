use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use super::stable_hash;

/// Idempotency key of a request, chosen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct RequestKey {
    /// Name of the workspace that the request belongs to.
    pub workspace: String,
    /// Key that is unique within the workspace.
    pub key: String,
}

impl RequestKey {
    /// Creates the key of the request `key` in the workspace `workspace`.
    #[must_use]
    pub fn new(workspace: impl Into<String>, key: impl Into<String>) -> Self {
        Self { workspace: workspace.into(), key: key.into() }
    }

    /// Hash of workspace and key that is equal in all processes.
    #[must_use]
    pub fn stable_hash(&self) -> u64 {
        stable_hash(&[&self.workspace, &self.key])
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.workspace, self.key)
    }
}

/// Identifier of an open call from a caller, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct CallId(pub u64);

/// Identifier of one attempt to run one stage, unique among all attempts of all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct AttemptId {
    /// [`super::InstanceId::process_hash`] of the process that made the attempt.
    pub incarnation: u64,
    /// Call from the caller that the attempt belongs to.
    pub call: CallId,
    /// Number of the attempt among the attempts for this call.
    pub sequence: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}-{:x}-{:x}", self.incarnation, self.call.0, self.sequence)
    }
}

impl FromStr for AttemptId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '-');
        let mut next_part = || parts.next().unwrap_or_default();
        Ok(Self {
            incarnation: u64::from_str_radix(next_part(), 16)?,
            call: CallId(u64::from_str_radix(next_part(), 16)?),
            sequence: u32::from_str_radix(next_part(), 16)?,
        })
    }
}
