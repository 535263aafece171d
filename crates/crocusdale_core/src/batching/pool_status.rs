//! Status of a section for the admission coordinators: its capacity and its waiting work.

use std::time::Duration;

use super::batch_worker::BatchWorker;
use super::pool_forecast::upstream_time;
use super::published_pool::PublishedPool;
use super::{BatchDispatcher, BatchPool};
use crate::admission::{AdmissionClass, LevelWork};
use crate::configuration::BatchRules;
use crate::identity::MonotonicTime;

/// Fill, as a fraction of the pieces that a call can hold, from which a call counts as full.
const FULL_CALL_FILL: f64 = 0.75;
/// Weight of the newest full call in the moving average of the pace.
const PACE_SMOOTHING: f64 = 0.1;

/// Status of one section of a batched pool, as its dispatcher reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolStatus {
    /// Name of the section.
    pub section: String,
    /// VM of the dispatcher.
    pub sender: String,
    /// Number of upstreams at their declared pace that could do the work of the usable ones.
    pub capacity: f64,
    /// Duration of a full call, as calls take now.
    pub call_time: Duration,
    /// Work of waiting pieces that can be on time, in seconds of one upstream.
    pub on_time: LevelWork,
    /// Work of waiting pieces of late requests, in seconds of one upstream.
    pub late: LevelWork,
    /// Part of `late` that belongs to requests which were admitted to be on time, as time of one
    /// upstream.
    pub overdue: Duration,
}

/// Ratio of the observed to the declared duration of full calls.
///
/// Guards against a capacity derived from small calls. The fixed part of a call dominates them,
/// while the pieces of a light step may take a fraction of the declared time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FullCallPace {
    ratio: Option<f64>,
}

impl FullCallPace {
    /// Records a call of `pieces` pieces that took `call_time`.
    pub(super) fn record(&mut self, rules: &BatchRules, pieces: u32, call_time: Duration) {
        if f64::from(pieces) < f64::from(rules.pieces) * FULL_CALL_FILL {
            return;
        }
        let observed = call_time.as_secs_f64() / rules.expected(pieces).as_secs_f64().max(0.001);
        let ratio = self.ratio.unwrap_or(observed);
        self.ratio = Some(ratio + PACE_SMOOTHING * (observed - ratio));
    }
}

impl BatchPool {
    /// Status of the section `section`, whose dispatcher is on the VM `sender`.
    #[must_use]
    pub fn status(&self, section: &str, sender: &str, now: MonotonicTime) -> PoolStatus {
        let shortest = self.rules.expected(1);
        let (mut on_time, mut late) = (LevelWork::default(), LevelWork::default());
        let mut overdue = Duration::ZERO;
        for job in self.jobs.values().filter(|job| !job.waiting.is_empty()) {
            let work = upstream_time(&self.rules, job.waiting.len());
            let order = &job.order;
            if order.is_flood || !job.can_meet_due(now + shortest) {
                late.add(order.level, work.as_secs_f64());
                let is_overdue = !order.is_flood && order.admission == AdmissionClass::OnTime;
                overdue += if is_overdue { work } else { Duration::ZERO };
            } else {
                on_time.add(order.level, work.as_secs_f64());
            }
        }
        let pace = self.pace(now);
        PoolStatus {
            section: section.to_owned(),
            sender: sender.to_owned(),
            capacity: self.usable_capacity(pace, now),
            call_time: self.rules.expected(self.rules.pieces).mul_f64(pace),
            on_time,
            late,
            overdue,
        }
    }

    /// Capacity in upstreams at their declared pace. A paused upstream does not count.
    fn usable_capacity(&self, pace: f64, now: MonotonicTime) -> f64 {
        let mean = self.mean_slowdown(now);
        let usable = self.usable_workers(now).map(|worker| {
            let speed = mean / worker.slowdown_at(now).max(0.01);
            worker.usable_share(&self.rules, now) * speed
        });
        usable.sum::<f64>() * f64::from(self.rules.slots.max(1)) / pace.max(0.01)
    }

    /// Ratio of the observed to the declared duration of full calls, or of all calls if there was
    /// no full one.
    fn pace(&self, now: MonotonicTime) -> f64 {
        self.full_call_pace.ratio.unwrap_or_else(|| self.mean_slowdown(now))
    }

    fn mean_slowdown(&self, now: MonotonicTime) -> f64 {
        let (mut sum, mut count) = (0.0, 0_u32);
        for worker in self.usable_workers(now) {
            sum += worker.slowdown_at(now);
            count += 1;
        }
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }

    fn usable_workers(&self, now: MonotonicTime) -> impl Iterator<Item = &BatchWorker> {
        let workers = self.workers.values();
        workers.filter(move |worker| worker.accepts_calls && !worker.is_paused(now))
    }
}

impl BatchDispatcher {
    /// Status of each open section, with whether it has work. The dispatcher is on the VM `sender`.
    #[must_use]
    pub fn statuses(&self, sender: &str, now: MonotonicTime) -> Vec<(PoolStatus, bool)> {
        let pools = self.pools.iter();
        pools.map(|(name, pool)| (pool.status(name, sender, now), !pool.is_idle())).collect()
    }

    /// Number of sections of the pool that has most of them.
    #[must_use]
    pub fn max_section_count(&self) -> usize {
        self.published.values().map(PublishedPool::section_count).max().unwrap_or(1)
    }
}
