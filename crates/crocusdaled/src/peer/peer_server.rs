use std::net::SocketAddr;
use std::sync::Arc;

use crocusdale_core::admission::AdmissionRequest;
use crocusdale_core::batching::PoolStatus;
use crocusdale_core::claims::RegisterReply as CoreRegisterReply;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::{InstanceId, RequestKey, StorePosition};
use crocusdale_core::membership::{ExchangeMessage as CoreExchangeMessage, WitnessSet};
use crocusdale_core::pipeline::{PieceOrder, ResultHandle};
use crocusdale_core::wire::{AdmissionMessageError, pieces_reply};
use crocusdale_schema::peer::peer_service_server::{PeerService, PeerServiceServer};
use crocusdale_schema::peer::{
    AdmitRequestReply, AdmitRequestRequest, AskOutcomeReply, AskOutcomeRequest, BuryRequest,
    ClaimRequest, ExchangeMessage, FetchConfigurationReply, FetchConfigurationRequest,
    FetchDirectoryReply, FetchDirectoryRequest, FindStreamReply, FindStreamRequest,
    FreeResultsReply, FreeResultsRequest, MakePiecesReply, MakePiecesRequest, PlaceRequestReply,
    PlaceRequestRequest, PoolResults, RecordOutcomeReply, RecordOutcomeRequest, RecordStreamsReply,
    RecordStreamsRequest, RegisterReply, ReportPlacementsReply, ReportPlacementsRequest,
    ReportPoolStatusReply, ReportPoolStatusRequest, SendTransitRequest, TestUpstreamReply,
    TestUpstreamRequest,
};
use prost::Message;
use slog::warn;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::codec::CompressionEncoding;
use tonic::{Request, Response, Status};

use super::peer_call::MAX_MESSAGE_BYTES;
use super::piece_table::ReceivedPieces;
use super::placement_service;
use super::stream_service;
use super::transit_service::{TransitFrames, serve_transit};
use crate::engine::DaemonEngine;
use crate::upstream::collect_evidence;

/// Maximum number of calls that one peer may have open at a time. A peer needs one for each
/// running step of its requests.
const MAX_CONCURRENT_CALLS: u32 = 16_384;

/// gRPC server that answers the calls of other daemons.
#[derive(Debug)]
pub struct PeerServer {
    engine: Arc<DaemonEngine>,
}

impl PeerServer {
    /// Creates a server that answers calls from the state of `engine`.
    #[must_use]
    pub fn new(engine: Arc<DaemonEngine>) -> Self {
        Self { engine }
    }

    /// Binds the listener for peers to `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    /// Serves calls until the process ends. There is no earlier stop, as peers may need the claim
    /// registers that this daemon keeps as a witness until the last moment.
    ///
    /// # Errors
    ///
    /// Returns an error if the gRPC transport fails.
    pub async fn serve(self, listener: TcpListener) -> Result<(), tonic::transport::Error> {
        let service = PeerServiceServer::new(self)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
            .send_compressed(CompressionEncoding::Gzip);
        let server = tonic::transport::Server::builder()
            .tcp_nodelay(true)
            .max_concurrent_streams(MAX_CONCURRENT_CALLS)
            .add_service(service);
        server.serve_with_incoming(TcpListenerStream::new(listener)).await
    }

    /// Logs a message that is refused for its content, and returns the status of the refusal.
    fn refuse_message(
        &self,
        call: &str,
        sender: Option<SocketAddr>,
        size: usize,
        cause: &AdmissionMessageError,
    ) -> Status {
        let sender = sender.map(|address| address.to_string());
        warn!(self.engine.telemetry.log, "message_refused"; "call" => call,
            "peer" => sender.as_deref(), "bytes" => size, "cause" => cause.to_string());
        Status::invalid_argument(cause.to_string())
    }

    fn witness(
        &self,
        key: Option<crocusdale_schema::peer::RequestKey>,
        claimant: Option<&InstanceId>,
        witnesses: Vec<String>,
    ) -> Result<Response<RegisterReply>, Status> {
        let key: RequestKey = key.ok_or_else(|| missing_field("key"))?.into();
        let witnesses = WitnessSet::from_names(witnesses);
        let mut commands = Vec::new();
        let now = self.engine.now();
        let reply: CoreRegisterReply =
            self.engine.core.witness(&key, claimant, &witnesses, now, &mut commands);
        self.engine.execute_commands(commands);
        Ok(Response::new(reply.into()))
    }
}

#[tonic::async_trait]
impl PeerService for PeerServer {
    async fn exchange(
        &self,
        request: Request<ExchangeMessage>,
    ) -> Result<Response<ExchangeMessage>, Status> {
        let message = CoreExchangeMessage::try_from(request.into_inner())
            .map_err(|fault| Status::invalid_argument(fault.to_string()))?;
        let mut commands = Vec::new();
        let reply = self.engine.core.exchange(&message, self.engine.now(), &mut commands);
        self.engine.execute_commands(commands);
        Ok(Response::new(reply.into()))
    }

    async fn fetch_configuration(
        &self,
        request: Request<FetchConfigurationRequest>,
    ) -> Result<Response<FetchConfigurationReply>, Status> {
        let known = request.into_inner().known_revision;
        let newer = self.engine.core.configuration_after(known);
        let reply = newer
            .map(|(revision, text)| FetchConfigurationReply { revision, text: text.to_string() });
        Ok(Response::new(reply.unwrap_or_default()))
    }

    async fn fetch_directory(
        &self,
        request: Request<FetchDirectoryRequest>,
    ) -> Result<Response<FetchDirectoryReply>, Status> {
        let FetchDirectoryRequest { revision, era } = request.into_inner();
        let known = StorePosition { era, revision };
        let directory = self.engine.core.published_since(known, self.engine.now());
        Ok(Response::new(directory.into()))
    }

