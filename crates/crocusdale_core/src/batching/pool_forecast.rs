//! Wait estimation and load shedding.

use std::collections::BTreeMap;
use std::time::Duration;

use super::batch_worker::BatchWorker;
use super::{BatchPool, DispatchAction, PoolWait};
use crate::configuration::BatchRules;
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::PieceFault;

/// Time for which a computed wait is cached. The computation scans all jobs, and each call that
/// ends asks for it several times.
const WAIT_CACHE_TIME: Duration = Duration::from_millis(10);
/// Minimum time between two scans for jobs to shed: a tenth of the duration of a usual call.
const SHED_INTERVAL: Duration = Duration::from_millis(20);
/// Time constant of the load average. It spans several calls, and is short compared with a burst.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Minimum share of a pool's capacity that is assumed to be left for late jobs. Bursts end, and
/// without a minimum every late job would be refused at the start of one.
const MIN_LATE_SHARE: f64 = 0.1;

/// Minimum capacity of a pool, in upstreams. It keeps every estimated wait finite.
const MIN_CAPACITY: f64 = 0.01;

/// Exponentially decaying average of the load by jobs that can be on time. They are served before
/// all late jobs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadMeter {
    /// Decayed sum of the submitted work, in seconds of upstream time, as of `updated_at`.
    upstream_seconds: f64,
    updated_at: Option<MonotonicTime>,
}

impl LoadMeter {
    fn add(&mut self, work: Duration, now: MonotonicTime) {
        self.upstream_seconds = self.decayed(now) + work.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Submitted work per second, in seconds of upstream time. It equals the number of upstreams
    /// that the load keeps busy.
    fn rate(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / LOAD_TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.upstream_seconds * (-age.as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Model of the queue of late jobs, which are served after those that can be on time.
#[derive(Clone, Copy, Debug)]
struct LateQueue {
    /// Time until the first upstream is free.
    first_free_in: Duration,
    /// Capacity that the on-time load leaves to late jobs, in upstreams.
    capacity: f64,
}

impl LateQueue {
    fn wait(&self, work: Duration) -> Duration {
        self.first_free_in + work.div_f64(self.capacity)
    }
}

impl BatchPool {
    /// Expected wait of new pieces until their call starts. The result is cached for some
    /// milliseconds, because computing it scans all jobs.
    #[must_use]
    pub fn expected_wait(&mut self, now: MonotonicTime) -> PoolWait {
        if let Some((wait, at)) =
            self.cached_wait.as_ref().filter(|(_, at)| now.since(*at) < WAIT_CACHE_TIME)
        {
            return wait.reduced_by(now.since(*at));
        }
        self.refresh_limits(now);
        let mut wait = self.compute_wait(now);
        self.overloaded_since = wait.is_overloaded().then(|| self.overloaded_since.unwrap_or(now));
        wait.overload_time = self.overloaded_since.map_or(Duration::ZERO, |since| now.since(since));
        // The estimated end is valid only while the pool is overloaded.
        self.overload_until = self.overload_until.filter(|_| wait.is_overloaded());
        let overload_left = self.overload_until.map_or(Duration::ZERO, |until| until.since(now));
        wait.overload_time = wait.overload_time.max(overload_left);
        self.cached_wait = Some((wait.clone(), now));
        wait
    }

    /// Adds newly submitted pieces that can be on time to the load average.
    pub(super) fn record_on_time_load(&mut self, pieces: u32, now: MonotonicTime) {
        let work = upstream_time(&self.rules, pieces as usize);
        self.on_time_load.add(work, now);
    }

    /// Sheds late jobs that cannot complete before they expire, given the work that is queued and
    /// arriving ahead of them.
    ///
    /// Guards against callers that are refused only at the end of their deadline, when no time is
    /// left for a retry.
    pub(super) fn shed_unservable(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        if self.last_shed_at.is_some_and(|at| now.since(at) < SHED_INTERVAL) {
            return;
        }
        self.last_shed_at = Some(now);
        let Some(late_queue) = self.late_queue(now) else { return };
        let shortest = self.rules.expected(1);
        let mut work_ahead = Duration::ZERO;
        let mut unservable: Vec<AttemptId> = Vec::new();
        for attempt in self.service_order(now) {
            let Some(job) = self.jobs.get(&attempt) else { continue };
            let work = upstream_time(&self.rules, job.waiting.len());
            let end = now + late_queue.wait(work_ahead) + shortest;
            // Capacity is reserved for promised jobs, so they may still be served in time.
            let is_promised = job.order.admission.is_promised();
            if !is_promised && !job.can_meet_due(now + shortest) && end > job.order.expires {
                unservable.push(attempt);
                self.overload_until = Some(end);
                self.cached_wait = None;
            } else {
                work_ahead += work;
            }
        }
        for attempt in unservable {
            self.fail_job(attempt, PieceFault::Late, actions);
        }
    }

    fn compute_wait(&self, now: MonotonicTime) -> PoolWait {
        let Some(late_queue) = self.late_queue(now) else { return PoolWait::default() };
        let shortest = self.rules.expected(1);
        let (mut on_time_pieces, mut late_by_level) = (0, BTreeMap::<u8, usize>::new());
        for job in self.jobs.values() {
            if job.can_meet_due(now + shortest) && !job.order.is_flood {
                on_time_pieces += job.waiting.len();
            } else {
                *late_by_level.entry(job.order.level).or_default() += job.waiting.len();
            }
        }
        let on_time_wait = late_queue.first_free_in
            + upstream_time(&self.rules, on_time_pieces).div_f64(self.capacity(now));
        let levels = 0..=late_by_level.last_key_value().map_or(0, |(level, _)| *level);
        let late_waits = levels.map(|level| {
            let late_pieces: usize = late_by_level.range(..=level).map(|(_, pieces)| pieces).sum();
            late_queue.wait(upstream_time(&self.rules, on_time_pieces + late_pieces))
        });
        let call_time = self.average_call_time();
        PoolWait {
            on_time_wait,
            late_waits: late_waits.collect(),
            overload_time: Duration::ZERO,
            call_time,
        }
    }

    fn late_queue(&self, now: MonotonicTime) -> Option<LateQueue> {
        let first_free_in = self
            .accepting_workers()
            .map(|worker| worker.time_until_free(&self.rules, now))
            .min()?;
        let capacity = self.capacity(now);
        let free_share = 1.0 - self.on_time_load.rate(now) / capacity;
        Some(LateQueue { first_free_in, capacity: capacity * free_share.max(MIN_LATE_SHARE) })
    }

    /// Capacity of the pool in upstreams. An upstream with a rate limit counts by the share of its
    /// time that it can work.
    fn capacity(&self, now: MonotonicTime) -> f64 {
        let shares = self.accepting_workers().map(|worker| worker.usable_share(&self.rules, now));
        shares.sum::<f64>().max(MIN_CAPACITY)
    }

    fn accepting_workers(&self) -> impl Iterator<Item = &BatchWorker> {
        self.workers.values().filter(|worker| worker.accepts_calls)
    }
}

/// Time that a single upstream needs to process as many work items as `pieces`, if all calls are
/// full.
pub(super) fn upstream_time(rules: &BatchRules, pieces: usize) -> Duration {
    let calls = pieces as f64 / f64::from(rules.pieces.max(1));
    rules.call_time.mul_f64(calls) + rules.piece_time.mul_f64(pieces as f64)
}
