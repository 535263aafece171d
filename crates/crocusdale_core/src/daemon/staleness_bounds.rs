use std::time::Duration;

use crate::routing::CONNECT_TIMEOUT;

/// Largest share of the shortest bound for which the list and the configuration may be used without
/// confirmation.
const MAX_AGE_SHARE: f64 = 0.75;
/// Part of the shortest bound that is reserved for clock error, late wake-ups and network delay
/// after a request was sent.
const LATENCY_MARGIN: Duration = Duration::from_millis(200);
/// Lower limit of the maximum age. A bound that would require less can't be met, because a single
/// response of the platform may take as long.
const MAX_AGE_FLOOR: Duration = Duration::from_millis(300);
/// Shares of the maximum age. A daemon that reads for its zone does so after 5/15, and the others
/// query it after 4/15. An age of up to 9/15 is therefore normal, and delays of the responses fit
/// in before 11/15, where a daemon reads the platform itself because something went wrong. The last
/// 4/15 are reserved for that read.
const READ_INTERVAL_SHARE: f64 = 5.0 / 15.0;
const QUERY_INTERVAL_SHARE: f64 = 4.0 / 15.0;
const SELF_READ_AGE_SHARE: f64 = 11.0 / 15.0;
/// Share of the maximum age from which a daemon takes changes from any peer. The daemon that reads
/// for it may be slow or gone.
const ANY_PEER_AGE_SHARE: f64 = 6.0 / 15.0;
/// Queries per second that a daemon which reads for others should answer, to limit its CPU load.
const MAX_QUERIES_PER_S: f64 = 40.0;

/// Limits, set by users, on how long a change that the platform publishes may go unnoticed.
#[derive(Clone, Copy, Debug)]
pub struct StalenessBounds {
    /// Time from the leaving notice of an upstream to the last request that may reach it.
    pub notice: Duration,
    /// Time from the acknowledgement of a new configuration to the first request that must be
    /// handled under it.
    pub configuration: Duration,
    /// Time from the request to evacuate an availability zone to the last request that may reach an
    /// upstream in it.
    pub evacuation: Duration,
    /// Time after which a daemon that can reach the platform again must meet the other limits.
    pub recovery_time: Duration,
}

impl Default for StalenessBounds {
    /// The strictest limits that users are known to need.
    fn default() -> Self {
        Self {
            notice: Duration::from_millis(2_000),
            configuration: Duration::from_millis(2_000),
            evacuation: Duration::from_millis(2_000),
            recovery_time: Duration::from_millis(3_000),
        }
    }
}

/// Refresh schedule of the list and the configuration, derived from [`StalenessBounds`].
#[derive(Clone, Copy, Debug)]
pub(super) struct RefreshIntervals {
    /// Age beyond which the list and the configuration must not be used for routing. A request may
    /// still be sent up to [`CONNECT_TIMEOUT`] after its upstream was chosen, so this age plus
    /// that time stays below the shortest bound.
    pub(super) max_age: Duration,
    /// Age at which a daemon reads the platform itself, although another daemon should read for it.
    pub(super) self_read_age: Duration,
    /// Age at which a daemon fetches changes from any peer that knows newer ones.
    pub(super) any_peer_age: Duration,
    /// Interval between two reads of the platform, each of which returns the changes since the one
    /// before. A waiting watch would not save calls: in a large fleet it ends at once, because some
    /// upstream changes all the time.
    pub(super) read_interval: Duration,
    /// Interval between two queries to the daemon that reads the platform for this one.
    pub(super) query_interval: Duration,
    /// Time after the platform can be reached again by which the bounds hold again, as in
    /// [`StalenessBounds::recovery_time`].
    pub(super) recovery_time: Duration,
}

impl From<StalenessBounds> for RefreshIntervals {
    fn from(bounds: StalenessBounds) -> Self {
        let shortest_bound = bounds.notice.min(bounds.configuration).min(bounds.evacuation);
        let max_age_before_send = shortest_bound.saturating_sub(CONNECT_TIMEOUT + LATENCY_MARGIN);
        let max_age =
            shortest_bound.mul_f64(MAX_AGE_SHARE).min(max_age_before_send).max(MAX_AGE_FLOOR);
        Self {
            max_age,
            self_read_age: max_age.mul_f64(SELF_READ_AGE_SHARE),
            any_peer_age: max_age.mul_f64(ANY_PEER_AGE_SHARE),
            read_interval: max_age.mul_f64(READ_INTERVAL_SHARE),
            query_interval: max_age.mul_f64(QUERY_INTERVAL_SHARE),
            recovery_time: bounds.recovery_time,
        }
    }
}

impl RefreshIntervals {
    /// Number of daemons in a zone for each one that reads the platform, at least 1.
    pub(super) fn daemons_per_reader(&self) -> usize {
        ((MAX_QUERIES_PER_S * self.query_interval.as_secs_f64()).round() as usize).max(1)
    }
}

impl Default for RefreshIntervals {
    fn default() -> Self {
        Self::from(StalenessBounds::default())
    }
}
