use std::error::Error;
use std::sync::Arc;

use bytes::Bytes;
use crocusdale_core::reachability::TransitRefusal;
use crocusdale_schema::peer::peer_service_client::PeerServiceClient;
use crocusdale_schema::peer::transit_frame::Part;
use crocusdale_schema::peer::{HeaderField, SendTransitRequest, TransitFrame, TransitHead};
use futures::{Stream, StreamExt as _, stream};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt as _, StreamBody};
use tonic::{Code, ConnectError, Status, Streaming};

use super::peer_call::MAX_MESSAGE_BYTES;
use crate::engine::DaemonEngine;
use crate::upstream::{AnswerBody, BodyError, SendFault};

/// Largest body of a request that is sent in transit, in bytes. The rest of a message is left for
/// its head.
const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES - (256 << 10);

/// Why a request in transit has no answer.
#[derive(Debug)]
pub(crate) enum TransitFault {
    /// The other daemon refused to send the request.
    Refused(TransitRefusal),
    /// The other daemon could not be reached, doesn't know the call, or the call broke off.
    Lost(SendFault),
}

impl TransitFault {
    fn unwritten(cause: &impl ToString) -> Self {
        Self::Lost(SendFault::unwritten(cause))
    }

    fn broken(cause: &impl ToString) -> Self {
        Self::Lost(SendFault::broken(cause))
    }
}

/// Sends `request` to its upstream through the daemon on `vm`. Returns the upstream's answer once its
/// head has arrived.
///
/// # Errors
///
/// Returns why there is no answer, and whether the request may have been written.
pub(crate) async fn send_transit(
    engine: &Arc<DaemonEngine>,
    vm: &str,
    request: SendTransitRequest,
) -> Result<Response<AnswerBody>, TransitFault> {
    if request.body.len() > MAX_BODY_BYTES {
        return Err(TransitFault::unwritten(&"the body is too large to be sent in transit"));
    }
    let address = engine.core.peer_address(vm);
    let address = address
        .ok_or_else(|| TransitFault::unwritten(&"the address of the daemon is not known"))?;
    let channel = engine.peers().channel(address);
    let mut client = PeerServiceClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let mut frames = match client.send_transit(request).await {
        Ok(response) => response.into_inner(),
        Err(status) if is_unwritten(&status) => return Err(TransitFault::unwritten(&status)),
        Err(status) => return Err(TransitFault::broken(&status)),
    };
    match frames.message().await.map(|frame| frame.and_then(|frame| frame.part)) {
        Ok(Some(Part::Refusal(reason))) => Err(match reason.parse() {
            Ok(refusal) => TransitFault::Refused(refusal),
            // Every refusal means that nothing was written, also one of a newer version.
            Err(_) => TransitFault::unwritten(&reason),
        }),
        Ok(Some(Part::Head(head))) => answer(head, frames),
        Ok(_) => Err(TransitFault::broken(&"the answer has no head")),
        Err(status) => Err(TransitFault::broken(&status)),
    }
}

/// Returns header fields as a message carries them.
pub(crate) fn header_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let fields = headers.iter();
    fields
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Returns the header fields that a message carries, without invalid ones.
pub(crate) fn read_header_fields(fields: Vec<HeaderField>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&field.value)) {
            headers.append(name, value);
        }
    }
    headers
}

fn answer(
    head: TransitHead,
    frames: Streaming<TransitFrame>,
) -> Result<Response<AnswerBody>, TransitFault> {
    let status = u16::try_from(head.status).ok().and_then(|code| StatusCode::from_u16(code).ok());
    let status =
        status.ok_or_else(|| TransitFault::broken(&"the answer has an invalid HTTP status"))?;
    let body = StreamBody::new(body_frames(frames));
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = read_header_fields(head.headers);
    Ok(response)
}

/// Returns the body of an answer. Without an end it ends with an error, so that a partial answer never
/// looks like a whole one.
fn body_frames(
    frames: Streaming<TransitFrame>,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> {
    stream::unfold(Some(frames), |frames| async move {
        let mut frames = frames?;
        let part = match frames.next().await {
            Some(Ok(frame)) => frame.part,
            Some(Err(status)) => return Some((Err(BodyError::new(&status)), None)),
            None => None,
        };
        match part {
            Some(Part::Data(data)) => Some((Ok(Frame::data(Bytes::from(data))), Some(frames))),
            Some(Part::End(_)) => None,
            Some(Part::Refusal(_) | Part::Head(_)) | None => {
                let fault = BodyError::new(&"the answer ended before it was complete");
                Some((Err(fault), None))
            }
        }
    })
}

/// Whether the other daemon can't have written the request: it doesn't know the call, or no
/// connection to it was opened.
fn is_unwritten(status: &Status) -> bool {
    if status.code() == Code::Unimplemented {
        return true;
    }
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
