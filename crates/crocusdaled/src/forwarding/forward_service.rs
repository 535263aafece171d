use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocusdale_core::configuration::LimitSettings;
use crocusdale_core::daemon::{CounterName, DaemonEvent};
use crocusdale_core::identity::RequestDigest;
use crocusdale_core::pipeline::{FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason};
use crocusdale_platform::ingress::{IngressCall, read_call, refusal_head};
use futures::stream;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderValue, StatusCode, header};
use http_body::Frame;
use slog::warn;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::IntoResponse as _;
use volo_http::server::route::Router;

use super::relay_call::RelayCall;
use super::{RelayBody, RelayedAnswer};
use crate::engine::{CallReply, DaemonEngine};
use crate::http::{BodyFault, BodyRoom, read_caller_body};
use crate::memory::CallerConnection;
use crate::service::OpenCall;

/// HTTP service that forwards callers' requests to upstreams.
#[derive(Clone, Debug)]
pub struct ForwardService {
    engine: Arc<DaemonEngine>,
    max_body_bytes: usize,
    body_timeout: Duration,
}

/// Error that ends the body of a caller's answer early, so that the caller sees it as incomplete.
#[derive(Clone, Copy, Debug)]
struct IncompleteAnswer;

impl std::fmt::Display for IncompleteAnswer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for IncompleteAnswer {}

/// Why a request was refused for its body.
struct BodyRefusal {
    reason: RefusalReason,
    /// Time after which the caller may come back. `None` if it makes no difference.
    retry_after: Option<Duration>,
}

impl BodyRefusal {
    /// Adds the refusal to `outcome`.
    fn outcome(&self, outcome: FinalOutcome) -> FinalOutcome {
        let outcome = outcome.with_reason(self.reason);
        match self.retry_after {
            Some(retry_after) => outcome.with_retry(retry_after, true),
            None => outcome,
        }
    }
}

impl ForwardService {
    /// Creates a service for callers of `engine`, with the body size and time limits of `limits`.
    #[must_use]
    pub fn new(engine: Arc<DaemonEngine>, limits: &LimitSettings) -> Self {
        Self { engine, max_body_bytes: limits.body_bytes, body_timeout: limits.body_timeout }
    }

    /// Returns a router that forwards every path of every host.
    pub fn router(self) -> Router {
        Router::new().fallback(async move |request: Request| self.serve(request).await)
    }

