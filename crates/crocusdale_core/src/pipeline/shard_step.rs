use crate::admission::AdmissionPermit;
use crate::daemon::Command;
use crate::identity::{CallId, RequestKey};
use crate::membership::WitnessSet;
use crate::pipeline::RefusalReason;
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
        /// How it ended.
        report: AttemptReport,
    },
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
