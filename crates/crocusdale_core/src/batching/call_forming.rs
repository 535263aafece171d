//! How calls are formed from the pieces that wait in a pool.

use std::collections::BTreeMap;
use std::time::Duration;

use super::batch_job::BatchJob;
use super::batch_worker::BatchWorker;
use super::open_batch::OpenBatch;
use super::{BatchId, BatchItem, BatchOrder, BatchPool, DispatchStep};
use crate::configuration::BatchRules;
use crate::identity::{AttemptId, MonotonicTime};
use crate::routing::CONNECT_TIMEOUT;

/// Time after which a call has fetched its inputs: ten megabytes take 8 ms at 10 Gbit/s, and a message
/// a few. Short against a call, for the rest of which they would only lie in the way.
const FETCH_TIME: Duration = Duration::from_millis(50);

/// Weight of the newest call in what a usual call holds: some seconds of a pool of five upstreams.
const FULLNESS_WEIGHT: f64 = 0.1;

/// Jobs in the order in which they are served, for one turn.
#[derive(Debug)]
struct JobOrder {
    order: Vec<AttemptId>,
    /// Whether more waits than all upstreams can take at once.
    overloaded: bool,
}

impl BatchPool {
    /// Forms calls while upstreams are free. A large pool has hundreds of upstreams and thousands
    /// of waiting jobs: what looks at all of them is done once a turn, and only if one is free.
    pub(super) fn form_calls(
        &mut self,
        next: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        if self.queue.is_empty() || self.free_upstreams(now).is_empty() {
            return;
        }
        // While more waits than all upstreams can take at once, a call that is not full is lost.
        let at_once = self.rules.pieces.max(1) as usize * self.workers.len();
        let jobs =
            JobOrder { order: self.order_of_jobs(now), overloaded: self.waiting() > at_once };
        loop {
            let free = self.free_upstreams(now);
            let call = free.iter().find_map(|upstream| self.call_of(upstream, &jobs, next, now));
            let Some(call) = call else { return };
            steps.push(DispatchStep::Call(call));
        }
    }

    /// A call of `upstream` with the first of the jobs in `jobs` that go there.
    fn call_of(
        &mut self,
        upstream: &str,
        jobs: &JobOrder,
        next: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
    ) -> Option<BatchOrder> {
        let (items, refs, bytes) = self.fill(jobs, upstream, now);
        if items.is_empty() {
            return None;
        }
        let pieces = u32::try_from(items.len()).unwrap_or(u32::MAX);
        let worker = self.workers.get_mut(upstream)?;
        self.usual_pieces += FULLNESS_WEIGHT * (f64::from(pieces) - self.usual_pieces);
        let lost_at = now + worker.patience(&self.rules, pieces, now);
        worker.begin(&self.rules, pieces, now);
        if let Some(limit) = &mut worker.limit {
            self.limiter.spend(upstream);
            limit.from = now + limit.interval;
        }
        worker.room.reserve(bytes);
        let (process, address) = (worker.process.clone(), worker.address);
        let batch = next();
        let upstream = upstream.to_owned();
        let open = OpenBatch {
            upstream: upstream.clone(),
            address,
            since: Some(now),
            lost_at,
            bytes,
            items: refs,
        };
        self.open.insert(batch, open);
        let write_by = now + CONNECT_TIMEOUT;
        Some(BatchOrder { batch, upstream, process, address, items, write_by })
    }

    /// Time that a call should take that is as full as calls were of late.
    ///
    /// Whether a job can be in time is judged by it. Judged by the shortest call, jobs would go first that
    /// come late by the pieces beside them.
    pub(super) fn usual_call(&self) -> Duration {
        // Calls are full of a flood's pieces, which go behind all others.
        let is_flooded = self.jobs.values().any(|job| job.order.is_flood);
        let pieces = if is_flooded { 1 } else { self.usual_pieces.ceil() as u32 };
        self.rules.expected(pieces)
    }

    /// Jobs in the order in which they are served: first those that can still be in time, and those
    /// of requests that have been worked on, by the time at which they are needed; then the others,
    /// by priority and the end of their time.
    pub(super) fn order_of_jobs(&self, now: MonotonicTime) -> Vec<AttemptId> {
        let call = self.usual_call();
        let in_time = |attempt: &AttemptId| {
            self.jobs.get(attempt).is_some_and(|job| job.is_ahead(now + call))
        };
        let jobs = self.queue.keys().map(|(_, attempt)| *attempt);
        let (mut order, mut late): (Vec<AttemptId>, Vec<AttemptId>) = jobs.partition(in_time);
        late.sort_by_key(|attempt| {
            self.jobs
                .get(attempt)
                .map(|job| (job.order.is_flood, job.order.level, job.order.expires))
        });
        order.extend(late);
        order
    }

