use std::sync::Arc;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::AttemptId;
use crocusdale_core::pipeline::{AttemptEvent, BreakReason, JsonCallOrder, StreamLine};
use futures::{StreamExt as _, TryStreamExt as _};
use http_body_util::BodyStream;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio_util::codec::{FramedRead, LinesCodec, LinesCodecError};
use tokio_util::io::StreamReader;
use volo_http::response::Response;

use crate::engine::DaemonEngine;
use crate::http::{BodyFault, read_body};

/// Header with the id of the attempt that a request or its answer belongs to.
pub(super) const ATTEMPT_HEADER: &str = "x-crocusdale-attempt";

/// Largest answer of a stage that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Longest line of a streamed answer that is read, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Response header that identifies the process which runs as the upstream.
const PROCESS_HEADER: &str = "x-upstream-life";
/// Response header with which an upstream announces that it is shutting down.
const LEAVING_HEADER: &str = "x-upstream-leaving";

/// JSON body of an answer that is not streamed.
#[derive(Debug, Deserialize)]
struct StageReply {
    attempt: String,
    answer: Box<RawValue>,
}

/// Reads an answer, passes its lines to the core and returns the event that ends the attempt.
pub(super) async fn read_answer(
    engine: &Arc<DaemonEngine>,
    order: &JsonCallOrder,
    response: Response,
) -> AttemptEvent {
    let attempt = order.attempt;
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let process_id = header(PROCESS_HEADER).unwrap_or_default().to_owned();
    let announces_leaving = header(LEAVING_HEADER) == Some("1");
    let echoed_attempt: Option<AttemptId> =
        header(ATTEMPT_HEADER).and_then(|text| text.parse().ok());
    if echoed_attempt.is_some_and(|echoed_attempt| echoed_attempt != attempt) {
        return AttemptEvent::Broken(BreakReason::OtherAttempt);
    }
    let identity_event =
        AttemptEvent::ProcessIdentified { process: process_id, is_leaving: announces_leaving };
    engine.handle_event(DaemonEvent::Attempt { attempt, event: identity_event });
    if order.stream {
        read_lines(engine, attempt, response).await
    } else {
        read_whole(response).await
    }
}

async fn read_whole(response: Response) -> AttemptEvent {
    let body = match read_body(response.into_body(), MAX_ANSWER_BYTES).await {
        Ok(body) => body,
        Err(BodyFault::TooLarge) => return AttemptEvent::Broken(BreakReason::TooLarge),
        Err(BodyFault::Incomplete | BodyFault::NoRoom(_)) => {
            return AttemptEvent::Broken(BreakReason::Cut);
        }
    };
    match serde_json::from_slice::<StageReply>(&body) {
        Ok(reply) => {
            AttemptEvent::Answered { echo: reply.attempt.parse().ok(), answer: reply.answer }
        }
        Err(_) => AttemptEvent::Broken(BreakReason::Malformed),
    }
}

/// Reads a streamed answer to its end. The last line is returned, and the lines before it are
/// passed to the core.
async fn read_lines(
    engine: &Arc<DaemonEngine>,
    attempt: AttemptId,
    response: Response,
) -> AttemptEvent {
    let frames = BodyStream::new(response.into_body()).map_err(std::io::Error::other);
    let data = frames.try_filter_map(|frame| async move { Ok(frame.into_data().ok()) });
    let reader = StreamReader::new(Box::pin(data));
    let mut lines = FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
    while let Some(line) = lines.next().await {
        let line = match line {
            Ok(line) => line,
            Err(LinesCodecError::MaxLineLengthExceeded) => {
                return AttemptEvent::Broken(BreakReason::TooLarge);
            }
            Err(LinesCodecError::Io(_)) => return AttemptEvent::Broken(BreakReason::Cut),
        };
        let Ok(line) = serde_json::from_str::<StreamLine>(&line) else {
            return AttemptEvent::Broken(BreakReason::Malformed);
        };
        if line.end {
            return AttemptEvent::Line(line);
        }
        engine.handle_event(DaemonEvent::Attempt { attempt, event: AttemptEvent::Line(line) });
    }
    // The HTTP body ended without an error, but its last line was not the end of the stream.
    AttemptEvent::Broken(BreakReason::Cut)
}
