use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::{AttemptId, CallId};
use crocusdale_core::pipeline::{
    AttemptEvent, BreakReason, EventVerdict, ExecutionStatus, ForwardOrder,
};
use crocusdale_core::sync::lock;
use crocusdale_platform::notice::read_notice;
use crocusdale_platform::relay::{RelayedHead, read_head, request_headers};
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use slog::info;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use super::event_reader::EventReader;
use super::relay_call::RelayCall;
use super::{RelayBody, RelayedAnswer};
use crate::engine::{CallReply, DaemonEngine};
use crate::upstream::SendFault;

/// Largest answer that is no stream, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Passes callers' requests to upstreams.
#[derive(Debug, Default)]
pub struct RelayClient {
    calls: Mutex<HashMap<CallId, Arc<RelayCall>>>,
    attempts: Mutex<HashMap<AttemptId, OpenRelay>>,
}

/// An attempt that has not ended.
#[derive(Debug)]
struct OpenRelay {
    task: AbortHandle,
    /// Tells the attempt that its answer is wanted.
    pass_on: Option<oneshot::Sender<()>>,
}

impl RelayClient {
    /// Keeps the request of `call` until its final answer.
    pub(super) fn open(&self, call: CallId, request: RelayCall) {
        lock(&self.calls).insert(call, Arc::new(request));
    }

    /// Forgets the request of `call`.
    pub fn close(&self, call: CallId) {
        lock(&self.calls).remove(&call);
    }

    /// Carries `order` out; what the upstream does goes to the core.
    pub fn send(&self, engine: &Arc<DaemonEngine>, order: ForwardOrder) {
        let attempt = order.attempt;
        let Some(call) = lock(&self.calls).get(&attempt.call).cloned() else {
            engine.feed(DaemonEvent::Attempt { attempt, event: AttemptEvent::NotSent });
            return;
        };
        let (pass_on, wanted) = oneshot::channel();
        let task_engine = Arc::clone(engine);
        // The table is locked until the task stands in it, so that the task can't end first.
        let mut attempts = lock(&self.attempts);
        let task = tokio::spawn(async move {
            let end = relay(&task_engine, &call, &order, wanted).await;
            lock(&task_engine.relays().attempts).remove(&attempt);
            if let Some(event) = end {
                task_engine.feed(DaemonEvent::Attempt { attempt, event });
            }
        });
        let task = task.abort_handle();
        attempts.insert(attempt, OpenRelay { task, pass_on: Some(pass_on) });
    }

    /// Passes the answer of an attempt on to its caller.
    pub fn pass_on(&self, attempt: AttemptId) {
        let waiting = lock(&self.attempts).get_mut(&attempt).and_then(|each| each.pass_on.take());
        if let Some(waiting) = waiting {
            // An attempt that is gone has said so to the core.
            let _ = waiting.send(());
        }
    }

    /// Gives an attempt up, and closes its connection.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(open) = lock(&self.attempts).remove(&attempt) {
            open.task.abort();
        }
    }
}

/// Makes one attempt; returns how it ended, unless the core knows already.
async fn relay(
    engine: &Arc<DaemonEngine>,
    call: &RelayCall,
    order: &ForwardOrder,
    wanted: oneshot::Receiver<()>,
) -> Option<AttemptEvent> {
    let attempt = order.attempt;
    let pool = engine.connections();
    let mut connection = match pool.connect(order.address, order.needs_new_connection).await {
        Ok(connection) => connection,
        Err(fault) => return Some(send_failed(engine, call, order, &fault)),
    };
    let left = engine.clock.until(order.expires);
    // The process may have been paused since the core decided; after the deadline nothing is
    // written any more, nor to an upstream that may have left since it was chosen.
    if left.is_zero() || engine.now() > order.write_by {
        return Some(AttemptEvent::NotSent);
    }
    let headers = request_headers(&call.headers, order, left, call.resume_after());
    let sent = engine.now();
    let response = match connection.send(request(call, headers)).await {
        Ok(response) => response,
        Err(fault) => return Some(send_failed(engine, call, order, &fault)),
    };
    let (parts, body) = response.into_parts();
    let head = read_head(parts.status, &parts.headers, &call.attempt);
    if head.is_foreign {
        return Some(AttemptEvent::Broken(BreakReason::OtherAttempt));
    }
    engine.take_notice(&order.upstream, read_notice(parts.status, &parts.headers), sent);
    let success = parts.status.is_success();
    if head.head.execution == ExecutionStatus::Ran && success && !head.has_signature {
        return Some(AttemptEvent::Broken(BreakReason::Malformed));
    }
    if success && head.is_stream {
        engine.feed(DaemonEvent::Attempt { attempt, event: AttemptEvent::HeadReceived(head.head) });
        wanted.await.ok()?;
        let events = open_events(engine, call, attempt.call, parts.status, head);
        let mut pump = EventPump { engine, call, attempt, events, flowing: false };
        let end = pump.run(body).await;
        if matches!(end, AttemptEvent::ResponseForwarded) {
            pool.give_back(connection, &parts.headers, order.kept_connections);
        }
        return Some(end);
    }
    let Ok(body) = Limited::new(body, ANSWER_LIMIT).collect().await else {
        return Some(AttemptEvent::Broken(BreakReason::Cut));
    };
    let body = body.to_bytes();
    pool.give_back(connection, &parts.headers, order.kept_connections);
    if head.head.execution != ExecutionStatus::Ran {
        // Nobody ever wants this answer passed on. An attempt that waited for it would keep its
        // call, and with it the way of another attempt's events to the caller, open for good.
        return Some(AttemptEvent::HeadReceived(head.head));
    }
    engine.feed(DaemonEvent::Attempt { attempt, event: AttemptEvent::HeadReceived(head.head) });
    wanted.await.ok()?;
    let (status, headers) = (parts.status, head.headers);
    let answer = RelayedAnswer { status, headers, body: RelayBody::Whole(body) };
    engine.reply(attempt.call, CallReply::Relayed(answer));
    Some(AttemptEvent::ResponseForwarded)
}

