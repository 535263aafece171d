use crate::identity::{RequestDigest, RequestKey, StorePosition};
use crate::pipeline::BreakReason;
use crate::rate_limiting::RequestRate;

/// Changes of state that are worth a line in the log.
#[derive(Clone, Debug, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StateChange {
    /// A revision is in force.
    ConfigurationInForce {
        /// The revision.
        revision: u64,
    },
    /// A revision was rejected.
    ConfigurationRejected {
        /// The revision.
        revision: u64,
        /// First of its errors.
        error: String,
        /// Number of its errors.
        errors: usize,
    },
    /// Two texts have the same revision.
    ConfigurationConflict {
        /// The revision.
        revision: u64,
    },
    /// A new VM list is in use.
    RosterTaken {
        /// Its revision.
        revision: u64,
        /// Its number of VMs.
        vms: usize,
    },
    /// Published upstreams changed.
    DirectoryTaken {
        /// Era of the store at the change.
        era: u64,
        /// Revision of the change in that era.
        revision: u64,
        /// Upstreams that stay.
        upstreams: usize,
        /// Peer whose list it is, or `None` for a reading of this daemon.
        peer: Option<String>,
        /// Milliseconds since the list before was last known to be the latest.
        age_ms: Option<u64>,
    },
    /// The store has come back from an older copy.
    StoreRestored {
        /// Up to where it had been read before.
        before: StorePosition,
        /// Where it is now.
        after: StorePosition,
        /// Upstreams that the copy doesn't list, and that are kept until they should have written again.
        missing: usize,
        /// Peer that told it, or `None` for a reading of this daemon.
        peer: Option<String>,
    },
    /// The upstreams of an availability zone get no new work until the operator takes that back.
    ZoneEvacuated {
        /// The zone.
        zone: String,
        /// Peer that told it, or `None` for a reading of this daemon.
        peer: Option<String>,
    },
    /// The upstreams of an evacuated availability zone may get work again.
    ZoneOpened {
        /// The zone.
        zone: String,
        /// Peer that told it, or `None` for a reading of this daemon.
        peer: Option<String>,
    },
    /// This daemon reads the published upstreams itself although another one should, because it has
    /// not heard of a reading for too long.
    DirectoryAged {
        /// Milliseconds since its list was last known to be the latest.
        age_ms: Option<u64>,
        /// The daemon that should read for it.
        reader: String,
    },
    /// The list of published upstreams is too old to choose by, and attempts wait until it is read.
    DirectoryOverdue {
        /// Milliseconds since it was last known to be the latest.
        age_ms: Option<u64>,
    },
    /// The platform can't be read any more.
    PlatformLost,
    /// The platform can be read again.
    PlatformRegained,
    /// A request can't be in time, and waits for room.
    RequestWaits {
        /// The request.
        request: RequestKey,
        /// Why it waits.
        verdict: String,
        /// Milliseconds that it should need from now, by the last word of its pools.
        needed_ms: u64,
        /// Milliseconds that are left of its objective.
        objective_ms: u64,
        /// Whether its workspace sends much more than it usually does.
        is_flood: bool,
    },
    /// An upstream broke off an attempt that it had begun, or may have.
    AttemptBroken {
        /// The request.
        request: RequestKey,
        /// What it has in common with its repeats.
        digest: RequestDigest,
        /// The upstream.
        upstream: String,
        /// How it showed.
        reason: BreakReason,
    },
    /// A request is not sent on any more, because upstreams ended under it.
    RequestQuarantined {
        /// What it has in common with its repeats.
        digest: RequestDigest,
        /// Upstreams that ended.
        ends: usize,
        /// Peer that told the last of them, or `None` if this daemon saw it.
        peer: Option<String>,
    },
    /// A request is sent on again, because one like it was answered whole.
    QuarantineLifted {
        /// What it has in common with its repeats.
        digest: RequestDigest,
    },
    /// An upstream turned this daemon away.
    UpstreamAway {
        /// The upstream.
        upstream: String,
        /// Milliseconds for which it wants nothing more from this daemon.
        stay_away_ms: u64,
    },
    /// An upstream has started of late, and gets few requests.
    UpstreamCold {
        /// The upstream.
        upstream: String,
        /// Milliseconds for which it stays cold at most.
        left_ms: u64,
    },
    /// An upstream names how many requests a second it takes from all daemons together.
    UpstreamLimited {
        /// The upstream.
        upstream: String,
        /// The rate.
        rate: RequestRate,
        /// Peer that told it, or `None` for an answer to this daemon.
        peer: Option<String>,
    },
    /// An upstream names no rate any more.
    UpstreamUnlimited {
        /// The upstream.
        upstream: String,
        /// Requests that this daemon sent there while it named one.
        sent: u64,
        /// Peer that told it, or `None` for an answer to this daemon.
        peer: Option<String>,
    },
    /// An upstream is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: String,
    },
    /// This daemon drains.
    Draining,
    /// This daemon has drained.
    Drained,
    /// This process was paused.
    Paused {
        /// For how long at least, in milliseconds.
        millis: u64,
    },
    /// A peer's status changed.
    PeerStatus {
        /// The peer.
        vm: String,
        /// What it is now.
        status: String,
    },
}
