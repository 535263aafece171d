use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use crocusdale_core::daemon::{CounterName, DaemonEvent};
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime};
use crocusdale_core::pipeline::{
    AttemptEvent, BreakReason, EventVerdict, ExecutionStatus, ForwardOrder,
};
use crocusdale_core::sync::lock;
use crocusdale_platform::notice::read_notice;
use crocusdale_platform::relay::{RelayedHead, read_head};
use http::StatusCode;
use http_body_util::BodyExt as _;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use super::event_reader::EventReader;
use super::relay_call::RelayCall;
use super::upstream_exchange::UpstreamExchange;
use super::{RelayBody, RelayedAnswer};
use crate::engine::{CallReply, DaemonEngine};
use crate::http::{BodyFault, BodyRoom, read_held_answer};
use crate::upstream::{AnswerBody, is_framed, is_whole_answer};

/// Largest answer without a stream that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Client that forwards callers' requests to upstreams.
#[derive(Debug, Default)]
pub struct RelayClient {
    calls: Mutex<HashMap<CallId, Arc<RelayCall>>>,
    attempts: Mutex<HashMap<AttemptId, OpenRelay>>,
}

/// A running attempt to forward a request.
#[derive(Debug)]
struct OpenRelay {
    task: AbortHandle,
    /// Tells the attempt to forward its answer. `None` once this was done.
    release_sender: Option<oneshot::Sender<()>>,
}

impl RelayClient {
    /// Stores the request of `call` until the call is closed.
    pub(super) fn open(&self, call: CallId, request: RelayCall) {
        lock(&self.calls).insert(call, Arc::new(request));
    }

    /// Removes the request of `call`.
    pub fn close(&self, call: CallId) {
        lock(&self.calls).remove(&call);
    }

    /// Starts the attempt that `order` describes, and passes its events to the core.
    pub fn send(&self, engine: &Arc<DaemonEngine>, order: ForwardOrder) {
        let attempt = order.attempt;
        let Some(call) = lock(&self.calls).get(&attempt.call).cloned() else {
            engine.handle_event(DaemonEvent::Attempt { attempt, event: AttemptEvent::NotSent });
            return;
        };
        let (release_sender, release_receiver) = oneshot::channel();
        let task_engine = Arc::clone(engine);
        // The table stays locked until the task is registered, so that the task can't remove its
        // entry before the entry is inserted.
        let mut attempts = lock(&self.attempts);
        let task = tokio::spawn(async move {
            let end_event = relay(&task_engine, &call, &order, release_receiver).await;
            lock(&task_engine.relays().attempts).remove(&attempt);
            if let Some(event) = end_event {
                task_engine.handle_event(DaemonEvent::Attempt { attempt, event });
            }
        });
        let task = task.abort_handle();
        attempts.insert(attempt, OpenRelay { task, release_sender: Some(release_sender) });
    }

    /// Lets an attempt forward its answer to the caller.
    pub fn release_answer(&self, attempt: AttemptId) {
        let release_sender = lock(&self.attempts)
            .get_mut(&attempt)
            .and_then(|open_relay| open_relay.release_sender.take());
        if let Some(release_sender) = release_sender {
            // If the attempt has ended, it has already reported its end to the core.
            let _ = release_sender.send(());
        }
    }

    /// Aborts an attempt and closes its connection.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(open) = lock(&self.attempts).remove(&attempt) {
            open.task.abort();
        }
    }
}

