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

/// A piece of a streamed answer.
#[derive(Serialize)]
struct StreamPiece<'a> {
    piece: &'a str,
}

/// HTTP status of an outcome.
pub(super) fn status(kind: OutcomeKind, reason: Option<RefusalReason>) -> StatusCode {
    match (kind, reason) {
        (OutcomeKind::Answered, _) => StatusCode::OK,
        (OutcomeKind::Failed, _) => StatusCode::BAD_GATEWAY,
        (OutcomeKind::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
        (OutcomeKind::Refused, Some(reason)) => refused_status(reason),
        (OutcomeKind::Refused, None) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// A response with the whole of `answer`.
pub(super) fn answer_response(answer: &FinalAnswer, leaving: bool) -> Response {
    let body = Body::from(Bytes::from_owner(Arc::clone(&answer.body)));
    let mut response = Response::new(body);
    *response.status_mut() = status(answer.kind, answer.reason);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = answer.retry_after {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if leaving {
        // Callers of a daemon that drains are told to connect elsewhere.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A response that refuses a request which could not even be read.
pub(super) fn refusal_response(outcome: FinalOutcome, leaving: bool) -> Response {
    answer_response(&FinalAnswer::from(outcome), leaving)
}

/// A response whose pieces go out as they come; the last line is the final answer, and without it
/// the answer is not whole.
pub(super) fn stream_response(call: OpenCall, first: CallReply) -> Response {
    let state = (call, Some(first));
    let frames = stream::unfold(state, |(mut call, first)| async move {
        if call.answered && first.is_none() {
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
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Lets a stream that is polled by one task be shared between threads.
type SyncStream<S> = sync_wrapper::SyncStream<S>;

fn refused_status(reason: RefusalReason) -> StatusCode {
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
        | RefusalReason::HolderLost => StatusCode::SERVICE_UNAVAILABLE,
    }
}
