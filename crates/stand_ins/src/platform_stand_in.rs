use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use crocusdale_core::membership::VmList;
use crocusdale_core::sync::lock;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use volo_http::response::Response;
use volo_http::server::IntoResponse as _;
use volo_http::server::extract::{Json, Query};
use volo_http::server::route::{Router, get, put};

use crate::ServerThread;

/// How the platform behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformMode {
    /// Answers.
    Up,
    /// Answers every read with an error.
    Down,
    /// Takes reads and never answers.
    Silent,
}

/// Configuration service and VM list in one.
#[derive(Debug)]
pub struct PlatformStandIn {
    state: Arc<PlatformState>,
    server: ServerThread,
}

#[derive(Debug)]
struct PlatformState {
    configuration: watch::Sender<Published>,
    roster: Mutex<VmList>,
    mode: Mutex<PlatformMode>,
    reads: AtomicU64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Published {
    revision: u64,
    text: String,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    known: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl PlatformStandIn {
    /// Starts on `address`, with nothing published.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be had.
    pub fn start(address: SocketAddr) -> Result<Self> {
        let state = Arc::new(PlatformState {
            configuration: watch::channel(Published::default()).0,
            roster: Mutex::default(),
            mode: Mutex::new(PlatformMode::Up),
            reads: AtomicU64::new(0),
        });
        let server = ServerThread::start(address, router(&state))?;
        Ok(Self { state, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes `text` as `revision`, which may be lower than the one before.
    pub fn publish(&self, revision: u64, text: impl Into<String>) {
        self.state.configuration.send_replace(Published { revision, text: text.into() });
    }

    /// Publishes a VM list.
    pub fn set_roster(&self, roster: VmList) {
        *lock(&self.state.roster) = roster;
    }

    /// The VM list.
    #[must_use]
    pub fn roster(&self) -> VmList {
        lock(&self.state.roster).clone()
    }

    /// Changes the VM list, and raises its revision.
    pub fn change_roster(&self, change: impl FnOnce(&mut VmList)) {
        let mut roster = lock(&self.state.roster);
        change(&mut roster);
        roster.revision += 1;
    }

    /// Sets how it behaves.
    pub fn set_mode(&self, mode: PlatformMode) {
        *lock(&self.state.mode) = mode;
    }

    /// Calls so far; a waiting watch counts as one.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state.reads.load(Ordering::Relaxed)
    }
}

fn router(state: &Arc<PlatformState>) -> Router {
    let (read, list, publish) = (Arc::clone(state), Arc::clone(state), Arc::clone(state));
    Router::new()
        .route(
            "/configuration",
            get(async move |Query(query): Query<ReadQuery>| read.configuration(query).await),
        )
        .route("/vms", get(async move |Query(query): Query<ReadQuery>| list.vms(query).await))
        .route(
            "/publish",
            put(async move |Json(published): Json<Published>| {
                publish.configuration.send_replace(published);
                "published\n"
            }),
        )
}

impl PlatformState {
    async fn configuration(&self, query: ReadQuery) -> Response {
        if let Some(response) = self.misbehave().await {
            return response;
        }
        let mut watched = self.configuration.subscribe();
        let changed = watched.wait_for(|published| published.revision != query.known);
        let wait = Duration::from_millis(query.wait_ms);
        let published = match tokio::time::timeout(wait, changed).await {
            Ok(Ok(published)) => published.clone(),
            Ok(Err(_)) | Err(_) => return StatusCode::NO_CONTENT.into_response(),
        };
        if published.revision == 0 {
            return StatusCode::NO_CONTENT.into_response();
        }
        // A watch that began before an outage ends with it.
        match self.misbehave().await {
            Some(response) => response,
            None => Json(published).into_response(),
        }
    }

    async fn vms(&self, query: ReadQuery) -> Response {
        if let Some(response) = self.misbehave().await {
            return response;
        }
        let roster = lock(&self.roster).clone();
        if roster.revision == query.known {
            return StatusCode::NO_CONTENT.into_response();
        }
        Json(roster).into_response()
    }

    async fn misbehave(&self) -> Option<Response> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let mode = *lock(&self.mode);
        match mode {
            PlatformMode::Up => None,
            PlatformMode::Down => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            PlatformMode::Silent => std::future::pending().await,
        }
    }
}
