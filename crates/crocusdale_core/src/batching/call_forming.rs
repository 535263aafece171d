//! Forms batch calls from the waiting pieces of a pool.

use std::collections::BTreeMap;
use std::time::Duration;

use super::batch_job::BatchJob;
use super::batch_worker::BatchWorker;
use super::in_flight_call::InFlightCall;
use super::{BatchId, BatchItem, BatchOrder, BatchPool, DispatchAction};
use crate::configuration::BatchRules;
use crate::identity::{AttemptId, MonotonicTime};
use crate::routing::CONNECT_TIMEOUT;

/// Time after the start of a call by which its inputs have been fetched. Ten megabytes take 8 ms at
/// 10 Gbit/s, and a message a few more. It is short compared with a call, during the rest of which
/// the inputs would only occupy memory.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(50);

/// Weight of the newest call in the moving average of pieces per call. It averages over several
/// seconds in a pool of five upstreams.
const AVERAGE_PIECES_SMOOTHING: f64 = 0.1;

/// Queued jobs in the order in which they are served during one cycle.
#[derive(Debug)]
struct ServiceOrder {
    attempts: Vec<AttemptId>,
    /// Whether more pieces are waiting than all upstreams can take in one call each.
    is_overloaded: bool,
}

impl BatchPool {
    /// Forms calls as long as upstreams are free. A large pool has hundreds of upstreams and
    /// thousands of waiting jobs, so anything that scans all of them runs once per cycle and only
    /// if an upstream is free.
    pub(super) fn form_calls(
        &mut self,
        next_batch_id: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        if self.queue.is_empty() || self.free_upstreams(now).is_empty() {
            return;
        }
        // While more pieces are waiting than all upstreams can take at once, a call that is not
        // full wastes capacity.
        let piece_capacity = self.rules.pieces.max(1) as usize * self.workers.len();
        let jobs = ServiceOrder {
            attempts: self.service_order(now),
            is_overloaded: self.waiting() > piece_capacity,
        };
        loop {
            let free = self.free_upstreams(now);
            let call = free
                .iter()
                .find_map(|upstream| self.build_call(upstream, &jobs, next_batch_id, now));
            let Some(call) = call else { return };
            actions.push(DispatchAction::Call(call));
        }
    }

    /// Builds a call to `upstream` from the first jobs in `jobs` that may go there. `None` if there
    /// are none.
    fn build_call(
        &mut self,
        upstream: &str,
        jobs: &ServiceOrder,
        next_batch_id: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
    ) -> Option<BatchOrder> {
        let (items, item_refs, bytes) = self.take_items(jobs, upstream, now);
        if items.is_empty() {
            return None;
        }
        let pieces = u32::try_from(items.len()).unwrap_or(u32::MAX);
        self.record_served_pieces(&item_refs, now);
        let worker = self.workers.get_mut(upstream)?;
        self.average_pieces += AVERAGE_PIECES_SMOOTHING * (f64::from(pieces) - self.average_pieces);
        let lost_at = now + worker.loss_timeout(&self.rules, pieces, now);
        worker.start_call(&self.rules, pieces, now);
        if let Some(limit) = &mut worker.rate_limit {
            self.limiter.take_token(upstream);
            limit.next_call_at = now + limit.interval;
        }
        worker.result_memory.reserve(bytes);
        let (process, address) = (worker.process_id.clone(), worker.address);
        let batch = next_batch_id();
        let upstream = upstream.to_owned();
        let call = InFlightCall {
            upstream: upstream.clone(),
            address,
            started_at: Some(now),
            lost_at,
            reserved_bytes: bytes,
            items: item_refs,
        };
        self.in_flight.insert(batch, call);
        let write_by = now + CONNECT_TIMEOUT;
        Some(BatchOrder { batch, upstream, process, address, items, write_by })
    }

    /// Expected duration of a call with the recent average number of pieces.
    ///
    /// It decides whether a job can be on time. By the duration of the shortest call, jobs would
    /// count as on time that other pieces in the same call make late.
    pub(super) fn average_call_time(&self) -> Duration {
        // During a flood, calls are filled with the pieces of the flood, which are served after all
        // others and should not count.
        let is_flooded = self.jobs.values().any(|job| job.order.is_flood);
        let pieces = if is_flooded { 1 } else { self.average_pieces.ceil() as u32 };
        self.rules.expected(pieces)
    }

    /// Jobs in the order in which they are served. Jobs that can be on time come first, sorted by
    /// [`BatchJob::priority_time`]. Late jobs follow, those of a flood last, sorted by priority
    /// level and expiry. The first promised late jobs go before all others, as many as the part of
    /// the calls that is theirs can hold.
    pub(super) fn service_order(&self, now: MonotonicTime) -> Vec<AttemptId> {
        let call_time = self.average_call_time();
        let can_be_on_time = |attempt: &AttemptId| {
            self.jobs.get(attempt).is_some_and(|job| job.can_meet_due(now + call_time))
        };
        let attempts = self.queue.keys().map(|(_, attempt)| *attempt);
        let (on_time, mut late): (Vec<AttemptId>, Vec<AttemptId>) =
            attempts.partition(can_be_on_time);
        late.sort_by_key(|attempt| {
            self.jobs
                .get(attempt)
                .map(|job| (job.order.is_flood, job.order.level, job.order.expires))
        });
        let mut order = self.take_promised_late(&mut late);
        order.extend(on_time);
        order.extend(late);
        order
    }

