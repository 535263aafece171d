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

/// Time to open a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle connections kept to one upstream.
const IDLE_CONNECTIONS: usize = 64;
/// Time after which an idle connection is closed; upstreams keep theirs for longer.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Header with the time left, in milliseconds.
const DEADLINE_HEADER: &str = "x-crocusdale-deadline-ms";
/// Header with the priority level.
const PRIORITY_HEADER: &str = "x-crocusdale-priority";

/// Calls upstreams; dropping a call closes its connection.
#[derive(Default)]
pub struct UpstreamClient {
    clients: Mutex<HashMap<String, Client>>,
    open: Mutex<HashMap<AttemptId, AbortHandle>>,
}

impl UpstreamClient {
    /// Carries `order` out; what the upstream does goes to the core.
    pub fn send(&self, engine: &Arc<DaemonEngine>, order: JsonCallOrder) {
        let attempt = order.attempt;
        let Some(client) = self.client_for(&order) else {
            engine.handle_event(DaemonEvent::Attempt { attempt, event: AttemptEvent::NotSent });
            return;
        };
        let task_engine = Arc::clone(engine);
        // The table is locked until the task stands in it, so that the task can't end first.
        let mut open = lock(&self.open);
        let task = tokio::spawn(async move {
            let end = call(&task_engine, &client, order).await;
            lock(&task_engine.upstreams().open).remove(&attempt);
            task_engine.handle_event(DaemonEvent::Attempt { attempt, event: end });
        });
        open.insert(attempt, task.abort_handle());
    }

    /// Gives up a call, and closes its connection.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(task) = lock(&self.open).remove(&attempt) {
            task.abort();
        }
    }

    /// Closes all idle connections to `upstream`.
    ///
    /// Guards against a path that has lost track of its connections: they stay silent for good
    /// while new ones work, and each idle one would cost another attempt its time.
    pub fn distrust(&self, upstream: &str) {
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
        let client = build_client(IDLE_CONNECTIONS)?;
        clients.insert(order.upstream.clone(), client.clone());
        Some(client)
    }
}

impl fmt::Debug for UpstreamClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("UpstreamClient").field("open", &lock(&self.open).len()).finish()
    }
}

async fn call(engine: &Arc<DaemonEngine>, client: &Client, order: JsonCallOrder) -> AttemptEvent {
    let left = engine.clock.time_until(order.expires);
    // The process may have been paused since the core decided; after the deadline nothing is
    // written any more.
    if left.is_zero() {
        return AttemptEvent::NotSent;
    }
    let response = client
        .post(order.path.clone())
        .address(order.address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(ATTEMPT_HEADER, order.attempt.to_string())
        .header(DEADLINE_HEADER, left.as_millis().to_string())
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

/// Whether no byte of the request was written: the connection was never made, or closed before
/// the request was taken up.
///
/// The client reports a connection that could not be made with the same kind as a request that
/// broke off; only its source tells them apart. Making a connection fails with the error of the
/// system itself, sending over one with an error of hyper.
fn is_unsent(error: &ClientError) -> bool {
    if matches!(error.kind(), ErrorKind::Connect | ErrorKind::Builder) {
        return true;
    }
    let Some(source) = error.source() else { return false };
    source.is::<std::io::Error>()
        || source.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_canceled)
}

pub(super) fn build_client(idle: usize) -> Option<Client> {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder.set_max_idle_per_host(idle).set_pool_idle_timeout(IDLE_TIME);
    builder.build().ok()
}
