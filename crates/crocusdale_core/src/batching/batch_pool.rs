use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::batch_job::BatchJob;
use super::batch_worker::BatchWorker;
use super::in_flight_call::{InFlightCall, produced_results};
use super::late_share::LateCredit;
use super::pool_forecast::LoadMeter;
use super::pool_status::FullCallPace;
use super::{BatchId, BatchOutcome, DispatchAction, ItemOutcome, PoolWait};
use crate::configuration::BatchRules;
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::{PieceFault, PieceOrder, PlacedResult, ResultHandle};
use crate::rate_limiting::RateLimiter;
use crate::retry::RetryBudget;

/// Queue and upstreams of one section of a batched pool, at its dispatcher.
///
/// A call is formed as soon as an upstream is free, from the pieces that are due first. Delaying a
/// call until it is full would not pay off: while all upstreams are busy, enough pieces queue up to
/// fill the next calls.
#[derive(Debug)]
pub struct BatchPool {
    /// Declared capacity and call duration of the upstreams.
    pub(super) rules: BatchRules,
    /// Upstreams by name, including removed ones that still have calls in flight.
    pub(super) workers: BTreeMap<String, BatchWorker>,
    /// All jobs without a complete result, including those whose pieces are in calls.
    pub(super) jobs: HashMap<AttemptId, BatchJob>,
    /// Jobs with waiting pieces, sorted by [`BatchJob::priority_time`].
    pub(super) queue: BTreeMap<(MonotonicTime, AttemptId), ()>,
    /// Calls that have been sent and have not ended.
    pub(super) in_flight: HashMap<BatchId, InFlightCall>,
    pub(super) retry_budget: RetryBudget,
    /// Results that are no longer needed and will be freed in the next cycle.
    pub(super) unneeded_results: Vec<ResultHandle>,
    /// Results whose upstreams were asked to free them in the last cycle. Their memory counts as
    /// free from the next cycle on.
    pub(super) freed_results: Vec<ResultHandle>,
    /// Last time at which this dispatcher had to verify the free memory of the upstreams, because
    /// another dispatcher may have stored results there.
    pub(super) memory_unverified_since: Option<MonotonicTime>,
    /// Jobs all of whose pieces are in calls, with the time at which the upstreams have fetched
    /// their inputs.
    pub(super) fetching_jobs: VecDeque<(MonotonicTime, AttemptId)>,
    /// Last time at which pieces were submitted.
    pub(super) last_active_at: Option<MonotonicTime>,
    /// Last computed wait of new pieces, with the time of its computation.
    pub(super) cached_wait: Option<(PoolWait, MonotonicTime)>,
    /// Start of the current overload, in which late requests are not admitted. `None` without
    /// overload.
    pub(super) overloaded_since: Option<MonotonicTime>,
    /// Estimated end of the overload: the time at which the most recently shed job would have
    /// completed. A refused caller that retries earlier finds no capacity.
    pub(super) overload_until: Option<MonotonicTime>,
    /// Last time at which the queue was checked for jobs to shed.
    pub(super) last_shed_at: Option<MonotonicTime>,
    /// Moving average of the number of pieces per call.
    pub(super) average_pieces: f64,
    /// Pace of recent full calls.
    pub(super) full_call_pace: FullCallPace,
    /// Part of the calls that is left to promised late jobs.
    pub(super) late_credit: LateCredit,
    /// Load by submitted jobs that can be on time.
    pub(super) on_time_load: LoadMeter,
    /// Token buckets of the upstreams that have announced a rate limit.
    pub(super) limiter: Arc<RateLimiter>,
    /// Time since which this daemon considers itself the only dispatcher. It is maintained only
    /// while an upstream of the pool has a rate limit.
    pub(super) sole_dispatcher_since: Option<MonotonicTime>,
}

impl BatchPool {
    /// Creates a pool without upstreams.
    #[must_use]
    pub fn new(rules: BatchRules, retry_budget: RetryBudget) -> Self {
        Self {
            rules,
            workers: BTreeMap::new(),
            jobs: HashMap::new(),
            queue: BTreeMap::new(),
            in_flight: HashMap::new(),
            retry_budget,
            unneeded_results: Vec::new(),
            freed_results: Vec::new(),
            memory_unverified_since: None,
            fetching_jobs: VecDeque::new(),
            last_active_at: None,
            cached_wait: None,
            overloaded_since: None,
            overload_until: None,
            last_shed_at: None,
            average_pieces: 1.0,
            full_call_pace: FullCallPace::default(),
            late_credit: LateCredit::default(),
            on_time_load: LoadMeter::default(),
            limiter: Arc::default(),
            sole_dispatcher_since: None,
        }
    }

