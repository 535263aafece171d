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
    /// Whole: every stage answer belongs to this request, and its end was seen.
    Answered,
    /// Not run: no stage of it was or ever will be given to an upstream.
    Refused,
    /// It ran, wholly or in part, and no answer will come.
    Failed,
    /// It may have run.
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
    /// The request could not be read.
    Malformed,
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No such workspace is declared.
    UnknownWorkspace,
    /// A label can't be read, or there are too many.
    BadLabels,
    /// The deadline is zero or longer than what is declared.
    BadDeadline,
    /// No pipeline serves these labels.
    NoPipeline,
    /// No pipeline serves this path.
    NoRoute,
    /// The access key is missing or unknown.
    NoAccess,
    /// The daemon has no configuration yet.
    NotReady,
    /// The daemon is about to end, and could not finish the request.
    Draining,
    /// Too many requests run in this daemon.
    RequestLimit,
    /// Too many requests of the workspace run in this daemon.
    WorkspaceLimit,
    /// Too many requests of a rule run in this daemon.
    RuleLimit,
    /// The answer could not come within the deadline.
    Overload,
    /// No upstream of a stage can be used.
    NoUpstream,
    /// The deadline passed.
    Deadline,
    /// The upstream answered with an error.
    UpstreamError,
    /// The answer of an upstream was cut, foreign or malformed, or none came.
    UpstreamBroken,
    /// Upstreams ended under requests like this one.
    Quarantined,
    /// The key could not be claimed at its witnesses.
    NotClaimed,
    /// The key is so old, or its age so uncertain, that its witnesses may have forgotten it.
    KeyExpired,
    /// The ticket is not of this life of the process, or too old.
    BadTicket,
    /// The key was asked for and never ran; it will not run any more.
    NeverRun,
    /// The request runs elsewhere, and its holder can't be reached.
    HolderLost,
}

/// Time and cost of one stage of an answered request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageCost {
    /// The stage.
    pub stage: String,
    /// The upstream that answered.
    pub upstream: String,
    /// Time from the first wish for an upstream to the answer, in milliseconds.
    pub time_ms: f64,
    /// Attempts that were made and may have run.
    pub attempts: u32,
    /// Upstreams, or dispatchers, that failed it or ran nothing before, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<String>,
    /// Seconds of upstreams' time, by the stage's declared cost.
    pub cost: f64,
}

/// Final answer of a request, as the caller sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalOutcome {
    /// How it ended.
    pub outcome: OutcomeKind,
    /// The request.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub workspace: String,
    /// Its key.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// Why it was not answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<RefusalReason>,
    /// Words for a person.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Stage at which it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<String>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether the same key may be sent again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub same_key: Option<bool>,
    /// The answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Box<RawValue>>,
    /// Time and cost by stage.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stages: Vec<StageCost>,
    /// Time from the request to its end, for those who measure; callers see it themselves.
    #[serde(skip)]
    pub took: Option<Duration>,
}

/// Final answer with its JSON, built once.
#[derive(Clone, Debug)]
pub struct FinalAnswer {
    /// The request.
    pub key: RequestKey,
    /// How it ended.
    pub kind: OutcomeKind,
    /// Why it was not answered.
    pub reason: Option<RefusalReason>,
    /// Stage at which it ended, if it was not answered.
    pub stage: Option<String>,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// JSON of a [`FinalOutcome`].
    pub body: Arc<[u8]>,
    /// Time and cost by stage.
    pub stages: Vec<StageCost>,
    /// Time from the request to its end, where it was measured.
    pub took: Option<Duration>,
}

impl FinalOutcome {
    /// An outcome of `key` with nothing else said.
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
            took: None,
        }
    }

    /// Says why.
    #[must_use]
    pub fn reason(mut self, reason: RefusalReason) -> Self {
        self.reason = Some(reason);
        self
    }

    /// Says more about why.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Says when to come back, and whether with the same key.
    #[must_use]
    pub fn retry(mut self, after: Duration, same_key: bool) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self.same_key = Some(same_key);
        self
    }
}

impl FinalAnswer {
    /// The answer of `outcome`, whose JSON is `body`.
    fn new(outcome: FinalOutcome, body: Arc<[u8]>) -> Self {
        Self {
            key: RequestKey::new(outcome.workspace, outcome.key),
            kind: outcome.outcome,
            reason: outcome.reason,
            stage: outcome.stage,
            retry_after: outcome.retry_after_ms.map(Duration::from_millis),
            body,
            stages: outcome.stages,
            took: outcome.took,
        }
    }
}

impl From<FinalOutcome> for FinalAnswer {
    fn from(outcome: FinalOutcome) -> Self {
        let body = serde_json::to_vec(&outcome).expect("an outcome has no maps with odd keys");
        Self::new(outcome, body.into())
    }
}

impl TryFrom<&[u8]> for FinalAnswer {
    type Error = serde_json::Error;

    /// Reads an outcome that a peer kept.
    fn try_from(body: &[u8]) -> Result<Self, Self::Error> {
        Ok(Self::new(serde_json::from_slice(body)?, body.into()))
    }
}
