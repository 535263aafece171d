//! Server side of the calls about placements.

use crocusdale_core::placement::PlacementRequest;
use crocusdale_core::wire::{MessageFault, read_placement_reports};
use crocusdale_schema::peer::{
    PlaceRequestReply, PlaceRequestRequest, ReportPlacementsReply, ReportPlacementsRequest,
};
use prost::Message as _;
use slog::warn;
use tonic::{Request, Response, Status};

use crate::engine::DaemonEngine;

/// Chooses the engine of another daemon's request.
pub(super) fn place_request(
    engine: &DaemonEngine,
    request: Request<PlaceRequestRequest>,
) -> Result<Response<PlaceRequestReply>, Status> {
    let sender = request.remote_addr();
    let message = request.into_inner();
    let bytes = message.encoded_len();
    let now = engine.now();
    let placement_request = PlacementRequest::from_wire(message, now)
        .map_err(|fault| refuse(engine, sender, bytes, fault))?;
    let reply = engine.core.place_request(&placement_request, now);
    let reply = reply.ok_or_else(|| Status::unimplemented("placement is off"))?;
    Ok(Response::new(reply.into()))
}

/// Applies another daemon's reports.
pub(super) fn report_placements(
    engine: &DaemonEngine,
    request: Request<ReportPlacementsRequest>,
) -> Result<Response<ReportPlacementsReply>, Status> {
    let sender = request.remote_addr();
    let message = request.into_inner();
    let bytes = message.encoded_len();
    let (section, reports) =
        read_placement_reports(message).map_err(|fault| refuse(engine, sender, bytes, fault))?;
    engine.core.report_placements(&section, &reports, engine.now());
    Ok(Response::new(ReportPlacementsReply {}))
}

/// Logs a message that is refused for its content, and returns the status of the refusal.
pub(super) fn refuse(
    engine: &DaemonEngine,
    sender: Option<std::net::SocketAddr>,
    bytes: usize,
    fault: MessageFault,
) -> Status {
    warn!(engine.telemetry.log, "message_refused";
        "sender" => sender.map(|address| address.to_string()), "bytes" => bytes,
        "cause" => fault.to_string());
    Status::invalid_argument(fault.to_string())
}
