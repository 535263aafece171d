use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use crocusdale_core::batching::{BatchId, BatchOrder, BatchOutcome};
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::pipeline::ResultHandle;
use crocusdale_core::sync::lock;
use crocusdale_platform::pieces::{
    FREE_PATH, WORK_PATH, free_bodies, read_work, work_body, work_headers,
};
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::Full;
use slog::info;
use tokio::task::AbortHandle;

use crate::engine::DaemonEngine;

/// Largest answer to a call, in bytes: some hundred handles.
const ANSWER_LIMIT: usize = 1 << 20;
/// Time that an answer may take; the core gives calls up long before.
const WORK_PATIENCE: Duration = Duration::from_secs(30);
/// Time that an upstream has to give up results.
const FREE_PATIENCE: Duration = Duration::from_millis(1_000);

/// Calls batched upstreams.
#[derive(Debug, Default)]
pub struct BatchClient {
    open: Mutex<HashMap<BatchId, AbortHandle>>,
}

impl BatchClient {
    /// Carries a call out; its end goes to the core.
    pub fn call(&self, engine: &Arc<DaemonEngine>, order: BatchOrder) {
        let batch = order.batch;
        let task_engine = Arc::clone(engine);
        // The table is locked until the task stands in it, so that the task can't end first.
        let mut open = lock(&self.open);
        let task = tokio::spawn(async move {
            let started = task_engine.now();
            let outcome = work(&task_engine, &order).await;
            lock(&task_engine.batches().open).remove(&batch);
            let time = task_engine.now().since(started);
            task_engine.telemetry.batch_ended(&order, &outcome, time);
            task_engine.feed(DaemonEvent::BatchEnded { batch, outcome });
        });
        open.insert(batch, task.abort_handle());
    }

    /// Gives a call up, and closes its connection.
    pub fn cancel(&self, batch: BatchId) {
        if let Some(task) = lock(&self.open).remove(&batch) {
            task.abort();
        }
    }

    /// Tells upstreams that `results` are not needed any more.
    pub fn free(&self, engine: &Arc<DaemonEngine>, results: &[ResultHandle]) {
        for (maker, body) in free_bodies(results) {
            let engine = Arc::clone(engine);
            tokio::spawn(async move { free_at(&engine, maker, body).await });
        }
    }
}

async fn work(engine: &Arc<DaemonEngine>, order: &BatchOrder) -> BatchOutcome {
    let body = work_body(order, engine.now());
    let request = post(WORK_PATH, order.address, work_headers(&order.upstream), body);
    let connections = engine.connections();
    let answer = connections.call(order.address, request, ANSWER_LIMIT, WORK_PATIENCE).await;
    match answer {
        Ok(answer) => {
            let (parts, body) = answer.into_parts();
            read_work(parts.status, &parts.headers, &body)
        }
        Err(fault) => {
            info!(engine.telemetry.log, "batch_failed";
                "upstream" => &order.upstream, "written" => fault.written,
                "cause" => &fault.cause);
            if fault.written { BatchOutcome::Broken } else { BatchOutcome::NotSent }
        }
    }
}

async fn free_at(engine: &Arc<DaemonEngine>, maker: SocketAddr, body: Vec<u8>) {
    let request = post(FREE_PATH, maker, HeaderMap::new(), body);
    // Results that could not be given up lapse by themselves.
    let _ = engine.connections().call(maker, request, ANSWER_LIMIT, FREE_PATIENCE).await;
}

fn post(
    path: &'static str,
    address: SocketAddr,
    headers: HeaderMap,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(path);
    *request.headers_mut() = headers;
    let headers = request.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    request
}
