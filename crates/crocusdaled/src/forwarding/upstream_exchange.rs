use std::sync::Arc;

use bytes::Bytes;
use crocusdale_core::daemon::{AttemptPath, CounterName, DaemonEvent};
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::pipeline::{AttemptEvent, BreakReason, ForwardOrder};
use crocusdale_core::reachability::{TransitEnd, TransitRefusal};
use crocusdale_platform::relay::request_headers;
use crocusdale_schema::peer::SendTransitRequest;
use http::{HeaderMap, Request, Response, Uri};
use http_body_util::Full;
use slog::info;

use super::relay_call::RelayCall;
use crate::engine::DaemonEngine;
use crate::peer::{TransitFault, header_fields, send_transit};
use crate::upstream::{AnswerBody, OpenConnection, SendFault, connect_upstream};

/// Maximum number of daemons that are asked to send one attempt to its upstream.
const MAX_TRANSIT_DAEMONS: usize = 3;
/// Copies of a body while it is sent to another daemon: one in the message, one in its encoding.
const MESSAGE_COPIES: usize = 2;

/// The head of an upstream's answer to an attempt, and its body that is still unread.
pub(super) struct UpstreamExchange {
    pub(super) response: Response<AnswerBody>,
    /// Connection of the exchange. `None` if another daemon has sent the request.
    pub(super) connection: Option<OpenConnection>,
    /// Time at which the request was sent.
    pub(super) sent: MonotonicTime,
    /// Keeps the request counted at the daemon that has sent it.
    pub(super) transit: Option<OpenTransit>,
}

/// A request that another daemon sends on behalf of this one.
pub(super) struct OpenTransit {
    engine: Arc<DaemonEngine>,
    vm: String,
    end: TransitEnd,
}

impl Drop for OpenTransit {
    fn drop(&mut self) {
        self.engine.core.finish_transit(&self.vm, self.end, self.engine.now());
    }
}

impl UpstreamExchange {
    /// Sends the request of `call` to its upstream, over the own link or through another daemon.
    ///
    /// # Errors
    ///
    /// Returns the event with which the attempt ends if there is no answer.
    pub(super) async fn start(
        engine: &Arc<DaemonEngine>,
        call: &RelayCall,
        order: &ForwardOrder,
    ) -> Result<Self, AttemptEvent> {
        let mut tried = Vec::new();
        let mut connect_fault = None;
        loop {
            // Neither this daemon nor another one may send a request after its deadline.
            if engine.clock.time_until(order.expires).is_zero() {
                return Err(AttemptEvent::NotSent);
            }
            match engine.core.attempt_path(order, &tried, engine.now()) {
                AttemptPath::Direct => match &connect_fault {
                    Some(fault) => return Err(send_failed(engine, call, order, fault)),
                    None => match connect(engine, order).await {
                        Ok(connection) => return send(engine, call, order, connection).await,
                        Err(fault) => connect_fault = Some(fault),
                    },
                },
                AttemptPath::Transit(vm) => {
                    let is_last = tried.len() + 1 >= MAX_TRANSIT_DAEMONS;
                    match send_through(engine, call, order, &vm).await {
                        Ok(exchange) => return Ok(exchange),
                        Err(Some(event)) => return Err(event),
                        Err(None) if is_last => return Err(AttemptEvent::NotSent),
                        Err(None) => tried.push(vm),
                    }
                }
                AttemptPath::OtherUpstream => return Err(AttemptEvent::NotSent),
                AttemptPath::NoPath(retry_after) => return Err(AttemptEvent::NoPath(retry_after)),
            }
        }
    }
}

async fn connect(
    engine: &Arc<DaemonEngine>,
    order: &ForwardOrder,
) -> Result<OpenConnection, SendFault> {
    let needs_new = order.needs_new_connection;
    connect_upstream(engine, &order.upstream, order.address, needs_new).await
}

/// Sends the request over `connection`.
async fn send(
    engine: &Arc<DaemonEngine>,
    call: &RelayCall,
    order: &ForwardOrder,
    mut connection: OpenConnection,
) -> Result<UpstreamExchange, AttemptEvent> {
    let time_left = engine.clock.time_until(order.expires);
    // The process may have been paused since the core created the order. No request may be sent
    // after its deadline, or to an upstream that may have shut down since it was chosen.
    if time_left.is_zero() || engine.now() > order.write_by {
        return Err(AttemptEvent::NotSent);
    }
    let headers = request_headers(&call.headers, order, time_left, call.resume_after());
    let sent = engine.now();
    match connection.send(upstream_request(call, headers)).await {
        Ok(response) => {
            Ok(UpstreamExchange { response, connection: Some(connection), sent, transit: None })
        }
        Err(fault) => Err(send_failed(engine, call, order, &fault)),
    }
}

