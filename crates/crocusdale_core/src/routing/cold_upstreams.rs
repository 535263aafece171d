use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Change of the end of a cold start, beyond which it is news: below it, the platform's delays differ.
const RENEWAL: Duration = Duration::from_millis(300);

/// An upstream that has started of late, and takes requests at a low rate only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdUpstream {
    /// Name of its life.
    pub name: String,
    /// Time for which it stays cold at most.
    pub left: Duration,
}

/// Published upstreams that are cold, by what they publish of themselves.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdUpstreams {
    until: HashMap<String, MonotonicTime>,
}

impl ColdUpstreams {
    /// Takes what an upstream published by `now`. Returns whether it is cold for longer than was known.
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

    /// End of the cold start of `upstream`, if it is known to be cold.
    pub(super) fn end(&self, upstream: &str) -> Option<MonotonicTime> {
        self.until.get(upstream).copied()
    }

    /// All that are cold at `now`, for a peer.
    pub(super) fn snapshot(&self, now: MonotonicTime) -> Vec<ColdUpstream> {
        let cold = self.until.iter().filter(|(_, until)| **until > now);
        let told = |(name, until): (&String, &MonotonicTime)| ColdUpstream {
            name: name.clone(),
            left: until.since(now),
        };
        cold.map(told).collect()
    }
}
