use std::collections::BTreeMap;

use serde::Serialize;

use crate::identity::{InstanceId, PartId, RequestDigest};
use crate::membership::{MemberRecord, PoolReach};
use crate::placement::EngineSpeedSummary;
use crate::rate_limiting::LimitSummary;
use crate::routing::UpstreamSummary;

/// Snapshot of one daemon's state for operators, written out as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// Identity of the process: its VM and its incarnation.
    pub instance: InstanceId,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Time since the start of the process, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the daemon accepts requests of callers.
    pub ready: bool,
    /// Whether the daemon is draining.
    pub leaving: bool,
    /// Configuration revision in force, 0 for none.
    pub revision: u64,
    /// Digest of the configuration in force, in hexadecimal.
    pub digest: String,
    /// Newest configuration revision that was rejected.
    pub rejected_revision: Option<u64>,
    /// Validation errors of `rejected_revision`.
    pub rejected_errors: Vec<String>,
    /// Number of times that two different configurations carried the same revision.
    pub configuration_conflicts: u64,
    /// Revision of the VM list in use.
    pub roster_revision: u64,
    /// Revision of the last known change of the published upstreams, 0 for none.
    pub directory_revision: u64,
    /// Number of times that the store had been restored from an older backup by
    /// `directory_revision`, by the store's own count.
    pub directory_era: u64,
    /// Availability zones whose upstreams get no new work.
    pub evacuated_zones: Vec<String>,
    /// Time since `directory_revision` was last known to be current, in milliseconds.
    pub directory_age_ms: Option<u64>,
    /// Number of peers on the VM list.
    pub peers: usize,
    /// Number of daemons, including this one, that divide the request rates of cold and of
    /// rate-limited upstreams among them.
    pub sharing_daemons: usize,
    /// Membership records of all peers, as this daemon sees them.
    pub members: Vec<MemberRecord>,
    /// VMs of the peers that are draining.
    pub leaving_members: Vec<String>,
    /// Number of admitted requests that have not ended.
    pub running: usize,
    /// Number of open calls of callers, including inquiries and queued requests.
    pub open_calls: usize,
    /// Number of idempotency keys that this daemon stores a claim or a tombstone for as a witness.
    pub registers: usize,
    /// Number of `registers` that also hold the outcome of their request.
    pub outcomes: usize,
    /// Number of idempotency keys of non-repeatable requests that this daemon remembers.
    pub keys: usize,
    /// Number of queued attempts by stage.
    pub waiting: Vec<(String, usize)>,
    /// Number of queued pieces of batched steps by pool.
    pub waiting_pieces: Vec<(String, usize)>,
    /// Routing state of every upstream.
    pub upstreams: Vec<UpstreamSummary>,
    /// Upstreams that have announced a rate limit.
    pub limited_upstreams: Vec<LimitSummary>,
    /// Speeds of the engines that this daemon places requests on as a coordinator, slowest first.
    pub engine_speeds: Vec<EngineSpeedSummary>,
    /// Pools with most upstreams out of reach of the daemon's own links.
    pub impaired_pools: BTreeMap<String, PoolReach>,
    /// Number of streams of which this daemon knows where they began.
    pub stream_records: usize,
    /// Digests of quarantined requests, which are not dispatched because upstreams crashed while
    /// they ran them.
    pub quarantined: Vec<RequestDigest>,
    /// Quarantined prompt parts, because engines crashed while they ran requests with them.
    pub quarantined_parts: Vec<PartId>,
}
