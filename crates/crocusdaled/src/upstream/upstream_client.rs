use std::collections::HashMap;
use std::error::Error as _;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::AttemptId;
use crocusdale_core::pipeline::{AttemptEvent, BreakReason, JsonCallOrder};
use crocusdale_core::sync::lock;
use tokio::task::AbortHandle;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::client::{ClientError, ErrorKind};
use volo_http::response::Response;

use super::answer_reader::{ATTEMPT_HEADER, read_answer};
use crate::engine::DaemonEngine;

/// Time within which a connection to an upstream must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of idle connections that are kept to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time after which an idle connection is closed. It is shorter than the idle timeout of the
/// upstreams, so that they don't close a connection that is about to be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Request header with the time left until the deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-crocusdale-deadline-ms";
/// Request header with the priority level of the request.
const PRIORITY_HEADER: &str = "x-crocusdale-priority";

/// HTTP client for JSON calls to upstreams. Aborting a call closes its connection.
#[derive(Default)]
pub struct UpstreamClient {
    clients: Mutex<HashMap<String, Client>>,
    open_calls: Mutex<HashMap<AttemptId, AbortHandle>>,
}

impl UpstreamClient {
    /// Sends the request of `order` to its upstream, and passes the events of the attempt to the
    /// core.
    pub fn send(&self, engine: &Arc<DaemonEngine>, order: JsonCallOrder) {
        let attempt = order.attempt;
        let Some(client) = self.client_for(&order) else {
            engine.handle_event(DaemonEvent::Attempt { attempt, event: AttemptEvent::NotSent });
            return;
        };
        let task_engine = Arc::clone(engine);
        // The table stays locked until the task is registered, so that the task can't remove its
        // entry before the entry is inserted.
        let mut open_calls = lock(&self.open_calls);
        let task = tokio::spawn(async move {
            let end = call(&task_engine, &client, order).await;
            lock(&task_engine.upstreams().open_calls).remove(&attempt);
            task_engine.handle_event(DaemonEvent::Attempt { attempt, event: end });
        });
        open_calls.insert(attempt, task.abort_handle());
    }

    /// Aborts the call of `attempt` and closes its connection.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(task) = lock(&self.open_calls).remove(&attempt) {
            task.abort();
        }
    }

    /// Closes all idle connections to `upstream`.
    ///
    /// Guards against a network device that has lost its connection state. Established connections
    /// then stay silent while new ones work, and each idle one would make another attempt time out.
    pub fn close_idle(&self, upstream: &str) {
        lock(&self.clients).remove(upstream);
    }

    fn client_for(&self, order: &JsonCallOrder) -> Option<Client> {
        if order.needs_new_connection {
            return build_client(0);
        }
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(&order.upstream) {
            return Some(client.clone());
        }
        let client = build_client(MAX_IDLE_CONNECTIONS)?;
        clients.insert(order.upstream.clone(), client.clone());
        Some(client)
    }
}

impl fmt::Debug for UpstreamClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("UpstreamClient")
            .field("open", &lock(&self.open_calls).len())
            .finish()
    }
}

async fn call(engine: &Arc<DaemonEngine>, client: &Client, order: JsonCallOrder) -> AttemptEvent {
    let time_left = engine.clock.time_until(order.expires);
    // The process may have been paused since the core created the order. No request may be sent
    // after its deadline.
    if time_left.is_zero() {
        return AttemptEvent::NotSent;
    }
    let response = client
        .post(order.path.clone())
        .address(order.address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(ATTEMPT_HEADER, order.attempt.to_string())
        .header(DEADLINE_HEADER, time_left.as_millis().to_string())
        .header(PRIORITY_HEADER, order.level.to_string())
        .body(Body::from(order.body.clone()))
        .send()
        .await;
    match response {
        Ok(response) => answer(engine, &order, response).await,
        Err(error) if is_unsent(&error) => AttemptEvent::NotSent,
        Err(_) => AttemptEvent::Broken(BreakReason::Cut),
    }
}

async fn answer(
    engine: &Arc<DaemonEngine>,
    order: &JsonCallOrder,
    response: Response,
) -> AttemptEvent {
    if !response.status().is_success() {
        return AttemptEvent::Declined { status: response.status().as_u16() };
    }
    read_answer(engine, order, response).await
}

/// Whether no byte of the request was written, because the connection could not be opened or was
/// closed before the request was started.
///
/// The client reports a failed connect and an interrupted request with the same error kind. Only
/// the error source tells them apart: a failed connect has an `std::io::Error`, an interrupted
/// request a `hyper::Error`.
fn is_unsent(error: &ClientError) -> bool {
    if matches!(error.kind(), ErrorKind::Connect | ErrorKind::Builder) {
        return true;
    }
    let Some(source) = error.source() else { return false };
    source.is::<std::io::Error>()
        || source.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_canceled)
}

pub(super) fn build_client(max_idle: usize) -> Option<Client> {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder.set_max_idle_per_host(max_idle).set_pool_idle_timeout(IDLE_TIMEOUT);
    builder.build().ok()
}
