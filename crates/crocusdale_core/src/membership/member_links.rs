use std::collections::BTreeMap;

use serde::Serialize;

/// Maximum number of pools whose reach a member announces. Beyond it, the member announces that it
/// reaches none.
const MAX_ANNOUNCED_POOLS: usize = 32;

/// Which upstreams of a pool a member can connect to, if not all or nearly all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PoolReach {
    /// Less than half of them.
    Partial,
    /// None of them.
    None,
}

/// Pools whose upstreams a member can connect to over its own links, as the member announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberLinks {
    /// All pools except these.
    AllExcept(BTreeMap<String, PoolReach>),
    /// No pool, or too few to name the others.
    NoPool,
}

impl MemberLinks {
    /// Links of a member that reaches all pools except `impaired`.
    #[must_use]
    pub fn new(impaired: BTreeMap<String, PoolReach>) -> Self {
        if impaired.len() > MAX_ANNOUNCED_POOLS { Self::NoPool } else { Self::AllExcept(impaired) }
    }

    /// Whether the member reaches the upstreams of `pool`, or nearly all of them.
    #[must_use]
    pub fn reaches(&self, pool: &str) -> bool {
        match self {
            Self::AllExcept(impaired) => !impaired.contains_key(pool),
            Self::NoPool => false,
        }
    }

    /// Whether the member reaches any upstream of `pool`.
    #[must_use]
    pub fn reaches_any(&self, pool: &str) -> bool {
        match self {
            Self::AllExcept(impaired) => impaired.get(pool) != Some(&PoolReach::None),
            Self::NoPool => false,
        }
    }

    /// Number of pools that the member doesn't reach.
    #[must_use]
    pub fn impaired_count(&self) -> usize {
        match self {
            Self::AllExcept(impaired) => impaired.len(),
            Self::NoPool => usize::MAX,
        }
    }

    /// Whether the member reaches all pools.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        *self == Self::default()
    }
}

impl Default for MemberLinks {
    /// Links of a member that reaches all pools.
    fn default() -> Self {
        Self::AllExcept(BTreeMap::new())
    }
}