/// What it means for an attempt that its request has no answer; the cause goes to the log.
fn send_failed(
    engine: &DaemonEngine,
    call: &RelayCall,
    order: &ForwardOrder,
    fault: &SendFault,
) -> AttemptEvent {
    info!(engine.telemetry.log, "attempt_failed";
        "request" => &call.attempt, "upstream" => &order.upstream,
        "written" => fault.written, "cause" => &fault.cause);
    if fault.written { AttemptEvent::Broken(BreakReason::Cut) } else { AttemptEvent::NotSent }
}

fn request(call: &RelayCall, headers: http::HeaderMap) -> Request<Full<Bytes>> {
    let path = call.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    // A path that a caller could send can be sent on.
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = headers;
    request
}

/// Opens the way for events to the caller; at the first answer the caller gets its head.
fn open_events(
    engine: &Arc<DaemonEngine>,
    call: &RelayCall,
    id: CallId,
    status: StatusCode,
    head: RelayedHead,
) -> mpsc::Sender<Bytes> {
    let (events, receiver) = call.open_events();
    if let Some(receiver) = receiver {
        let body = RelayBody::Events(receiver);
        let answer = RelayedAnswer { status, headers: head.headers, body };
        engine.reply(id, CallReply::Relayed(answer));
    }
    events
}

/// Passes the events of one answer on.
struct EventPump<'a> {
    engine: &'a Arc<DaemonEngine>,
    call: &'a RelayCall,
    attempt: AttemptId,
    events: mpsc::Sender<Bytes>,
    flowing: bool,
}

impl EventPump<'_> {
    async fn run(&mut self, mut body: Incoming) -> AttemptEvent {
        let mut reader = EventReader::default();
        loop {
            let frame = match body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return AttemptEvent::Broken(BreakReason::Cut),
                None if reader.has_rest() => return AttemptEvent::Broken(BreakReason::Cut),
                None => return AttemptEvent::ResponseForwarded,
            };
            if let Some(bytes) = frame.data_ref() {
                reader.push(bytes);
            }
            if let Some(end) = self.pass_events(&mut reader).await {
                return end;
            }
        }
    }

    /// Passes on whole events that have come; returns the end of the attempt if one is wrong.
    async fn pass_events(&mut self, reader: &mut EventReader) -> Option<AttemptEvent> {
        loop {
            let event = match reader.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => return None,
                Err(_) => return Some(AttemptEvent::Broken(BreakReason::TooLarge)),
            };
            let verdict = lock(&self.call.sequence).take(event.id);
            match verdict {
                EventVerdict::Pass => {}
                EventVerdict::Repeated => continue,
                EventVerdict::Missing => {
                    return Some(AttemptEvent::Broken(BreakReason::Malformed));
                }
            }
            if self.events.send(event.bytes).await.is_err() {
                // The caller is gone; its call says so to the core.
                return Some(AttemptEvent::Broken(BreakReason::CallerDisconnected));
            }
            if !self.flowing {
                self.flowing = true;
                let event = AttemptEvent::StreamStarted;
                self.engine.feed(DaemonEvent::Attempt { attempt: self.attempt, event });
            }
        }
    }
}
