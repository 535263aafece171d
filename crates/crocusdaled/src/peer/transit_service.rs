use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocusdale_core::daemon::CounterName;
use crocusdale_core::memory::HoldClass;
use crocusdale_core::reachability::{TransitGrant, TransitRefusal, TransitRequest};
use crocusdale_core::routing::CONNECT_TIMEOUT;
use crocusdale_platform::notice::read_notice;
use crocusdale_platform::relay::set_time_left;
use crocusdale_schema::peer::transit_frame::Part;
use crocusdale_schema::peer::{SendTransitRequest, TransitFrame, TransitHead};
use http::{Method, Request, Uri};
use http_body_util::{BodyExt as _, Full};
use slog::info;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Status;

use super::transit_client::{header_fields, read_header_fields};
use crate::engine::DaemonEngine;
use crate::upstream::{connect_upstream, is_framed, is_whole_answer};

/// Number of frames of an answer that wait for the asking daemon. Beyond it the upstream is no longer
/// read, which applies backpressure to it.
const MAX_BUFFERED_FRAMES: usize = 4;
/// Time beyond the deadline of a request after which its exchange is given up, if the asking daemon
/// has not cancelled it.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// Frames of the answer to a request in transit.
pub(super) type TransitFrames = ReceiverStream<Result<TransitFrame, Status>>;

/// A request that this daemon sends on behalf of another. Counts as open until it is dropped.
struct OpenTransit {
    engine: Arc<DaemonEngine>,
    grant: TransitGrant,
}

impl Drop for OpenTransit {
    fn drop(&mut self) {
        self.engine.core.end_transit();
    }
}

/// Sends the request of `message` to its upstream, and returns the frames of the answer. Dropping them
/// closes the connection to the upstream.
///
/// # Errors
///
/// Returns an error if the message is invalid.
pub(super) fn serve_transit(
    engine: &Arc<DaemonEngine>,
    message: SendTransitRequest,
) -> Result<TransitFrames, Status> {
    let request = TransitRequest::try_from(&message)
        .map_err(|fault| Status::invalid_argument(fault.to_string()))?;
    let method: Method = message.method.parse().map_err(|_| {
        Status::invalid_argument(format!("`{}` is not an HTTP method", message.method))
    })?;
    let target: Uri = message.target.parse().map_err(|_| {
        Status::invalid_argument(format!("`{}` is not a request target", message.target))
    })?;
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let time_limit = Duration::from_millis(message.left_ms) + DEADLINE_MARGIN;
        let exchange = async {
            if let Err(refusal) =
                exchange(&engine, &request, (method, target), message, &sender).await
            {
                info!(engine.telemetry.log, "transit_refused";
                    "upstream" => &request.upstream, "cause" => refusal.to_string());
                send(&sender, Part::Refusal(refusal.to_string())).await;
            }
        };
        tokio::select! {
            () = sender.closed() => {}
            _ = tokio::time::timeout(time_limit, exchange) => {}
        }
    });
    Ok(ReceiverStream::new(receiver))
}

async fn exchange(
    engine: &Arc<DaemonEngine>,
    request: &TransitRequest,
    (method, target): (Method, Uri),
    message: SendTransitRequest,
    sender: &mpsc::Sender<Result<TransitFrame, Status>>,
) -> Result<(), TransitRefusal> {
    let admitted = engine.now();
    let expires = admitted + Duration::from_millis(message.left_ms);
    let body_bytes = message.body.len();
    let held = engine.memory().hold(body_bytes, HoldClass::of(body_bytes), None);
    let _held = held.map_err(|_| TransitRefusal::Busy)?;
    let grant = engine.core.admit_transit(request, admitted)?;
    let transit = OpenTransit { engine: Arc::clone(engine), grant };
    let (address, needs_new) = (transit.grant.address, message.needs_new_connection);
    let connected = connect_upstream(engine, &request.upstream, address, needs_new).await;
    let mut connection = connected.map_err(|_| engine.core.connect_refusal(&request.pool))?;
    // The process may have been paused since the upstream was found to be usable.
    let now = engine.now();
    if now > admitted + CONNECT_TIMEOUT || now >= expires {
        return Err(TransitRefusal::StaleList);
    }
    let mut headers = read_header_fields(message.headers);
    set_time_left(&mut headers, engine.clock.time_until(expires));
    let mut upstream_request = Request::new(Full::new(Bytes::from(message.body)));
    *upstream_request.method_mut() = method;
    *upstream_request.uri_mut() = target;
    *upstream_request.headers_mut() = headers;
    engine.telemetry.count(CounterName::TransitsServed);
    let sent = engine.now();
    let response = match connection.send(upstream_request).await {
        Ok(response) => response,
        Err(fault) if !fault.may_be_written => return Err(TransitRefusal::ConnectionClosed),
        // Without a frame, the asking daemon takes the request as possibly written.
        Err(_) => return Ok(()),
    };
    let (parts, mut body) = response.into_parts();
    engine.report_notice(&request.upstream, read_notice(parts.status, &parts.headers), sent);
    let head = TransitHead {
        status: u32::from(parts.status.as_u16()),
        headers: header_fields(&parts.headers),
    };
    send(sender, Part::Head(head)).await;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Ok(()) };
        if let Ok(data) = frame.into_data() {
            send(sender, Part::Data(data.to_vec())).await;
        }
    }
    if parts.status.is_success()
        && !is_framed(&parts)
        && !is_whole_answer(engine, &request.upstream, address).await
    {
        return Ok(());
    }
    engine.connections().return_connection(
        connection,
        &parts.headers,
        transit.grant.max_idle_connections,
    );
    send(sender, Part::End(true)).await;
    Ok(())
}

async fn send(sender: &mpsc::Sender<Result<TransitFrame, Status>>, part: Part) {
    // The exchange is aborted once the receiver is gone.
    let _ = sender.send(Ok(TransitFrame { part: Some(part) })).await;
}
