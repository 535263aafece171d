use crate::identity::{AttemptId, CallId};

/// Identifies a timer by the action that is due when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TimerKey {
    /// Deadline of a request.
    Deadline(CallId),
    /// Timeout of the claim of a request's key at its witnesses.
    ClaimTimeout(CallId),
    /// Check whether an attempt has gone without a response for too long.
    IdleTimeout(AttemptId),
    /// Timeout of an inquiry for the outcome of a key whose request this daemon does not run.
    InquiryTimeout(CallId),
    /// Next query to the daemon that holds a key for the outcome of its request.
    HolderQuery(CallId),
    /// Next heartbeat period.
    Heartbeat,
    /// Next housekeeping run, which serves queued work, expires records and checks whether a drain
    /// is complete.
    Housekeeping,
    /// Next check of the engines that this daemon manages.
    EngineCheck,
    /// Next read of the VM list.
    VmListRead,
    /// Next watch of the configuration, or next check whether to watch it.
    Configuration,
    /// Next poll of the list of published upstreams.
    DirectoryPoll,
    /// Time by which a healthy platform has responded to a pending read of the list of upstreams.
    DirectoryReadDue,
    /// Start of an admitted late request.
    ScheduledStart,
    /// Next report of the batched pools that this daemon dispatches.
    PoolStatus,
    /// Next test of the links to unreachable pools.
    LinkTest,
    /// Next release of results that are no longer needed.
    ResultRelease,
    /// Time to send new crash records and rate limits of upstreams to other daemons.
    UpstreamRecords,
    /// Next heartbeat to a seed address.
    SeedPing,
    /// Time at which a draining process refuses its open requests, while callers can still receive
    /// the responses.
    EndRequests,
    /// Time at which a draining process exits, shortly before it would be killed.
    Exit,
    /// Time at which callers no longer use cached address answers that name this daemon.
    DrainWindowEnd,
}
