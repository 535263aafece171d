use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::identity::RequestKey;

/// How a request ended.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OutcomeKind {
    /// Every stage answered this request completely, and the end of each answer was seen.
    Answered,
    /// No stage of the request ran, and none ever will.
    Refused,
    /// At least one stage of the request ran, and no answer will come.
    Failed,
    /// It can't be proved whether the request ran.
    Unknown,
}

/// Why a request was not answered.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The request could not be parsed.
    Malformed,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The request body did not arrive in time.
    TooSlow,
    /// There is no memory for the request body.
    NoRoom,
    /// The workspace is not declared.
    UnknownWorkspace,
    /// A label can't be parsed, or the request has too many labels.
    BadLabels,
    /// The deadline is zero or longer than the declared maximum.
    BadDeadline,
    /// No pipeline matches the labels of the request.
    NoPipeline,
    /// No pipeline serves the path of the request.
    NoRoute,
    /// The access key is missing or unknown.
    NoAccess,
    /// The daemon has not received a configuration yet.
    NotReady,
    /// The daemon is shutting down and could not finish the request.
    Draining,
    /// The daemon's limit of concurrent requests is reached.
    RequestLimit,
    /// The workspace's limit of concurrent requests is reached.
    WorkspaceLimit,
    /// The concurrency limit of a rule that matches the request is reached.
    RuleLimit,
    /// The request was shed because its answer could not come within the deadline.
    Overload,
    /// A stage has no usable upstream.
    NoUpstream,
    /// The deadline passed.
    Deadline,
    /// The upstream answered with an error.
    UpstreamError,
    /// The upstream's answer was cut off, belonged to another attempt or was malformed, or no
    /// answer came.
    UpstreamBroken,
    /// Upstreams crashed while they ran requests with the same digest.
    Quarantined,
    /// It is not known at which software version the stream began that the request takes up.
    StreamUnknown,
    /// The idempotency key could not be claimed at its witnesses.
    NotClaimed,
    /// The idempotency key is so old, or its age so uncertain, that its witnesses may have
    /// forgotten it.
    KeyExpired,
    /// The ticket was issued by another process incarnation, or is too old.
    BadTicket,
    /// The outcome of an idempotency key was asked for. The key never ran and never will.
    NeverRun,
    /// The request runs on another daemon, which can't be reached.
    HolderLost,
}

/// Time and cost of one stage of an answered request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageCost {
    /// Name of the stage.
    pub stage: String,
    /// Name of the upstream that answered.
    pub upstream: String,
    /// Time from the first request for an upstream to the answer, in milliseconds.
    pub time_ms: f64,
    /// Number of attempts that may have run.
    pub attempts: u32,
    /// Names of the upstreams, or of the VMs of dispatchers, that failed the stage or did not run
    /// it, in the order of the attempts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<String>,
    /// Upstream time of the answered attempt in seconds, times the stage's declared cost factor.
    pub cost: f64,
}

/// JSON body of the final answer that the caller receives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalOutcome {
    /// How the request ended.
    pub outcome: OutcomeKind,
    /// Workspace of the request.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub workspace: String,
    /// Idempotency key of the request.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// Why the request was not answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<RefusalReason>,
    /// Explanation for people; programs should read `reason`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// First stage that had no answer when the request ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<String>,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether a retry may use the same idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub same_key: Option<bool>,
    /// JSON of the last stage's answer. Several last stages give a list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Box<RawValue>>,
    /// Time and cost of each answered stage.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stages: Vec<StageCost>,
    /// Time from the arrival of the request to its end, for metrics. It is not sent, as callers can
    /// measure it themselves.
    #[serde(skip)]
    pub duration: Option<Duration>,
}

/// Final answer together with its JSON body, which is serialized once.
#[derive(Clone, Debug)]
pub struct FinalAnswer {
    /// Workspace and idempotency key of the request.
    pub key: RequestKey,
    /// How the request ended.
    pub kind: OutcomeKind,
    /// Why the request was not answered.
    pub reason: Option<RefusalReason>,
    /// First stage that had no answer, if the request was not answered.
    pub stage: Option<String>,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// JSON of a [`FinalOutcome`].
    pub body: Arc<[u8]>,
    /// Time and cost of each answered stage.
    pub stages: Vec<StageCost>,
    /// Time from the arrival of the request to its end; `None` if this process did not measure it.
    pub duration: Option<Duration>,
}

impl FinalOutcome {
    /// Creates an outcome of `key` without a reason or an answer.
    #[must_use]
    pub fn new(outcome: OutcomeKind, key: &RequestKey) -> Self {
        Self {
            outcome,
            workspace: key.workspace.clone(),
            key: key.key.clone(),
            reason: None,
            detail: None,
            stage: None,
            retry_after_ms: None,
            same_key: None,
            answer: None,
            stages: Vec::new(),
            duration: None,
        }
    }

    /// Sets why the request was not answered.
    #[must_use]
    pub fn with_reason(mut self, reason: RefusalReason) -> Self {
        self.reason = Some(reason);
        self
    }

    /// Sets the explanation for people.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Sets the time after which the caller may retry, and whether a retry may use the same key.
    #[must_use]
    pub fn with_retry(mut self, after: Duration, same_key: bool) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self.same_key = Some(same_key);
        self
    }
}

impl FinalAnswer {
    /// Combines `outcome` with `body`, its serialized JSON.
    fn new(outcome: FinalOutcome, body: Arc<[u8]>) -> Self {
        Self {
            key: RequestKey::new(outcome.workspace, outcome.key),
            kind: outcome.outcome,
            reason: outcome.reason,
            stage: outcome.stage,
            retry_after: outcome.retry_after_ms.map(Duration::from_millis),
            body,
            stages: outcome.stages,
            duration: outcome.duration,
        }
    }
}

impl From<FinalOutcome> for FinalAnswer {
    fn from(outcome: FinalOutcome) -> Self {
        let body = serde_json::to_vec(&outcome)
            .expect("a final outcome has no maps, so it always serializes to JSON");
        Self::new(outcome, body.into())
    }
}

impl TryFrom<&[u8]> for FinalAnswer {
    type Error = serde_json::Error;

    /// Parses an outcome that a peer stored.
    fn try_from(body: &[u8]) -> Result<Self, Self::Error> {
        Ok(Self::new(serde_json::from_slice(body)?, body.into()))
    }
}
