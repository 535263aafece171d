use std::time::Duration;

use crate::batching::{BatchId, BatchOutcome, PoolWait};
use crate::claims::RegisterReply;
use crate::identity::{AttemptId, CallId, MonotonicTime, RequestKey, StorePosition};
use crate::membership::{ExchangeMessage, VmRoster};
use crate::orders::EngineOrder;
use crate::pipeline::{AttemptEvent, CallerRequest, HolderReply, PieceOrder, ResultHandle};
use crate::routing::{ColdUpstream, DirectoryEntry, PeerDirectory, UpstreamNotice};

use super::TimerKey;

/// What happened around the core.
#[derive(Debug)]
pub enum DaemonEvent {
    /// A caller sent a request.
    Submitted {
        /// Its call, from [`super::DaemonCore::open_call`].
        call: CallId,
        /// The request.
        request: Box<CallerRequest>,
    },
    /// A caller asked what became of a key.
    Inquired {
        /// Its call.
        call: CallId,
        /// The key.
        key: RequestKey,
        /// Time since the caller first sent it, if the caller said so.
        age: Option<Duration>,
    },
    /// The caller of a call is gone.
    Abandoned(CallId),
    /// An upstream did something about an attempt.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// What it did.
        event: AttemptEvent,
    },
    /// A witness replied, or did not.
    RegisterReplied {
        /// Call that asked.
        call: CallId,
        /// The witness.
        witness: String,
        /// Its reply.
        reply: Option<RegisterReply>,
    },
    /// The holder of a key replied, or did not.
    HolderReplied {
        /// Call that asked.
        call: CallId,
        /// Its reply.
        reply: Option<HolderReply>,
    },
    /// A peer answered a heartbeat.
    Exchanged {
        /// Its answer.
        message: Box<ExchangeMessage>,
        /// When the heartbeat that it answers was sent.
        sent: MonotonicTime,
    },
    /// A peer did not answer a heartbeat.
    ExchangeFailed(String),
    /// A peer sent its configuration, or did not.
    ConfigurationFetched(Option<(u64, String)>),
    /// The configuration service answered; `None` if it had nothing new.
    ConfigurationWatched(Option<(u64, String)>),
    /// The configuration service did not answer.
    ConfigurationUnread,
    /// An upstream said something of itself in an answer.
    UpstreamNoticed {
        /// The upstream.
        upstream: String,
        /// What it said.
        notice: UpstreamNotice,
        /// When the request was sent that it answered, or earlier.
        sent: MonotonicTime,
    },
    /// An upstream under which attempts broke off was looked at.
    UpstreamProbed {
        /// The upstream.
        upstream: String,
        /// Whether it refuses connections.
        has_ended: bool,
    },
    /// All that a store publishes was read.
    DirectoryRead {
        /// Position of the store.
        position: StorePosition,
        /// All published upstreams, each with the revision of its last change in that era.
        entries: Vec<(u64, DirectoryEntry)>,
        /// Evacuated availability zones, each with the revision of that request in that era.
        evacuations: Vec<(u64, String)>,
        /// Published upstreams that are cold.
        cold: Vec<ColdUpstream>,
        /// The configuration, if it is another one than at the reading before.
        configuration: Option<(u64, String)>,
    },
    /// What a store publishes could not be read.
    DirectoryUnread,
    /// A peer told the published upstreams that it knows, or did not.
    DirectoryFetched(Option<PeerDirectory>),
    /// Nobody answered a greeting at a seed.
    GreetingFailed,
    /// A dispatcher said how long new pieces would wait in a pool.
    WaitTold {
        /// The pool.
        pool: String,
        /// How long.
        wait: PoolWait,
    },
    /// Another daemon offers pieces of a step.
    PiecesOffered(Box<PieceOrder>),
    /// Another daemon no longer wants pieces.
    PiecesWithdrawn {
        /// Attempt that they were for.
        attempt: AttemptId,
        /// Their pool.
        pool: String,
    },
    /// Another daemon no longer needs results of a pool that this one dispatches.
    ResultsUnwanted {
        /// The pool.
        pool: String,
        /// The results.
        results: Vec<ResultHandle>,
    },
    /// A batched upstream said how much of its memory for results is free, or nothing.
    RoomTold {
        /// Name of the upstream.
        upstream: String,
        /// Free memory in bytes.
        free: Option<u64>,
    },
    /// A call of a batched upstream ended.
    BatchEnded {
        /// The call.
        batch: BatchId,
        /// How it ended.
        outcome: BatchOutcome,
    },
    /// The VM list was read; `None` if it had nothing new.
    RosterRead(Option<VmRoster>),
    /// The VM list did not answer.
    RosterUnread,
    /// An engine said what it holds, or did not.
    PlacementRead {
        /// The engine.
        upstream: String,
        /// What it holds.
        held: Option<EngineOrder>,
    },
    /// An engine took an order, or did not.
    OrderAnswered {
        /// Whether it took it.
        taken: bool,
    },
    /// A timer is due.
    Timer(TimerKey),
    /// The process was asked to drain.
    DrainAsked,
}
