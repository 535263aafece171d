use std::collections::HashMap;
use std::time::Duration;

use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::EngineDemand;

/// Time for which a prompt part that was read is believed to be kept. Engines drop the least
/// recently used parts, and tell of it late or never; a wrong belief costs one more reading.
const PART_LIFE: Duration = Duration::from_secs(20);
/// What each running request adds to the cost of an engine, in prompt tokens: it slows every step
/// by about what reading a few tokens takes, over some ten to a hundred steps.
const RUNNING_WEIGHT: u64 = 128;
/// Parts that are remembered for one engine.
const PARTS_LIMIT: usize = 4_096;

/// What one daemon knows of the prompt memory and the backlog of one model engine.
#[derive(Debug, Default)]
pub struct EngineLoad {
    /// Prompt tokens that requests without a first event still have to have read.
    unread: HashMap<CallId, u64>,
    /// Tokens that running requests hold.
    held: HashMap<CallId, u64>,
    /// Parts of prompts with the time of their last use.
    parts: HashMap<u64, MonotonicTime>,
}

impl EngineLoad {
    /// Tokens of `demand` that the engine would have to read.
    #[must_use]
    pub fn unread_of(&self, demand: &EngineDemand, now: MonotonicTime) -> u64 {
        let kept =
            |id: &u64| self.parts.get(id).is_some_and(|last_use| now.since(*last_use) < PART_LIFE);
        // A part is of use only if all before it are kept too.
        let known = demand.shared().iter().take_while(|part| kept(&part.id));
        let known: u64 = known.map(|part| u64::from(part.tokens)).sum();
        demand.prompt_tokens.saturating_sub(known)
    }

    /// Work of this daemon that the engine has before it, in prompt tokens.
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

    /// Counts a request as given to the engine.
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

    /// The first event of a request came: its prompt has been read.
    pub fn read(&mut self, call: CallId) {
        self.unread.remove(&call);
    }

    /// Counts a request as ended.
    pub fn end(&mut self, call: CallId) {
        self.unread.remove(&call);
        self.held.remove(&call);
    }
}
