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

/// Path of what an engine holds: read with GET, ordered with PUT.
const PLACEMENT_PATH: &str = "/placement";
/// Time that an engine has to answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Largest answer of an engine, in bytes.
const ANSWER_LIMIT: usize = 65_536;

impl UpstreamClient {
    /// Asks an engine what it holds; the answer goes to the core.
    pub fn read_placement(
        &self,
        engine: &Arc<DaemonEngine>,
        upstream: String,
        address: SocketAddr,
    ) {
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let body = call(address, Method::GET, Body::empty()).await;
            let held = body.and_then(|body| serde_json::from_slice(&body).ok());
            engine.handle_event(DaemonEvent::EngineOrderRead { upstream, held });
        });
    }

    /// Gives an engine an order. Orders are idempotent: one that is lost is given again.
    pub fn give_order(&self, engine: &Arc<DaemonEngine>, address: SocketAddr, order: EngineOrder) {
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let body = serde_json::to_vec(&order).expect("an order has no maps with odd keys");
            let taken = call(address, Method::PUT, Body::from(body)).await.is_some();
            engine.handle_event(DaemonEvent::OrderAnswered { is_accepted: taken });
        });
    }
}

/// Calls an engine; gives the body if it answered with success.
async fn call(address: SocketAddr, method: Method, body: Body) -> Option<bytes::Bytes> {
    let client = build_client(0)?;
    let request = client.request(method, PLACEMENT_PATH).address(address);
    let request = request.header(http::header::CONTENT_TYPE, "application/json").body(body);
    let whole = async {
        let response = request.send().await.ok()?;
        let success = response.status().is_success();
        let body = read_body(response.into_body(), ANSWER_LIMIT).await.ok()?;
        success.then_some(body)
    };
    tokio::time::timeout(PATIENCE, whole).await.ok()?
}
