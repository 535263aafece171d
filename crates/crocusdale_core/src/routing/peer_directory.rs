use std::time::Duration;

use super::DirectoryEntry;
use super::cold_upstreams::ColdUpstream;
use super::zone_evacuations::ZoneEvacuation;
use crate::identity::StorePosition;

/// A list of published upstreams as another daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    /// Position up to which everything has been read.
    pub position: StorePosition,
    /// The upstreams, or those of them that changed.
    pub entries: Vec<PeerEntry>,
    /// Upstreams that are gone, if only changes are told; `None` if all upstreams are.
    pub removed: Option<Vec<PeerRemoval>>,
    /// The evacuated availability zones.
    pub evacuations: Vec<ZoneEvacuation>,
    /// The upstreams that are cold.
    pub cold: Vec<ColdUpstream>,
    /// How old the list was at the teller, with the revision of the configuration that it had in force.
    pub age: Option<ListAge>,
}

/// How old what a daemon knows of the platform is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListAge {
    /// Time since it was last known to be the latest.
    pub age: Duration,
    /// Revision of the configuration in force.
    pub revision: u64,
}

/// An upstream of a [`PeerDirectory`].
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Position of its last change.
    pub written: StorePosition,
    /// What the platform publishes, or published.
    pub entry: DirectoryEntry,
    /// Time for which it is still waited for, if the platform has not listed it since it is back.
    pub lapses_in: Option<Duration>,
}

/// An upstream that is no longer published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRemoval {
    /// Position of a list that lacks it.
    pub position: StorePosition,
    /// Identity of the process.
    pub id: String,
}
