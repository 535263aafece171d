use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocusdale_core::configuration::LimitSettings;
use crocusdale_core::daemon::DaemonEvent;
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
use crate::http::{BodyFault, read_caller_body};
use crate::service::OpenCall;

/// Passes callers' requests through to upstreams.
#[derive(Clone, Debug)]
pub struct ForwardService {
    engine: Arc<DaemonEngine>,
    body_bytes: usize,
    body_time: Duration,
}

/// The answer that a caller gets broke off.
#[derive(Clone, Copy, Debug)]
struct AnswerBrokenOff;

impl std::fmt::Display for AnswerBrokenOff {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer broke off")
    }
}

impl std::error::Error for AnswerBrokenOff {}

impl ForwardService {
    /// Serves callers of `engine` within `limits`.
    #[must_use]
    pub fn new(engine: Arc<DaemonEngine>, limits: &LimitSettings) -> Self {
        Self { engine, body_bytes: limits.body_bytes, body_time: limits.body_timeout }
    }

    /// Routes of callers: every path of every host.
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
        let body = match self.read(body).await {
            Ok(body) => body,
            Err(reason) => {
                let outcome =
                    FinalOutcome::new(OutcomeKind::Refused, &request.key).with_reason(reason);
                return self.refusal(&FinalAnswer::from(outcome));
            }
        };
        request.set_content(content_digest(&parts, &body));
        let mut call = OpenCall::open(&self.engine, &request.key);
        let attempt = request.key.key.clone();
        let target = (parts.method, parts.uri);
        let relayed = RelayCall::new(target, headers, body, attempt, last_event);
        self.engine.relays().open(call.call, relayed);
        let event = DaemonEvent::Submitted { call: call.call, request: Box::new(request) };
        self.engine.feed(event);
        match call.next().await {
            Some(CallReply::Relayed(answer)) => self.answer(call, answer),
            Some(CallReply::Final(answer)) => self.refusal(&answer),
            Some(CallReply::Piece(_)) | None => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    }

    async fn read(&self, body: Body) -> Result<Bytes, RefusalReason> {
        let declared = self.engine.core.caller_limits().map_or(0, |limits| limits.body_bytes);
        let limit = self.body_bytes.max(declared);
        let read = tokio::time::timeout(self.body_time, read_caller_body(body, limit));
        match read.await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyFault::TooLarge)) => Err(RefusalReason::TooLarge),
            Ok(Err(BodyFault::Cut)) => Err(RefusalReason::Malformed),
            Err(_) => Err(RefusalReason::TooSlow),
        }
    }

    fn answer(&self, call: OpenCall, answer: RelayedAnswer) -> Response {
        let RelayedAnswer { status, headers, body } = answer;
        let body = match body {
            RelayBody::Whole(bytes) => {
                // The core hears of the end from the attempt; the call needs nothing more.
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

    fn refusal(&self, answer: &FinalAnswer) -> Response {
        let (status, headers) = refusal_head(answer);
        let mut response = Response::new(Body::empty());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        self.mark_leaving(&mut response);
        response
    }

    /// Callers of a daemon that drains are told to connect elsewhere.
    fn mark_leaving(&self, response: &mut Response) {
        if self.engine.core.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

/// Digest of what a caller sends again when it repeats its request; fields of the head may differ.
fn content_digest(parts: &Parts, body: &[u8]) -> RequestDigest {
    let target = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    RequestDigest::of(&[parts.method.as_str().as_bytes(), target.as_bytes(), body])
}

/// Events of an answer on their way to the caller.
struct EventFlow {
    call: OpenCall,
    events: mpsc::Receiver<Bytes>,
    /// Whether the core has said that the request was answered.
    whole: bool,
}

impl EventFlow {
    /// The next event; `None` at the end of a whole answer.
    async fn next(&mut self) -> Result<Option<Bytes>, AnswerBrokenOff> {
        while !self.whole {
            tokio::select! {
                biased;
                event = self.events.recv() => match event {
                    Some(event) => return Ok(Some(event)),
                    None => {
                        let reply = self.call.next().await;
                        self.take_end(reply)?;
                    }
                },
                reply = self.call.next() => self.take_end(reply)?,
            }
        }
        // What was sent before the end is still on its way.
        Ok(self.events.recv().await)
    }

    fn take_end(&mut self, reply: Option<CallReply>) -> Result<(), AnswerBrokenOff> {
        match reply {
            Some(CallReply::Final(answer)) if answer.kind == OutcomeKind::Answered => {
                // The last event was sent before the core heard of the end. Closed here, the answer
                // ends with it, whoever else still holds the other end of the way.
                self.whole = true;
                self.events.close();
                Ok(())
            }
            _ => Err(AnswerBrokenOff),
        }
    }
}

/// A body of events as they come. It ends whole only after the core has said that the request was
/// answered; otherwise it breaks off, so that a part never looks like the whole.
fn event_body(call: OpenCall, events: mpsc::Receiver<Bytes>) -> Body {
    let flow = EventFlow { call, events, whole: false };
    let frames = stream::unfold(Some(flow), |flow| async move {
        let mut flow = flow?;
        match flow.next().await {
            Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(flow))),
            Ok(None) => None,
            Err(fault) => Some((Err::<_, BoxError>(fault.into()), None)),
        }
    });
    Body::from_stream(sync_wrapper::SyncStream::new(frames))
}