    /// Sets the rate limiter, which knows the upstreams that have announced a rate limit.
    #[must_use]
    pub fn limiter(mut self, limiter: Arc<RateLimiter>) -> Self {
        self.limiter = limiter;
        self
    }

    /// Declared capacity and call duration of the upstreams.
    #[must_use]
    pub fn rules(&self) -> BatchRules {
        self.rules
    }

    /// Sets the declared capacity and call duration of the upstreams.
    pub fn set_rules(&mut self, rules: BatchRules) {
        self.rules = rules;
    }

    /// Whether `upstream` belongs to the pool.
    #[must_use]
    pub fn has_upstream(&self, upstream: &str) -> bool {
        self.workers.contains_key(upstream)
    }

    /// Number of pieces that are in no call.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|job| job.waiting.len()).sum()
    }

    /// Whether there are no jobs and no calls in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.in_flight.is_empty()
    }

    /// Time since work last arrived, or since this daemon last considered itself the only dispatcher
    /// of rate-limited upstreams. `None` if there was neither.
    #[must_use]
    pub fn idle_time(&self, now: MonotonicTime) -> Option<Duration> {
        if self.sole_dispatcher_since.is_some() {
            return Some(Duration::ZERO);
        }
        self.last_active_at.map(|active_at| now.since(active_at))
    }

    /// Accepts the pieces of a step. `crash_count` is the number of upstreams that have crashed
    /// while they ran the request of the step.
    pub fn submit(
        &mut self,
        order: PieceOrder,
        crash_count: usize,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        let attempt = order.attempt;
        self.record_activity(order.is_resubmission, now);
        if order.pieces == 0 {
            let pool = order.pool;
            actions.push(DispatchAction::ReportOutcome { attempt, pool, outcome: Ok(Vec::new()) });
            return;
        }
        // Another dispatcher may already have processed these pieces, so they count as retries.
        if order.is_resubmission {
            if !(0..order.pieces).all(|_| self.retry_budget.take_retry(now)) {
                actions.push(DispatchAction::fail(attempt, &order.pool, PieceFault::Failed));
                return;
            }
        } else {
            self.retry_budget.record_first_attempt(now);
        }
        if !self.workers.values().any(|worker| worker.accepts_calls) {
            actions.push(DispatchAction::fail(attempt, &order.pool, PieceFault::NoUpstream));
            return;
        }
        let mut job = BatchJob::new(order);
        job.add_suspected_crashes(crash_count);
        if job.can_meet_due(now + self.rules.expected(1)) {
            self.record_on_time_load(job.order.pieces, now);
        }
        self.queue.insert((job.priority_time(), attempt), ());
        self.jobs.insert(attempt, job);
    }

    /// Marks the free memory of all upstreams as unverified if another dispatcher may have stored
    /// results there. That is the case after an idle time as long as the lifetime of results, and
    /// when pieces arrive from a failed dispatcher.
    fn record_activity(&mut self, is_takeover: bool, now: MonotonicTime) {
        let idle_time = self.last_active_at.replace(now).map(|last| now.since(last));
        let was_idle = idle_time.is_none_or(|idle_time| idle_time >= self.rules.result_lifetime);
        if was_idle || (is_takeover && !self.has_recent_takeover(now)) {
            self.memory_unverified_since = Some(now);
            for worker in self.workers.values_mut() {
                worker.result_memory.mark_unverified();
            }
        }
    }

    fn has_recent_takeover(&self, now: MonotonicTime) -> bool {
        self.memory_unverified_since
            .is_some_and(|since| now.since(since) < self.rules.result_lifetime)
    }

    /// Sends nothing to `upstream` until `until`, as it has requested.
    pub fn back_off(&mut self, upstream: &str, until: MonotonicTime) {
        if let Some(worker) = self.workers.get_mut(upstream) {
            worker.back_off(until);
        }
    }

    /// Records that `upstream` reported `pace`, in percent of the usual time, at `now`.
    pub fn record_pace(&mut self, upstream: &str, pace: u32, now: MonotonicTime) {
        if let Some(worker) = self.workers.get_mut(upstream) {
            worker.reported_pace.record(pace, now);
        }
    }

    /// Records that `upstream` announced at `now` that it fails if it has to reject more than
    /// `max_rejections` calls in a second.
    pub fn record_brittle(&mut self, upstream: &str, max_rejections: u32, now: MonotonicTime) {
        if let Some(worker) = self.workers.get_mut(upstream) {
            worker.record_brittle(max_rejections, now);
        }
    }

    /// Records the free memory for results at `upstream`, in bytes, or `None` if it did not answer
    /// the query.
    pub fn record_free_memory(
        &mut self,
        upstream: &str,
        free_bytes: Option<u64>,
        now: MonotonicTime,
    ) {
        let rules = self.rules;
        if let Some(worker) = self.workers.get_mut(upstream) {
            worker.result_memory.record_free_bytes(free_bytes, &rules, now);
        }
    }

    /// Drops the job of `attempt`, whose results are no longer needed.
    pub fn cancel_job(&mut self, attempt: AttemptId) {
        let Some(job) = self.jobs.remove(&attempt) else { return };
        self.queue.remove(&(job.priority_time(), attempt));
        let finished: Vec<ResultHandle> =
            job.results.into_iter().flatten().map(|result| result.handle).collect();
        if !finished.is_empty() {
            self.release(finished);
        }
        // Calls with pieces of the job are not cancelled: an upstream does not interrupt a running
        // call. Their results are freed once the call has ended.
    }

    /// Handles the outcome of a batch call: updates the state of its upstream, records results, and
    /// queues failed pieces for a retry.
    pub fn handle_outcome(
        &mut self,
        batch: BatchId,
        outcome: BatchOutcome,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(call) = self.in_flight.remove(&batch) else {
            self.release(produced_results(outcome));
            return;
        };
        let may_have_run = outcome.may_have_run();
        for (attempt, _) in &call.items {
            if let Some(job) = self.jobs.get_mut(attempt) {
                job.end_piece(may_have_run);
            }
        }
        let pieces = u32::try_from(call.items.len()).unwrap_or(u32::MAX);
        let call_time = call.started_at.map(|started_at| now.since(started_at));
        let rules = self.rules;
        let mut worker = self.workers.get_mut(&call.upstream);
        if let Some(worker) = &mut worker {
            worker.result_memory.release_reservation(call.reserved_bytes);
        }
        let zone = worker.as_ref().map(|worker| worker.zone.clone()).unwrap_or_default();
        match outcome {
            BatchOutcome::Answered(items) if items.len() == call.items.len() => {
                if let Some(worker) = worker {
                    worker.record_answer(&rules, pieces, call_time, now);
                }
                if let Some(call_time) = call_time {
                    self.full_call_pace.record(&rules, pieces, call_time);
                }
                let failed = items.iter().filter(|item| **item == ItemOutcome::Failed).count();
                if let Some(worker) = self.workers.get_mut(&call.upstream) {
                    worker.record_failed_pieces(
                        u32::try_from(failed).unwrap_or(u32::MAX),
                        pieces,
                        now,
                    );
                }
                for ((job, piece), item) in call.items.iter().zip(items) {
                    self.finish_item((*job, *piece), item, &call.upstream, &zone, now, actions);
                }
            }
            outcome => {
                if let Some(worker) = worker {
                    match outcome {
                        BatchOutcome::Declined => worker.record_declined(now),
                        BatchOutcome::WrongProcess => worker.record_wrong_process(now),
                        _ => worker.record_failure(&rules, pieces, call_time, now),
                    }
                }
                if matches!(outcome, BatchOutcome::Broken) {
                    self.suspect_requests(&call, actions);
                }
                let has_arrived = !matches!(outcome, BatchOutcome::NotSent);
                self.release(produced_results(outcome));
                for (job, piece) in call.items {
                    if has_arrived {
                        self.retry_piece(job, piece, now, actions);
                    } else {
                        self.requeue_piece(job, piece);
                    }
                }
            }
        }
    }

    /// Handles timeouts, queries the free memory of upstreams, and forms calls.
    pub fn run_cycle(
        &mut self,
        next_batch_id: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.refresh_limits(now);
        self.expire(now, actions);
        for worker in self.workers.values_mut() {
            worker.result_memory.remove_expired(now);
        }
        if !self.queue.is_empty() {
            self.query_free_memory(now, actions);
        }
        self.form_calls(next_batch_id, now, actions);
    }

    /// Cancels calls that have timed out, and fails jobs that cannot complete in time.
    pub fn expire(&mut self, now: MonotonicTime, actions: &mut Vec<DispatchAction>) {
        self.cancel_lost_calls(now, actions);
        self.fail_late_jobs(now, actions);
        self.shed_unservable(now, actions);
    }

    fn query_free_memory(&mut self, now: MonotonicTime, actions: &mut Vec<DispatchAction>) {
        // An upstream with a rate limit is not queried, because its requests are spent on calls.
        let queryable = self.workers.iter_mut().filter(|(_, worker)| {
            worker.accepts_calls && !worker.is_backing_off(now) && worker.rate_limit.is_none()
        });
        for (upstream, worker) in queryable {
            if worker.result_memory.try_start_query(now) {
                let (upstream, address) = (upstream.clone(), worker.address);
                actions.push(DispatchAction::QueryFreeMemory { upstream, address });
            }
        }
    }

    fn cancel_lost_calls(&mut self, now: MonotonicTime, actions: &mut Vec<DispatchAction>) {
        let lost = self.in_flight.iter().filter(|(_, call)| now >= call.lost_at);
        let lost: Vec<BatchId> = lost.map(|(batch, _)| *batch).collect();
        for batch in lost {
            actions.push(DispatchAction::Cancel(batch));
            self.handle_outcome(batch, BatchOutcome::Broken, now, actions);
        }
    }

    fn fail_late_jobs(&mut self, now: MonotonicTime, actions: &mut Vec<DispatchAction>) {
        let shortest = self.rules.expected(1);
        let late = self.queue.keys().filter(|(_, attempt)| {
            self.jobs.get(attempt).is_none_or(|job| now + shortest > job.order.expires)
        });
        let late: Vec<AttemptId> = late.map(|(_, attempt)| *attempt).collect();
        for attempt in late {
            self.fail_job(attempt, PieceFault::Late, actions);
        }
    }

    fn finish_item(
        &mut self,
        (attempt, piece): (AttemptId, u32),
        outcome: ItemOutcome,
        upstream: &str,
        zone: &str,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        match outcome {
            ItemOutcome::Made(handle) => {
                let bytes = self.jobs.get(&attempt).map_or(0, |job| job.order.result_bytes);
                if let Some(worker) = self.workers.get_mut(upstream) {
                    worker.result_memory.add_result(
                        handle.clone(),
                        bytes,
                        now + self.rules.result_lifetime,
                    );
                }
                let result = PlacedResult { handle, zone: zone.to_owned() };
                self.record_result(attempt, piece, result, actions);
            }
            ItemOutcome::Late => self.fail_job(attempt, PieceFault::Late, actions),
            ItemOutcome::InputGone => self.fail_job(attempt, PieceFault::InputGone, actions),
            ItemOutcome::Failed => self.retry_piece(attempt, piece, now, actions),
            ItemOutcome::NoRoom => {
                if let Some(worker) = self.workers.get_mut(upstream) {
                    worker.record_memory_full(now);
                }
                self.retry_piece(attempt, piece, now, actions);
            }
        }
    }

    fn record_result(
        &mut self,
        attempt: AttemptId,
        piece: u32,
        result: PlacedResult,
        actions: &mut Vec<DispatchAction>,
    ) {
        let job = self.jobs.get_mut(&attempt);
        let slot = job.and_then(|job| job.results.get_mut(piece as usize));
        match slot {
            Some(slot) if slot.is_none() => *slot = Some(result),
            _ => {
                self.unneeded_results.push(result.handle);
                return;
            }
        }
        if !self.jobs.get(&attempt).is_some_and(BatchJob::is_complete) {
            return;
        }
        if let Some(job) = self.jobs.remove(&attempt) {
            self.queue.remove(&(job.priority_time(), attempt));
            let results = job.results.into_iter().flatten().collect();
            let pool = job.order.pool;
            actions.push(DispatchAction::ReportOutcome { attempt, pool, outcome: Ok(results) });
        }
    }

    /// Queues a failed piece again, or fails its job if the retry budget is exhausted.
    fn retry_piece(
        &mut self,
        attempt: AttemptId,
        piece: u32,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        if !self.jobs.contains_key(&attempt) {
            return;
        }
        if !self.retry_budget.take_retry(now) {
            self.fail_job(attempt, PieceFault::Failed, actions);
            return;
        }
        self.requeue_piece(attempt, piece);
    }

    fn requeue_piece(&mut self, attempt: AttemptId, piece: u32) {
        if let Some(job) = self.jobs.get_mut(&attempt) {
            job.requeue(piece);
            self.queue.insert((job.priority_time(), attempt), ());
        }
    }

    pub(super) fn fail_job(
        &mut self,
        attempt: AttemptId,
        fault: PieceFault,
        actions: &mut Vec<DispatchAction>,
    ) {
        if let Some(job) = self.jobs.get(&attempt) {
            actions.push(DispatchAction::fail(attempt, &job.order.pool, fault));
            self.cancel_job(attempt);
        }
    }
}
