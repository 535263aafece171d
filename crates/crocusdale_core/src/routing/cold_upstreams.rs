use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Smallest extension of a cold start that counts as a change. Below this, the difference comes
/// from varying delays of the platform.
const RENEWAL: Duration = Duration::from_millis(300);

/// An upstream in its cold start, which takes requests only at a low rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdUpstream {
    /// Name of the upstream, which is unique to this run of its process.
    pub name: String,
    /// Longest remaining time of the cold start.
    pub left: Duration,
}

/// Published upstreams in their cold start, with the end that each of them reports.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdUpstreams {
    until: HashMap<String, MonotonicTime>,
}

impl ColdUpstreams {
    /// Records a cold start that an upstream reported by `now`. Returns whether its end is later
    /// than the recorded one by a significant time.
    pub(super) fn note(&mut self, cold: ColdUpstream, now: MonotonicTime) -> bool {
        if cold.left.is_zero() {
            return false;
        }
        self.until.retain(|_, until| *until > now);
        let until = now + cold.left;
        let known = self.until.get(&cold.name).copied();
        let is_news = known.is_none_or(|known| until > known + RENEWAL);
        self.until.insert(cold.name, known.max(Some(until)).unwrap_or(until));
        is_news
    }

    /// End of the cold start of `upstream`, or `None` if no cold start was reported.
    pub(super) fn end(&self, upstream: &str) -> Option<MonotonicTime> {
        self.until.get(upstream).copied()
    }

    /// All upstreams that are cold at `now`, for sending to a peer.
    pub(super) fn snapshot(&self, now: MonotonicTime) -> Vec<ColdUpstream> {
        let cold = self.until.iter().filter(|(_, until)| **until > now);
        let told = |(name, until): (&String, &MonotonicTime)| ColdUpstream {
            name: name.clone(),
            left: until.since(now),
        };
        cold.map(told).collect()
    }
}
