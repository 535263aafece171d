/// How a connection to an upstream ended that is suspected to have crashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ProbeConnection {
    /// The connection was opened.
    Open,
    /// The connection was refused: nothing listens there, or a fault of the own links refuses it.
    Refused,
    /// The connection failed in another way, which proves nothing.
    #[default]
    Failed,
}

/// What one daemon saw when it connected to an upstream that is suspected to have crashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeEvidence {
    /// Connection to the upstream.
    pub connection: ProbeConnection,
    /// Number of other upstreams of its pool that were connected to.
    pub pool_tests: usize,
    /// Number of these that could be connected to.
    pub pool_open: usize,
    /// Whether any other upstream could be connected to, in its pool or another one.
    pub has_open_link: bool,
}

impl ProbeEvidence {
    /// Whether the upstream has ended by the evidence of this daemon alone: it refuses connections,
    /// and most others of its pool don't. `None` if another daemon has to be asked.
    #[must_use]
    pub fn verdict(&self) -> Option<bool> {
        match self.connection {
            ProbeConnection::Open | ProbeConnection::Failed => Some(false),
            ProbeConnection::Refused if self.pool_open * 2 > self.pool_tests => Some(true),
            ProbeConnection::Refused => None,
        }
    }

    /// Whether the upstream has ended by the evidence of this daemon and of a peer. `None` if no peer
    /// could be asked.
    ///
    /// Guards against a failed link that refuses connections, which looks like a crash of each
    /// upstream behind it, and against a pool whose upstreams crash one after the other, which looks
    /// like a failed link.
    #[must_use]
    pub fn verdict_with(&self, peer: Option<&Self>) -> bool {
        self.verdict().unwrap_or_else(|| match peer {
            Some(peer) => peer.connection == ProbeConnection::Refused && peer.has_open_link,
            None => self.has_open_link,
        })
    }
}
