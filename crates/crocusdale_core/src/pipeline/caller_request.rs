use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{FinalOutcome, ForwardHead, OutcomeKind, RefusalReason};
use crate::configuration::LabelSet;
use crate::identity::{RequestDigest, RequestKey};

/// Longest workspace name or key, in bytes.
pub const KEY_LIMIT: usize = 128;

/// A request as its caller sends it, in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedRequest {
    /// Workspace of the request.
    pub workspace: String,
    /// Key, chosen by the caller.
    pub key: String,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: LabelSet,
    /// Deadline, in milliseconds from now.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the last stage's stream is passed on as it comes.
    #[serde(default)]
    pub stream: bool,
    /// Time since the caller first sent this key, in milliseconds by its own clock; 0 for a first
    /// sending. A request that must not repeat is not run once its key could have been forgotten.
    #[serde(default)]
    pub age_ms: u64,
    /// Ticket of the daemon that the request is sent to, if the caller has one.
    #[serde(default)]
    pub ticket: Option<String>,
    /// What the stages work on.
    pub payload: Box<RawValue>,
}

/// A request that could be read.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Workspace and key.
    pub key: RequestKey,
    /// Labels for selectors.
    pub labels: LabelSet,
    /// Time within which the caller wants the answer.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the last stage's stream is passed on as it comes.
    pub stream: bool,
    /// Time since the caller first sent this key.
    pub age: Duration,
    /// Ticket of this daemon.
    pub ticket: Option<String>,
    /// What the stages work on.
    pub content: RequestContent,
}

/// What the stages of a request work on.
#[derive(Clone, Debug)]
pub enum RequestContent {
    /// JSON, which each stage gets.
    Json(Box<RawValue>),
    /// A request that is passed through as it came; only its head is known here.
    Forward(Box<ForwardHead>),
}

impl CallerRequest {
    /// Sets the digest of what is passed through, once its body has been read.
    pub fn set_content(&mut self, content: RequestDigest) {
        if let RequestContent::Forward(head) = &mut self.content {
            head.content = content;
        }
    }

    /// What the request has in common with its repeats, if it is sent by the workspace `workspace`.
    #[must_use]
    pub fn digest(&self, workspace: &str) -> RequestDigest {
        match &self.content {
            RequestContent::Json(payload) => {
                let labels = self.labels.to_string();
                RequestDigest::of(&[
                    workspace.as_bytes(),
                    labels.as_bytes(),
                    payload.get().as_bytes(),
                ])
            }
            RequestContent::Forward(head) => {
                let (host, content) = (head.host.as_bytes(), &head.content.0);
                RequestDigest::of(&[workspace.as_bytes(), host, content])
            }
        }
    }

    /// The head of a request that is passed through.
    #[must_use]
    pub fn forward(&self) -> Option<&ForwardHead> {
        match &self.content {
            RequestContent::Json(_) => None,
            RequestContent::Forward(head) => Some(head),
        }
    }
}

impl TryFrom<SubmittedRequest> for CallerRequest {
    type Error = Box<FinalOutcome>;

    fn try_from(wire: SubmittedRequest) -> Result<Self, Self::Error> {
        let key = RequestKey::new(wire.workspace, wire.key);
        let refuse = |reason, detail: String| {
            Err(Box::new(
                FinalOutcome::new(OutcomeKind::Refused, &key).reason(reason).detail(detail),
            ))
        };
        for (name, value) in [("workspace", &key.workspace), ("key", &key.key)] {
            if value.is_empty() || value.len() > KEY_LIMIT {
                let detail = format!("{name}: accepted: 1 to {KEY_LIMIT} bytes");
                return refuse(RefusalReason::Malformed, detail);
            }
        }
        if let Some(fault) = wire.labels.first_fault() {
            let detail =
                format!("labels: {fault}; accepted: up to {} pairs of words", LabelSet::MOST);
            return refuse(RefusalReason::BadLabels, detail);
        }
        Ok(Self {
            key,
            labels: wire.labels,
            deadline: Duration::from_millis(wire.deadline_ms),
            repeatable: wire.repeatable,
            stream: wire.stream,
            age: Duration::from_millis(wire.age_ms),
            ticket: wire.ticket,
            content: RequestContent::Json(wire.payload),
        })
    }
}
