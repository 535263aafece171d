use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::InstanceId;

/// Thousandths of a core that go with a megabit a second at a dispatcher: the busiest one of a fleet
/// of 83 took 54 of them, and some eight megabits.
const LINK_COST: f64 = 6.0;

/// Status of a member.
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
    /// Has started, and can't serve callers yet.
    Starting,
    /// Answers its peers.
    Alive,
    /// Missed a heartbeat.
    Suspect,
    /// Missed heartbeats for longer than a suspicion lasts.
    Unreachable,
}

/// What a daemon believes of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberRecord {
    /// The member.
    pub instance: InstanceId,
    /// Orders the lives of one VM's processes; see [`MemberRecord::new`].
    pub generation: u64,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u32,
    /// What is believed.
    pub status: MemberStatus,
    /// Where it is, if no VM list tells.
    pub place: Option<MemberPlace>,
}

/// Where a member is and listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPlace {
    /// Availability zone.
    pub zone: String,
    /// Where it listens for callers.
    pub caller: SocketAddr,
    /// Where it listens for other daemons.
    pub peer: SocketAddr,
    /// What it can carry.
    pub capacity: MemberCapacity,
}

/// What a member can carry, against others: the scarcer one of its processor and its link, in
/// thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberCapacity(pub u32);

impl MemberCapacity {
    /// The capacity of a VM with `cpu_share` of a core and a link of `link_mbps` megabits a second.
    #[must_use]
    pub fn new(cpu_share: f64, link_mbps: f64) -> Self {
        Self((cpu_share * 1e3).min(link_mbps * LINK_COST).clamp(1.0, f64::from(u32::MAX)) as u32)
    }

    /// Whether a VM of this capacity may carry what falls to one VM for all, where the largest one
    /// has the capacity `largest`.
    #[must_use]
    pub fn carries(self, largest: Self) -> bool {
        self.0 >= largest.0 / 2
    }
}

impl MemberRecord {
    /// The first record of a process life about itself.
    ///
    /// Its generation is its incarnation, which is numbered by the time of day. Where that has
    /// jumped back since the life before, the member hears of that life as the later one, and takes
    /// a generation beyond it.
    #[must_use]
    pub fn new(instance: InstanceId, place: Option<MemberPlace>) -> Self {
        let generation = instance.incarnation;
        Self { instance, generation, refutation: 0, status: MemberStatus::Starting, place }
    }

    /// Whether the record doubts that its member lives, so that the member should refute it.
    #[must_use]
    pub fn is_doubt(&self) -> bool {
        match self.status {
            MemberStatus::Starting | MemberStatus::Alive => false,
            MemberStatus::Suspect | MemberStatus::Unreachable => true,
        }
    }

    /// Whether `self` is newer news of the same VM than `other`.
    ///
    /// A later generation goes before an earlier one, a refutation before the suspicion that it
    /// refutes, a worse status before a better one. The order is total, so that daemons which
    /// heard the same news in different orders agree.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        debug_assert_eq!(self.instance.vm, other.instance.vm);
        let rank = |record: &Self| (record.generation, record.refutation, record.status);
        rank(self) > rank(other)
    }
}
