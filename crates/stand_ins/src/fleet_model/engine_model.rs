use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::identity::AttemptId;
use crocusdale_core::pipeline::EngineDemand;

use super::model_load::ModelEngines;

/// One request at an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineJob {
    pub(super) attempt: AttemptId,
    pub(super) demand: Arc<EngineDemand>,
    /// Prompt tokens that are still to be read.
    unread: u64,
    generated: u64,
}

/// What came of a request in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineNews {
    /// Its first event.
    First(AttemptId),
    /// Its last one.
    Last(AttemptId),
}

/// Prompt tokens that an engine has read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadTally {
    /// All of them.
    pub(super) tokens: u64,
    /// Those of shared parts that some engine had read before.
    pub(super) again: u64,
}

/// One model engine: it reads prompts in chunks between the tokens of those that run, and keeps
/// shared parts while there is memory.
#[derive(Debug)]
pub(super) struct EngineModel {
    rules: ModelEngines,
    waiting: VecDeque<EngineJob>,
    reading: VecDeque<EngineJob>,
    running: Vec<EngineJob>,
    /// Kept parts with their tokens and the step of their last use.
    kept: HashMap<u64, (u64, u64)>,
    steps: u64,
    /// Prompt tokens of the step that is under way.
    chunk: u64,
    pub(super) tally: ReadTally,
}

impl EngineModel {
    pub(super) fn new(rules: &ModelEngines) -> Self {
        Self {
            rules: rules.clone(),
            waiting: VecDeque::new(),
            reading: VecDeque::new(),
            running: Vec::new(),
            kept: HashMap::new(),
            steps: 0,
            chunk: 0,
            tally: ReadTally::default(),
        }
    }

    /// Takes a request; says whether the engine stood idle.
    pub(super) fn take(&mut self, attempt: AttemptId, demand: Arc<EngineDemand>) -> bool {
        let idle = self.is_idle();
        self.waiting.push_back(EngineJob { attempt, demand, unread: 0, generated: 0 });
        idle
    }

    /// Drops a request.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.retain(|job| job.attempt != attempt);
        self.reading.retain(|job| job.attempt != attempt);
        self.running.retain(|job| job.attempt != attempt);
    }

    /// Begins a step, and says how long it takes; nothing if there is no work. `read` are the
    /// shared parts that any engine has read.
    pub(super) fn begin_step(&mut self, read: &mut HashSet<u64>) -> Option<Duration> {
        self.admit(read);
        if self.is_idle() {
            return None;
        }
        self.steps += 1;
        let unread: u64 = self.reading.iter().map(|job| job.unread).sum();
        self.chunk = unread.min(self.rules.chunk);
        let others = u32::try_from(self.running.len().saturating_sub(1)).unwrap_or(u32::MAX);
        let reading = Duration::from_secs_f64(self.chunk as f64 / self.rules.prompt_speed / 1e3);
        Some(self.rules.step + self.rules.step_each * others + reading)
    }

    /// Ends the step.
    pub(super) fn end_step(&mut self) -> Vec<EngineNews> {
        let mut news = Vec::new();
        let first = self.rules.event_tokens;
        for job in &mut self.running {
            job.generated += 1;
            // An answer shorter than one event is an event too.
            if job.generated == first.min(job.demand.output_tokens) {
                news.push(EngineNews::First(job.attempt));
            }
            if job.generated >= job.demand.output_tokens {
                news.push(EngineNews::Last(job.attempt));
            }
        }
        self.running.retain(|job| job.generated < job.demand.output_tokens);
        let mut left = self.chunk;
        while let Some(job) = self.reading.front_mut() {
            let read = job.unread.min(left);
            job.unread -= read;
            left -= read;
            if job.unread > 0 {
                break;
            }
            self.running.extend(self.reading.pop_front());
        }
        news
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.reading.is_empty() && self.running.is_empty()
    }

    /// Lets requests begin for which there are a slot and memory.
    fn admit(&mut self, read: &mut HashSet<u64>) {
        while let Some(job) = self.waiting.front() {
            let active = self.reading.len() + self.running.len();
            let needed = own_tokens(&job.demand);
            let has_slot = active < self.rules.rules.slots as usize;
            if !has_slot || (active > 0 && self.held() + needed > self.rules.rules.token_memory) {
                break;
            }
            let Some(mut job) = self.waiting.pop_front() else { break };
            job.unread = self.read_parts(&job.demand, read);
            self.reading.push_back(job);
            self.evict();
        }
    }

    /// Prompt tokens of `demand` that are to be read; its shared parts are kept from then on.
    fn read_parts(&mut self, demand: &EngineDemand, read: &mut HashSet<u64>) -> u64 {
        let shared = demand.shared_parts();
        let known = shared.iter().take_while(|part| self.kept.contains_key(&part.id)).count();
        for part in shared {
            self.kept.insert(part.id, (u64::from(part.tokens), self.steps));
        }
        for part in &shared[known..] {
            if !read.insert(part.id) {
                self.tally.again += u64::from(part.tokens);
            }
        }
        let skipped: u64 = shared[..known].iter().map(|part| u64::from(part.tokens)).sum();
        let unread = demand.prompt_tokens.saturating_sub(skipped);
        self.tally.tokens += unread;
        unread
    }

    fn evict(&mut self) {
        let mut all = self.held() + self.kept.values().map(|(tokens, _)| tokens).sum::<u64>();
        while all > self.rules.rules.token_memory {
            let oldest = self.kept.iter().min_by_key(|(id, (_, used))| (*used, **id));
            let Some((id, tokens)) = oldest.map(|(id, (tokens, _))| (*id, *tokens)) else { break };
            self.kept.remove(&id);
            all -= tokens;
        }
    }

    fn held(&self) -> u64 {
        self.reading.iter().chain(&self.running).map(|job| own_tokens(&job.demand)).sum()
    }
}

/// Tokens of a request that no other shares.
fn own_tokens(demand: &EngineDemand) -> u64 {
    let shared: u64 = demand.shared_parts().iter().map(|part| u64::from(part.tokens)).sum();
    demand.prompt_tokens.saturating_sub(shared) + demand.output_tokens
}
