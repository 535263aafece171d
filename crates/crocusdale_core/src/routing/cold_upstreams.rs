use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Smallest extension of a cold start that counts as a change. Below this, the difference comes
/// from varying delays of the platform.
const MIN_EXTENSION: Duration = Duration::from_millis(300);

/// An upstream in its cold start, which takes requests only at a low rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdUpstream {
    /// Name of the upstream, which is unique to this run of its process.
    pub name: String,
    /// Longest remaining time of the cold start.
    pub remaining: Duration,
}

/// Published upstreams in their cold start, with the end that each of them reports.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdUpstreams {
    end_times: HashMap<String, MonotonicTime>,
}

impl ColdUpstreams {
    /// Records a cold start that an upstream reported by `now`. Returns whether its end is later
    /// than the recorded one by a significant time.
    pub(super) fn record(&mut self, cold: ColdUpstream, now: MonotonicTime) -> bool {
        if cold.remaining.is_zero() {
            return false;
        }
        self.end_times.retain(|_, end| *end > now);
        let end = now + cold.remaining;
        let recorded_end = self.end_times.get(&cold.name).copied();
        let is_extended = recorded_end.is_none_or(|recorded| end > recorded + MIN_EXTENSION);
        self.end_times.insert(cold.name, recorded_end.max(Some(end)).unwrap_or(end));
        is_extended
    }

    /// End of the cold start of `upstream`, or `None` if no cold start was reported.
    pub(super) fn end_time(&self, upstream: &str) -> Option<MonotonicTime> {
        self.end_times.get(upstream).copied()
    }

    /// All upstreams that are cold at `now`, for sending to a peer.
    pub(super) fn snapshot(&self, now: MonotonicTime) -> Vec<ColdUpstream> {
        let cold = self.end_times.iter().filter(|(_, end)| **end > now);
        let to_entry = |(name, end): (&String, &MonotonicTime)| ColdUpstream {
            name: name.clone(),
            remaining: end.since(now),
        };
        cold.map(to_entry).collect()
    }
}
