use std::fmt;
use std::sync::Arc;

use crate::identity::RequestDigest;

/// What the core knows of a request that is passed through; its body never enters the core.
#[derive(Clone, Debug, Default)]
pub struct ForwardHead {
    /// Host that the caller named.
    pub host: String,
    /// Path, without its query.
    pub path: String,
    /// Digest of method, path, query and body.
    pub content: RequestDigest,
    /// Access key of the caller.
    pub access: Option<String>,
    /// Pieces of each batched step, in the order of the pipeline's steps; 0 leaves a step out.
    pub pieces: Vec<u32>,
    /// What upstreams make the first results from.
    pub piece_source: String,
    /// What the request asks of a model engine.
    pub demand: Option<Arc<EngineDemand>>,
}

/// What a request asks of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineDemand {
    /// Parts of the prompt in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens that may be generated.
    pub output_tokens: u64,
}

impl EngineDemand {
    /// The last part that other requests may share, by which requests with the same parts find
    /// the same engine.
    #[must_use]
    pub fn subject(&self) -> Option<&PromptPart> {
        let shared = self.parts.len().checked_sub(1)?;
        self.parts[..shared].last()
    }

    /// Parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part; equal parts have equal ones.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// Where the result of one piece lies, as the upstream that made it named it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ResultHandle(Arc<str>);

impl ResultHandle {
    /// The handle that an upstream gave.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// The handle as text.
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
