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

/// Header with the attempt that a call belongs to.
pub(super) const ATTEMPT_HEADER: &str = "x-crocusdale-attempt";

/// Largest answer of a stage, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;
/// Longest line of a stream, in bytes.
const LINE_LIMIT: usize = 1 << 20;
/// Header with the identity of the process behind an upstream.
const LIFE_HEADER: &str = "x-upstream-life";
/// Header by which an upstream says that it is leaving.
const LEAVING_HEADER: &str = "x-upstream-leaving";

/// Answer of a stage that doesn't stream.
#[derive(Debug, Deserialize)]
struct StageReply {
    attempt: String,
    answer: Box<RawValue>,
}

/// Reads an answer; its pieces go to the core, its end is returned.
pub(super) async fn read_answer(
    engine: &Arc<DaemonEngine>,
    order: &JsonCallOrder,
    response: Response,
) -> AttemptEvent {
    let attempt = order.attempt;
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let life = header(LIFE_HEADER).unwrap_or_default().to_owned();
    let leaving = header(LEAVING_HEADER) == Some("1");
    let echo: Option<AttemptId> = header(ATTEMPT_HEADER).and_then(|text| text.parse().ok());
    if echo.is_some_and(|echo| echo != attempt) {
        return AttemptEvent::Broken(BreakReason::OtherAttempt);
    }
    let greeting = AttemptEvent::ProcessIdentified { process: life, is_leaving: leaving };
    engine.feed(DaemonEvent::Attempt { attempt, event: greeting });
    if order.stream {
        read_lines(engine, attempt, response).await
    } else {
        read_whole(response).await
    }
}

async fn read_whole(response: Response) -> AttemptEvent {
    let body = match read_body(response.into_body(), ANSWER_LIMIT).await {
        Ok(body) => body,
        Err(BodyFault::TooLarge) => return AttemptEvent::Broken(BreakReason::TooLarge),
        Err(BodyFault::Cut) => return AttemptEvent::Broken(BreakReason::Cut),
    };
    match serde_json::from_slice::<StageReply>(&body) {
        Ok(reply) => {
            AttemptEvent::Answered { echo: reply.attempt.parse().ok(), answer: reply.answer }
        }
        Err(_) => AttemptEvent::Broken(BreakReason::Malformed),
    }
}

/// Reads a stream to its end; the last line is returned, the ones before go to the core.
async fn read_lines(
    engine: &Arc<DaemonEngine>,
    attempt: AttemptId,
    response: Response,
) -> AttemptEvent {
    let frames = BodyStream::new(response.into_body()).map_err(std::io::Error::other);
    let data = frames.try_filter_map(|frame| async move { Ok(frame.into_data().ok()) });
    let reader = StreamReader::new(Box::pin(data));
    let mut lines = FramedRead::new(reader, LinesCodec::new_with_max_length(LINE_LIMIT));
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
        engine.feed(DaemonEvent::Attempt { attempt, event: AttemptEvent::Line(line) });
    }
    // The body ended in good order, but the stream did not.
    AttemptEvent::Broken(BreakReason::Cut)
}