    async fn serve(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let IngressCall { mut request, headers, last_event, unreadable } = read_call(&parts);
        if !unreadable.is_empty() {
            warn!(self.engine.telemetry.log, "fields_unreadable";
                "request" => &request.key.key, "taken_as_missing" => unreadable.join(","));
        }
        let connection = parts.extensions.get::<Arc<CallerConnection>>();
        let body = match self.read_request_body(body, connection).await {
            Ok(body) => body,
            Err(refusal) => {
                let outcome =
                    refusal.outcome(FinalOutcome::new(OutcomeKind::Refused, &request.key));
                return self.refusal_response(&FinalAnswer::from(outcome));
            }
        };
        request.set_content(content_digest(&parts, &body));
        let mut call = OpenCall::open(&self.engine, &request.key);
        let connection = connection.cloned();
        let target = (parts.method, parts.uri);
        let relayed =
            RelayCall::new(target, headers, body, &request, last_event).on_connection(connection);
        self.engine.relays().open(call.id, relayed);
        let event = DaemonEvent::Submitted { call: call.id, request: Box::new(request) };
        self.engine.handle_event(event);
        match call.next().await {
            Some(CallReply::Relayed(answer)) => self.answer_response(call, answer),
            Some(CallReply::Final(answer)) => self.refusal_response(&answer),
            Some(CallReply::Piece(_)) | None => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    }

    async fn read_request_body(
        &self,
        body: Body,
        connection: Option<&Arc<CallerConnection>>,
    ) -> Result<Bytes, BodyRefusal> {
        let declared_bytes = self.engine.core.caller_limits().map_or(0, |limits| limits.body_bytes);
        let limit = self.max_body_bytes.max(declared_bytes);
        let room = BodyRoom::for_request(self.engine.memory(), connection);
        let read = tokio::time::timeout(self.body_timeout, read_caller_body(body, limit, room));
        let reason = match read.await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(BodyFault::TooLarge)) => RefusalReason::TooLarge,
            Ok(Err(BodyFault::Incomplete)) => RefusalReason::Malformed,
            Ok(Err(BodyFault::NoRoom(retry_after))) => {
                self.engine.telemetry.count(CounterName::BodiesWithoutRoom);
                return Err(BodyRefusal {
                    reason: RefusalReason::NoRoom,
                    retry_after: Some(retry_after),
                });
            }
            Err(_) => RefusalReason::TooSlow,
        };
        Err(BodyRefusal { reason, retry_after: None })
    }

    fn answer_response(&self, call: OpenCall, answer: RelayedAnswer) -> Response {
        let RelayedAnswer { status, headers, body } = answer;
        let body = match body {
            RelayBody::Whole(bytes) => {
                // The attempt reports its end to the core, so the call must not report a caller
                // that disconnected.
                call.finish();
                Body::from(bytes)
            }
            RelayBody::Events(events) => event_body(call, events),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        self.mark_leaving(&mut response);
        response
    }

    fn refusal_response(&self, answer: &FinalAnswer) -> Response {
        let (status, headers) = refusal_head(answer);
        let mut response = Response::new(Body::empty());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        self.mark_leaving(&mut response);
        response
    }

    /// Adds `connection: close` while the daemon drains, so that callers connect to another daemon.
    fn mark_leaving(&self, response: &mut Response) {
        if self.engine.core.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

/// Returns the digest of the method, target and body, which a caller repeats when it retries a
/// request. Headers are left out, as they may differ between tries.
fn content_digest(parts: &Parts, body: &[u8]) -> RequestDigest {
    let target = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    RequestDigest::of(&[parts.method.as_str().as_bytes(), target.as_bytes(), body])
}

/// The events of a streamed answer that are sent to the caller.
struct EventStream {
    call: OpenCall,
    events: mpsc::Receiver<Bytes>,
    /// Whether the core has confirmed that the request was answered completely.
    is_complete: bool,
}

impl EventStream {
    /// Waits for the next event. Returns `None` at the end of a complete answer.
    async fn next(&mut self) -> Result<Option<Bytes>, IncompleteAnswer> {
        while !self.is_complete {
            tokio::select! {
                biased;
                event = self.events.recv() => match event {
                    Some(event) => return Ok(Some(event)),
                    None => {
                        let reply = self.call.next().await;
                        self.handle_end(reply)?;
                    }
                },
                reply = self.call.next() => self.handle_end(reply)?,
            }
        }
        // Events that were sent before the end may still be in the channel.
        Ok(self.events.recv().await)
    }

    fn handle_end(&mut self, reply: Option<CallReply>) -> Result<(), IncompleteAnswer> {
        match reply {
            Some(CallReply::Final(answer)) if answer.kind == OutcomeKind::Answered => {
                // The last event was sent before the core learned of the end. The receiver is
                // closed here, so that the answer ends after that event even if a sender still
                // exists.
                self.is_complete = true;
                self.events.close();
                Ok(())
            }
            _ => Err(IncompleteAnswer),
        }
    }
}

/// Returns a body that streams events as they arrive.
///
/// The body ends without an error only after the core has confirmed that the request was answered.
/// Otherwise it ends with an error, so that a partial answer never looks like a complete one.
fn event_body(call: OpenCall, events: mpsc::Receiver<Bytes>) -> Body {
    let event_stream = EventStream { call, events, is_complete: false };
    let frames = stream::unfold(Some(event_stream), |event_stream| async move {
        let mut event_stream = event_stream?;
        match event_stream.next().await {
            Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(event_stream))),
            Ok(None) => None,
            Err(fault) => Some((Err::<_, BoxError>(fault.into()), None)),
        }
    });
    Body::from_stream(sync_wrapper::SyncStream::new(frames))
}
