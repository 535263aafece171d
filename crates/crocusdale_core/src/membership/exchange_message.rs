use std::time::Duration;

use super::MemberRecord;
use crate::identity::{InstanceId, StorePosition};
use crate::quarantine::CrashRecord;
use crate::rate_limiting::LimitRecord;

/// News that an upstream is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
pub struct LeavingUpstream {
    /// Name of the upstream.
    pub upstream: String,
    /// Identity of the process behind it, as it reported it.
    pub life: String,
}

/// What a daemon tells of its list of published upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryNews {
    /// Position of the last change that it knows.
    pub changed: StorePosition,
    /// See [`ExchangeMessage::directory_age`].
    pub age: Option<Duration>,
}

/// One half of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeMessage {
    /// The sender.
    pub sender: MemberRecord,
    /// Whether the sender drains.
    pub sender_leaving: bool,
    /// Revision that the sender has in force, 0 for none.
    pub revision: u64,
    /// Digest of that revision's text.
    pub digest: u64,
    /// Records about others.
    pub records: Vec<MemberRecord>,
    /// Members that drain.
    pub leaving: Vec<InstanceId>,
    /// Upstreams that are leaving.
    pub leaving_upstreams: Vec<LeavingUpstream>,
    /// Position of the last change of the published upstreams that the sender knows.
    pub directory: StorePosition,
    /// Time since the sender, or whoever it heard from, began to read the published upstreams and
    /// found that change to be the last one.
    pub directory_age: Option<Duration>,
    /// Summary of what the sender knows of upstreams that ended under requests.
    pub crash_summary: u64,
    /// Such upstreams: news, or in an answer all that is known, if the asker knows something else.
    pub crashes: Vec<CrashRecord>,
    /// Digest of what the sender knows of the rates that upstreams name.
    pub limit_digest: u64,
    /// Such rates: news, or in an answer all that is known, if the asker knows something else.
    pub limits: Vec<LimitRecord>,
    /// Digest of all records that the sender has, if it asks for those that it lacks.
    pub known_members: Option<u64>,
}