    async fn make_pieces(
        &self,
        request: Request<MakePiecesRequest>,
    ) -> Result<Response<MakePiecesReply>, Status> {
        let order = PieceOrder::from_wire(request.into_inner(), self.engine.now());
        let order = order.ok_or_else(|| missing_field("attempt"))?;
        let answer = ReceivedPieces::submit(&self.engine, order).outcome().await;
        Ok(Response::new(pieces_reply(answer.outcome, &answer.wait)))
    }

    async fn free_results(
        &self,
        request: Request<FreeResultsRequest>,
    ) -> Result<Response<FreeResultsReply>, Status> {
        for PoolResults { pool, results } in request.into_inner().pools {
            let results = results.iter().map(|text| ResultHandle::new(text)).collect();
            self.engine.handle_event(DaemonEvent::ResultsReleased { pool, results });
        }
        Ok(Response::new(FreeResultsReply {}))
    }

    async fn claim(
        &self,
        request: Request<ClaimRequest>,
    ) -> Result<Response<RegisterReply>, Status> {
        let request = request.into_inner();
        let claimant: InstanceId =
            request.claimant.ok_or_else(|| missing_field("claimant"))?.into();
        self.witness(request.key, Some(&claimant), request.witnesses)
    }

    async fn bury(&self, request: Request<BuryRequest>) -> Result<Response<RegisterReply>, Status> {
        let request = request.into_inner();
        self.witness(request.key, None, request.witnesses)
    }

    async fn record_outcome(
        &self,
        request: Request<RecordOutcomeRequest>,
    ) -> Result<Response<RecordOutcomeReply>, Status> {
        let request = request.into_inner();
        let key: RequestKey = request.key.ok_or_else(|| missing_field("key"))?.into();
        let holder: InstanceId = request.holder.ok_or_else(|| missing_field("holder"))?.into();
        let outcome = request.outcome.ok_or_else(|| missing_field("outcome"))?;
        self.engine.core.record_outcome(&key, &holder, &outcome.body, self.engine.now());
        Ok(Response::new(RecordOutcomeReply {}))
    }

    async fn ask_outcome(
        &self,
        request: Request<AskOutcomeRequest>,
    ) -> Result<Response<AskOutcomeReply>, Status> {
        let request = request.into_inner();
        let key: RequestKey = request.key.ok_or_else(|| missing_field("key"))?.into();
        let holder: InstanceId = request.holder.ok_or_else(|| missing_field("holder"))?.into();
        Ok(Response::new(self.engine.core.holder_reply(&key, &holder).into()))
    }

    async fn place_request(
        &self,
        request: Request<PlaceRequestRequest>,
    ) -> Result<Response<PlaceRequestReply>, Status> {
        placement_service::place_request(&self.engine, request)
    }

    async fn report_placements(
        &self,
        request: Request<ReportPlacementsRequest>,
    ) -> Result<Response<ReportPlacementsReply>, Status> {
        placement_service::report_placements(&self.engine, request)
    }

    async fn admit_request(
        &self,
        request: Request<AdmitRequestRequest>,
    ) -> Result<Response<AdmitRequestReply>, Status> {
        let sender = request.remote_addr();
        let message = request.into_inner();
        let size = message.encoded_len();
        let request = AdmissionRequest::try_from(message)
            .map_err(|cause| self.refuse_message("admit_request", sender, size, &cause))?;
        let mut commands = Vec::new();
        let decision = self.engine.core.admit(&request, self.engine.now(), &mut commands);
        self.engine.execute_commands(commands);
        let decision = decision.ok_or_else(|| {
            Status::unavailable("this daemon can't coordinate the section of the request")
        })?;
        Ok(Response::new(decision.into()))
    }

    async fn record_streams(
        &self,
        request: Request<RecordStreamsRequest>,
    ) -> Result<Response<RecordStreamsReply>, Status> {
        stream_service::record_streams(&self.engine, request)
    }

    async fn find_stream(
        &self,
        request: Request<FindStreamRequest>,
    ) -> Result<Response<FindStreamReply>, Status> {
        stream_service::find_stream(&self.engine, request)
    }

    async fn test_upstream(
        &self,
        request: Request<TestUpstreamRequest>,
    ) -> Result<Response<TestUpstreamReply>, Status> {
        let TestUpstreamRequest { upstream, address } = request.into_inner();
        let address = address.parse().map_err(|_| {
            Status::invalid_argument(format!("`{address}` is not the address of an upstream"))
        })?;
        let evidence = collect_evidence(&self.engine, &upstream, address).await;
        Ok(Response::new(evidence.into()))
    }

    type SendTransitStream = TransitFrames;

    async fn send_transit(
        &self,
        request: Request<SendTransitRequest>,
    ) -> Result<Response<Self::SendTransitStream>, Status> {
        serve_transit(&self.engine, request.into_inner()).map(Response::new)
    }

    async fn report_pool_status(
        &self,
        request: Request<ReportPoolStatusRequest>,
    ) -> Result<Response<ReportPoolStatusReply>, Status> {
        let sender = request.remote_addr();
        let message = request.into_inner();
        let size = message.encoded_len();
        let status = PoolStatus::try_from(message)
            .map_err(|cause| self.refuse_message("report_pool_status", sender, size, &cause))?;
        self.engine.handle_event(DaemonEvent::PoolStatusReported(Box::new(status)));
        Ok(Response::new(ReportPoolStatusReply {}))
    }
}

fn missing_field(field: &str) -> Status {
    Status::invalid_argument(format!("the message lacks {field}"))
}
