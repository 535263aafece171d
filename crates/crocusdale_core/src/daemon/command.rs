use std::net::SocketAddr;
use std::sync::Arc;

use crate::batching::{BatchId, BatchOrder, PoolWait};
use crate::identity::{
    AttemptId, CallId, InstanceId, MonotonicTime, RequestDigest, RequestKey, StorePosition,
};
use crate::membership::{ExchangeMessage, WitnessSet};
use crate::orders::EngineOrder;
use crate::pipeline::{
    AttemptOrder, BreakReason, FinalAnswer, PieceFault, PieceOrder, PlacedResult, RelayOrder,
    ResultHandle,
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
    FreeResults(Vec<ResultHandle>),
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

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TimerKey {
    /// Deadline of a request.
    Deadline(CallId),
    /// End of the patience with witnesses.
    Claim(CallId),
    /// Check of an attempt for silence.
    Silence(AttemptId),
    /// End of an inquiry.
    Inquiry(CallId),
    /// Next question to the holder of a key.
    Holder(CallId),
    /// Next heartbeat.
    Heartbeat,
    /// Next look at waiting work, pauses and the drain.
    Housekeeping,
    /// Next look at the engines that this daemon keeps in order.
    Orders,
    /// Next read of the VM list.
    Roster,
    /// Next read of the configuration service.
    Configuration,
    /// Next read of the published upstreams.
    Directory,
    /// Time by which a platform in order has answered a reading of the published upstreams.
    DirectoryAnswer,
    /// Next turn of unwanted results.
    Results,
    /// Time to tell others of upstreams that ended under requests.
    CrashNews,
    /// Next greeting of the seeds.
    Seeds,
    /// Last moment at which a draining process can still answer its open requests.
    EndRequests,
    /// Last moment at which a draining process can still end by itself.
    Exit,
    /// End of the time for which addresses given out may still point here.
    Drain,
}

/// Counters; each is a metric.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumCount,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum CounterName {
    /// Attempts handed out to be sent.
    AttemptsSent,
    /// Attempts that waited because the list of published upstreams was too old.
    AttemptsHeld,
    /// Requests that waited to be judged until what the platform publishes had been read.
    RequestsHeld,
    /// Attempts of which no byte was written.
    AttemptsNotSent,
    /// Attempts that an upstream answered with an error status.
    AttemptsDeclined,
    /// Attempts that an upstream says it did not run.
    AttemptsNotRun,
    /// Batched steps that a dispatcher gave up.
    PiecesFailed,
    /// Batched steps that were handed to the next dispatcher of their pool before any call.
    PiecesMoved,
    /// Dispatchers that were lost while they had pieces of this daemon.
    DispatchersLost,
    /// Batched steps begun anew because their results were gone.
    StepsRemade,
    /// Calls of batched upstreams.
    BatchCalls,
    /// Questions how much of an upstream's memory for results is free.
    RoomQuestions,
    /// Attempts after a failed one.
    Retries,
    /// Retries that the budget did not allow.
    RetriesDenied,
    /// Answers with the id of another attempt; dropped.
    ForeignAnswers,
    /// Answers that were cut or could not be read; dropped.
    BrokenAnswers,
    /// Requests that were quarantined because upstreams ended under them.
    RequestsQuarantined,
    /// Attempts given up because nothing came.
    SilentAttempts,
    /// Answers to attempts that had ended; dropped.
    LateAnswers,
    /// Requests given up because their caller was gone.
    CallersGone,
    /// Keys that could not be claimed.
    ClaimsRefused,
    /// Votes that this daemon abstained from as a witness.
    WitnessAbstentions,
    /// Claims that this daemon wrote as a witness.
    WitnessClaims,
    /// Tombstones that this daemon wrote as a witness.
    WitnessTombstones,
    /// Outcomes that a witness of their key could not be told.
    OutcomesUnrecorded,
    /// Heartbeats that failed.
    ExchangesFailed,
    /// Revisions taken into force.
    ConfigurationsAccepted,
    /// Revisions rejected.
    ConfigurationsRejected,
    /// Two texts under one revision.
    ConfigurationConflicts,
    /// Readings of the published upstreams that were begun.
    DirectoryReads,
    /// Of these, those of a daemon that lets another one read for it, begun because it had not heard
    /// of a reading for too long.
    DirectoryReadsForAge,
    /// Lists of published upstreams that a peer was asked for.
    DirectoryFetches,
    /// Of these, those that did not come.
    DirectoryFetchesFailed,
    /// Reads of the platform that failed.
    PlatformReadsFailed,
    /// Times that the store was seen to have come back from an older copy.
    StoreRestores,
    /// Items of the platform's store that could not be read.
    StoreItemsUnreadable,
    /// Orders given to engines.
    OrdersGiven,
    /// Orders that an engine refused, for its fencing number or another cause.
    OrdersRefused,
    /// Engines left alone because they hold the order of a later revision.
    OrdersOutdated,
    /// Pauses of this process that were noticed.
    PausesNoticed,
}

