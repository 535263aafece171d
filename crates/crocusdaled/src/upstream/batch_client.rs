use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use crocusdale_core::batching::{BatchId, BatchOrder, BatchOutcome};
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::pipeline::ResultHandle;
use crocusdale_core::sync::lock;
use crocusdale_platform::batch_calls::{
    BATCH_PATH, RELEASE_PATH, REPORT_PATH, batch_body, batch_headers, read_batch_answer,
    read_free_memory, release_bodies,
};
use crocusdale_platform::notice::read_notice;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::Full;
use slog::info;
use tokio::task::AbortHandle;

use super::{SendFault, connect_upstream};
use crate::engine::DaemonEngine;

/// Largest answer that is read, in bytes. An answer holds up to some hundred result handles.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Upper limit of the duration of a batch. The core cancels batches long before.
const BATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that an upstream has to report its free memory. Batches are sent without waiting for the
/// report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that an upstream has to free results.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Client for upstreams that process batches of pieces.
#[derive(Debug, Default)]
pub struct BatchClient {
    open_batches: Mutex<HashMap<BatchId, AbortHandle>>,
}

impl BatchClient {
    /// Sends a batch to its upstream, and passes the outcome to the core.
    pub fn call(&self, engine: &Arc<DaemonEngine>, order: BatchOrder) {
        let batch = order.batch;
        let task_engine = Arc::clone(engine);
        // The table stays locked until the task is registered, so that the task can't remove its
        // entry before the entry is inserted.
        let mut open_batches = lock(&self.open_batches);
        let task = tokio::spawn(async move {
            let started = task_engine.now();
            let outcome = call_batch(&task_engine, &order).await;
            lock(&task_engine.batches().open_batches).remove(&batch);
            let time = task_engine.now().since(started);
            task_engine.telemetry.batch_ended(&order, &outcome, time);
            task_engine.handle_event(DaemonEvent::BatchEnded { batch, outcome });
        });
        open_batches.insert(batch, task.abort_handle());
    }

    /// Aborts a batch and closes its connection.
    pub fn cancel(&self, batch: BatchId) {
        if let Some(task) = lock(&self.open_batches).remove(&batch) {
            task.abort();
        }
    }

    /// Asks an upstream how much of its memory for results is free, and passes the answer to the
    /// core.
    pub fn query_free_memory(
        &self,
        engine: &Arc<DaemonEngine>,
        upstream: String,
        address: SocketAddr,
    ) {
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let free = free_memory_at(&engine, &upstream, address).await;
            engine.handle_event(DaemonEvent::FreeMemoryReported { upstream, free });
        });
    }

    /// Tells upstreams to free `results`, except those at the addresses in `excluded`.
    pub fn free_results(
        &self,
        engine: &Arc<DaemonEngine>,
        results: &[ResultHandle],
        excluded: &[SocketAddr],
    ) {
        let release_bodies = release_bodies(results)
            .into_iter()
            .filter(|(upstream_address, _)| !excluded.contains(upstream_address));
        for (upstream_address, body) in release_bodies {
            let engine = Arc::clone(engine);
            tokio::spawn(async move { free_results_at(&engine, upstream_address, body).await });
        }
    }
}

async fn free_memory_at(
    engine: &Arc<DaemonEngine>,
    upstream: &str,
    address: SocketAddr,
) -> Option<u64> {
    let request = empty_request(REPORT_PATH, address);
    let connections = engine.connections();
    let sent = engine.now();
    let answer = match connect_upstream(engine, upstream, address, false).await {
        Ok(connection) => {
            connections
                .call_on(connection, request, MAX_ANSWER_BYTES, REPORT_TIMEOUT, || true)
                .await
        }
        Err(fault) => Err(fault),
    };
    let free = match answer {
        Ok(answer) => {
            engine.report_notice(upstream, read_notice(answer.status(), answer.headers()), sent);
            read_free_memory(answer.status(), answer.body())
        }
        Err(fault) => Err(fault.cause),
    };
    free.inspect_err(|cause| {
        info!(engine.telemetry.log, "room_unknown"; "upstream" => upstream, "cause" => cause);
    })
    .ok()
}

async fn call_batch(engine: &Arc<DaemonEngine>, order: &BatchOrder) -> BatchOutcome {
    let body = batch_body(order, engine.now());
    let request = post_request(BATCH_PATH, order.address, batch_headers(&order.process), body);
    let sent = engine.now();
    match exchange_batch(engine, order, request).await {
        Ok(answer) => {
            let (parts, body) = answer.into_parts();
            engine.report_notice(&order.upstream, read_notice(parts.status, &parts.headers), sent);
            read_batch_answer(parts.status, &parts.headers, &body)
        }
        Err(fault) => {
            info!(engine.telemetry.log, "batch_failed";
                "upstream" => &order.upstream, "written" => fault.may_be_written,
                "cause" => &fault.cause);
            if fault.may_be_written { BatchOutcome::Broken } else { BatchOutcome::NotSent }
        }
    }
}

async fn exchange_batch(
    engine: &Arc<DaemonEngine>,
    order: &BatchOrder,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, SendFault> {
    let connection = connect_upstream(engine, &order.upstream, order.address, false).await?;
    let may_write = || engine.now() <= order.write_by;
    let pool = engine.connections();
    pool.call_on(connection, request, MAX_ANSWER_BYTES, BATCH_TIMEOUT, may_write).await
}

async fn free_results_at(engine: &Arc<DaemonEngine>, upstream_address: SocketAddr, body: Vec<u8>) {
    let request = post_request(RELEASE_PATH, upstream_address, HeaderMap::new(), body);
    // Results that could not be freed expire by themselves. Until then they occupy memory.
    if let Err(fault) =
        engine.connections().call(upstream_address, request, MAX_ANSWER_BYTES, FREE_TIMEOUT).await
    {
        info!(engine.telemetry.log, "results_not_freed";
            "address" => upstream_address.to_string(), "cause" => fault.cause);
    }
}

fn post_request(
    path: &'static str,
    address: SocketAddr,
    headers: HeaderMap,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = empty_request(path, address);
    *request.method_mut() = Method::POST;
    *request.body_mut() = Full::new(Bytes::from(body));
    request.headers_mut().extend(headers);
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    request
}

/// Returns a GET request for `path` at `address`, without a body.
fn empty_request(path: &'static str, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static(path);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
