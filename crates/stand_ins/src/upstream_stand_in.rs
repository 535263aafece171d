use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use crocusdale_core::orders::EngineOrder;
use crocusdale_core::sync::lock;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use volo_http::response::Response;
use volo_http::server::IntoResponse as _;
use volo_http::server::extract::Json;
use volo_http::server::route::{Router, get, post, put};

use crate::ServerThread;
use crate::upstream_answer::{StageCall, stream_answer, whole_answer};

/// What an upstream does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamFault {
    /// Nothing.
    #[default]
    None,
    /// Takes the call, runs it and never answers.
    Silent,
    /// Answers with an error status, without running it.
    Refuse,
    /// Ends the connection in the middle of the answer.
    Cut,
    /// Ends a stream in good order, but before its last line.
    ShortStream,
    /// Answers with the id of an attempt that never was.
    ForeignId,
    /// Answers with the id of the call before, which has ended.
    FinishedId,
    /// Answers with the right head and the tail of another answer.
    WrongTail,
    /// Sends a piece of its stream twice.
    Twice,
    /// Sends two pieces of its stream in the wrong order.
    OutOfOrder,
}

/// How an upstream works.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct UpstreamPlan {
    /// Time of one call, in milliseconds; of a stream, time to the first piece.
    pub service_ms: u64,
    /// Pieces of a stream.
    pub pieces: u64,
    /// Time between two pieces, in milliseconds.
    pub piece_ms: u64,
    /// What it does wrong.
    pub fault: UpstreamFault,
}

impl Default for UpstreamPlan {
    fn default() -> Self {
        Self { service_ms: 0, pieces: 4, piece_ms: 0, fault: UpstreamFault::None }
    }
}

/// A model engine, a stage pool worker or a plain service, as the path of a call tells.
#[derive(Debug)]
pub struct UpstreamStandIn {
    state: Arc<UpstreamWork>,
    server: ServerThread,
}

#[derive(Debug)]
pub(crate) struct UpstreamWork {
    pub(crate) name: String,
    life: Mutex<String>,
    leaving: AtomicBool,
    plan: Mutex<UpstreamPlan>,
    runs: Mutex<HashMap<String, u64>>,
    calls: AtomicU64,
    last_attempt: Mutex<String>,
    /// Calls that are worked on at one time; the others wait here, as in an engine's own queue.
    slots: Mutex<Option<Arc<Semaphore>>>,
    /// Orders that the engine took, in order; the last one is what it holds.
    orders: Mutex<Vec<EngineOrder>>,
    ignores_fence: AtomicBool,
}

impl UpstreamStandIn {
    /// Starts `name` on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be had.
    pub fn start(name: &str, address: SocketAddr) -> Result<Self> {
        let state = Arc::new(UpstreamWork {
            name: name.to_owned(),
            life: Mutex::new(format!("{:016x}", rand::random::<u64>())),
            leaving: AtomicBool::new(false),
            plan: Mutex::default(),
            runs: Mutex::default(),
            calls: AtomicU64::new(0),
            last_attempt: Mutex::default(),
            slots: Mutex::default(),
            orders: Mutex::default(),
            ignores_fence: AtomicBool::new(false),
        });
        let server = ServerThread::start(address, router(&state))?;
        Ok(Self { state, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.state.name
    }

    /// Sets how it works from now on.
    pub fn set_plan(&self, plan: UpstreamPlan) {
        *lock(&self.state.plan) = plan;
    }

    /// Sets what it does wrong from now on.
    pub fn set_fault(&self, fault: UpstreamFault) {
        lock(&self.state.plan).fault = fault;
    }

    /// Says with each answer that it is leaving.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Works on `slots` calls at one time from now on.
    pub fn limit_slots(&self, slots: usize) {
        *lock(&self.state.slots) = Some(Arc::new(Semaphore::new(slots)));
    }

    /// Takes every order from now on, whatever its fencing number.
    pub fn ignore_fence(&self) {
        self.state.ignores_fence.store(true, Ordering::Relaxed);
    }

    /// Orders that it took, in order.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        lock(&self.state.orders).clone()
    }

    /// Calls that were begun.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Times that `key` of `workspace` was run here.
    #[must_use]
    pub fn runs(&self, workspace: &str, key: &str) -> u64 {
        lock(&self.state.runs).get(&run_key(workspace, key)).copied().unwrap_or_default()
    }

    /// Times that each key was run here.
    #[must_use]
    pub fn all_runs(&self) -> HashMap<String, u64> {
        lock(&self.state.runs).clone()
    }
}

fn router(state: &Arc<UpstreamWork>) -> Router {
    let (run, stream) = (Arc::clone(state), Arc::clone(state));
    let (plan, runs) = (Arc::clone(state), Arc::clone(state));
    let (held, order) = (Arc::clone(state), Arc::clone(state));
    Router::new()
        .route("/run", post(async move |Json(call): Json<StageCall>| run.run(call, false).await))
        .route(
            "/stream",
            post(async move |Json(call): Json<StageCall>| stream.run(call, true).await),
        )
        .route(
            "/plan",
            put(async move |Json(next): Json<UpstreamPlan>| {
                *lock(&plan.plan) = next;
                "set\n"
            }),
        )
        .route(
            "/placement",
            get(async move || Json(lock(&held.orders).last().cloned().unwrap_or_default()))
                .put(async move |Json(next): Json<EngineOrder>| order.take_order(next)),
        )
        .route("/runs", get(async move || Json(lock(&runs.runs).clone())))
}

impl UpstreamWork {
    fn take_order(&self, order: EngineOrder) -> StatusCode {
        let mut orders = lock(&self.orders);
        let fence = orders.last().map(|held| held.fence).unwrap_or_default();
        if order.fence < fence && !self.ignores_fence.load(Ordering::Relaxed) {
            return StatusCode::CONFLICT;
        }
        orders.push(order);
        StatusCode::OK
    }

    async fn run(self: Arc<Self>, call: StageCall, stream: bool) -> Response {
        let plan = *lock(&self.plan);
        self.calls.fetch_add(1, Ordering::Relaxed);
        if plan.fault == UpstreamFault::Refuse {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let slots = lock(&self.slots).clone();
        let slot = match slots {
            Some(slots) => slots.acquire_owned().await.ok(),
            None => None,
        };
        // The work is done from here on, whether or not anybody waits for the answer.
        *lock(&self.runs).entry(run_key(&call.workspace, &call.key)).or_default() += 1;
        let last = std::mem::replace(&mut *lock(&self.last_attempt), call.attempt.clone());
        if plan.service_ms > 0 {
            tokio::time::sleep(Duration::from_millis(plan.service_ms)).await;
        }
        if plan.fault == UpstreamFault::Silent {
            std::future::pending::<()>().await;
        }
        let mut response = if stream {
            stream_answer(&self.name, &call, &last, plan, slot)
        } else {
            whole_answer(&self.name, &call, &last, plan.fault)
        };
        let headers = response.headers_mut();
        if let Ok(life) = lock(&self.life).parse() {
            headers.insert("x-upstream-life", life);
        }
        if self.leaving.load(Ordering::Relaxed) {
            headers.insert("x-upstream-leaving", http::HeaderValue::from_static("1"));
        }
        response
    }
}

fn run_key(workspace: &str, key: &str) -> String {
    format!("{workspace}/{key}")
}
