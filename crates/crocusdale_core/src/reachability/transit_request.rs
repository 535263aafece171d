use std::net::SocketAddr;

use crate::identity::StorePosition;

/// A request that one daemon sends to an upstream on behalf of another, as the sending daemon judges
/// it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransitRequest {
    /// Name of the upstream.
    pub upstream: String,
    /// Pool of the upstream.
    pub pool: String,
    /// Identity of the upstream's process.
    pub process: String,
    /// Address on which the upstream accepts requests.
    pub address: SocketAddr,
    /// Position of the list of upstreams by which the upstream was chosen.
    pub directory: StorePosition,
    /// Revision of the configuration by which the request was admitted.
    pub revision: u64,
    /// Host that the caller named.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Access key of the caller. `None` if it showed none.
    pub access: Option<String>,
    /// Workspace of the caller. Empty if it showed no access key.
    pub workspace: String,
}

/// An upstream that a request in transit may be sent to now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransitGrant {
    /// Address on which the upstream accepts requests.
    pub address: SocketAddr,
    /// Maximum number of idle connections that this daemon may keep open to the upstream.
    pub max_idle_connections: usize,
}

/// Why a daemon doesn't send a request on behalf of another. Nothing was written in all cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TransitRefusal {
    /// The daemon has too many requests in transit.
    Busy,
    /// The daemon is about to exit.
    Draining,
    /// The daemon's list of upstreams is too old to send anything.
    StaleList,
    /// The daemon's links to the pool have failed too.
    NoLink,
    /// The daemon, whose links to the pool work, could not connect to the upstream.
    ConnectFailed,
    /// A kept connection was closed before the request was written to it.
    ConnectionClosed,
    /// The daemon doesn't know the upstream, and its list is at least as new as the sender's.
    UnknownUpstream,
    /// The upstream is leaving, or its availability zone is evacuated.
    Leaving,
    /// The upstream has asked the daemon to back off, or its rate or cold-start limit is reached.
    OverLimit,
    /// The daemon has a newer configuration, which doesn't allow the request.
    NotAllowed,
}
