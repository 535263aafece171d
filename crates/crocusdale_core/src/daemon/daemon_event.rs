use std::time::Duration;

use crate::admission::AdmissionDecision;
use crate::batching::{BatchId, BatchOutcome, PoolStatus, PoolWait};
use crate::claims::RegisterReply;
use crate::identity::{AttemptId, CallId, MonotonicTime, RequestKey, StorePosition};
use crate::membership::{ExchangeMessage, VmList};
use crate::orders::EngineOrder;
use crate::pipeline::{AttemptEvent, CallerRequest, HolderReply, PieceOrder, ResultHandle};
use crate::placement::{PlacementReply, PlacementRequest};
use crate::reachability::LinkResult;
use crate::routing::{ColdUpstream, DirectoryEntry, PeerDirectory, UpstreamNotice};

use super::{OriginReply, TimerKey};

/// Input of the daemon's state machine: a network event, a platform read or a timer.
#[derive(Debug)]
pub enum DaemonEvent {
    /// A caller sent a request. The daemon starts, queues or refuses it.
    Submitted {
        /// Identity of the caller's call, from [`super::DaemonCore::open_call`].
        call: CallId,
        /// Request with its idempotency key, deadline and body.
        request: Box<CallerRequest>,
    },
    /// A caller asked for the outcome of an idempotency key. The daemon answers when it knows the
    /// outcome or the witnesses of the key have replied.
    Inquired {
        /// Identity of the caller's call, from [`super::DaemonCore::open_call`].
        call: CallId,
        /// Idempotency key of the earlier request.
        key: RequestKey,
        /// Time since the caller first sent the request, or `None` if the caller did not say.
        age: Option<Duration>,
    },
    /// A caller closed the connection of its call. The daemon abandons the call.
    CallerDisconnected(CallId),
    /// An upstream's connection made progress or failed.
    Attempt {
        /// Attempt that the connection belongs to.
        attempt: AttemptId,
        /// Progress or failure of the attempt.
        event: AttemptEvent,
    },
    /// A witness replied to a claim or tombstone request of this daemon, or the request to it
    /// failed. The daemon counts the reply as one vote on the key.
    WitnessReplied {
        /// Caller's call on whose behalf the witness was asked.
        call: CallId,
        /// VM of the witness.
        witness: String,
        /// Reply of the witness, or `None` if the request to it failed.
        reply: Option<RegisterReply>,
    },
    /// The process that has claimed a key replied to an inquiry of this daemon, or the inquiry
    /// failed. The daemon answers the caller, or asks again later.
    HolderReplied {
        /// Caller's call on whose behalf the holder was asked.
        call: CallId,
        /// Reply of the holder, or `None` if the inquiry failed.
        reply: Option<HolderReply>,
    },
    /// A peer answered a heartbeat of this daemon with its own, which the daemon merges into its
    /// view of the fleet.
    HeartbeatAnswered {
        /// Heartbeat of the peer.
        message: Box<ExchangeMessage>,
        /// Time at which this daemon sent its own heartbeat.
        sent: MonotonicTime,
    },
    /// The peer on the named VM did not answer a heartbeat, which may make it suspect.
    HeartbeatFailed(String),
    /// A peer's configuration was fetched, as revision and text; `None` if the fetch failed.
    ConfigurationFetched(Option<(u64, String)>),
    /// The configuration service answered with a revision and its text; `None` without a change.
    ConfigurationWatched(Option<(u64, String)>),
    /// The configuration service did not answer.
    ConfigurationWatchFailed,
    /// The headers of an upstream's answer described the state of the upstream. The daemon adapts
    /// its routing to that state.
    UpstreamNoticed {
        /// Name of the upstream.
        upstream: String,
        /// State from the headers: rate limit, cold start, backoff or leaving.
        notice: UpstreamNotice,
        /// Lower bound of the time at which the answered request was sent.
        sent: MonotonicTime,
    },
    /// The probe of an upstream where attempts broke off has ended. It shows whether their requests
    /// crashed the upstream.
    UpstreamProbed {
        /// Name of the upstream.
        upstream: String,
        /// Whether the upstream refused the connection, which means that its process has ended.
        has_ended: bool,
    },
    /// A new connection to an upstream was opened for a request, or could not be opened.
    LinkUsed {
        /// Name of the upstream.
        upstream: String,
        /// Whether the connection was opened.
        result: LinkResult,
    },
    /// A test connection to an upstream has ended, as requested by
    /// [`super::Command::TestLinks`].
    LinkTested {
        /// Name of the upstream.
        upstream: String,
        /// Whether the connection was opened.
        result: LinkResult,
    },
    /// A daemon that was to relay a request to an upstream can't connect to the upstream either.
    UpstreamDown {
        /// Name of the upstream.
        upstream: String,
    },
    /// The platform's store was read completely, as requested by [`super::Command::ReadDirectory`].
    DirectoryRead {
        /// Era and revision of the store at the read.
        position: StorePosition,
        /// All published upstreams, each with the revision of its last change in this era.
        entries: Vec<(u64, DirectoryEntry)>,
        /// Evacuated availability zones, each with the revision of the evacuation in this era.
        evacuations: Vec<(u64, String)>,
        /// Published upstreams that are still in their cold start.
        cold: Vec<ColdUpstream>,
        /// Configuration revision and text, or `None` if unchanged since the read before.
        configuration: Option<(u64, String)>,
    },
    /// The changes of the platform's store were read, as requested by
    /// [`super::Command::ReadDirectory`].
    DirectoryChangesRead {
        /// Era and revision of the store up to which the changes are complete.
        position: StorePosition,
        /// Upstreams that were published or changed, each with the revision of its last change.
        written: Vec<(u64, DirectoryEntry)>,
        /// IDs of the upstreams that were removed, each with the revision of the removal.
        removed: Vec<(u64, String)>,
        /// All evacuated availability zones, each with the revision of the evacuation.
        evacuations: Vec<(u64, String)>,
        /// Upstreams among `written` that are still in their cold start.
        cold: Vec<ColdUpstream>,
        /// Configuration revision and text, or `None` if unchanged since the read before.
        configuration: Option<(u64, String)>,
    },
    /// A call of the running read of the platform's store got no answer in time. The read goes on.
    DirectoryReadDelayed,
    /// A read of the platform's store failed.
    DirectoryReadFailed,
    /// A peer's list of published upstreams was fetched; `None` if the fetch failed.
    DirectoryFetched(Option<PeerDirectory>),
    /// No daemon answered a heartbeat at a seed address.
    SeedPingFailed,
    /// A dispatcher on another daemon reported the expected queueing time of its pool. The daemon
    /// uses the report to admit requests and to choose a section of the pool.
    PoolWaitReported {
        /// Name of the pool, or of one of its sections.
        pool: String,
        /// Expected queueing time of new pieces.
        wait: PoolWait,
        /// VM of the dispatcher.
        vm: String,
    },
    /// The admission coordinator that was asked about a request replied, or did not. The daemon
    /// starts, schedules or refuses the request.
    AdmissionReplied {
        /// Caller's call that waits for the decision.
        call: CallId,
        /// VM of the coordinator.
        vm: String,
        /// Decision, or `None` if the daemon has to decide by itself.
        decision: Option<AdmissionDecision>,
    },
    /// A daemon that was asked where a stream began replied, or did not. The daemon starts or refuses
    /// the request that takes up the stream.
    StreamFound {
        /// Caller's call that takes up the stream.
        call: CallId,
        /// What the asked daemon knows.
        reply: OriginReply,
    },
    /// A dispatcher reported the status of a section of a batched pool to this daemon as an admission
    /// coordinator.
    PoolStatusReported(Box<PoolStatus>),
    /// Another daemon sent the pieces of a batched step to this daemon as their dispatcher, which
    /// queues them for its batches.
    PiecesReceived(Box<PieceOrder>),
    /// Another daemon cancelled the pieces of a batched step. This daemon removes them from its
    /// queue.
    PiecesCancelled {
        /// Attempt that the pieces belong to.
        attempt: AttemptId,
        /// Pool that the pieces are queued in.
        pool: String,
    },
    /// Another daemon no longer needs results from a pool that this daemon dispatches. This daemon
    /// has the upstreams free them.
    ResultsReleased {
        /// Pool whose upstreams hold the results.
        pool: String,
        /// Handles of the results to free.
        results: Vec<ResultHandle>,
    },
    /// A batched upstream answered how much of its memory for results is free, or failed to answer.
    FreeMemoryReported {
        /// Name of the upstream.
        upstream: String,
        /// Free memory in bytes, or `None` if the upstream did not say.
        free: Option<u64>,
    },
    /// The upstream of a batch answered it, or the batch failed. The dispatcher reports the outcome
    /// of its pieces to the daemons that sent them, or queues them again.
    BatchEnded {
        /// Identity of the batch.
        batch: BatchId,
        /// Outcome of each piece, or the reason why the batch failed.
        outcome: BatchOutcome,
    },
    /// The placement coordinator on `vm` replied to a question of this daemon, or did not reply in
    /// time.
    PlacementReplied {
        /// VM of the coordinator.
        vm: String,
        /// Request that was to be placed.
        request: Box<PlacementRequest>,
        /// Decision of the coordinator, or `None` if it did not reply in time.
        reply: Option<PlacementReply>,
    },
    /// All events of a forwarded stream were passed on to the caller.
    StreamForwarded {
        /// Call that the stream belongs to.
        call: CallId,
        /// Number of events.
        events: u32,
        /// Time from the first to the last event.
        time: Duration,
    },
    /// The VM list was read; `None` if it is unchanged.
    VmListRead(Option<VmList>),
    /// A read of the VM list failed.
    VmListReadFailed,
    /// A model engine answered which engine order it holds, or failed to answer. The daemon sends
    /// it the configured order if they differ.
    EngineOrderRead {
        /// Name of the engine's upstream.
        upstream: String,
        /// Engine order that it holds, or `None` if it did not answer with one.
        held: Option<EngineOrder>,
    },
    /// A model engine accepted or refused an engine order.
    OrderAnswered {
        /// Whether the engine accepted the order.
        is_accepted: bool,
    },
    /// A timer fired.
    Timer(TimerKey),
    /// An operator or a termination signal asked the process to drain.
    DrainRequested,
}
