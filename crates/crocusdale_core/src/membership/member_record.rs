use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::MemberLinks;
use crate::identity::InstanceId;

/// Thousandths of a processor core that a dispatcher uses per megabit per second of its traffic.
/// The busiest dispatcher in a fleet of 83 daemons used 54 thousandths of a core and about eight
/// megabits per second.
const CPU_PER_LINK_MBPS: f64 = 6.0;

/// Number of requests that a daemon sends on behalf of others at a time, for each thousandth of a
/// processor core of its capacity.
const TRANSITS_PER_CAPACITY: f64 = 0.5;
/// Bounds of the number of requests that a daemon sends on behalf of others at a time.
const TRANSIT_LIMITS: (usize, usize) = (16, 512);

/// Status of a member, as its peers see it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberStatus {
    /// The member has started but can't serve callers yet.
    Starting,
    /// The member replies to its peers.
    Alive,
    /// A heartbeat exchange with the member failed.
    Suspect,
    /// The member has not refuted the suspicion within the suspicion timeout.
    Unreachable,
}

/// Gossip record about the status of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberRecord {
    /// VM and process incarnation of the member.
    pub instance: InstanceId,
    /// Orders successive processes on one VM. See [`MemberRecord::new`].
    pub generation: u64,
    /// Counter that the member itself increases to refute a suspicion or to announce a new status.
    pub refutation: u32,
    /// Status of the member.
    pub status: MemberStatus,
    /// Location of the member, or `None` if the VM list provides it.
    pub place: Option<MemberPlace>,
    /// Pools that the member reaches. `None` if the member, or the one that passed the record on,
    /// is a daemon of an older version, which tells nothing about its links.
    pub links: Option<MemberLinks>,
}

/// Location, addresses and capacity of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPlace {
    /// Availability zone of the member.
    pub zone: String,
    /// Address on which the member accepts callers.
    pub caller: SocketAddr,
    /// Address on which the member accepts other daemons.
    pub peer: SocketAddr,
    /// Capacity for work that one member does on behalf of others.
    pub capacity: MemberCapacity,
}

/// Capacity of a member's VM, relative to other members: that of its processor or of its network
/// link, whichever is smaller. In thousandths of a processor core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberCapacity(pub u32);

impl MemberCapacity {
    /// Capacity of a VM that may use `cpu_share` processor cores and a link of `link_mbps` megabits
    /// per second. At least 1.
    #[must_use]
    pub fn new(cpu_share: f64, link_mbps: f64) -> Self {
        Self((cpu_share * 1e3).min(link_mbps * CPU_PER_LINK_MBPS).clamp(1.0, f64::from(u32::MAX))
            as u32)
    }

    /// Number of requests that a daemon on a VM of this capacity sends on behalf of others at a time.
    #[must_use]
    pub fn transit_limit(self) -> usize {
        let limit = f64::from(self.0) * TRANSITS_PER_CAPACITY;
        (limit as usize).clamp(TRANSIT_LIMITS.0, TRANSIT_LIMITS.1)
    }

    /// Whether a VM of this capacity may do work on behalf of others, such as the dispatch of a
    /// pool: it needs at least half of `largest`, the capacity of the largest VM.
    #[must_use]
    pub fn is_at_least_half_of(self, largest: Self) -> bool {
        self.0 >= largest.0 / 2
    }
}

impl MemberRecord {
    /// First record of a process about itself.
    ///
    /// The generation starts as the incarnation, which comes from the wall clock. If the wall clock
    /// was set back since the previous process, gossip presents the previous process as the later
    /// one. The member then raises its generation above that of the previous process.
    #[must_use]
    pub fn new(instance: InstanceId, place: Option<MemberPlace>) -> Self {
        let generation = instance.incarnation;
        let links = Some(MemberLinks::default());
        Self { instance, generation, refutation: 0, status: MemberStatus::Starting, place, links }
    }

    /// Whether the record reports a suspected or unreachable member. A live member should refute
    /// it.
    #[must_use]
    pub fn is_failure_report(&self) -> bool {
        match self.status {
            MemberStatus::Starting | MemberStatus::Alive => false,
            MemberStatus::Suspect | MemberStatus::Unreachable => true,
        }
    }

    /// Whether `self` supersedes `other`, a record about the same VM.
    ///
    /// A higher generation wins first, then a higher refutation counter, then the worse status, then
    /// a record that tells of the member's links: daemons of older versions pass records on without
    /// them. The order is total, so daemons that receive the same records in different orders
    /// converge.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        debug_assert_eq!(self.instance.vm, other.instance.vm);
        let rank = |record: &Self| {
            (record.generation, record.refutation, record.status, record.links.is_some())
        };
        rank(self) > rank(other)
    }
}
