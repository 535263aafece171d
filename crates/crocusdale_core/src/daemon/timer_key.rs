use crate::identity::{AttemptId, CallId};

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
    /// Time to tell others of upstreams that ended under requests, or name a rate.
    UpstreamNews,
    /// Next greeting of the seeds.
    Seeds,
    /// Last moment at which a draining process can still answer its open requests.
    EndRequests,
    /// Last moment at which a draining process can still end by itself.
    Exit,
    /// End of the time for which addresses given out may still point here.
    Drain,
}
