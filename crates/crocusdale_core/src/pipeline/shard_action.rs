use std::net::SocketAddr;

use crate::admission::AdmissionPermit;
use crate::daemon::Command;
use crate::identity::{AttemptId, CallId, PartId, RequestDigest, RequestKey};
use crate::membership::WitnessSet;
use crate::pipeline::{PieceOrder, RefusalReason, ResultHandle};
use crate::routing::{AttemptReport, SlotRequest};
use crate::streams::StreamRecord;

/// Action that a request shard asks the rest of the core to carry out.
#[derive(Debug)]
pub enum ShardAction {
    /// Emit a command to the engine.
    Command(Command),
    /// Ask the router for an upstream. The request waits in its queue if none is free.
    AcquireSlot(SlotRequest),
    /// Ask the router for another upstream, if the retry budget allows it.
    AcquireRetrySlot {
        /// Slot request of the new attempt.
        request: SlotRequest,
        /// Why the previous attempt failed.
        reason: RefusalReason,
    },
    /// Remove a request for an upstream from the router's queue.
    CancelSlotRequest(SlotRequest),
    /// Release the upstream slot of an attempt that ended.
    ReleaseSlot {
        /// Name of the attempt's upstream.
        upstream: String,
        /// Call that the attempt served.
        call: CallId,
        /// How the attempt ended.
        report: AttemptReport,
    },
    /// Submit the pieces of a batched step to a dispatcher that has not failed them before.
    SubmitPieces {
        /// Pieces to submit.
        order: Box<PieceOrder>,
        /// VM names of the dispatchers that already failed the pieces.
        tried: Vec<String>,
        /// Slot request of the forwarded step that will fetch the results, if they are large.
        target: Option<Box<SlotRequest>>,
    },
    /// Cancel pieces that are no longer needed.
    CancelPieces {
        /// Attempt that the pieces belong to.
        attempt: AttemptId,
        /// Name of the pool section, one shard of a batched pool with its own dispatcher, that
        /// runs the pieces.
        pool: String,
    },
    /// Free results that are no longer needed.
    FreeResults {
        /// Name of the pool section, one shard of a batched pool with its own dispatcher, whose
        /// upstreams store the results.
        pool: String,
        /// Handles of the results.
        results: Vec<ResultHandle>,
    },
    /// Report that the first event of a forwarded stream arrived.
    RecordStreamStart {
        /// Name of the upstream that answers.
        upstream: String,
        /// Call that the stream belongs to.
        call: CallId,
    },
    /// Record where a stream began, so that its caller can take it up at any daemon.
    RecordStreamOrigin(Box<StreamRecord>),
    /// Check whether an upstream crashed, because the connection of an attempt was cut.
    CheckCrash {
        /// Digest of the request that the upstream was running.
        digest: RequestDigest,
        /// Prompt parts of the request under which the crash counts.
        parts: Vec<PartId>,
        /// Name of the upstream.
        upstream: String,
        /// Socket address at which the upstream listens.
        address: SocketAddr,
    },
    /// Record that a request was answered in full.
    RecordSuccess {
        /// Digest of the request.
        digest: RequestDigest,
        /// Prompt parts of the request, which did not crash their engine.
        parts: Vec<PartId>,
    },
    /// Release the admission permit of a request that ended.
    ReleasePermit(AdmissionPermit),
    /// Write to the register of one witness.
    WriteRegister(RegisterCall),
    /// Record which process answers behind an upstream.
    RecordProcess {
        /// Name of the upstream.
        upstream: String,
        /// Identity of the upstream's process.
        process: String,
        /// Whether the process announced that it is shutting down.
        is_leaving: bool,
    },
}

/// Write to a key's register at one witness.
#[derive(Clone, Debug)]
pub struct RegisterCall {
    /// Call that receives the reply.
    pub call: CallId,
    /// VM name of the witness.
    pub witness: String,
    /// Workspace and idempotency key of the register.
    pub key: RequestKey,
    /// All witnesses of the key.
    pub witnesses: WitnessSet,
    /// Whether to write a tombstone instead of a claim.
    pub writes_tombstone: bool,
}
