use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::SubjectTally;
use crate::configuration::HomeRegions;
use crate::identity::{CallId, MonotonicTime, RequestDigest};
use crate::pipeline::EngineDemand;
use crate::retry::RetryBudget;

/// Maximum number of attempts in the queue of one pool.
const WAITING_LIMIT: usize = 8_192;

/// Weight of the newest sample in an exponential moving average.
const LEARNING_WEIGHT: f64 = 0.1;

/// An attempt that needs an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Call that the attempt belongs to.
    pub call: CallId,
    /// Index of the branch in the pipeline's current step.
    pub branch: usize,
    /// Stage to run, which names the pool.
    pub stage: String,
    /// Priority level. Attempts with level 0 are served first.
    pub level: u8,
    /// Deadline of the caller's request.
    pub deadline: MonotonicTime,
    /// Names of the upstreams at which earlier attempts of the call failed.
    pub tried: Vec<String>,
    /// Prompt and token counts for a model engine. `None` for other upstreams.
    pub demand: Option<Arc<EngineDemand>>,
    /// Digest of the request, which is equal for its repetitions.
    pub digest: RequestDigest,
    /// Regions in which the request may be processed.
    pub homes: HomeRegions,
}

/// Queue of the attempts that wait for one pool, most urgent first, with the pool's latency
/// statistics.
#[derive(Debug, Default)]
pub struct StagePool {
    waiting: BTreeMap<(u8, MonotonicTime, u64), SlotRequest>,
    arrivals: u64,
    /// Moving average of the answer time. `None` before the first answer.
    learned: Option<Duration>,
    /// Moving average of the time between two answers while attempts are queued. Each queued
    /// attempt adds this to the wait of those behind it.
    pace: Option<Duration>,
    last_answer: Option<MonotonicTime>,
    /// Budget for retries in the pool.
    pub budget: RetryBudget,
    /// Recent requests per prompt prefix, counted only for pools of model engines.
    pub subjects: SubjectTally,
}

impl StagePool {
    /// Number of queued attempts.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds `request` to the queue. Returns `false` if the queue is full.
    pub fn wait(&mut self, request: SlotRequest) -> bool {
        if self.waiting.len() >= WAITING_LIMIT {
            return false;
        }
        self.arrivals += 1;
        self.waiting.insert((request.level, request.deadline, self.arrivals), request);
        true
    }

    /// Records an answer that took `time`.
    pub fn learn(&mut self, time: Duration, now: MonotonicTime) {
        self.learned = Some(mix(self.learned, time));
        if let Some(last) = self.last_answer.filter(|_| !self.waiting.is_empty()) {
            self.pace = Some(mix(self.pace, now.since(last)));
        }
        self.last_answer = Some(now);
    }

    /// Expected time that a new attempt with priority `level` needs. Includes the wait behind
    /// queued attempts of the same and of more urgent levels.
    #[must_use]
    pub fn expected_time(&self, level: u8) -> Duration {
        let before = self.waiting.range(..(level.saturating_add(1), MonotonicTime::default(), 0));
        let waiting = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let wait = self.pace.unwrap_or_default().saturating_mul(waiting);
        self.learned.unwrap_or_default() + wait
    }

    /// Removes and returns the most urgent attempt that has not failed at `upstream` and may be
    /// processed in its `region`.
    pub fn next_for(&mut self, upstream: &str, region: Option<&str>) -> Option<SlotRequest> {
        let mut urgent = self.waiting.iter();
        let rank = urgent.find(|(_, request)| {
            request.tried.iter().all(|tried| tried != upstream) && request.homes.allow(region)
        });
        let rank = *rank?.0;
        self.waiting.remove(&rank)
    }

    /// Removes the attempts that get none of `slots` before their deadline. The slots are ascending
    /// times after `from`, with `None` once there are no more.
    pub fn take_unservable(
        &mut self,
        mut places: impl Iterator<Item = Option<Duration>>,
        from: MonotonicTime,
    ) -> Vec<SlotRequest> {
        let mut place = places.next().flatten();
        let mut unservable = Vec::new();
        for (rank, request) in &self.waiting {
            if place.is_some_and(|time| from + time < request.deadline) {
                place = places.next().flatten();
            } else {
                unservable.push(*rank);
            }
        }
        unservable.iter().filter_map(|rank| self.waiting.remove(rank)).collect()
    }

    /// Removes all queued attempts of `call`.
    pub fn withdraw(&mut self, call: CallId, level: u8, deadline: MonotonicTime) {
        let range = (level, deadline, 0)..=(level, deadline, u64::MAX);
        let ranks: Vec<_> =
            self.waiting.range(range).filter(|(_, each)| each.call == call).collect();
        let ranks: Vec<_> = ranks.into_iter().map(|(rank, _)| *rank).collect();
        for rank in ranks {
            self.waiting.remove(&rank);
        }
    }
}

fn mix(learned: Option<Duration>, newest: Duration) -> Duration {
    let learned = learned.unwrap_or(newest).as_secs_f64();
    Duration::from_secs_f64(learned + LEARNING_WEIGHT * (newest.as_secs_f64() - learned))
}