/// Changes of state that are worth a line in the log.
#[derive(Clone, Debug, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StateChange {
    /// A revision is in force.
    ConfigurationInForce {
        /// The revision.
        revision: u64,
    },
    /// A revision was rejected.
    ConfigurationRejected {
        /// The revision.
        revision: u64,
        /// First of its errors.
        error: String,
        /// Number of its errors.
        errors: usize,
    },
    /// Two texts have the same revision.
    ConfigurationConflict {
        /// The revision.
        revision: u64,
    },
    /// A new VM list is in use.
    RosterTaken {
        /// Its revision.
        revision: u64,
        /// Its number of VMs.
        vms: usize,
    },
    /// Published upstreams changed.
    DirectoryTaken {
        /// Era of the store at the change.
        era: u64,
        /// Revision of the change in that era.
        revision: u64,
        /// Upstreams that stay.
        upstreams: usize,
        /// Peer whose list it is, or `None` for a reading of this daemon.
        peer: Option<String>,
        /// Milliseconds since the list before was last known to be the latest.
        age_ms: Option<u64>,
    },
    /// The store has come back from an older copy.
    StoreRestored {
        /// Up to where it had been read before.
        before: StorePosition,
        /// Where it is now.
        after: StorePosition,
        /// Upstreams that the copy doesn't list, and that are kept until they should have written again.
        missing: usize,
        /// Peer that told it, or `None` for a reading of this daemon.
        peer: Option<String>,
    },
    /// This daemon reads the published upstreams itself although another one should, because it has
    /// not heard of a reading for too long.
    DirectoryAged {
        /// Milliseconds since its list was last known to be the latest.
        age_ms: Option<u64>,
        /// The daemon that should read for it.
        reader: String,
    },
    /// The list of published upstreams is too old to choose by, and attempts wait until it is read.
    DirectoryOverdue {
        /// Milliseconds since it was last known to be the latest.
        age_ms: Option<u64>,
    },
    /// The platform can't be read any more.
    PlatformLost,
    /// The platform can be read again.
    PlatformRegained,
    /// A request can't be in time, and waits for room.
    RequestWaits {
        /// The request.
        request: RequestKey,
        /// Why it waits.
        verdict: String,
        /// Milliseconds that it should need from now, by the last word of its pools.
        needed_ms: u64,
        /// Milliseconds that are left of its objective.
        objective_ms: u64,
        /// Whether its workspace sends much more than it usually does.
        is_flood: bool,
    },
    /// An upstream broke off an attempt that it had begun, or may have.
    AttemptBroken {
        /// The request.
        request: RequestKey,
        /// What it has in common with its repeats.
        digest: RequestDigest,
        /// The upstream.
        upstream: String,
        /// How it showed.
        reason: BreakReason,
    },
    /// A request is not sent on any more, because upstreams ended under it.
    RequestQuarantined {
        /// What it has in common with its repeats.
        digest: RequestDigest,
        /// Upstreams that ended.
        ends: usize,
        /// Peer that told the last of them, or `None` if this daemon saw it.
        peer: Option<String>,
    },
    /// A request is sent on again, because one like it was answered whole.
    QuarantineLifted {
        /// What it has in common with its repeats.
        digest: RequestDigest,
    },
    /// An upstream turned this daemon away.
    UpstreamAway {
        /// The upstream.
        upstream: String,
        /// Milliseconds for which it wants nothing more from this daemon.
        stay_away_ms: u64,
    },
    /// An upstream is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: String,
    },
    /// This daemon drains.
    Draining,
    /// This daemon has drained.
    Drained,
    /// This process was paused.
    Paused {
        /// For how long at least, in milliseconds.
        millis: u64,
    },
    /// A peer's status changed.
    PeerStatus {
        /// The peer.
        vm: String,
        /// What it is now.
        status: String,
    },
}
