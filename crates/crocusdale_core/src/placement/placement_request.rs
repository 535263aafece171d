use std::time::Duration;

use super::FirstEventTime;
use crate::configuration::AllowedRegions;
use crate::identity::{AttemptId, MonotonicTime, stable_hash};
use crate::pipeline::PromptPart;
use crate::streams::AllowedVersion;

/// Maximum number of shared prompt parts of a request.
pub(crate) const MAX_PARTS: usize = 256;
/// Maximum number of excluded upstreams and of allowed regions of a request.
pub(crate) const MAX_NAMES: usize = 256;
/// Maximum number of tokens of a prompt or an answer.
pub(crate) const MAX_TOKENS: u64 = 1 << 32;

/// A request whose engine the placement coordinator is asked to choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Identity of the placement, which the reports about it carry too.
    pub attempt: AttemptId,
    /// Section of the engine pool.
    pub section: String,
    /// Priority level; 0 is the most urgent.
    pub level: u8,
    /// Prompt parts that other requests may share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that may be generated.
    pub output_tokens: u64,
    /// Time by which the first event should be sent.
    pub objective: MonotonicTime,
    /// Deadline of the caller's request.
    pub deadline: MonotonicTime,
    /// Names of the upstreams at which earlier attempts failed.
    pub excluded: Vec<String>,
    /// Regions in which the request may be processed.
    pub allowed_regions: AllowedRegions,
    /// Software versions of the engines that may run the request.
    pub allowed_version: AllowedVersion,
    /// Availability zone that holds the inputs. `None` if they are small.
    pub input_zone: Option<String>,
    /// Size of these inputs in bytes.
    pub input_bytes: u64,
}

impl PlacementRequest {
    /// Limits the parts and the token counts to what a coordinator accepts. Callers choose them,
    /// and a daemon takes a coordinator that refuses its message as lost.
    #[must_use]
    pub fn limited(mut self) -> Self {
        self.shared_parts.truncate(MAX_PARTS);
        self.excluded.truncate(MAX_NAMES);
        self.prompt_tokens = self.prompt_tokens.min(MAX_TOKENS);
        self.output_tokens = self.output_tokens.min(MAX_TOKENS);
        self
    }

    /// Text whose hash ranks the engines: the last shared prompt part, so that requests of one
    /// session prefer one engine. A request without shared parts ranks by its own identity.
    pub(super) fn affinity(&self) -> String {
        match self.shared_parts.last() {
            Some(part) => part.id.to_string(),
            None => self.attempt.to_string(),
        }
    }

    /// Hash that chooses the section of the pool.
    #[must_use]
    pub fn section_hash(shared_parts: &[PromptPart], attempt: AttemptId) -> u64 {
        match shared_parts.last() {
            Some(part) => stable_hash(&[&part.id.to_string()]),
            None => stable_hash(&[&attempt.to_string()]),
        }
    }
}

/// Decision of a placement coordinator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementReply {
    /// Name of the chosen upstream. `None` if no engine can be chosen.
    pub upstream: Option<String>,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Recent time to the first event in the whole section. `None` before any was measured.
    pub first_event: Option<FirstEventTime>,
}
