use std::sync::Arc;

use bytes::Bytes;
use crocusdale_core::pipeline::{FinalAnswer, FinalOutcome, OutcomeKind, RefusalReason};
use futures::stream;
use http::{HeaderValue, StatusCode, header};
use http_body::Frame;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

use super::OpenCall;
use crate::engine::CallReply;

/// One line of a streamed answer that carries a piece of the output.
#[derive(Serialize)]
struct StreamPiece<'a> {
    piece: &'a str,
}

/// Returns the HTTP status for an outcome and, if it is a refusal, its reason.
pub(super) fn outcome_status(kind: OutcomeKind, reason: Option<RefusalReason>) -> StatusCode {
    match (kind, reason) {
        (OutcomeKind::Answered, _) => StatusCode::OK,
        (OutcomeKind::Failed, _) => StatusCode::BAD_GATEWAY,
        (OutcomeKind::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
        (OutcomeKind::Refused, Some(reason)) => refusal_status(reason),
        (OutcomeKind::Refused, None) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns a response with the complete body of `answer`. With `leaving` it closes the connection.
pub(super) fn answer_response(answer: &FinalAnswer, is_leaving: bool) -> Response {
    let body = Body::from(Bytes::from_owner(Arc::clone(&answer.body)));
    let mut response = Response::new(body);
    *response.status_mut() = outcome_status(answer.kind, answer.reason);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = answer.retry_after {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if is_leaving {
        // While the daemon drains, callers have to connect to another daemon.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns a response that refuses a request before the request reaches the core.
pub(super) fn refusal_response(outcome: FinalOutcome, is_leaving: bool) -> Response {
    answer_response(&FinalAnswer::from(outcome), is_leaving)
}

/// Returns a response that streams pieces as they arrive. Its last line is the final answer. A
/// caller that gets no such line knows that the answer is incomplete.
pub(super) fn stream_response(call: OpenCall, first: CallReply) -> Response {
    let state = (call, Some(first));
    let frames = stream::unfold(state, |(mut call, first)| async move {
        if call.is_answered && first.is_none() {
            return None;
        }
        let reply = match first {
            Some(reply) => reply,
            None => call.next().await?,
        };
        let line = match &reply {
            CallReply::Piece(text) => serde_json::to_vec(&StreamPiece { piece: text }).ok()?,
            CallReply::Final(answer) => answer.body.to_vec(),
            CallReply::Relayed(_) => return None,
        };
        let mut line = line;
        line.push(b'\n');
        Some((Ok::<_, BoxError>(Frame::data(Bytes::from(line))), (call, None)))
    });
    let mut response = Response::new(Body::from_stream(SyncStream::new(frames)));
    let content_type = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Wrapper that makes a stream `Sync`, which the response body requires. Only one task polls it.
type SyncStream<S> = sync_wrapper::SyncStream<S>;

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Malformed
        | RefusalReason::BadLabels
        | RefusalReason::BadDeadline
        | RefusalReason::NoPipeline => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::TooSlow => StatusCode::REQUEST_TIMEOUT,
        RefusalReason::UnknownWorkspace | RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::NoAccess => StatusCode::UNAUTHORIZED,
        RefusalReason::RequestLimit | RefusalReason::WorkspaceLimit | RefusalReason::RuleLimit => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RefusalReason::NeverRun
        | RefusalReason::NotClaimed
        | RefusalReason::KeyExpired
        | RefusalReason::BadTicket => StatusCode::CONFLICT,
        RefusalReason::NotReady
        | RefusalReason::Draining
        | RefusalReason::Overload
        | RefusalReason::NoUpstream
        | RefusalReason::Deadline
        | RefusalReason::UpstreamError
        | RefusalReason::UpstreamBroken
        | RefusalReason::Quarantined
        | RefusalReason::StreamUnknown
        | RefusalReason::NoRoom
        | RefusalReason::HolderLost => StatusCode::SERVICE_UNAVAILABLE,
    }
}
