use std::time::Duration;

use crate::identity::MonotonicTime;

/// What a caller's connection does.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionPhase {
    /// No request has begun, or the answer to the last one is sent.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A complete request is served.
    Serving,
    /// The rest of a refused body arrives and is discarded.
    Discarding,
}

/// How much progress a connection must make while it does not wait for the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressLimits {
    /// Time without progress after which a connection is overdue.
    pub grace: Duration,
    /// Number of bytes that count as progress of one second.
    pub bytes_per_second: usize,
}

/// Progress of one connection, by which the one to close is chosen when there is no room.
///
/// Each byte that is sent or received earns time, and a connection whose time is used up is overdue.
/// A caller that sends a byte now and then does not stay ahead of its time.
#[derive(Clone, Debug)]
pub struct ConnectionProgress {
    limits: ProgressLimits,
    phase: ConnectionPhase,
    /// Time at which the connection becomes overdue.
    due: MonotonicTime,
}

/// Which connection makes place for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceChoice<K> {
    /// The connection that is closed.
    Close(K),
    /// No connection is overdue before this time.
    Wait(MonotonicTime),
    /// A request is served on each connection.
    AllServing,
}

impl ConnectionProgress {
    /// Progress of a connection that was accepted at `now`.
    #[must_use]
    pub fn new(limits: ProgressLimits, now: MonotonicTime) -> Self {
        Self { limits, phase: ConnectionPhase::Idle, due: now + limits.grace }
    }

    /// What the connection does.
    #[must_use]
    pub fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Records that `phase` begins.
    pub fn begin(&mut self, phase: ConnectionPhase, now: MonotonicTime) {
        self.phase = phase;
        self.due = now + self.limits.grace;
    }

    /// Records that `bytes` were received or sent.
    pub fn record_bytes(&mut self, bytes: usize, now: MonotonicTime) {
        let earned_s = bytes as f64 / self.limits.bytes_per_second.max(1) as f64;
        let earned = Duration::try_from_secs_f64(earned_s).unwrap_or(self.limits.grace);
        self.due = (self.due + earned).min(now + self.limits.grace);
    }

    /// Time at which the connection becomes overdue. `None` if it waits for the daemon.
    #[must_use]
    pub fn due(&self) -> Option<MonotonicTime> {
        (self.phase != ConnectionPhase::Serving).then_some(self.due)
    }

    /// Time since which the connection is overdue at `now`. `None` if it isn't, or if it waits for
    /// the daemon.
    #[must_use]
    pub fn overdue_since(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.due().filter(|due| *due <= now)
    }

    /// Order in which connections are closed: unfinished requests before idle connections, and the
    /// one that is overdue for longest first.
    fn closing_order(&self) -> (bool, MonotonicTime) {
        (self.phase == ConnectionPhase::Idle, self.due)
    }
}

/// Chooses the connection that makes place for a new one.
#[must_use]
pub fn place_victim<K>(
    connections: impl IntoIterator<Item = (K, ConnectionProgress)>,
    now: MonotonicTime,
) -> PlaceChoice<K> {
    let mut first: Option<(K, ConnectionProgress)> = None;
    let mut next_due: Option<MonotonicTime> = None;
    for (key, progress) in connections {
        if progress.phase == ConnectionPhase::Serving {
            continue;
        }
        next_due = Some(next_due.map_or(progress.due, |due| due.min(progress.due)));
        let is_earlier = first
            .as_ref()
            .is_none_or(|(_, first)| progress.closing_order() < first.closing_order());
        if progress.overdue_since(now).is_some() && is_earlier {
            first = Some((key, progress));
        }
    }
    match (first, next_due) {
        (Some((key, _)), _) => PlaceChoice::Close(key),
        (None, Some(due)) => PlaceChoice::Wait(due),
        (None, None) => PlaceChoice::AllServing,
    }
}

/// Chooses the connections that make room for `bytes`, each given with the bytes that it holds.
/// Returns nothing if all overdue ones hold less.
#[must_use]
pub fn byte_victims<K>(
    connections: impl IntoIterator<Item = (K, ConnectionProgress, usize)>,
    bytes: usize,
    now: MonotonicTime,
) -> Vec<K> {
    let mut overdue: Vec<_> = connections
        .into_iter()
        .filter(|(_, progress, held)| *held > 0 && progress.overdue_since(now).is_some())
        .collect();
    overdue.sort_by_key(|(_, progress, _)| progress.due);
    let (mut victims, mut freed) = (Vec::new(), 0);
    for (key, _, held) in overdue {
        if freed >= bytes {
            break;
        }
        freed += held;
        victims.push(key);
    }
    if freed < bytes {
        victims.clear();
    }
    victims
}