/// Runs one attempt. Returns the event that ends the attempt, or `None` if the core has dropped the
/// attempt already.
async fn relay(
    engine: &Arc<DaemonEngine>,
    call: &RelayCall,
    order: &ForwardOrder,
    release_receiver: oneshot::Receiver<()>,
) -> Option<AttemptEvent> {
    let attempt = order.attempt;
    let exchange = match UpstreamExchange::start(engine, call, order).await {
        Ok(exchange) => exchange,
        Err(event) => return Some(event),
    };
    // The request counts as open at another daemon until this attempt ends.
    let UpstreamExchange { response, connection, sent, transit: _transit } = exchange;
    // The daemon that has sent a request in transit judges the end of its answer.
    let is_own = connection.is_some();
    let return_connection = |headers: &http::HeaderMap| {
        if let Some(connection) = connection {
            engine.connections().return_connection(connection, headers, order.kept_connections);
        }
    };
    let (parts, body) = response.into_parts();
    let head = read_head(parts.status, &parts.headers, &call.attempt);
    if head.is_foreign {
        return Some(AttemptEvent::Broken(BreakReason::OtherAttempt));
    }
    if !is_final_status(parts.status) {
        return Some(AttemptEvent::Broken(BreakReason::Malformed));
    }
    engine.report_notice(&order.upstream, read_notice(parts.status, &parts.headers), sent);
    let is_success = parts.status.is_success();
    let needs_end_check = is_own && is_success && !is_framed(&parts);
    if needs_end_check {
        engine.telemetry.count(CounterName::UnframedAnswers);
    }
    if head.head.execution == ExecutionStatus::Ran && is_success && !head.has_signature {
        return Some(AttemptEvent::Broken(BreakReason::Malformed));
    }
    if is_success && head.is_stream {
        engine.handle_event(DaemonEvent::Attempt {
            attempt,
            event: AttemptEvent::HeadReceived(head.head),
        });
        release_receiver.await.ok()?;
        let events = open_events(engine, call, attempt.call, parts.status, head);
        let mut forwarder = EventForwarder { engine, call, attempt, events, progress: None };
        let mut end_event = forwarder.run(body).await;
        forwarder.report_progress();
        if needs_end_check
            && matches!(end_event, AttemptEvent::ResponseForwarded)
            && !is_whole_answer(engine, &order.upstream, order.address).await
        {
            end_event = AttemptEvent::Broken(BreakReason::Cut);
        }
        if matches!(end_event, AttemptEvent::ResponseForwarded) {
            return_connection(&parts.headers);
        }
        return Some(end_event);
    }
    let room = BodyRoom::for_answer(engine.memory(), call.connection.as_ref());
    let body = match read_held_answer(body, MAX_ANSWER_BYTES, room).await {
        Ok(body) => body,
        Err(fault) => {
            if matches!(fault, BodyFault::NoRoom(_)) {
                engine.telemetry.count(CounterName::AnswersWithoutRoom);
            }
            return Some(AttemptEvent::Broken(BreakReason::Cut));
        }
    };
    if needs_end_check && !is_whole_answer(engine, &order.upstream, order.address).await {
        return Some(AttemptEvent::Broken(BreakReason::Cut));
    }
    return_connection(&parts.headers);
    if head.head.execution != ExecutionStatus::Ran {
        // The core never forwards an answer without execution. An attempt that waited for this
        // would keep its call, and the event channel of another attempt, open forever.
        return Some(AttemptEvent::HeadReceived(head.head));
    }
    engine.handle_event(DaemonEvent::Attempt {
        attempt,
        event: AttemptEvent::HeadReceived(head.head),
    });
    release_receiver.await.ok()?;
    let (status, headers) = (parts.status, head.headers);
    let answer = RelayedAnswer { status, headers, body: RelayBody::Whole(body) };
    engine.send_reply(attempt.call, CallReply::Relayed(answer));
    Some(AttemptEvent::ResponseForwarded)
}

/// Whether `status` ends an exchange and is one of HTTP. The HTTP client accepts any of three digits.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Opens the event channel to the caller. For the first answer the caller also gets the head.
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
        engine.send_reply(id, CallReply::Relayed(answer));
    }
    events
}

/// Forwards the events of one streamed answer to the caller.
struct EventForwarder<'a> {
    engine: &'a Arc<DaemonEngine>,
    call: &'a RelayCall,
    attempt: AttemptId,
    events: mpsc::Sender<Bytes>,
    /// Time of the first event, time of the last, and number of events. `None` before the first.
    progress: Option<(MonotonicTime, MonotonicTime, u32)>,
}

impl EventForwarder<'_> {
    async fn run(&mut self, mut body: AnswerBody) -> AttemptEvent {
        let mut reader = EventReader::default();
        loop {
            let frame = match body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return AttemptEvent::Broken(BreakReason::Cut),
                None if reader.has_partial() => return AttemptEvent::Broken(BreakReason::Cut),
                None => return AttemptEvent::ResponseForwarded,
            };
            if let Some(bytes) = frame.data_ref() {
                reader.push(bytes);
            }
            if let Some(end_event) = self.forward_events(&mut reader).await {
                return end_event;
            }
        }
    }

    /// Reports the number of events and their time, from which the speed of engines is learned.
    fn report_progress(&self) {
        if let Some((first, last, events)) = self.progress
            && self.engine.core.uses_placement()
        {
            let (call, time) = (self.attempt.call, last.since(first));
            self.engine.handle_event(DaemonEvent::StreamForwarded { call, events, time });
        }
    }

    /// Forwards the whole events that have arrived. Returns the event that ends the attempt if one
    /// of them can't be forwarded.
    async fn forward_events(&mut self, reader: &mut EventReader) -> Option<AttemptEvent> {
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
            if self.progress.is_none() {
                // The stream's origin is on its way to other daemons before the caller can come back
                // for more.
                let event = AttemptEvent::StreamStarted;
                self.engine.handle_event(DaemonEvent::Attempt { attempt: self.attempt, event });
            }
            if self.events.send(event.bytes).await.is_err() {
                // The caller has disconnected, which its call reports to the core.
                return Some(AttemptEvent::Broken(BreakReason::CallerDisconnected));
            }
            let now = self.engine.now();
            match &mut self.progress {
                Some((_, last, count)) => (*last, *count) = (now, *count + 1),
                None => self.progress = Some((now, now, 1)),
            }
        }
    }
}
