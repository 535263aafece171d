use std::net::SocketAddr;
use std::sync::Arc;

use super::{CounterName, StateChange, TimerKey};
use crate::batching::{BatchId, BatchOrder, PoolWait};
use crate::identity::{AttemptId, CallId, InstanceId, MonotonicTime, RequestKey, StorePosition};
use crate::membership::{ExchangeMessage, WitnessSet};
use crate::orders::EngineOrder;
use crate::pipeline::{
    AttemptOrder, FinalAnswer, PieceFault, PieceOrder, PlacedResult, RelayOrder, ResultHandle,
};

/// What the process around the core has to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Give `call` its final answer.
    Reply {
        /// The call.
        call: CallId,
        /// Its answer.
        answer: FinalAnswer,
    },
    /// Pass a piece of the last stage's stream on to `call`.
    Forward {
        /// The call.
        call: CallId,
        /// The piece.
        text: String,
    },
    /// Call an upstream.
    Send(AttemptOrder),
    /// Pass a caller's own request to an upstream.
    Relay(RelayOrder),
    /// Pass the answer that an attempt waits with on to its caller.
    PassOn {
        /// The caller's call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give up a call of an upstream, and close its connection.
    Cancel(AttemptId),
    /// Have another daemon make the pieces of a step.
    SendPieces {
        /// The daemon.
        vm: String,
        /// The pieces.
        order: Box<PieceOrder>,
    },
    /// Tell the daemon that makes pieces that nobody wants them any more.
    CancelPieces(AttemptId),
    /// Tell another daemon what became of the pieces that it offered.
    AnswerPieces {
        /// Attempt that the pieces were for.
        attempt: AttemptId,
        /// Their results, or why there are none.
        outcome: Result<Vec<PlacedResult>, PieceFault>,
        /// How long new pieces would wait in the pool.
        wait: PoolWait,
    },
    /// Call a batched upstream.
    CallBatch(BatchOrder),
    /// Give up a call of a batched upstream, and close its connection.
    CancelBatch(BatchId),
    /// Tell upstreams that results are not needed any more.
    FreeResults {
        /// The results.
        results: Vec<ResultHandle>,
        /// Addresses of upstreams that are not told.
        spared: Vec<SocketAddr>,
    },
    /// Ask a batched upstream how much of its memory for results is free.
    AskRoom {
        /// Name of the upstream.
        upstream: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Tell another daemon, which dispatches `pool`, that results are not needed any more.
    SendUnwanted {
        /// The daemon.
        vm: String,
        /// Pool whose upstreams made them.
        pool: String,
        /// The results.
        results: Vec<ResultHandle>,
    },
    /// Close all idle connections to an upstream.
    Distrust(String),
    /// Close the idle connections to an address whose process has started again.
    ForgetConnections(SocketAddr),
    /// Ask a witness to claim `key` for this process, or to bury it.
    Register {
        /// Call that the reply goes to.
        call: CallId,
        /// The witness.
        witness: String,
        /// The key.
        key: RequestKey,
        /// All witnesses of the key.
        witnesses: WitnessSet,
        /// Whether to bury.
        bury: bool,
    },
    /// Leave an outcome with a witness.
    RecordOutcome {
        /// The witness.
        witness: String,
        /// The key.
        key: RequestKey,
        /// JSON of the outcome.
        body: Arc<[u8]>,
    },
    /// Ask the holder of a key how its request ended.
    AskHolder {
        /// Call that the reply goes to.
        call: CallId,
        /// The key.
        key: RequestKey,
        /// Its holder.
        holder: InstanceId,
    },
    /// Exchange heartbeats with a peer.
    Exchange {
        /// The peer.
        vm: String,
        /// This daemon's half.
        message: Box<ExchangeMessage>,
    },
    /// Exchange heartbeats with whoever listens for daemons at an address.
    Greet {
        /// The address.
        address: SocketAddr,
        /// This daemon's half.
        message: Box<ExchangeMessage>,
    },
    /// Fetch the published upstreams that a peer knows.
    FetchDirectory {
        /// Position up to which the peer need not tell anything.
        known: StorePosition,
        /// The peer.
        vm: String,
    },
    /// Read all that a store publishes: upstreams and configuration.
    ReadDirectory,
    /// Fetch the configuration that a peer has in force.
    FetchConfiguration {
        /// The peer.
        vm: String,
        /// Revision in force here.
        known: u64,
    },
    /// Find out whether an upstream under which attempts broke off refuses connections. Answered
    /// by [`super::DaemonEvent::UpstreamProbed`].
    ProbeUpstream {
        /// The upstream.
        upstream: String,
        /// Where it listens, or did.
        address: SocketAddr,
    },
    /// Wait for a configuration other than `known`, at a configuration service or a store.
    WatchConfiguration {
        /// Revision that was last read from the service.
        known: u64,
    },
    /// Read the VM list, if it is newer than `known`.
    ReadRoster {
        /// Revision of the list in use.
        known: u64,
    },
    /// Ask an engine what it holds.
    ReadPlacement {
        /// The engine.
        upstream: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Give an engine an order.
    GiveOrder {
        /// The engine.
        upstream: String,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
    },
    /// Give back [`super::DaemonEvent::Timer`] at `at`.
    SetTimer {
        /// What for.
        timer: TimerKey,
        /// When.
        at: MonotonicTime,
    },
    /// Raise a counter by one.
    Count(CounterName),
    /// Log a change of state.
    Note(StateChange),
    /// End the process: it has drained.
    Exit,
}
