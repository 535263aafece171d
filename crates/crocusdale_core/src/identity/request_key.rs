use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use super::stable_hash;

/// Identity of a request, chosen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct RequestKey {
    /// Workspace of the request.
    pub workspace: String,
    /// Key within that workspace.
    pub key: String,
}

impl RequestKey {
    /// Names the request `key` of `workspace`.
    #[must_use]
    pub fn new(workspace: impl Into<String>, key: impl Into<String>) -> Self {
        Self { workspace: workspace.into(), key: key.into() }
    }

    /// Hash that is the same in every process.
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

/// Identity of an open call of a caller, within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct CallId(pub u64);

/// Identity of one attempt at one stage; unlike that of any other attempt of any process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct AttemptId {
    /// Mark of the life of the process that made the attempt, [`super::InstanceId::mark`].
    pub incarnation: u64,
    /// Call that the attempt serves.
    pub call: CallId,
    /// Position among the attempts of that call.
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
        let mut next = || parts.next().unwrap_or_default();
        Ok(Self {
            incarnation: u64::from_str_radix(next(), 16)?,
            call: CallId(u64::from_str_radix(next(), 16)?),
            sequence: u32::from_str_radix(next(), 16)?,
        })
    }
}
