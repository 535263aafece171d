use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::orders::EngineOrder;
use http::Method;
use volo_http::body::Body;

use super::UpstreamClient;
use super::upstream_client::build_client;
use crate::engine::DaemonEngine;
use crate::http::read_body;

/// Path of an engine's placement. GET reads the current one and PUT orders another one.
const PLACEMENT_PATH: &str = "/placement";
/// Time that an engine has to answer a request for its placement.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer of an engine that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 65_536;

impl UpstreamClient {
    /// Reads the placement of an engine, and passes it to the core.
    pub fn read_placement(
        &self,
        engine: &Arc<DaemonEngine>,
        upstream: String,
        address: SocketAddr,
    ) {
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let body = call(address, Method::GET, Body::empty()).await;
            let placement = body.and_then(|body| serde_json::from_slice(&body).ok());
            engine.handle_event(DaemonEvent::EngineOrderRead { upstream, held: placement });
        });
    }

    /// Sends a placement order to an engine. Orders are idempotent, and a lost one is sent
    /// again.
    pub fn send_order(&self, engine: &Arc<DaemonEngine>, address: SocketAddr, order: EngineOrder) {
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let body = serde_json::to_vec(&order)
                .expect("an engine order must serialize to JSON; accepted: maps with string keys");
            let was_accepted = call(address, Method::PUT, Body::from(body)).await.is_some();
            engine.handle_event(DaemonEvent::OrderAnswered { is_accepted: was_accepted });
        });
    }
}

/// Sends a placement request to an engine. Returns the body if the engine answered with a success
/// status.
async fn call(address: SocketAddr, method: Method, body: Body) -> Option<bytes::Bytes> {
    let client = build_client(0)?;
    let request = client.request(method, PLACEMENT_PATH).address(address);
    let request = request.header(http::header::CONTENT_TYPE, "application/json").body(body);
    let exchange = async {
        let response = request.send().await.ok()?;
        let is_success = response.status().is_success();
        let body = read_body(response.into_body(), MAX_ANSWER_BYTES).await.ok()?;
        is_success.then_some(body)
    };
    tokio::time::timeout(ORDER_TIMEOUT, exchange).await.ok()?
}
