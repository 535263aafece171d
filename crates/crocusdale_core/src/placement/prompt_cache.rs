use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::identity::MonotonicTime;
use crate::pipeline::PromptPart;

/// Time for which an engine is assumed to keep a processed prompt part. Engines evict the least
/// recently used parts, and report an eviction late or never. A wrong assumption costs one more
/// processing of the part.
const PART_LIFETIME: Duration = Duration::from_secs(20);
/// Maximum number of parts of one engine.
const MAX_PARTS: usize = 1_024;

/// Prompt parts that one engine is expected to hold in its cache.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: HashMap<u64, CachedPart>,
    /// Parts by the time of their last use, least recent first.
    by_use: BTreeSet<(MonotonicTime, u64)>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    last_use: MonotonicTime,
    tokens: u64,
}

impl PromptCache {
    /// Number of tokens at the start of a prompt with these shared parts that the cache holds.
    #[must_use]
    pub fn cached_tokens(&self, shared_parts: &[PromptPart], now: MonotonicTime) -> u64 {
        let is_cached = |id: u64| {
            self.parts.get(&id).is_some_and(|part| now.since(part.last_use) < PART_LIFETIME)
        };
        // A cached part can be reused only if all parts before it are cached too.
        let cached_parts = shared_parts.iter().take_while(|part| is_cached(part.id));
        cached_parts.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that a request used `shared_parts`. Removes the least recently used parts beyond
    /// `max_tokens` tokens.
    pub fn record(&mut self, shared_parts: &[PromptPart], max_tokens: u64, now: MonotonicTime) {
        for part in shared_parts {
            self.remove(part.id);
            let tokens = u64::from(part.tokens);
            self.parts.insert(part.id, CachedPart { last_use: now, tokens });
            self.by_use.insert((now, part.id));
            self.tokens += tokens;
        }
        while let Some((last_use, id)) = self.by_use.first().copied() {
            let is_over = self.tokens > max_tokens || self.parts.len() > MAX_PARTS;
            if !is_over && now.since(last_use) < PART_LIFETIME {
                break;
            }
            self.remove(id);
        }
    }

    /// Number of parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether the cache holds no part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn remove(&mut self, id: u64) {
        if let Some(part) = self.parts.remove(&id) {
            self.by_use.remove(&(part.last_use, id));
            self.tokens -= part.tokens;
        }
    }
}
