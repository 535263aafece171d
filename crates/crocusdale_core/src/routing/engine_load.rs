use std::collections::HashMap;
use std::time::Duration;

use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::EngineDemand;

/// Time for which an engine is assumed to keep a processed prompt part in its cache. Engines evict
/// the least recently used parts, and report an eviction late or never. A wrong assumption costs
/// one more processing of the part.
const CACHED_PART_TTL: Duration = Duration::from_secs(20);
/// Cost that each running request adds to an engine's backlog, in prompt tokens. A running request
/// slows every decoding step by about the time to process a few prompt tokens, over some ten to a
/// hundred steps.
const RUNNING_REQUEST_COST_TOKENS: u64 = 128;
/// Number of recorded prompt parts per engine above which expired ones are removed.
const MAX_CACHED_PARTS: usize = 4_096;

/// This daemon's estimate of the prompt cache and the backlog of one model engine.
#[derive(Debug, Default)]
pub struct EngineLoad {
    /// Prompt tokens that are still to be processed, for each request without a first event.
    prefill_tokens: HashMap<CallId, u64>,
    /// Tokens that each running request holds in the engine's memory.
    memory_tokens: HashMap<CallId, u64>,
    /// Prompt parts by ID, with the time of their last use.
    cached_parts: HashMap<u64, MonotonicTime>,
}

impl EngineLoad {
    /// Prompt tokens of `demand` that the engine's cache is not expected to hold at `now`.
    #[must_use]
    pub fn uncached_tokens(&self, demand: &EngineDemand, now: MonotonicTime) -> u64 {
        let is_cached = |id: &u64| {
            self.cached_parts.get(id).is_some_and(|last_use| now.since(*last_use) < CACHED_PART_TTL)
        };
        // A cached part can be reused only if all parts before it are cached too.
        let cached_parts = demand.shared_parts().iter().take_while(|part| is_cached(&part.id));
        let cached_tokens: u64 = cached_parts.map(|part| u64::from(part.tokens)).sum();
        demand.prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Queued and running work of this daemon at the engine, in prompt tokens.
    #[must_use]
    pub fn backlog_tokens(&self) -> u64 {
        let prefill: u64 = self.prefill_tokens.values().sum();
        prefill + self.memory_tokens.len() as u64 * RUNNING_REQUEST_COST_TOKENS
    }

    /// Tokens that requests of this daemon hold in the engine's memory.
    #[must_use]
    pub fn held_tokens(&self) -> u64 {
        self.memory_tokens.values().sum()
    }

    /// Records a request that is sent to the engine.
    pub fn start_request(&mut self, call: CallId, demand: &EngineDemand, now: MonotonicTime) {
        let prefill_tokens = self.uncached_tokens(demand, now);
        self.prefill_tokens.insert(call, prefill_tokens);
        self.memory_tokens.insert(call, demand.prompt_tokens + demand.output_tokens);
        if self.cached_parts.len() >= MAX_CACHED_PARTS {
            self.cached_parts.retain(|_, last_use| now.since(*last_use) < CACHED_PART_TTL);
        }
        for part in demand.shared_parts() {
            self.cached_parts.insert(part.id, now);
        }
    }

    /// Records the first event of a request's answer: the engine has processed the prompt.
    pub fn finish_prefill(&mut self, call: CallId) {
        self.prefill_tokens.remove(&call);
    }

    /// Removes an ended request from the load.
    pub fn end_request(&mut self, call: CallId) {
        self.prefill_tokens.remove(&call);
        self.memory_tokens.remove(&call);
    }
}
