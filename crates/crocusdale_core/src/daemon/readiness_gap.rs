use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time after the start from which a daemon that isn't ready logs what it lacks.
const FIRST_LOG_DELAY: Duration = Duration::from_secs(2);
/// Interval between two log lines about the same gap.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What a daemon lacks before it may serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReadinessGap {
    /// No configuration is in force.
    Configuration,
    /// The published upstreams have not been read yet, by this daemon or by a peer.
    Directory,
    /// The VMs of the fleet are not known.
    VmList,
    /// Too few peers have been asked for the configuration that they have in force.
    Peers,
    /// A peer has a newer configuration in force.
    NewerConfiguration,
}

/// Decides when the gap of a daemon that isn't ready is logged.
#[derive(Debug, Default)]
pub(super) struct GapLog {
    last_line: Option<(ReadinessGap, MonotonicTime)>,
}

impl GapLog {
    /// Whether `gap` is to be logged at `now` by a daemon that started at `started_at`: at first, when
    /// it is another one than before, and from time to time while it lasts.
    pub(super) fn is_due(
        &mut self,
        gap: ReadinessGap,
        started_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let is_repeat = self
            .last_line
            .is_some_and(|(last_gap, at)| last_gap == gap && now.since(at) < LOG_INTERVAL);
        let is_due = !is_repeat && now.since(started_at) >= FIRST_LOG_DELAY;
        if is_due {
            self.last_line = Some((gap, now));
        }
        is_due
    }
}
