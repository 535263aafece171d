use std::time::Duration;

use crate::batching::{BatchId, BatchOutcome, PoolWait};
use crate::claims::RegisterReply;
use crate::identity::{AttemptId, CallId, MonotonicTime, RequestKey, StorePosition};
use crate::membership::{ExchangeMessage, VmList};
use crate::orders::EngineOrder;
use crate::pipeline::{AttemptEvent, CallerRequest, HolderReply, PieceOrder, ResultHandle};
use crate::routing::{ColdUpstream, DirectoryEntry, PeerDirectory, UpstreamNotice};

use super::TimerKey;

/// Input of the daemon's state machine: a network event, a platform read or a timer.
#[derive(Debug)]
pub enum DaemonEvent {
    /// A caller sent a request.
    Submitted {
        /// Identity of the caller's call, from [`super::DaemonCore::open_call`].
        call: CallId,
        /// Request with its idempotency key, deadline and body.
        request: Box<CallerRequest>,
    },
    /// A caller asked for the outcome of an idempotency key.
    Inquired {
        /// Identity of the caller's call, from [`super::DaemonCore::open_call`].
        call: CallId,
        /// Idempotency key of the earlier request.
        key: RequestKey,
        /// Time since the caller first sent the request, or `None` if the caller did not say.
        age: Option<Duration>,
    },
    /// A caller closed the connection of its call.
    CallerDisconnected(CallId),
    /// An upstream's connection made progress or failed.
    Attempt {
        /// Attempt that the connection belongs to.
        attempt: AttemptId,
        /// Progress or failure of the attempt.
        event: AttemptEvent,
    },
    /// A witness replied to a claim or tombstone request, or the request to it failed.
    RegisterReplied {
        /// Caller's call on whose behalf the witness was asked.
        call: CallId,
        /// VM of the witness.
        witness: String,
        /// Reply of the witness, or `None` if the request to it failed.
        reply: Option<RegisterReply>,
    },
    /// The process that has claimed a key replied to an inquiry, or the inquiry failed.
    HolderReplied {
        /// Caller's call on whose behalf the holder was asked.
        call: CallId,
        /// Reply of the holder, or `None` if the inquiry failed.
        reply: Option<HolderReply>,
    },
    /// A peer answered a heartbeat.
    Exchanged {
        /// Heartbeat of the peer.
        message: Box<ExchangeMessage>,
        /// Time at which this daemon sent its own heartbeat.
        sent: MonotonicTime,
    },
    /// The named peer did not answer a heartbeat.
    ExchangeFailed(String),
    /// A peer's configuration was fetched, as revision and text; `None` if the fetch failed.
    ConfigurationFetched(Option<(u64, String)>),
    /// The configuration service answered with a revision and its text; `None` without a change.
    ConfigurationWatched(Option<(u64, String)>),
    /// The configuration service did not answer.
    ConfigurationWatchFailed,
    /// The headers of an upstream's answer described the state of the upstream.
    UpstreamNoticed {
        /// Name of the upstream.
        upstream: String,
        /// State from the headers: rate limit, cold start, backoff or leaving.
        notice: UpstreamNotice,
        /// Lower bound of the time at which the answered request was sent.
        sent: MonotonicTime,
    },
    /// The probe of an upstream where attempts broke off has ended.
    UpstreamProbed {
        /// Name of the upstream.
        upstream: String,
        /// Whether the upstream refused the connection, which means that its process has ended.
        has_ended: bool,
    },
    /// The platform's store was read completely.
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
    /// A read of the platform's store failed.
    DirectoryReadFailed,
    /// A peer's list of published upstreams was fetched; `None` if the fetch failed.
    DirectoryFetched(Option<PeerDirectory>),
    /// No daemon answered a heartbeat at a seed address.
    SeedPingFailed,
    /// A dispatcher reported the expected queueing time of its pool.
    PoolWaitReported {
        /// Name of the pool, or of one of its sections.
        pool: String,
        /// Expected queueing time of new items.
        wait: PoolWait,
    },
    /// Another daemon sent the items of a batched step to this daemon as their dispatcher.
    PiecesReceived(Box<PieceOrder>),
    /// Another daemon cancelled the items of a batched step.
    PiecesCancelled {
        /// Attempt that the items belong to.
        attempt: AttemptId,
        /// Pool that the items are queued in.
        pool: String,
    },
    /// Another daemon no longer needs results from a pool that this daemon dispatches.
    ResultsReleased {
        /// Pool whose upstreams hold the results.
        pool: String,
        /// Handles of the results to free.
        results: Vec<ResultHandle>,
    },
    /// A batched upstream was asked how much of its memory for results is free.
    FreeMemoryReported {
        /// Name of the upstream.
        upstream: String,
        /// Free memory in bytes, or `None` if the upstream did not say.
        free: Option<u64>,
    },
    /// A batch was answered by its upstream, or failed.
    BatchEnded {
        /// Identity of the batch.
        batch: BatchId,
        /// Outcome of each item, or the reason why the batch failed.
        outcome: BatchOutcome,
    },
    /// The VM list was read; `None` if it is unchanged.
    RosterRead(Option<VmList>),
    /// A read of the VM list failed.
    RosterReadFailed,
    /// A model engine was asked which engine order it holds.
    EngineOrderRead {
        /// Name of the engine's upstream.
        upstream: String,
        /// Engine order that it holds, or `None` if it did not answer with one.
        held: Option<EngineOrder>,
    },
    /// A model engine accepted or refused an engine order.
    OrderAnswered {
        /// Whether the engine accepted the order.
        taken: bool,
    },
    /// A timer fired.
    Timer(TimerKey),
    /// The process was asked to drain.
    DrainAsked,
}
