use super::ReadinessGap;
use crate::identity::{PartId, RequestDigest, RequestKey, SoftwareVersion, StorePosition};
use crate::membership::PoolReach;
use crate::pipeline::BreakReason;
use crate::rate_limiting::RequestRate;
use crate::streams::StreamOrigin;

/// State change of the daemon that is written to the log as a structured event.
#[derive(Clone, Debug, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StateChange {
    /// A configuration revision was put in force.
    ConfigurationInForce {
        /// Revision that is in force now.
        revision: u64,
    },
    /// A configuration revision was rejected as invalid.
    ConfigurationRejected {
        /// Revision that was rejected.
        revision: u64,
        /// First validation error.
        error: String,
        /// Number of validation errors.
        errors: usize,
    },
    /// Two different configurations carry the same revision.
    ConfigurationConflict {
        /// Revision that both configurations carry.
        revision: u64,
    },
    /// A new VM list is in use.
    RosterTaken {
        /// Revision of the VM list.
        revision: u64,
        /// Number of VMs on the VM list.
        vms: usize,
    },
    /// The list of published upstreams changed.
    DirectoryTaken {
        /// Era of the store at the change. It rises each time that the store is restored.
        era: u64,
        /// Revision of the change within its era.
        revision: u64,
        /// Number of published upstreams that are not leaving.
        upstreams: usize,
        /// Peer that sent the list, or `None` if this daemon read it from the store.
        peer: Option<String>,
        /// Milliseconds since the previous list was last known to be current.
        age_ms: Option<u64>,
    },
    /// The store was restored from an older backup.
    StoreRestored {
        /// Last position that was read before the restore.
        before: StorePosition,
        /// Position of the restored store.
        after: StorePosition,
        /// Number of upstreams missing from the backup. They stay usable until their renewal is
        /// overdue.
        missing: usize,
        /// Peer that reported the restore, or `None` if this daemon read it from the store.
        peer: Option<String>,
    },
    /// An availability zone was evacuated: its upstreams get no new work until the operator
    /// reverts that.
    ZoneEvacuated {
        /// Name of the availability zone.
        zone: String,
        /// Peer that reported the evacuation, or `None` if this daemon read it from the store.
        peer: Option<String>,
    },
    /// The evacuation of an availability zone was reverted: its upstreams may get work again.
    ZoneOpened {
        /// Name of the availability zone.
        zone: String,
        /// Peer that reported the change, or `None` if this daemon read it from the store.
        peer: Option<String>,
    },
    /// This daemon reads the published upstreams itself, because the daemon that reads for it has
    /// not confirmed a read for too long.
    DirectoryAged {
        /// Milliseconds since the list of this daemon was last known to be current.
        age_ms: Option<u64>,
        /// Daemon that should read the published upstreams for this one.
        reader: String,
    },
    /// The list of published upstreams is too old to choose from. Attempts are queued until it
    /// has been read.
    DirectoryOverdue {
        /// Milliseconds since the list was last known to be current.
        age_ms: Option<u64>,
    },
    /// Reads of the platform have started to fail.
    PlatformLost,
    /// Reads of the platform succeed again.
    PlatformRegained,
    /// A request is expected to miss its latency objective and is queued until pools have room.
    RequestWaits {
        /// Idempotency key of the request.
        request: RequestKey,
        /// Admission verdict that explains the wait, as its snake-case name.
        verdict: String,
        /// Expected milliseconds until the answer, from the latest reports of the dispatchers.
        needed_ms: u64,
        /// Milliseconds left until the latency objective.
        objective_ms: u64,
        /// Whether the workspace sends much more than its usual share of the requests.
        is_flood: bool,
    },
    /// A request was refused before one of its batched steps, because the rest of its path could
    /// not end before the deadline.
    StepNotBegun {
        /// Idempotency key of the request.
        request: RequestKey,
        /// Stage of the step that was not begun.
        stage: String,
        /// Expected milliseconds of the step and those after it, with queueing delays.
        needed_ms: u64,
        /// Milliseconds left until the deadline.
        left_ms: u64,
        /// Age of the queueing delays, in milliseconds.
        delays_age_ms: u64,
    },
    /// This daemon, as an admission coordinator, delayed or refused a request.
    AdmissionDecided {
        /// Admission section of the request.
        section: String,
        /// Digest of caller, target and content, which every repeat of the request shares.
        digest: RequestDigest,
        /// Workspace of the request.
        workspace: String,
        /// Priority level of the request.
        level: u8,
        /// Verdict, as its snake-case name.
        verdict: String,
        /// Milliseconds until the start or until the caller should come back.
        wait_ms: u64,
        /// Expected milliseconds until the answer if the request started now as an on-time one.
        forecast_ms: u64,
        /// Milliseconds until the late queues have capacity for the request.
        late_wait_ms: u64,
        /// Milliseconds left until the latency objective.
        objective_ms: u64,
        /// Milliseconds left until the deadline.
        deadline_ms: u64,
        /// Age of the oldest status of the needed pools in milliseconds. `None` if one has none.
        status_age_ms: Option<u64>,
        /// Whether the workspace is over its share.
        is_over_share: bool,
    },
    /// This daemon decides on a request by itself, because the admission coordinator did not reply.
    AdmissionFellBack {
        /// Idempotency key of the request.
        request: RequestKey,
        /// VM of the coordinator.
        coordinator: String,
    },
    /// An upstream broke off an attempt that it had started, or may have started.
    AttemptBroken {
        /// Idempotency key of the request.
        request: RequestKey,
        /// Digest of caller, target and content, which every repeat of the request shares.
        digest: RequestDigest,
        /// Name of the upstream.
        upstream: String,
        /// Prompt parts of the request that other requests may share, if an engine ran it.
        parts: Vec<PartId>,
        /// Symptom of the failure, such as a reset connection or silence.
        reason: BreakReason,
    },
    /// A request is no longer dispatched, because upstreams crashed while they ran it.
    RequestQuarantined {
        /// Digest of caller, target and content, which every repeat of the request shares.
        digest: RequestDigest,
        /// Number of upstreams that crashed while they ran the request.
        ends: usize,
        /// Peer that reported the last crash, or `None` if this daemon observed it.
        peer: Option<String>,
    },
    /// An admission coordinator dropped entries because a table was full. Logged once a second at
    /// most.
    AdmissionEntriesDropped {
        /// Table that was full: `workspaces` or `return_slots`.
        table: &'static str,
        /// Number of entries dropped since the last line.
        dropped: u64,
    },
    /// A quarantine was lifted, because a request with the same digest was answered completely.
    QuarantineLifted {
        /// Digest of caller, target and content, which every repeat of the request shares.
        digest: RequestDigest,
    },
    /// A stream that has begun before goes on at an upstream.
    StreamResumed {
        /// Workspace and id of the attempt that takes it up.
        request: RequestKey,
        /// Caller's attempt that brought the first event, or `None` if the caller did not name it.
        first_attempt: Option<String>,
        /// Where the first event came from, or `None` if that is not known.
        began_at: Option<StreamOrigin>,
        /// Name of the upstream that the stream goes on at.
        upstream: String,
        /// Version of that upstream's software, or `None` if it is not known.
        software_version: Option<SoftwareVersion>,
    },
    /// Requests with a prompt part are no longer dispatched, because engines crashed while they ran
    /// such requests.
    PartQuarantined {
        /// Identity of the part.
        part: PartId,
        /// Number of engines that crashed under requests with the part.
        ends: usize,
        /// Parts to which each of these crashes can be put down as well. Only requests with all of
        /// them are refused.
        companions: Vec<PartId>,
        /// Peer that reported the last crash, or `None` if this daemon observed it.
        peer: Option<String>,
    },
    /// The quarantine of a prompt part was lifted: a request with it was answered completely, or its
    /// time is over.
    PartQuarantineLifted {
        /// Identity of the part.
        part: PartId,
    },
    /// An upstream ended while it ran requests of this daemon.
    UpstreamCrashed {
        /// Name of the upstream.
        upstream: String,
        /// Number of requests of this daemon that it ran.
        requests: usize,
    },
    /// An upstream rejected a request and asked this daemon to back off.
    UpstreamAway {
        /// Name of the upstream.
        upstream: String,
        /// Backoff that the upstream asked for, in milliseconds.
        stay_away_ms: u64,
    },
    /// An upstream is in its cold start and gets few requests.
    UpstreamCold {
        /// Name of the upstream.
        upstream: String,
        /// Longest time until the cold start is over, in milliseconds.
        left_ms: u64,
    },
    /// An upstream announced a limit on the request rate of all daemons together.
    UpstreamLimited {
        /// Name of the upstream.
        upstream: String,
        /// Rate limit that the upstream announced.
        rate: RequestRate,
        /// Peer that reported the limit, or `None` if it came in an answer to this daemon.
        peer: Option<String>,
    },
    /// An upstream withdrew its rate limit.
    UpstreamUnlimited {
        /// Name of the upstream.
        upstream: String,
        /// Number of requests that this daemon sent to the upstream while the limit applied.
        sent: u64,
        /// Peer that reported the change, or `None` if it came in an answer to this daemon.
        peer: Option<String>,
    },
    /// This daemon can't connect to most upstreams of a pool over its own links.
    LinksImpaired {
        /// Name of the pool.
        pool: String,
        /// Which upstreams it can still connect to.
        reach: PoolReach,
    },
    /// This daemon can connect to most upstreams of a pool again.
    LinksRestored {
        /// Name of the pool.
        pool: String,
        /// Time for which the links were impaired, in milliseconds.
        impaired_ms: u64,
    },
    /// An upstream announced that it is leaving.
    UpstreamLeaving {
        /// Name of the upstream.
        upstream: String,
    },
    /// A placement coordinator did not reply in time. For a while, this daemon chooses engines by
    /// itself.
    PlacementCoordinatorLost {
        /// VM of the coordinator.
        vm: String,
        /// Section of the engine pool.
        section: String,
        /// Number of other requests that wait for a reply of a coordinator.
        pending: usize,
    },
    /// This daemon has become ready and serves callers.
    Ready {
        /// Milliseconds since this process started.
        since_start_ms: u64,
    },
    /// This daemon refuses callers, because it does not know what it needs to serve them.
    NotReady {
        /// What is missing.
        gap: ReadinessGap,
        /// Milliseconds since this process started.
        since_start_ms: u64,
    },
    /// This daemon has started to drain.
    Draining,
    /// This daemon has finished its drain.
    Drained,
    /// This process was paused, for example suspended or without CPU time.
    Paused {
        /// Lower bound of the pause, in milliseconds.
        millis: u64,
    },
    /// The membership status of a peer changed.
    PeerStatus {
        /// VM of the peer.
        vm: String,
        /// New status of the peer, as its snake-case name.
        status: String,
    },
}
