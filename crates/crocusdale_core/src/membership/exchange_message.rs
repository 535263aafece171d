use std::time::Duration;

use super::MemberRecord;
use crate::identity::{InstanceId, StorePosition};
use crate::quarantine::{CrashRecord, PartRecord};
use crate::rate_limiting::LimitRecord;
use crate::streams::VersionReport;

/// Gossip entry about an upstream that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
pub struct LeavingUpstream {
    /// Name of the upstream.
    pub upstream: String,
    /// Identifier of the upstream's current process, as the upstream reported it.
    #[serde(rename = "life")]
    pub process: String,
}

/// Version and age of a daemon's list of published upstreams, as it reports them to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryVersion {
    /// Store position of the last change in the list.
    pub changed: StorePosition,
    /// Age of the list, as in [`ExchangeMessage::directory_age`].
    pub age: Option<Duration>,
}

/// Request or reply of a heartbeat, which carries gossip about the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeMessage {
    /// Record of the sender about itself.
    pub sender: MemberRecord,
    /// Whether the sender is draining.
    pub sender_leaving: bool,
    /// Revision of the configuration in force at the sender. 0 if it has none.
    pub revision: u64,
    /// Digest of the text of this configuration. 0 if the sender has none.
    pub digest: u64,
    /// Records about other members.
    pub records: Vec<MemberRecord>,
    /// Members that are draining.
    pub leaving: Vec<InstanceId>,
    /// Upstreams that are leaving, according to the sender.
    pub leaving_upstreams: Vec<LeavingUpstream>,
    /// Store position of the last change in the sender's list of published upstreams.
    pub directory: StorePosition,
    /// Time since the start of the latest store read that confirmed the position in `directory` as
    /// the last change. The sender or one of its peers made this read. `None` if the age is
    /// unknown.
    pub directory_age: Option<Duration>,
    /// Digest of all crash records that the sender knows.
    pub crash_summary: u64,
    /// Recent crash records. A reply carries all known crash records if the request had another
    /// digest.
    pub crashes: Vec<CrashRecord>,
    /// Hash over all records of prompt parts that the sender has.
    pub part_summary: u64,
    /// New records of prompt parts under which upstreams crashed. In an answer, all that are known.
    pub part_crashes: Vec<PartRecord>,
    /// Digest of all rate limits that the sender knows.
    pub limit_digest: u64,
    /// Recent rate limits. A reply carries all known rate limits if the request had another
    /// digest.
    pub limits: Vec<LimitRecord>,
    /// Digest of all member records that the sender knows, if it requests the missing ones. `None`
    /// if it requests none.
    pub known_members: Option<u64>,
    /// Software versions of late, in a reply to a daemon that has just started.
    pub versions: Option<VersionReport>,
}
