//! Server side of the calls about streams that callers take up.

use crocusdale_core::streams::StreamRecord;
use crocusdale_core::wire::{MessageFault, read_stream_key};
use crocusdale_schema::peer::{
    FindStreamReply, FindStreamRequest, RecordStreamsReply, RecordStreamsRequest,
};
use prost::Message as _;
use tonic::{Request, Response, Status};

use super::placement_service::refuse;
use crate::engine::DaemonEngine;

/// Stores where streams of another daemon began.
pub(super) fn record_streams(
    engine: &DaemonEngine,
    request: Request<RecordStreamsRequest>,
) -> Result<Response<RecordStreamsReply>, Status> {
    let sender = request.remote_addr();
    let message = request.into_inner();
    let bytes = message.encoded_len();
    let records: Result<Vec<StreamRecord>, MessageFault> =
        message.records.into_iter().map(StreamRecord::try_from).collect();
    let records = records.map_err(|fault| refuse(engine, sender, bytes, fault))?;
    engine.core.record_streams(&records, engine.now());
    Ok(Response::new(RecordStreamsReply {}))
}

/// Tells another daemon where a stream began.
pub(super) fn find_stream(
    engine: &DaemonEngine,
    request: Request<FindStreamRequest>,
) -> Result<Response<FindStreamReply>, Status> {
    let sender = request.remote_addr();
    let message = request.into_inner();
    let bytes = message.encoded_len();
    let key =
        read_stream_key(&message.key).map_err(|fault| refuse(engine, sender, bytes, fault))?;
    let record = engine.core.find_stream(key, engine.now());
    Ok(Response::new(FindStreamReply { record: record.map(Into::into) }))
}