    /// Free upstreams, the one that would be done first in front; without those for which it
    /// pays to wait for a busy one that would be done sooner.
    fn free_upstreams(&self, now: MonotonicTime) -> Vec<String> {
        let pieces = self.rules.pieces / 2;
        let end = |worker: &BatchWorker| worker.end_of_next(&self.rules, pieces, now);
        let staying = self.workers.values().filter(|worker| worker.staying);
        let Some(soonest) = staying.map(end).min() else { return Vec::new() };
        // Half a call's time of difference is within what the pace of a call varies by.
        let bound = soonest + self.rules.expected(pieces) / 2;
        let free = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_free(&self.rules, now) && end(worker) <= bound);
        let mut free: Vec<(MonotonicTime, &String)> =
            free.map(|(upstream, worker)| (end(worker), upstream)).collect();
        free.sort_unstable();
        free.into_iter().map(|(_, upstream)| upstream.clone()).collect()
    }

    /// Takes pieces out for a call of `upstream`, as many as a call and the upstream's memory for
    /// results hold. The pieces of a job stay together unless they are more than that. A job whose
    /// inputs or results are of another zone goes there, if it still is in time there.
    fn fill(
        &mut self,
        jobs: &JobOrder,
        upstream: &str,
        now: MonotonicTime,
    ) -> (Vec<BatchItem>, Vec<(AttemptId, u32)>, u64) {
        let limit = self.rules.pieces.max(1) as usize;
        let (mut items, mut refs, mut bytes) = (Vec::new(), Vec::new(), 0);
        let mut is_lone = false;
        let Some(worker) = self.workers.get(upstream) else { return (items, refs, bytes) };
        let (own_zone, room) = (worker.zone.clone(), worker.room.free_bytes(&self.rules));
        let margin = self.rules.expected(self.rules.pieces / 2) / 2;
        let zones = zone_ends(&self.workers, &self.rules, now);
        for attempt in &jobs.order {
            if items.len() == limit || is_lone {
                break;
            }
            let waits = |job: &&mut BatchJob| !job.waiting.is_empty();
            let Some(job) = self.jobs.get_mut(attempt).filter(waits) else { continue };
            let useful = if now < job.order.due { job.order.due } else { job.order.expires };
            let margin = job.zone_margin(margin);
            let elsewhere = job.order.zone.as_ref().is_some_and(|zone| {
                let end = zones.get(zone.as_str());
                *zone != own_zone && end.is_some_and(|end| *end + margin <= useful)
            });
            let fitting = room.saturating_sub(bytes) / job.order.result_bytes.max(1);
            let fitting = usize::try_from(fitting).unwrap_or(usize::MAX).min(limit - items.len());
            let whole = job.waiting.len() <= fitting || items.is_empty() || jobs.overloaded;
            if fitting == 0 || !whole || elsewhere {
                continue;
            }
            if job.goes_alone() && !items.is_empty() {
                continue;
            }
            is_lone = job.goes_alone();
            let taken = job.take(fitting);
            bytes += job.order.result_bytes * taken.len() as u64;
            refs.extend(taken.iter().map(|item| (*attempt, item.piece)));
            items.extend(taken);
            if job.waiting.is_empty() {
                self.queue.remove(&(job.rank(), *attempt));
                if job.order.inputs_pool.is_some() {
                    self.fetching.push_back((now + FETCH_TIME, *attempt));
                }
            }
        }
        (items, refs, bytes)
    }
}

/// When a call should end that is given to each zone as soon as one of its upstreams can take it.
fn zone_ends<'a>(
    workers: &'a BTreeMap<String, BatchWorker>,
    rules: &BatchRules,
    now: MonotonicTime,
) -> BTreeMap<&'a str, MonotonicTime> {
    let mut ends = BTreeMap::new();
    for worker in workers.values().filter(|worker| worker.staying) {
        let end = worker.end_of_next(rules, rules.pieces / 2, now);
        let known = ends.entry(worker.zone.as_str()).or_insert(end);
        *known = end.min(*known);
    }
    ends
}
