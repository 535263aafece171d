use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::LimitSettings;
use crocusdale_core::daemon::{CounterName, DaemonEvent};
use crocusdale_core::identity::RequestKey;
use crocusdale_core::memory::HoldClass;
use crocusdale_core::pipeline::{
    CallerRequest, FinalAnswer, FinalOutcome, MAX_KEY_BYTES, OutcomeKind, RefusalReason,
    SubmittedRequest,
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::extract::Query;
use volo_http::server::route::{Router, get, post};
use volo_http::server::{IntoResponse as _, extract::Json};

use super::OpenCall;
use super::answer_response::{answer_response, refusal_response, stream_response};
use crate::engine::{CallReply, DaemonEngine};
use crate::http::{BodyFault, BodyRoom, read_caller_body};
use crate::memory::{CallerConnection, HeldBytes};

/// Delay after which a caller should ask for addresses again if the daemon has just started.
const READY_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// HTTP service for callers.
#[derive(Clone, Debug)]
pub struct CallerService {
    engine: Arc<DaemonEngine>,
    max_body_bytes: usize,
    body_timeout: Duration,
}

/// Query parameters of a request for daemon addresses.
#[derive(Debug, Deserialize)]
struct AddressQuery {
    #[serde(default)]
    caller: String,
    zone: Option<String>,
}

/// Query parameters of a request for the outcome of an earlier request.
#[derive(Debug, Deserialize)]
struct OutcomeQuery {
    workspace: String,
    key: String,
    age_ms: Option<u64>,
}

/// Query parameters of a request for a ticket.
#[derive(Debug, Deserialize)]
struct TicketQuery {
    workspace: String,
    key: String,
}

/// JSON body of an answer with a ticket and its validity.
#[derive(Debug, Serialize)]
struct TicketAnswer {
    ticket: String,
    valid_ms: u128,
}

impl CallerService {
    /// Creates a service for callers of `engine`, with the body size and time limits of `limits`.
    #[must_use]
    pub fn new(engine: Arc<DaemonEngine>, limits: &LimitSettings) -> Self {
        Self { engine, max_body_bytes: limits.body_bytes, body_timeout: limits.body_timeout }
    }

    /// Returns the router of all paths for callers.
    pub fn router(self) -> Router {
        let (submit, outcome, addresses, tickets) =
            (self.clone(), self.clone(), self.clone(), self);
        Router::new()
            .route("/v1/requests", post(async move |request: Request| submit.submit(request).await))
            .route(
                "/v1/outcomes",
                get(async move |query: Option<Query<OutcomeQuery>>| outcome.outcome(query).await),
            )
            .route(
                "/v1/tickets",
                post(async move |query: Option<Query<TicketQuery>>| tickets.ticket(query)),
            )
            .route(
                "/v1/addresses",
                get(async move |query: Option<Query<AddressQuery>>| addresses.addresses(query)),
            )
    }

    async fn submit(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let connection = parts.extensions.get::<Arc<CallerConnection>>();
        let (request, _held) = match self.read_request(body, connection).await {
            Ok(read) => read,
            Err(outcome) => return refusal_response(*outcome, self.engine.core.is_leaving()),
        };
        let stream = request.stream;
        let mut call = self.open_call(&request.key);
        let event = DaemonEvent::Submitted { call: call.id, request: Box::new(request) };
        self.engine.handle_event(event);
        match call.next().await {
            Some(CallReply::Final(answer)) if !stream => self.final_response(&answer),
            Some(reply) if stream => stream_response(call, reply),
            _ => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    }

    async fn outcome(&self, query: Option<Query<OutcomeQuery>>) -> Response {
        let Some(Query(query)) = query else {
            let detail = "accepted: /v1/outcomes?workspace=NAME&key=KEY[&age_ms=N]";
            return self.malformed_response(detail);
        };
        if query.workspace.len() > MAX_KEY_BYTES || query.key.len() > MAX_KEY_BYTES {
            return self.malformed_response("workspace and key: accepted: 1 to 128 bytes");
        }
        let key = RequestKey::new(query.workspace, query.key);
        let mut call = self.open_call(&key);
        let age = query.age_ms.map(Duration::from_millis);
        self.engine.handle_event(DaemonEvent::Inquired { call: call.id, key, age });
        match call.next().await {
            Some(CallReply::Final(answer)) => self.final_response(&answer),
            _ => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    }

    fn ticket(&self, query: Option<Query<TicketQuery>>) -> Response {
        let Some(Query(query)) = query else {
            return self.malformed_response("accepted: /v1/tickets?workspace=NAME&key=KEY");
        };
        let key = RequestKey::new(query.workspace, query.key);
        let (ticket, valid) = self.engine.core.issue_ticket(&key, self.engine.now());
        Json(TicketAnswer { ticket, valid_ms: valid.as_millis() }).into_response()
    }

    fn addresses(&self, query: Option<Query<AddressQuery>>) -> Response {
        let (caller, zone) =
            query.map(|Query(query)| (query.caller, query.zone)).unwrap_or_default();
        let answer = self.engine.core.addresses(&caller, zone.as_deref());
        // A daemon that has just started knows no peers yet. An empty answer would leave the
        // caller without any address for as long as it may cache the answer.
        if !self.engine.core.is_ready() || answer.addresses.is_empty() {
            let outcome = refusal(RefusalReason::NotReady, "this daemon knows of none to use");
            return refusal_response(outcome.with_retry(READY_RETRY_DELAY, true), false);
        }
        Json(answer).into_response()
    }

    fn open_call(&self, key: &RequestKey) -> OpenCall {
        OpenCall::open(&self.engine, key)
    }

    fn final_response(&self, answer: &FinalAnswer) -> Response {
        answer_response(answer, self.engine.core.is_leaving())
    }

    fn malformed_response(&self, detail: &str) -> Response {
        refusal_response(refusal(RefusalReason::Malformed, detail), self.engine.core.is_leaving())
    }

    async fn read_request(
        &self,
        body: Body,
        connection: Option<&Arc<CallerConnection>>,
    ) -> Result<(CallerRequest, HeldBytes), Box<FinalOutcome>> {
        let room = BodyRoom::for_request(self.engine.memory(), connection);
        let read = read_caller_body(body, self.max_body_bytes, room);
        let read = tokio::time::timeout(self.body_timeout, read);
        let body = match read.await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyFault::TooLarge)) => {
                let detail = format!("body: accepted: at most {} bytes", self.max_body_bytes);
                return Err(Box::new(refusal(RefusalReason::TooLarge, &detail)));
            }
            Ok(Err(BodyFault::Incomplete)) => {
                return Err(Box::new(refusal(RefusalReason::Malformed, "the body was cut")));
            }
            Ok(Err(BodyFault::NoRoom(retry_after))) => return Err(self.no_room(retry_after)),
            Err(_) => {
                let detail = format!("body: accepted: within {} ms", self.body_timeout.as_millis());
                return Err(Box::new(refusal(RefusalReason::TooSlow, &detail)));
            }
        };
        // The parsed request is a copy of the body, and is kept until it is answered.
        let held = self.engine.memory().hold(body.len(), HoldClass::of(body.len()), connection);
        let held = held.map_err(|no_room| self.no_room(no_room.retry_after))?;
        let submitted: SubmittedRequest = serde_json::from_slice(&body)
            .map_err(|fault| Box::new(refusal(RefusalReason::Malformed, &fault.to_string())))?;
        Ok((CallerRequest::try_from(submitted)?, held))
    }

    fn no_room(&self, retry_after: Duration) -> Box<FinalOutcome> {
        self.engine.telemetry.count(CounterName::BodiesWithoutRoom);
        let outcome = refusal(RefusalReason::NoRoom, "there is no memory for the body");
        Box::new(outcome.with_retry(retry_after, true))
    }
}

fn refusal(reason: RefusalReason, detail: &str) -> FinalOutcome {
    let empty_key = RequestKey::new("", "");
    FinalOutcome::new(OutcomeKind::Refused, &empty_key).with_reason(reason).with_detail(detail)
}
