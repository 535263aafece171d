use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::LimitSettings;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::RequestKey;
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
use crate::http::{BodyFault, read_caller_body};

/// When a caller is told to ask a daemon for addresses again that has just started.
const READY_RETRY: Duration = Duration::from_millis(1_000);

/// Serves callers.
#[derive(Clone, Debug)]
pub struct CallerService {
    engine: Arc<DaemonEngine>,
    body_bytes: usize,
    body_time: Duration,
}

/// Query of an address question.
#[derive(Debug, Deserialize)]
struct AddressQuery {
    #[serde(default)]
    caller: String,
    zone: Option<String>,
}

/// Query of an outcome question.
#[derive(Debug, Deserialize)]
struct OutcomeQuery {
    workspace: String,
    key: String,
    age_ms: Option<u64>,
}

/// Question for a ticket.
#[derive(Debug, Deserialize)]
struct TicketQuery {
    workspace: String,
    key: String,
}

/// A ticket, and for how long it is good.
#[derive(Debug, Serialize)]
struct TicketAnswer {
    ticket: String,
    valid_ms: u128,
}

impl CallerService {
    /// Serves callers of `engine` within `limits`.
    #[must_use]
    pub fn new(engine: Arc<DaemonEngine>, limits: &LimitSettings) -> Self {
        Self { engine, body_bytes: limits.body_bytes, body_time: limits.body_timeout }
    }

    /// Routes of callers.
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
        let request = match self.read(request.into_body()).await {
            Ok(request) => request,
            Err(outcome) => return refusal_response(*outcome, self.engine.core.is_leaving()),
        };
        let stream = request.stream;
        let mut call = self.open_call(&request.key);
        let event = DaemonEvent::Submitted { call: call.call, request: Box::new(request) };
        self.engine.feed(event);
        match call.next().await {
            Some(CallReply::Final(answer)) if !stream => self.finish(&answer),
            Some(reply) if stream => stream_response(call, reply),
            _ => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    }

    async fn outcome(&self, query: Option<Query<OutcomeQuery>>) -> Response {
        let Some(Query(query)) = query else {
            let detail = "accepted: /v1/outcomes?workspace=NAME&key=KEY[&age_ms=N]";
            return self.malformed(detail);
        };
        if query.workspace.len() > MAX_KEY_BYTES || query.key.len() > MAX_KEY_BYTES {
            return self.malformed("workspace and key: accepted: 1 to 128 bytes");
        }
        let key = RequestKey::new(query.workspace, query.key);
        let mut call = self.open_call(&key);
        let age = query.age_ms.map(Duration::from_millis);
        self.engine.feed(DaemonEvent::Inquired { call: call.call, key, age });
        match call.next().await {
            Some(CallReply::Final(answer)) => self.finish(&answer),
            _ => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    }

    fn ticket(&self, query: Option<Query<TicketQuery>>) -> Response {
        let Some(Query(query)) = query else {
            return self.malformed("accepted: /v1/tickets?workspace=NAME&key=KEY");
        };
        let key = RequestKey::new(query.workspace, query.key);
        let (ticket, valid) = self.engine.core.issue_ticket(&key, self.engine.now());
        Json(TicketAnswer { ticket, valid_ms: valid.as_millis() }).into_response()
    }

    fn addresses(&self, query: Option<Query<AddressQuery>>) -> Response {
        let (caller, zone) =
            query.map(|Query(query)| (query.caller, query.zone)).unwrap_or_default();
        let answer = self.engine.core.addresses(&caller, zone.as_deref());
        // A daemon that has just started knows of no peers yet; an empty answer would leave its
        // caller with nowhere to go for as long as answers may be kept.
        if !self.engine.core.is_ready() || answer.addresses.is_empty() {
            let outcome = refusal(RefusalReason::NotReady, "this daemon knows of none to use");
            return refusal_response(outcome.with_retry(READY_RETRY, true), false);
        }
        Json(answer).into_response()
    }

    fn open_call(&self, key: &RequestKey) -> OpenCall {
        OpenCall::open(&self.engine, key)
    }

    fn finish(&self, answer: &FinalAnswer) -> Response {
        answer_response(answer, self.engine.core.is_leaving())
    }

    fn malformed(&self, detail: &str) -> Response {
        refusal_response(refusal(RefusalReason::Malformed, detail), self.engine.core.is_leaving())
    }

    async fn read(&self, body: Body) -> Result<CallerRequest, Box<FinalOutcome>> {
        let read = tokio::time::timeout(self.body_time, read_caller_body(body, self.body_bytes));
        let body = match read.await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyFault::TooLarge)) => {
                let detail = format!("body: accepted: at most {} bytes", self.body_bytes);
                return Err(Box::new(refusal(RefusalReason::TooLarge, &detail)));
            }
            Ok(Err(BodyFault::Cut)) => {
                return Err(Box::new(refusal(RefusalReason::Malformed, "the body was cut")));
            }
            Err(_) => {
                let detail = format!("body: accepted: within {} ms", self.body_time.as_millis());
                return Err(Box::new(refusal(RefusalReason::TooSlow, &detail)));
            }
        };
        let wire: SubmittedRequest = serde_json::from_slice(&body)
            .map_err(|fault| Box::new(refusal(RefusalReason::Malformed, &fault.to_string())))?;
        CallerRequest::try_from(wire)
    }
}

fn refusal(reason: RefusalReason, detail: &str) -> FinalOutcome {
    let nobody = RequestKey::new("", "");
    FinalOutcome::new(OutcomeKind::Refused, &nobody).with_reason(reason).with_detail(detail)
}