/// Sends the request through the daemon on `vm`.
///
/// # Errors
///
/// Returns the event with which the attempt ends, or `None` if another daemon may be asked.
async fn send_through(
    engine: &Arc<DaemonEngine>,
    call: &RelayCall,
    order: &ForwardOrder,
    vm: &str,
) -> Result<UpstreamExchange, Option<AttemptEvent>> {
    let mut transit =
        OpenTransit { engine: Arc::clone(engine), vm: vm.to_owned(), end: TransitEnd::Done };
    let sent = engine.now();
    let message = transit_message(engine, call, order);
    let _copies = engine.memory().hold_copy(call.body.len() * MESSAGE_COPIES);
    let fault = match send_transit(engine, vm, message).await {
        Ok(response) => {
            engine.telemetry.count(CounterName::AttemptsInTransit);
            let transit = Some(transit);
            return Ok(UpstreamExchange { response, connection: None, sent, transit });
        }
        Err(fault) => fault,
    };
    engine.telemetry.count(CounterName::TransitsRefused);
    match fault {
        TransitFault::Refused(refusal) => {
            info!(engine.telemetry.log, "transit_failed";
                "request" => &call.attempt, "upstream" => &order.upstream, "peer" => vm,
                "written" => false, "cause" => refusal.to_string());
            match refusal {
                TransitRefusal::Busy => transit.end = TransitEnd::Busy,
                TransitRefusal::ConnectFailed => {
                    let upstream = order.upstream.clone();
                    engine.handle_event(DaemonEvent::UpstreamDown { upstream });
                    return Err(Some(AttemptEvent::NotSent));
                }
                TransitRefusal::Leaving | TransitRefusal::UnknownUpstream => {
                    return Err(Some(AttemptEvent::NotSent));
                }
                TransitRefusal::Draining
                | TransitRefusal::StaleList
                | TransitRefusal::NoLink
                | TransitRefusal::ConnectionClosed
                | TransitRefusal::OverLimit
                | TransitRefusal::NotAllowed => {}
            }
            Err(None)
        }
        TransitFault::Lost(fault) => {
            transit.end = TransitEnd::Lost;
            info!(engine.telemetry.log, "transit_failed";
                "request" => &call.attempt, "upstream" => &order.upstream, "peer" => vm,
                "written" => fault.may_be_written, "cause" => &fault.cause);
            Err(fault.may_be_written.then_some(AttemptEvent::Broken(BreakReason::Cut)))
        }
    }
}

fn transit_message(
    engine: &DaemonEngine,
    call: &RelayCall,
    order: &ForwardOrder,
) -> SendTransitRequest {
    let time_left = engine.clock.time_until(order.expires);
    let headers = request_headers(&call.headers, order, time_left, call.resume_after());
    let route = (call.host.as_str(), call.uri.path());
    let request = engine.core.transit_request(order, route, call.access.as_deref());
    SendTransitRequest {
        method: call.method.to_string(),
        target: target(call).to_owned(),
        headers: header_fields(&headers),
        body: call.body.to_vec(),
        left_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        needs_new_connection: order.needs_new_connection,
        ..request.into()
    }
}

/// Logs the cause of a failed send, and returns the event with which the attempt ends.
fn send_failed(
    engine: &DaemonEngine,
    call: &RelayCall,
    order: &ForwardOrder,
    fault: &SendFault,
) -> AttemptEvent {
    info!(engine.telemetry.log, "attempt_failed";
        "request" => &call.attempt, "upstream" => &order.upstream,
        "written" => fault.may_be_written, "cause" => &fault.cause);
    if fault.may_be_written {
        AttemptEvent::Broken(BreakReason::Cut)
    } else {
        AttemptEvent::NotSent
    }
}

fn upstream_request(call: &RelayCall, headers: HeaderMap) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
    *request.headers_mut() = headers;
    request
}

/// Path and query of the request.
fn target(call: &RelayCall) -> &str {
    call.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str)
}
