use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::SubjectTally;
use crate::configuration::HomeRegions;
use crate::identity::{CallId, MonotonicTime, RequestDigest};
use crate::pipeline::EngineDemand;
use crate::retry::RetryBudget;

/// Attempts that one pool lets wait at most.
const WAITING_LIMIT: usize = 8_192;

/// Weight of the newest answer in what is learned.
const LEARNING_WEIGHT: f64 = 0.1;

/// An attempt that needs an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Call that the attempt serves.
    pub call: CallId,
    /// Branch of the pipeline's current step.
    pub branch: usize,
    /// Stage, which names the pool.
    pub stage: String,
    /// Priority level, 0 goes first.
    pub level: u8,
    /// Deadline of the request.
    pub deadline: MonotonicTime,
    /// Upstreams that already failed it.
    pub tried: Vec<String>,
    /// What it asks of a model engine.
    pub demand: Option<Arc<EngineDemand>>,
    /// What the request has in common with its repeats.
    pub digest: RequestDigest,
    /// Regions in which it may be worked on.
    pub homes: HomeRegions,
}

/// What waits for one pool, most urgent first.
#[derive(Debug, Default)]
pub struct StagePool {
    waiting: BTreeMap<(u8, MonotonicTime, u64), SlotRequest>,
    arrivals: u64,
    /// Learned time of an answer.
    learned: Option<Duration>,
    /// Learned time between two answers while work waits, which is what a place in the queue costs.
    pace: Option<Duration>,
    last_answer: Option<MonotonicTime>,
    /// Retries that the pool still allows.
    pub budget: RetryBudget,
    /// How often each subject was asked for of late, if the pool has model engines.
    pub subjects: SubjectTally,
}

impl StagePool {
    /// Number of attempts that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Lets `request` wait; returns whether there is room for it.
    pub fn wait(&mut self, request: SlotRequest) -> bool {
        if self.waiting.len() >= WAITING_LIMIT {
            return false;
        }
        self.arrivals += 1;
        self.waiting.insert((request.level, request.deadline, self.arrivals), request);
        true
    }

    /// Learns from an answer that took `time`.
    pub fn learn(&mut self, time: Duration, now: MonotonicTime) {
        self.learned = Some(mix(self.learned, time));
        if let Some(last) = self.last_answer.filter(|_| !self.waiting.is_empty()) {
            self.pace = Some(mix(self.pace, now.since(last)));
        }
        self.last_answer = Some(now);
    }

    /// Time that a new attempt of `level` would need, its wait behind work of its level and of more
    /// urgent ones included.
    #[must_use]
    pub fn expected_time(&self, level: u8) -> Duration {
        let before = self.waiting.range(..(level.saturating_add(1), MonotonicTime::default(), 0));
        let waiting = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let wait = self.pace.unwrap_or_default().saturating_mul(waiting);
        self.learned.unwrap_or_default() + wait
    }

    /// Takes out the most urgent attempt that has not tried `upstream`, and may be worked on in its
    /// `region`.
    pub fn next_for(&mut self, upstream: &str, region: Option<&str>) -> Option<SlotRequest> {
        let mut urgent = self.waiting.iter();
        let rank = urgent.find(|(_, request)| {
            request.tried.iter().all(|tried| tried != upstream) && request.homes.allow(region)
        });
        let rank = *rank?.0;
        self.waiting.remove(&rank)
    }

    /// Takes out the attempts that can't have one of `places` before their deadline, which are times after
    /// `from` in order, or `None` where there is none.
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

    /// Takes out everything that waits for `call`.
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
