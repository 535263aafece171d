use serde::{Deserialize, Serialize};

/// What an engine works as.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Serves whole requests.
    #[default]
    Generate,
    /// Fills caches for others.
    Prefill,
    /// Continues from caches of others.
    Decode,
}

/// An order to one engine, derived from the declarations alone: daemons that have the same revision
/// in force give the same order, on whichever side of a partition they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number: the revision that the order was derived from.
    pub fence: u64,
    /// Model to load.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapter to load beside it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Role of the engine.
    #[serde(default)]
    pub role: EngineRole,
}

impl EngineOrder {
    /// Whether an engine that holds `held` already has what this order asks for.
    #[must_use]
    pub fn is_fulfilled_by(&self, held: &Self) -> bool {
        let content = |order: &Self| Self { fence: 0, ..order.clone() };
        content(self) == content(held)
    }
}
