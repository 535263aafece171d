use std::time::Duration;

use super::DirectoryEntry;
use super::cold_upstreams::ColdUpstream;
use super::zone_evacuations::ZoneEvacuation;
use crate::identity::StorePosition;

/// A list of published upstreams, or its recent changes, as received from another daemon.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    /// Store position up to which the sender has read all changes.
    pub position: StorePosition,
    /// All upstreams in a full list, or only the changed ones.
    pub entries: Vec<PeerEntry>,
    /// Upstreams that were removed since the requested position. `None` in a full list, where every
    /// upstream that isn't listed is gone.
    pub removed: Option<Vec<PeerRemoval>>,
    /// All evacuated availability zones, in a full list and in a list of changes.
    pub evacuations: Vec<ZoneEvacuation>,
    /// Upstreams in their cold start.
    pub cold: Vec<ColdUpstream>,
    /// Age of the sender's list, with the revision of its configuration. `None` if it is unknown.
    pub age: Option<ListAge>,
}

/// Age of a daemon's data from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListAge {
    /// Time since the list and the configuration were last known to be current.
    pub age: Duration,
    /// Revision of the configuration in force.
    pub revision: u64,
}

/// A published upstream in a [`PeerDirectory`].
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Store position of the entry's last write.
    pub write_position: StorePosition,
    /// The entry as the platform publishes it, or last published it.
    pub entry: DirectoryEntry,
    /// Remaining time until the sender removes the entry. `None` if the platform still lists it.
    pub expires_in: Option<Duration>,
}

/// An upstream that is no longer published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRemoval {
    /// Store position of a list that doesn't contain the upstream.
    pub position: StorePosition,
    /// ID of the upstream's process.
    pub id: String,
}
