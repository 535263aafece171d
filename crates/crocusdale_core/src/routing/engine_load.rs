use std::collections::HashMap;
use std::time::Duration;

use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::EngineDemand;

/// Time for which an engine is assumed to keep a processed prompt part in its cache. Engines evict
/// the least recently used parts, and report an eviction late or never. A wrong assumption costs
/// one more processing of the part.
const PART_LIFE: Duration = Duration::from_secs(20);
/// Cost that each running request adds to an engine's backlog, in prompt tokens. A running request
/// slows every decoding step by about the time to process a few prompt tokens, over some ten to a
/// hundred steps.
const RUNNING_WEIGHT: u64 = 128;
/// Number of recorded prompt parts per engine above which expired ones are removed.
const PARTS_LIMIT: usize = 4_096;

/// This daemon's estimate of the prompt cache and the backlog of one model engine.
#[derive(Debug, Default)]
pub struct EngineLoad {
    /// Prompt tokens that are still to be processed, for each request without a first event.
    unread: HashMap<CallId, u64>,
    /// Tokens that each running request holds in the engine's memory.
    held: HashMap<CallId, u64>,
    /// Prompt parts by ID, with the time of their last use.
    parts: HashMap<u64, MonotonicTime>,
}

impl EngineLoad {
    /// Prompt tokens of `demand` that the engine's cache is not expected to hold at `now`.
    #[must_use]
    pub fn unread_of(&self, demand: &EngineDemand, now: MonotonicTime) -> u64 {
        let kept =
            |id: &u64| self.parts.get(id).is_some_and(|last_use| now.since(*last_use) < PART_LIFE);
        // A cached part can be reused only if all parts before it are cached too.
        let known = demand.shared().iter().take_while(|part| kept(&part.id));
        let known: u64 = known.map(|part| u64::from(part.tokens)).sum();
        demand.prompt_tokens.saturating_sub(known)
    }

    /// Queued and running work of this daemon at the engine, in prompt tokens.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        let unread: u64 = self.unread.values().sum();
        unread + self.held.len() as u64 * RUNNING_WEIGHT
    }

    /// Tokens that requests of this daemon hold in the engine's memory.
    #[must_use]
    pub fn held_tokens(&self) -> u64 {
        self.held.values().sum()
    }

    /// Records a request that is sent to the engine.
    pub fn begin(&mut self, call: CallId, demand: &EngineDemand, now: MonotonicTime) {
        let unread = self.unread_of(demand, now);
        self.unread.insert(call, unread);
        self.held.insert(call, demand.prompt_tokens + demand.output_tokens);
        if self.parts.len() >= PARTS_LIMIT {
            self.parts.retain(|_, last_use| now.since(*last_use) < PART_LIFE);
        }
        for part in demand.shared() {
            self.parts.insert(part.id, now);
        }
    }

    /// Records the first event of a request's answer: the engine has processed the prompt.
    pub fn read(&mut self, call: CallId) {
        self.unread.remove(&call);
    }

    /// Removes an ended request from the load.
    pub fn end(&mut self, call: CallId) {
        self.unread.remove(&call);
        self.held.remove(&call);
    }
}