    /// Free upstreams, sorted by the expected end of a call. Excludes those for which it is better
    /// to wait until a busy upstream is free, because that one would finish sooner.
    fn free_upstreams(&self, now: MonotonicTime) -> Vec<String> {
        let pieces = self.rules.pieces / 2;
        let call_end = |worker: &BatchWorker| worker.next_call_end(&self.rules, pieces, now);
        let accepting = self.workers.values().filter(|worker| worker.accepts_calls);
        let Some(earliest_end) = accepting.map(call_end).min() else { return Vec::new() };
        // Half of a call's duration is within the usual variation of call durations.
        let latest_end = earliest_end + self.rules.expected(pieces) / 2;
        let free = self.workers.iter().filter(|(_, worker)| {
            worker.can_take_call(&self.rules, now) && call_end(worker) <= latest_end
        });
        let mut free: Vec<(MonotonicTime, &String)> =
            free.map(|(upstream, worker)| (call_end(worker), upstream)).collect();
        free.sort_unstable();
        free.into_iter().map(|(_, upstream)| upstream.clone()).collect()
    }

    /// Removes pieces from the queue for a call to `upstream`, as many as the call and the
    /// upstream's memory for results can hold. The pieces of a job stay together if they fit into
    /// one call. A job that prefers another zone, because of its inputs or its results, waits for
    /// it as long as it can still be on time there.
    fn take_items(
        &mut self,
        jobs: &ServiceOrder,
        upstream: &str,
        now: MonotonicTime,
    ) -> (Vec<BatchItem>, Vec<(AttemptId, u32)>, u64) {
        let max_items = self.rules.pieces.max(1) as usize;
        let (mut items, mut item_refs, mut bytes) = (Vec::new(), Vec::new(), 0);
        let mut is_exclusive = false;
        let Some(worker) = self.workers.get(upstream) else { return (items, item_refs, bytes) };
        let (own_zone, free_bytes) =
            (worker.zone.clone(), worker.result_memory.free_bytes(&self.rules));
        let default_margin = self.rules.expected(self.rules.pieces / 2) / 2;
        let zone_ends = earliest_zone_ends(&self.workers, &self.rules, now);
        for attempt in &jobs.attempts {
            if items.len() == max_items || is_exclusive {
                break;
            }
            let has_waiting = |job: &&mut BatchJob| !job.waiting.is_empty();
            let Some(job) = self.jobs.get_mut(attempt).filter(has_waiting) else { continue };
            let useful_until =
                if now < job.order.target_end { job.order.target_end } else { job.order.expires };
            let margin = job.zone_wait_margin(default_margin);
            let waits_for_zone = job.order.zone.as_ref().is_some_and(|zone| {
                let end = zone_ends.get(zone.as_str());
                *zone != own_zone && end.is_some_and(|end| *end + margin <= useful_until)
            });
            let max_pieces = free_bytes.saturating_sub(bytes) / job.order.result_bytes.max(1);
            let max_pieces =
                usize::try_from(max_pieces).unwrap_or(usize::MAX).min(max_items - items.len());
            let can_join =
                job.waiting.len() <= max_pieces || items.is_empty() || jobs.is_overloaded;
            if max_pieces == 0 || !can_join || waits_for_zone {
                continue;
            }
            if job.must_run_alone() && !items.is_empty() {
                continue;
            }
            is_exclusive = job.must_run_alone();
            let taken = job.take_pieces(max_pieces);
            bytes += job.order.result_bytes * taken.len() as u64;
            item_refs.extend(taken.iter().map(|item| (*attempt, item.piece)));
            items.extend(taken);
            if job.waiting.is_empty() {
                self.queue.remove(&(job.priority_time(), *attempt));
                if job.order.inputs_pool.is_some() {
                    self.fetching_jobs.push_back((now + INPUT_FETCH_TIME, *attempt));
                }
            }
        }
        (items, item_refs, bytes)
    }
}

/// For each zone, the earliest expected end of a call that is sent as soon as one of its upstreams
/// is free.
fn earliest_zone_ends<'a>(
    workers: &'a BTreeMap<String, BatchWorker>,
    rules: &BatchRules,
    now: MonotonicTime,
) -> BTreeMap<&'a str, MonotonicTime> {
    let mut earliest_ends = BTreeMap::new();
    for worker in workers.values().filter(|worker| worker.accepts_calls) {
        let end = worker.next_call_end(rules, rules.pieces / 2, now);
        let earliest = earliest_ends.entry(worker.zone.as_str()).or_insert(end);
        *earliest = end.min(*earliest);
    }
    earliest_ends
}
