use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, Result};
use crocusdale_core::pipeline::{FinalOutcome, OutcomeKind, RefusalReason};
use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};

/// Time that a call of a test may take at most.
const PATIENCE: Duration = Duration::from_secs(20);

/// Calls daemons as callers and operators do.
#[derive(Clone)]
pub struct CallerClient {
    client: Client,
}

impl std::fmt::Debug for CallerClient {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("CallerClient").finish_non_exhaustive()
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Pieces of a streamed answer.
    pub pieces: Vec<String>,
    /// The final answer.
    pub outcome: FinalOutcome,
}

impl CallerAnswer {
    /// How the request ended.
    #[must_use]
    pub fn kind(&self) -> OutcomeKind {
        self.outcome.outcome
    }

    /// Why it was not answered.
    #[must_use]
    pub fn reason(&self) -> Option<RefusalReason> {
        self.outcome.reason
    }

    /// The answer as text.
    #[must_use]
    pub fn text(&self) -> String {
        self.outcome.answer.as_ref().map(|answer| answer.get().to_owned()).unwrap_or_default()
    }
}

/// Builds a request.
#[derive(Clone, Debug)]
pub struct RequestBuilder {
    body: Value,
}

impl RequestBuilder {
    /// A repeatable request `key` of the workspace `mail` for the job `job`.
    #[must_use]
    pub fn new(key: &str, job: &str) -> Self {
        let body = json!({
            "workspace": "mail",
            "key": key,
            "labels": { "job": job },
            "deadline_ms": 2_000,
            "repeatable": true,
            "payload": { "about": key },
        });
        Self { body }
    }

    /// Makes it not repeatable.
    #[must_use]
    pub fn once(mut self) -> Self {
        self.body["repeatable"] = json!(false);
        self
    }

    /// Sets the deadline, in milliseconds.
    #[must_use]
    pub fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.body["deadline_ms"] = json!(deadline_ms);
        self
    }

    /// Sets the workspace.
    #[must_use]
    pub fn workspace(mut self, workspace: &str) -> Self {
        self.body["workspace"] = json!(workspace);
        self
    }

    /// Asks for the last stage's stream.
    #[must_use]
    pub fn stream(mut self) -> Self {
        self.body["stream"] = json!(true);
        self
    }

    /// JSON of the request.
    #[must_use]
    pub fn build(&self) -> String {
        self.body.to_string()
    }
}

impl Default for CallerClient {
    fn default() -> Self {
        Self::new()
    }
}

impl CallerClient {
    /// A caller that opens a connection for each call.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be built.
    #[must_use]
    pub fn new() -> Self {
        Self::with_idle(0)
    }

    /// A caller that keeps `idle` connections to each daemon.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be built.
    #[must_use]
    pub fn with_idle(idle: usize) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(idle);
        Self { client: builder.build().expect("the client is plain") }
    }

    /// Sends `request` to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole final answer came.
    pub async fn submit(
        &self,
        address: SocketAddr,
        request: &RequestBuilder,
    ) -> Result<CallerAnswer> {
        self.post(address, request.build()).await
    }

    /// Sends `body` as a request.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole final answer came.
    pub async fn post(&self, address: SocketAddr, body: impl Into<Body>) -> Result<CallerAnswer> {
        let request = self.client.post("/v1/requests").address(address).body(body.into());
        let response = tokio::time::timeout(PATIENCE, request.send()).await??;
        read_answer(response).await
    }

    /// Asks the daemon at `address` what became of `key` of the workspace `mail`, which was first
    /// sent `age_ms` ago.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole final answer came.
    pub async fn outcome(
        &self,
        address: SocketAddr,
        key: &str,
        age_ms: u64,
    ) -> Result<CallerAnswer> {
        let path = format!("/v1/outcomes?workspace=mail&key={key}&age_ms={age_ms}");
        let request = self.client.get(path).address(address);
        let response = tokio::time::timeout(PATIENCE, request.send()).await??;
        read_answer(response).await
    }

    /// Reads `path` at `address`; gives status and body.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole body came.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<(u16, String)> {
        let request = self.client.get(path.to_owned()).address(address);
        let response = tokio::time::timeout(PATIENCE, request.send()).await??;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(|fault| anyhow::anyhow!(fault))?;
        Ok((status, String::from_utf8(body.to_bytes().to_vec())?))
    }

    /// Reads the state of the daemon whose operator address is `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if no state came.
    pub async fn state(&self, address: SocketAddr) -> Result<Value> {
        Ok(serde_json::from_str(&self.get(address, "/state").await?.1)?)
    }
}

async fn read_answer(response: volo_http::response::Response) -> Result<CallerAnswer> {
    let status = response.status().as_u16();
    let body = tokio::time::timeout(PATIENCE, response.into_body().collect()).await?;
    let body = body.map_err(|fault| anyhow::anyhow!(fault))?.to_bytes();
    let text = std::str::from_utf8(&body)?;
    let mut lines: Vec<&str> = text.lines().collect();
    let last = lines.pop().context("the answer is empty")?;
    let outcome =
        serde_json::from_str(last).with_context(|| format!("not a final answer: {last}"))?;
    let pieces = lines.into_iter().map(|line| {
        let piece: Value = serde_json::from_str(line)?;
        Ok(piece["piece"].as_str().unwrap_or_default().to_owned())
    });
    Ok(CallerAnswer { status, pieces: pieces.collect::<Result<_>>()?, outcome })
}
