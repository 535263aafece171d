use serde::Serialize;

use crate::identity::{InstanceId, RequestDigest};
use crate::membership::MemberRecord;
use crate::rate_limiting::LimitSummary;
use crate::routing::UpstreamSummary;

/// State of one daemon, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// The process.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: String,
    /// Time since its start, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// Whether it drains.
    pub leaving: bool,
    /// Revision in force, 0 for none.
    pub revision: u64,
    /// Digest of its text, in hexadecimal.
    pub digest: String,
    /// Newest rejected revision.
    pub rejected_revision: Option<u64>,
    /// Errors of that revision.
    pub rejected_errors: Vec<String>,
    /// Times that two texts had one revision.
    pub configuration_conflicts: u64,
    /// Revision of the VM list.
    pub roster_revision: u64,
    /// Revision of the last change of the published upstreams that is known, 0 for none.
    pub directory_revision: u64,
    /// Times that the store had come back from an older copy by then, as it counts them.
    pub directory_era: u64,
    /// Availability zones whose upstreams get no new work.
    pub evacuated_zones: Vec<String>,
    /// Time since that was last known to be the last change, in milliseconds.
    pub directory_age_ms: Option<u64>,
    /// Peers in the VM list.
    pub peers: usize,
    /// Daemons, this one among them, that share what cold upstreams take.
    pub sharing_daemons: usize,
    /// What is believed of the peers.
    pub members: Vec<MemberRecord>,
    /// Peers known to drain.
    pub leaving_members: Vec<String>,
    /// Requests that run.
    pub running: usize,
    /// Calls that are open in all.
    pub open_calls: usize,
    /// Registers kept as a witness.
    pub registers: usize,
    /// Outcomes among them that their holders have left.
    pub outcomes: usize,
    /// Keys of not repeatable requests remembered.
    pub keys: usize,
    /// Attempts that wait, by stage.
    pub waiting: Vec<(String, usize)>,
    /// Pieces that wait for calls of batched upstreams, by pool.
    pub waiting_pieces: Vec<(String, usize)>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamSummary>,
    /// Upstreams that have named a rate.
    pub limited_upstreams: Vec<LimitSummary>,
    /// Requests that are not sent on because upstreams ended under them.
    pub quarantined: Vec<RequestDigest>,
}
