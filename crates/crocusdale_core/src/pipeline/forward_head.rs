use std::fmt;
use std::sync::Arc;

use crate::identity::{PartId, RequestDigest};

/// Maximum number of prompt parts of one request under which crashes are counted.
const MAX_CRASH_PARTS: usize = 32;

/// Head of a forwarded HTTP request. The body never enters the core.
#[derive(Clone, Debug, Default)]
pub struct ForwardHead {
    /// Host that the caller addressed.
    pub host: String,
    /// URL path without the query.
    pub path: String,
    /// Digest of the HTTP method, path, query and body.
    pub content: RequestDigest,
    /// Access key of the caller, if the request carries one.
    pub access: Option<String>,
    /// Number of pieces for each step of the pipeline, by position; 0 skips a batched step.
    pub pieces: Vec<u32>,
    /// Reference to the caller's input, from which upstreams compute the results of the first
    /// batched steps.
    pub piece_source: String,
    /// Tokens that the request needs from a model engine; `None` if the request does not say.
    pub demand: Option<Arc<EngineDemand>>,
    /// The stream that the request takes up. `None` if it begins a new one.
    pub resumed: Option<ResumedStream>,
}

/// A stream of which the caller already has events, and which it takes up with a new attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedStream {
    /// Id of the last event that the caller received.
    pub last_event: u64,
    /// Id of the caller's attempt that brought the first event. `None` if the caller did not name
    /// it.
    pub first_attempt: Option<String>,
}

/// Tokens that a request needs from a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineDemand {
    /// Prompt segments in order. The last segment belongs to this request alone; the others can be
    /// shared with other requests through an engine's prefix cache.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that may be generated.
    pub output_tokens: u64,
}

impl EngineDemand {
    /// The last prompt segment that other requests may share. Requests with the same segment are
    /// routed to the same engine, whose prefix cache holds it.
    #[must_use]
    pub fn last_shared_part(&self) -> Option<&PromptPart> {
        let shared_count = self.parts.len().checked_sub(1)?;
        self.parts[..shared_count].last()
    }

    /// Identities of the shared parts under which crashes of engines are counted: the first 32, so
    /// that no caller fills the records with its own.
    #[must_use]
    pub fn crash_parts(&self) -> Vec<PartId> {
        let parts = self.shared_parts().iter().take(MAX_CRASH_PARTS);
        parts.map(|part| PartId(part.id)).collect()
    }

    /// The prompt segments that other requests may share: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// One segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the segment; segments with equal content have equal ids.
    pub id: u64,
    /// Length of the segment, in tokens.
    pub tokens: u32,
}

/// Location of a piece's result, in the notation of the upstream that stores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ResultHandle(Arc<str>);

impl ResultHandle {
    /// Wraps the handle text that an upstream returned.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// The handle text as the upstream returned it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ResultHandle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
