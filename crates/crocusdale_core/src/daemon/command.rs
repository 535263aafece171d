use std::net::SocketAddr;
use std::sync::Arc;

use super::{CounterName, StateChange, TimerKey};
use crate::admission::AdmissionRequest;
use crate::batching::{BatchId, BatchOrder, PoolStatus, PoolWait};
use crate::identity::{AttemptId, CallId, InstanceId, MonotonicTime, RequestKey, StorePosition};
use crate::membership::{ExchangeMessage, WitnessSet};
use crate::orders::EngineOrder;
use crate::pipeline::{
    FinalAnswer, ForwardOrder, JsonCallOrder, PieceFault, PieceOrder, PlacedResult, ResultHandle,
};
use crate::placement::{PlacementReport, PlacementRequest};
use crate::reachability::LinkTarget;
use crate::streams::{StreamKey, StreamRecord};

/// Side effect that the state machine of the daemon asks its surrounding process to perform.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send the final answer to the caller of `call`.
    Reply {
        /// Caller's call that ends with this answer.
        call: CallId,
        /// Status and body that the caller gets.
        answer: FinalAnswer,
    },
    /// Forward one event of the last stage's stream to the caller of `call`.
    Forward {
        /// Caller's call that receives the event.
        call: CallId,
        /// Text of the event.
        text: String,
    },
    /// Send one attempt of a pipeline step to an upstream.
    Send(JsonCallOrder),
    /// Proxy a caller's HTTP request to an upstream.
    Relay(ForwardOrder),
    /// Stream the upstream's answer, which an attempt has held back so far, to the caller.
    ReleaseAnswer {
        /// Caller's call that receives the answer.
        call: CallId,
        /// Attempt whose answer was held back.
        attempt: AttemptId,
    },
    /// Abort an attempt and close its connection to the upstream.
    Cancel(AttemptId),
    /// Send the pieces of a batched step to another daemon, which is the dispatcher of their pool.
    SendPieces {
        /// VM of the dispatcher.
        vm: String,
        /// Items with their attempt, pool and deadline.
        order: Box<PieceOrder>,
    },
    /// Ask the admission coordinator on another daemon about a request. The reply comes back as
    /// [`super::DaemonEvent::AdmissionReplied`].
    AskAdmission {
        /// VM of the coordinator.
        vm: String,
        /// Caller's call that waits for the decision.
        call: CallId,
        /// Request with its steps.
        request: Box<AdmissionRequest>,
    },
    /// Store at another daemon where a stream began. Records may be coalesced.
    RecordStream {
        /// VM of the daemon.
        vm: String,
        /// The stream, and where it began.
        record: Box<StreamRecord>,
    },
    /// Ask another daemon where a stream began. The reply comes back as
    /// [`super::DaemonEvent::StreamFound`].
    FindStream {
        /// VM of the daemon.
        vm: String,
        /// Caller's call that takes up the stream.
        call: CallId,
        /// Identity of the stream.
        key: StreamKey,
    },
    /// Report the status of a section of a batched pool to the admission coordinator on another
    /// daemon.
    ReportPoolStatus {
        /// VM of the coordinator.
        vm: String,
        /// Capacity and waiting work of the section.
        status: Box<PoolStatus>,
    },
    /// Tell the dispatcher of an attempt's pieces that the results are no longer needed.
    CancelPieces(AttemptId),
    /// Report the outcome of a batched step to the daemon that sent its pieces.
    AnswerPieces {
        /// Attempt that the pieces belong to.
        attempt: AttemptId,
        /// Results in the order of the pieces, or the reason why the step failed.
        outcome: Result<Vec<PlacedResult>, PieceFault>,
        /// Expected queueing time of new pieces in the pool.
        wait: PoolWait,
    },
    /// Send one batch to a batched upstream.
    CallBatch(BatchOrder),
    /// Abort a batch and close its connection to the upstream.
    CancelBatch(BatchId),
    /// Tell upstreams to free results that are no longer needed.
    FreeResults {
        /// Handles of the results to free.
        results: Vec<ResultHandle>,
        /// Addresses of rate-limited upstreams, which get no call to free results. Their results
        /// expire.
        excluded: Vec<SocketAddr>,
    },
    /// Ask a batched upstream how much of its memory for results is free.
    QueryFreeMemory {
        /// Name of the upstream.
        upstream: String,
        /// Address that the upstream listens on.
        address: SocketAddr,
    },
    /// Tell the dispatcher of `pool`, on another daemon, that results are no longer needed.
    ReleaseRemoteResults {
        /// VM of the dispatcher.
        vm: String,
        /// Pool whose upstreams hold the results.
        pool: String,
        /// Handles of the results to free.
        results: Vec<ResultHandle>,
    },
    /// Ask the placement coordinator on `vm` for the engine of a request. The reply, or its absence
    /// after a short time, comes back as [`super::DaemonEvent::PlacementReplied`].
    PlaceRequest {
        /// VM of the coordinator.
        vm: String,
        /// Request to place.
        request: Box<PlacementRequest>,
    },
    /// Report the progress of a placed request to its coordinator. Reports may be coalesced.
    ReportPlacement {
        /// VM of the coordinator.
        vm: String,
        /// Section of the engine pool.
        section: String,
        /// The report.
        report: Box<PlacementReport>,
    },
    /// Close all idle connections to the named upstream.
    CloseIdleConnections(String),
    /// Close the idle connections to an address whose process has restarted.
    CloseStaleConnections(SocketAddr),
    /// Ask a witness to claim `key` for this process, or to write a tombstone for it. The reply
    /// comes back as [`super::DaemonEvent::WitnessReplied`].
    AskWitness {
        /// Caller's call that gets the witness's reply.
        call: CallId,
        /// VM of the witness.
        witness: String,
        /// Idempotency key to claim, or to write a tombstone for.
        key: RequestKey,
        /// All witnesses of `key`, as this daemon computes them.
        witnesses: WitnessSet,
        /// Whether the witness writes a tombstone instead of a claim.
        is_tombstone: bool,
    },
    /// Store the outcome of a request at a witness of its key.
    RecordOutcome {
        /// VM of the witness.
        witness: String,
        /// Idempotency key of the request.
        key: RequestKey,
        /// Outcome as JSON.
        body: Arc<[u8]>,
    },
    /// Ask the process that has claimed a key how the request ended.
    AskHolder {
        /// Caller's call that gets the holder's reply.
        call: CallId,
        /// Idempotency key of the request.
        key: RequestKey,
        /// Process that has claimed `key`.
        holder: InstanceId,
    },
    /// Exchange heartbeats with a peer.
    SendHeartbeat {
        /// VM of the peer.
        vm: String,
        /// Heartbeat of this daemon.
        message: Box<ExchangeMessage>,
    },
    /// Exchange heartbeats with whichever daemon listens on a seed address.
    PingSeed {
        /// Seed address, which may be stale.
        address: SocketAddr,
        /// Heartbeat of this daemon.
        message: Box<ExchangeMessage>,
    },
    /// Fetch a peer's list of published upstreams.
    FetchDirectory {
        /// Store position up to which this daemon already has all changes.
        known: StorePosition,
        /// VM of the peer.
        vm: String,
    },
    /// Read what the platform's store publishes: upstreams and configuration.
    ReadDirectory {
        /// Store position up to which this daemon has all changes, so that later changes suffice.
        /// [`StorePosition::default`] if it needs the whole list.
        since: StorePosition,
    },
    /// Fetch the configuration that a peer has in force.
    FetchConfiguration {
        /// VM of the peer.
        vm: String,
        /// Configuration revision in force on this daemon, 0 for none.
        known: u64,
    },
    /// Probe whether an upstream refuses connections after attempts there broke off. The result
    /// comes back as [`super::DaemonEvent::UpstreamProbed`].
    ProbeUpstream {
        /// Name of the upstream.
        upstream: String,
        /// Address that the upstream listened on when the attempts were sent.
        address: SocketAddr,
    },
    /// Open a connection to each of these upstreams and close it unused. The results come back as
    /// [`super::DaemonEvent::LinkTested`].
    TestLinks(Vec<LinkTarget>),
    /// Long-poll a configuration service or a store for a configuration other than `known`.
    WatchConfiguration {
        /// Configuration revision of the last successful read.
        known: u64,
    },
    /// Read the VM list if it is newer than `known`.
    ReadVmList {
        /// Revision of the VM list in use, 0 for none.
        known: u64,
    },
    /// Ask a model engine which engine order it holds: model, version, adapter and role.
    ReadEngineOrder {
        /// Name of the engine's upstream.
        upstream: String,
        /// Address that the engine listens on.
        address: SocketAddr,
    },
    /// Tell a model engine which model, version, adapter and role to take.
    SendEngineOrder {
        /// Name of the engine's upstream.
        upstream: String,
        /// Address that the engine listens on.
        address: SocketAddr,
        /// Model, version, adapter and role, with the revision as fencing number.
        order: EngineOrder,
    },
    /// Deliver [`super::DaemonEvent::Timer`] at `at`.
    SetTimer {
        /// Key that the timer event carries.
        timer: TimerKey,
        /// Time at which the timer fires.
        at: MonotonicTime,
    },
    /// Increment a counter by one.
    Count(CounterName),
    /// Write a state change to the log.
    LogStateChange(StateChange),
    /// Exit the process, as its drain has finished.
    Exit,
}
