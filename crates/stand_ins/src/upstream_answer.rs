use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt as _, stream};
use http_body::Frame;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

use crate::{UpstreamFault, UpstreamPlan};

/// An id that no daemon ever gave out.
const FOREIGN_ATTEMPT: &str = "1-1-1";

/// Body of a call of an upstream.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct StageCall {
    pub(crate) attempt: String,
    pub(crate) workspace: String,
    pub(crate) key: String,
    stage: String,
    inputs: Vec<StageInput>,
}

/// Answer of an earlier stage.
#[derive(Clone, Debug, Deserialize)]
struct StageInput {
    stage: String,
}

/// Answers a call whole, unless `fault` has it otherwise.
pub(crate) fn whole_answer(
    name: &str,
    call: &StageCall,
    last: &str,
    fault: UpstreamFault,
) -> Response {
    let after: Vec<&str> = call.inputs.iter().map(|input| input.stage.as_str()).collect();
    let wrong = matches!(fault, UpstreamFault::ForeignId | UpstreamFault::FinishedId);
    let whose = if wrong { "another" } else { &call.key };
    let answer = json!({ "for": whose, "stage": call.stage, "by": name, "after": after });
    let attempt = echo(call, last, fault);
    let body = json!({ "attempt": attempt, "answer": answer }).to_string();
    match fault {
        UpstreamFault::Cut | UpstreamFault::ShortStream => {
            cut_body(vec![Bytes::from(body[..body.len() / 2].to_owned())])
        }
        // The tail of another answer: JSON that still reads, with another attempt at its end.
        UpstreamFault::WrongTail => {
            let foreign = json!({ "answer": "of another", "attempt": FOREIGN_ATTEMPT });
            Response::new(Body::from(foreign.to_string()))
        }
        _ => Response::new(Body::from(body)),
    }
}

/// Answers a call as a stream of lines, unless `plan` has it otherwise; holds `slot` to its end.
pub(crate) fn stream_answer(
    name: &str,
    call: &StageCall,
    last: &str,
    plan: UpstreamPlan,
    slot: Option<OwnedSemaphorePermit>,
) -> Response {
    let attempt = echo(call, last, plan.fault);
    let after: Vec<&str> = call.inputs.iter().map(|input| input.stage.as_str()).collect();
    let piece = |index: u64| match index {
        0 => format!("for {} by {name}:", call.key),
        1 => format!(" after {}", after.join("+")),
        _ => format!(" w{index}"),
    };
    let line = |attempt: &str, index: u64, text: &str| {
        json!({ "attempt": attempt, "index": index, "text": text }).to_string() + "\n"
    };
    let mut lines: Vec<String> =
        (0..plan.pieces).map(|index| line(&attempt, index, &piece(index))).collect();
    let end = json!({ "attempt": attempt, "index": plan.pieces, "end": true }).to_string() + "\n";
    lines.push(end);
    match plan.fault {
        UpstreamFault::Cut => return cut_body(vec![Bytes::from(lines.swap_remove(0))]),
        UpstreamFault::ShortStream => drop(lines.pop()),
        UpstreamFault::Twice => lines.insert(1, lines[0].clone()),
        UpstreamFault::OutOfOrder => lines.swap(0, 1),
        UpstreamFault::WrongTail => {
            let middle = lines.len() / 2;
            for index in middle..lines.len() - 1 {
                lines[index] = line(FOREIGN_ATTEMPT, index as u64, " of another");
            }
        }
        _ => {}
    }
    let pause = Duration::from_millis(plan.piece_ms);
    let slot = Arc::new(slot);
    let frames = stream::iter(lines).then(move |line| {
        let slot = Arc::clone(&slot);
        async move {
            let _slot = slot;
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            Ok::<_, BoxError>(Frame::data(Bytes::from(line)))
        }
    });
    Response::new(Body::from_stream(sync_wrapper::SyncStream::new(frames)))
}

fn echo(call: &StageCall, last: &str, fault: UpstreamFault) -> String {
    match fault {
        UpstreamFault::ForeignId => FOREIGN_ATTEMPT.to_owned(),
        UpstreamFault::FinishedId => last.to_owned(),
        _ => call.attempt.clone(),
    }
}

/// A body that breaks off after `pieces`.
fn cut_body(pieces: Vec<Bytes>) -> Response {
    let pieces = stream::iter(pieces.into_iter().map(|piece| Ok(Frame::data(piece))));
    let cut = stream::iter([Err::<Frame<Bytes>, BoxError>("cut on request".into())]);
    Response::new(Body::from_stream(pieces.chain(cut)))
}
