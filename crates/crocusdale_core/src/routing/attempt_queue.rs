use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::PrefixCounter;
use crate::configuration::AllowedRegions;
use crate::identity::{CallId, MonotonicTime, RequestDigest, SoftwareVersion};
use crate::pipeline::EngineDemand;
use crate::retry::RetryBudget;
use crate::streams::AllowedVersion;

/// Maximum number of attempts in the queue of one pool.
const MAX_WAITING_ATTEMPTS: usize = 8_192;

/// Weight of the newest sample in an exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An attempt that needs an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Call that the attempt belongs to.
    pub call: CallId,
    /// Index of the attempt's step in the pipeline.
    pub branch: usize,
    /// Stage to run, which names the pool.
    pub stage: String,
    /// Priority level. Attempts with level 0 are served first.
    pub level: u8,
    /// Deadline of the caller's request.
    pub deadline: MonotonicTime,
    /// Names of the upstreams at which earlier attempts of the call failed.
    pub failed_upstreams: Vec<String>,
    /// Prompt and token counts for a model engine. `None` for other upstreams.
    pub demand: Option<Arc<EngineDemand>>,
    /// Digest of the request, which is equal for its repetitions.
    pub digest: RequestDigest,
    /// Regions in which the request may be processed.
    pub allowed_regions: AllowedRegions,
    /// Software versions of the upstreams that may run the request.
    pub allowed_version: AllowedVersion,
}

/// Queue of the attempts that wait for one pool, most urgent first, with the pool's latency
/// statistics.
#[derive(Debug, Default)]
pub struct AttemptQueue {
    waiting: BTreeMap<(u8, MonotonicTime, u64), SlotRequest>,
    arrival_count: u64,
    /// Moving average of the answer time. `None` before the first answer.
    mean_answer_time: Option<Duration>,
    /// Moving average of the time between two answers while attempts are queued. Each queued
    /// attempt adds this to the wait of those behind it.
    mean_answer_interval: Option<Duration>,
    last_answer: Option<MonotonicTime>,
    /// Budget for retries in the pool.
    pub retry_budget: RetryBudget,
    /// Recent requests per prompt prefix, counted only for pools of model engines.
    pub prefixes: PrefixCounter,
}

impl AttemptQueue {
    /// Number of queued attempts.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Adds `request` to the queue. Returns `false` if the queue is full.
    pub fn push(&mut self, request: SlotRequest) -> bool {
        if self.waiting.len() >= MAX_WAITING_ATTEMPTS {
            return false;
        }
        self.arrival_count += 1;
        self.waiting.insert((request.level, request.deadline, self.arrival_count), request);
        true
    }

    /// Records an answer that took `time`.
    pub fn record_answer(&mut self, time: Duration, now: MonotonicTime) {
        self.mean_answer_time = Some(moving_average(self.mean_answer_time, time));
        if let Some(last) = self.last_answer.filter(|_| !self.waiting.is_empty()) {
            self.mean_answer_interval =
                Some(moving_average(self.mean_answer_interval, now.since(last)));
        }
        self.last_answer = Some(now);
    }

    /// Moving average of the answer time. `None` before the first answer.
    #[must_use]
    pub fn answer_time(&self) -> Option<Duration> {
        self.mean_answer_time
    }

    /// Expected time that a new attempt with priority `level` needs. Includes the wait behind
    /// queued attempts of the same and of more urgent levels.
    #[must_use]
    pub fn expected_duration(&self, level: u8) -> Duration {
        let ahead = self.waiting.range(..(level.saturating_add(1), MonotonicTime::default(), 0));
        let waiting = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
        let wait = self.mean_answer_interval.unwrap_or_default().saturating_mul(waiting);
        self.mean_answer_time.unwrap_or_default() + wait
    }

    /// Removes and returns the most urgent attempt that has not failed at `upstream`, may be
    /// processed in its `region` and may run at its software `version`.
    pub fn pop_for(
        &mut self,
        upstream: &str,
        region: Option<&str>,
        version: Option<&SoftwareVersion>,
    ) -> Option<SlotRequest> {
        let mut candidates = self.waiting.iter();
        let key = candidates.find(|(_, request)| {
            request.failed_upstreams.iter().all(|failed| failed != upstream)
                && request.allowed_regions.allows(region)
                && request.allowed_version.allows(version)
        });
        let key = *key?.0;
        self.waiting.remove(&key)
    }

    /// Removes the attempts that get none of `slots` before their deadline. The slots are ascending
    /// times after `from`, with `None` once there are no more.
    pub fn take_unservable(
        &mut self,
        mut slots: impl Iterator<Item = Option<Duration>>,
        from: MonotonicTime,
    ) -> Vec<SlotRequest> {
        let mut slot = slots.next().flatten();
        let mut unservable = Vec::new();
        for (key, request) in &self.waiting {
            if slot.is_some_and(|time| from + time < request.deadline) {
                slot = slots.next().flatten();
            } else {
                unservable.push(*key);
            }
        }
        unservable.iter().filter_map(|key| self.waiting.remove(key)).collect()
    }

    /// Removes and returns the attempts that `is_removed` selects.
    pub fn take_matching(&mut self, is_removed: impl Fn(&SlotRequest) -> bool) -> Vec<SlotRequest> {
        self.waiting
            .extract_if(.., |_, request| is_removed(request))
            .map(|(_, request)| request)
            .collect()
    }

    /// Removes all queued attempts of `call`.
    pub fn remove_call(&mut self, call: CallId, level: u8, deadline: MonotonicTime) {
        let range = (level, deadline, 0)..=(level, deadline, u64::MAX);
        let keys: Vec<_> =
            self.waiting.range(range).filter(|(_, request)| request.call == call).collect();
        let keys: Vec<_> = keys.into_iter().map(|(key, _)| *key).collect();
        for key in keys {
            self.waiting.remove(&key);
        }
    }
}

fn moving_average(average: Option<Duration>, newest: Duration) -> Duration {
    let average = average.unwrap_or(newest).as_secs_f64();
    Duration::from_secs_f64(average + SAMPLE_WEIGHT * (newest.as_secs_f64() - average))
}
