use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{FinalOutcome, ForwardHead, OutcomeKind, RefusalReason};
use crate::configuration::LabelSet;
use crate::identity::{RequestDigest, RequestKey};

/// Maximum length of a workspace name or of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// JSON body of a request, as the caller submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedRequest {
    /// Workspace of the request.
    pub workspace: String,
    /// Idempotency key, chosen by the caller.
    pub key: String,
    /// Labels that the selectors of rules and pipelines match.
    #[serde(default)]
    pub labels: LabelSet,
    /// Deadline, in milliseconds from the arrival of the request.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the last stage's stream is passed on to the caller as it arrives.
    #[serde(default)]
    pub stream: bool,
    /// Time since the caller first sent this key, in milliseconds by the caller's own clock; 0 for
    /// a first sending. A request that must run at most once is refused when its key may already
    /// have been forgotten.
    #[serde(default)]
    pub age_ms: u64,
    /// Ticket from the daemon that receives the request, if the caller has one. It proves the key's
    /// age by that daemon's clock.
    #[serde(default)]
    pub ticket: Option<String>,
    /// JSON input of the stages.
    pub payload: Box<RawValue>,
}

/// A request that was parsed and validated.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Workspace and idempotency key.
    pub key: RequestKey,
    /// Labels that the selectors of rules and pipelines match.
    pub labels: LabelSet,
    /// Time from the arrival of the request within which the caller wants the answer.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the last stage's stream is passed on to the caller as it arrives.
    pub stream: bool,
    /// Time since the caller first sent this key.
    pub age: Duration,
    /// Ticket that this daemon issued for the key, if the caller sent one.
    pub ticket: Option<String>,
    /// Input of the stages.
    pub content: RequestContent,
}

/// Input of a request's stages.
#[derive(Clone, Debug)]
pub enum RequestContent {
    /// JSON input, which every stage receives.
    Json(Box<RawValue>),
    /// HTTP request that is forwarded unchanged; the core knows only its head.
    Forward(Box<ForwardHead>),
}

impl CallerRequest {
    /// Sets the content digest of a forwarded request, once its body has been read. A JSON request
    /// stays as it is.
    pub fn set_content(&mut self, content: RequestDigest) {
        if let RequestContent::Forward(head) = &mut self.content {
            head.content = content;
        }
    }

    /// Digest that repeats of this request share if `workspace` sends them. It leaves out the
    /// idempotency key.
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

    /// The head of a forwarded request, or `None` for a JSON request.
    #[must_use]
    pub fn forward_head(&self) -> Option<&ForwardHead> {
        match &self.content {
            RequestContent::Json(_) => None,
            RequestContent::Forward(head) => Some(head),
        }
    }
}

impl TryFrom<SubmittedRequest> for CallerRequest {
    type Error = Box<FinalOutcome>;

    fn try_from(submitted: SubmittedRequest) -> Result<Self, Self::Error> {
        let key = RequestKey::new(submitted.workspace, submitted.key);
        let refuse = |reason, detail: String| {
            Err(Box::new(
                FinalOutcome::new(OutcomeKind::Refused, &key)
                    .with_reason(reason)
                    .with_detail(detail),
            ))
        };
        for (name, value) in [("workspace", &key.workspace), ("key", &key.key)] {
            if value.is_empty() || value.len() > MAX_KEY_BYTES {
                let detail = format!("{name}: accepted: 1 to {MAX_KEY_BYTES} bytes");
                return refuse(RefusalReason::Malformed, detail);
            }
        }
        if let Some(fault) = submitted.labels.describe_first_error() {
            let detail =
                format!("labels: {fault}; accepted: up to {} pairs of words", LabelSet::MAX_LABELS);
            return refuse(RefusalReason::BadLabels, detail);
        }
        Ok(Self {
            key,
            labels: submitted.labels,
            deadline: Duration::from_millis(submitted.deadline_ms),
            repeatable: submitted.repeatable,
            stream: submitted.stream,
            age: Duration::from_millis(submitted.age_ms),
            ticket: submitted.ticket,
            content: RequestContent::Json(submitted.payload),
        })
    }
}
