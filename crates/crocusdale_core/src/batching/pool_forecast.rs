//! Forecast of the wait in a pool, and shedding of pieces that can't be served.

use std::collections::BTreeMap;
use std::time::Duration;

use super::batch_worker::BatchWorker;
use super::{BatchPool, DispatchStep, PoolWait};
use crate::configuration::BatchRules;
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::PieceFault;

/// Time for which a reckoning of the wait is good: it looks at all jobs, and each call that ends
/// asks for it several times.
const WAIT_LIFE: Duration = Duration::from_millis(10);
/// Pause between two looks for jobs to shed: a tenth of the time of a usual call.
const SHED_INTERVAL: Duration = Duration::from_millis(20);
/// Time constant of the average of arrivals: some calls long, and short against a burst.
const INFLOW_TIME: Duration = Duration::from_millis(1_500);
/// Least part of a pool that is taken to be left for late jobs: bursts end, and with none left every late
/// job would be refused at the beginning of one.
const LEAST_SHARE: f64 = 0.1;

/// Least number of upstreams that a pool counts as, so that each wait is finite.
const LEAST_CAPACITY: f64 = 0.01;

/// Rate of the work that can be in time, which goes before all late work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InflowMeter {
    /// Seconds of upstreams' time, the older the less.
    work: f64,
    at: Option<MonotonicTime>,
}

impl InflowMeter {
    fn add(&mut self, work: Duration, now: MonotonicTime) {
        self.work = self.decayed(now) + work.as_secs_f64();
        self.at = Some(now);
    }

    /// Seconds of upstreams' time that come in a second.
    fn rate(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / INFLOW_TIME.as_secs_f64()
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.since(at));
        self.work * (-age.as_secs_f64() / INFLOW_TIME.as_secs_f64()).exp()
    }
}

/// Wait of late work, which goes behind what can be in time.
#[derive(Clone, Copy, Debug)]
struct LateQueue {
    /// Time until the first upstream is free.
    first: Duration,
    /// Upstreams, as far as what comes in leaves them to late jobs.
    share: f64,
}

impl LateQueue {
    fn wait(&self, work: Duration) -> Duration {
        self.first + work.div_f64(self.share)
    }
}

impl BatchPool {
    /// How long new pieces would wait for their call.
    #[must_use]
    pub fn expected_wait(&mut self, now: MonotonicTime) -> PoolWait {
        if let Some((wait, at)) =
            self.last_wait.as_ref().filter(|(_, at)| now.since(*at) < WAIT_LIFE)
        {
            return wait.after(now.since(*at));
        }
        self.refresh_limits(now);
        let mut wait = self.reckon_wait(now);
        self.overloaded_since = wait.is_overloaded().then(|| self.overloaded_since.unwrap_or(now));
        wait.overloaded = self.overloaded_since.map_or(Duration::ZERO, |since| now.since(since));
        // The forecast holds only while the pool is overloaded.
        self.full_until = self.full_until.filter(|_| wait.is_overloaded());
        let full = self.full_until.map_or(Duration::ZERO, |until| until.since(now));
        wait.overloaded = wait.overloaded.max(full);
        self.last_wait = Some((wait.clone(), now));
        wait
    }

    /// Takes note of pieces that were offered and can be in time.
    pub(super) fn note_inflow(&mut self, pieces: u32, now: MonotonicTime) {
        let work = work_of(&self.rules, pieces as usize);
        self.inflow.add(work, now);
    }

    /// Sheds jobs that can't end before their time is over, with what waits and comes in before them.
    ///
    /// Guards against callers that are refused at the end of their time, with none left to come back in.
    pub(super) fn shed_unservable(&mut self, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        if self.last_shed.is_some_and(|at| now.since(at) < SHED_INTERVAL) {
            return;
        }
        self.last_shed = Some(now);
        let Some(turn) = self.late_queue(now) else { return };
        let shortest = self.rules.expected(1);
        let mut ahead = Duration::ZERO;
        let mut unservable: Vec<AttemptId> = Vec::new();
        for attempt in self.order_of_jobs(now) {
            let Some(job) = self.jobs.get(&attempt) else { continue };
            let work = work_of(&self.rules, job.waiting.len());
            let end = now + turn.wait(ahead) + shortest;
            if !job.is_ahead(now + shortest) && end > job.order.expires {
                unservable.push(attempt);
                self.full_until = Some(end);
                self.last_wait = None;
            } else {
                ahead += work;
            }
        }
        for attempt in unservable {
            self.fail(attempt, PieceFault::Late, steps);
        }
    }

    fn reckon_wait(&self, now: MonotonicTime) -> PoolWait {
        let Some(turn) = self.late_queue(now) else { return PoolWait::default() };
        let shortest = self.rules.expected(1);
        let (mut ahead, mut late) = (0, BTreeMap::<u8, usize>::new());
        for job in self.jobs.values() {
            if job.is_ahead(now + shortest) && !job.order.is_flood {
                ahead += job.waiting.len();
            } else {
                *late.entry(job.order.level).or_default() += job.waiting.len();
            }
        }
        let in_time = turn.first + work_of(&self.rules, ahead).div_f64(self.capacity(now));
        let levels = 0..=late.last_key_value().map_or(0, |(level, _)| *level);
        let waits = levels.map(|level| {
            let before: usize = late.range(..=level).map(|(_, pieces)| pieces).sum();
            turn.wait(work_of(&self.rules, ahead + before))
        });
        let call = self.usual_call();
        PoolWait { in_time, late: waits.collect(), overloaded: Duration::ZERO, call }
    }

    fn late_queue(&self, now: MonotonicTime) -> Option<LateQueue> {
        let first = self.staying().map(|worker| worker.free_in(&self.rules, now)).min()?;
        let upstreams = self.capacity(now);
        let free = 1.0 - self.inflow.rate(now) / upstreams;
        Some(LateQueue { first, share: upstreams * free.max(LEAST_SHARE) })
    }

    /// Upstreams, those that name a rate by the part of their time that they can work.
    fn capacity(&self, now: MonotonicTime) -> f64 {
        let parts = self.staying().map(|worker| worker.capacity(&self.rules, now));
        parts.sum::<f64>().max(LEAST_CAPACITY)
    }

    fn staying(&self) -> impl Iterator<Item = &BatchWorker> {
        self.workers.values().filter(|worker| worker.staying)
    }
}

/// Time of one upstream that `pieces` pieces take in full calls.
fn work_of(rules: &BatchRules, pieces: usize) -> Duration {
    let calls = pieces as f64 / f64::from(rules.pieces.max(1));
    rules.call_time.mul_f64(calls) + rules.piece_time.mul_f64(pieces as f64)
}
