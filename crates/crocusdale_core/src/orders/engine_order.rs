use serde::{Deserialize, Serialize};

/// Role of a model engine in serving requests.
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
    /// Serves whole requests: processes the prompt and generates the answer.
    #[default]
    Generate,
    /// Processes prompts and fills the caches that other engines decode from.
    Prefill,
    /// Generates answers from caches that other engines have filled.
    Decode,
}

/// Desired state of one model engine. It is derived from the declarations alone, so that daemons
/// with the same revision send the same order, even on different sides of a network partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token: the revision that the order was derived from. Engines that check the token
    /// reject an order whose token is lower than that of the order they hold. Some engines don't
    /// check it, so that the sending daemon compares the tokens before it sends an order.
    pub fence: u64,
    /// Name of the model to load.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapter to load with the model, or `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Role of the engine.
    #[serde(default)]
    pub role: EngineRole,
}

impl EngineOrder {
    /// Whether an engine whose latest accepted order is `held` needs no change. The fencing tokens
    /// may differ.
    #[must_use]
    pub fn is_fulfilled_by(&self, held: &Self) -> bool {
        let without_fence = |order: &Self| Self { fence: 0, ..order.clone() };
        without_fence(self) == without_fence(held)
    }
}
