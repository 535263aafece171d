use std::net::SocketAddr;

use crate::admission::AdmissionPermit;
use crate::daemon::Command;
use crate::identity::{AttemptId, CallId, RequestDigest, RequestKey};
use crate::membership::WitnessSet;
use crate::pipeline::{PieceOrder, RefusalReason, ResultHandle};
use crate::routing::{AttemptReport, SlotRequest};

/// What a shard of requests asks of the other parts of the core.
#[derive(Debug)]
pub enum ShardStep {
    /// Hand a command out.
    Command(Command),
    /// Find an upstream, or let the request wait.
    Acquire(SlotRequest),
    /// Find another upstream, if the retry budget allows it.
    Retry {
        /// The attempt.
        request: SlotRequest,
        /// Why the one before failed.
        reason: RefusalReason,
    },
    /// The request no longer waits.
    Withdraw(SlotRequest),
    /// An attempt ended.
    Release {
        /// Upstream of the attempt.
        upstream: String,
        /// Call that the attempt served.
        call: CallId,
        /// How it ended.
        report: AttemptReport,
    },
    /// Have the pieces of a batched step made; a dispatcher that failed them before is left out.
    OfferPieces {
        /// The pieces.
        order: Box<PieceOrder>,
        /// Dispatchers that were tried.
        tried: Vec<String>,
        /// The forwarded step that will need the results in the end.
        target: Option<Box<SlotRequest>>,
    },
    /// Pieces are no longer wanted.
    WithdrawPieces {
        /// Attempt that they were for.
        attempt: AttemptId,
        /// Their pool.
        pool: String,
    },
    /// Results are no longer wanted.
    FreeResults {
        /// Pool whose upstreams made them.
        pool: String,
        /// The results.
        results: Vec<ResultHandle>,
    },
    /// A forwarded request has got the first event of its answer.
    Flowing {
        /// Upstream that answers.
        upstream: String,
        /// Its call.
        call: CallId,
    },
    /// An attempt broke off: did its upstream end?
    Suspect {
        /// What the request has in common with its repeats.
        digest: RequestDigest,
        /// The upstream.
        upstream: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// A request like this was answered whole.
    Succeeded(RequestDigest),
    /// A request ended.
    GiveBack(AdmissionPermit),
    /// Ask one witness.
    Register(RegisterCall),
    /// The process `life` behind an upstream answers, and may be leaving.
    Greet {
        /// The upstream.
        upstream: String,
        /// Identity of its process.
        life: String,
        /// Whether it says that it is leaving.
        leaving: bool,
    },
}

/// A call of one witness.
#[derive(Clone, Debug)]
pub struct RegisterCall {
    /// Call that the reply goes to.
    pub call: CallId,
    /// The witness.
    pub witness: String,
    /// The key.
    pub key: RequestKey,
    /// All witnesses of the key.
    pub witnesses: WitnessSet,
    /// Whether to claim or to bury.
    pub bury: bool,
}
