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
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::Full;
use slog::info;
use tokio::task::AbortHandle;

use crate::engine::DaemonEngine;

/// Largest answer to a call, in bytes: some hundred handles.
const ANSWER_LIMIT: usize = 1 << 20;
/// Time that an answer may take; the core gives calls up long before.
const WORK_PATIENCE: Duration = Duration::from_secs(30);
/// Time that an upstream has to say how much of its memory is free. Calls go out before that.
const REPORT_PATIENCE: Duration = Duration::from_millis(250);
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

    /// Asks an upstream how much of its memory for results is free; the answer goes to the core.
    pub fn ask_room(&self, engine: &Arc<DaemonEngine>, upstream: String, address: SocketAddr) {
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let free = room_at(&engine, &upstream, address).await;
            engine.feed(DaemonEvent::FreeMemoryReported { upstream, free });
        });
    }

    /// Tells upstreams, but for those at the addresses `spared`, that `results` are not needed any more.
    pub fn free(
        &self,
        engine: &Arc<DaemonEngine>,
        results: &[ResultHandle],
        spared: &[SocketAddr],
    ) {
        let told = release_bodies(results).into_iter().filter(|(maker, _)| !spared.contains(maker));
        for (maker, body) in told {
            let engine = Arc::clone(engine);
            tokio::spawn(async move { free_at(&engine, maker, body).await });
        }
    }
}

async fn room_at(engine: &Arc<DaemonEngine>, upstream: &str, address: SocketAddr) -> Option<u64> {
    let request = bare(REPORT_PATH, address);
    let connections = engine.connections();
    let sent = engine.now();
    let free = match connections.call(address, request, ANSWER_LIMIT, REPORT_PATIENCE).await {
        Ok(answer) => {
            engine.take_notice(upstream, read_notice(answer.status(), answer.headers()), sent);
            read_free_memory(answer.status(), answer.body())
        }
        Err(fault) => Err(fault.cause),
    };
    free.inspect_err(|cause| {
        info!(engine.telemetry.log, "room_unknown"; "upstream" => upstream, "cause" => cause);
    })
    .ok()
}

async fn work(engine: &Arc<DaemonEngine>, order: &BatchOrder) -> BatchOutcome {
    let body = batch_body(order, engine.now());
    let request = post(BATCH_PATH, order.address, batch_headers(&order.process), body);
    let sent = engine.now();
    let may_write = || engine.now() <= order.write_by;
    let answer = engine
        .connections()
        .call_while(order.address, request, ANSWER_LIMIT, WORK_PATIENCE, may_write)
        .await;
    match answer {
        Ok(answer) => {
            let (parts, body) = answer.into_parts();
            engine.take_notice(&order.upstream, read_notice(parts.status, &parts.headers), sent);
            read_batch_answer(parts.status, &parts.headers, &body)
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
    let request = post(RELEASE_PATH, maker, HeaderMap::new(), body);
    // Results that could not be given up lapse by themselves; until then their room is taken.
    if let Err(fault) = engine.connections().call(maker, request, ANSWER_LIMIT, FREE_PATIENCE).await
    {
        info!(engine.telemetry.log, "results_not_freed";
            "address" => maker.to_string(), "cause" => fault.cause);
    }
}

fn post(
    path: &'static str,
    address: SocketAddr,
    headers: HeaderMap,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = bare(path, address);
    *request.method_mut() = Method::POST;
    *request.body_mut() = Full::new(Bytes::from(body));
    request.headers_mut().extend(headers);
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    request
}

/// A question without a body to `address`.
fn bare(path: &'static str, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static(path);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
