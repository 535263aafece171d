use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::published_pool::PublishedPool;
use super::{BatchId, BatchOrder, BatchOutcome, BatchPool, PoolSection, PoolWait};
use crate::configuration::{Declarations, PoolKind};
use crate::identity::{AttemptId, MonotonicTime, RequestDigest, stable_hash};
use crate::pipeline::{PieceFault, PieceOrder, PlacedResult, ResultHandle};
use crate::rate_limiting::RateLimiter;
use crate::retry::RetryLimits;
use crate::routing::{ChangedUpstream, UpstreamDirectory};

/// Number of daemons that may dispatch a pool at the same time, for dividing the retry budget. Two
/// daemons spend retries while members disagree on the dispatcher.
const MAX_DISPATCHERS_PER_POOL: usize = 2;
/// Time without work after which a section is closed. Its results have expired by then, and its
/// retry budget and measured slowdowns have recovered.
const SECTION_IDLE_TIME: Duration = Duration::from_secs(30);

/// Forms the batch calls of all pool sections that this daemon dispatches.
///
/// A section is open only while this daemon has work for it. Any daemon may become the dispatcher
/// of any section, so keeping all of them open would cost each daemon state and time for every
/// upstream of the fleet.
#[derive(Debug, Default)]
pub struct BatchDispatcher {
    /// State of each open section, by section name.
    pub(super) pools: HashMap<String, BatchPool>,
    /// Rules and available upstreams of each pool, by pool name.
    pub(super) published: HashMap<String, PublishedPool>,
    /// Time until which each upstream has asked not to be called, by upstream name.
    backoffs: HashMap<String, MonotonicTime>,
    /// Section name of each batch call in flight.
    call_sections: HashMap<BatchId, String>,
    retries: RetryLimits,
    /// Token buckets of the upstreams that have announced a rate limit.
    limiter: Arc<RateLimiter>,
    /// Whether forming calls is paused, because the list of available upstreams is unreliable.
    is_paused: bool,
    last_batch_id: u64,
}

/// Action that the dispatcher requests from its daemon.
#[derive(Debug)]
pub enum DispatchAction {
    /// Send a batch call.
    Call(BatchOrder),
    /// Cancel a batch call and close its connection.
    Cancel(BatchId),
    /// Report the outcome of a step's pieces to the daemon that submitted them.
    ReportOutcome {
        /// Attempt that the pieces belong to.
        attempt: AttemptId,
        /// Section of the pool that processed the pieces.
        pool: String,
        /// Results in the order of the pieces, or the reason why there are none.
        outcome: Result<Vec<PlacedResult>, PieceFault>,
    },
    /// Free the results of another pool, which upstreams have fetched as inputs.
    FreeInputs {
        /// Section of the pool whose upstreams store the results.
        pool: String,
        /// Results to free.
        results: Vec<ResultHandle>,
    },
    /// Free results, except those stored at upstreams with a rate limit.
    FreeResults {
        /// Results to free.
        results: Vec<ResultHandle>,
        /// Addresses of the upstreams with a rate limit. Their requests are spent on calls, so
        /// their results expire instead.
        excluded: Vec<SocketAddr>,
    },
    /// Probe an upstream after a failed call. If the upstream has crashed, suspect a request of
    /// that call.
    ProbeUpstream {
        /// Digest that the request shares with its retries.
        digest: RequestDigest,
        /// Name of the upstream.
        upstream: String,
        /// Address at which the upstream listens.
        address: SocketAddr,
    },
    /// Query an upstream for its free memory for results.
    QueryFreeMemory {
        /// Name of the upstream.
        upstream: String,
        /// Address at which the upstream listens.
        address: SocketAddr,
    },
}

impl DispatchAction {
    /// An action that reports that all pieces of `attempt` have failed with `fault`.
    #[must_use]
    pub fn fail(attempt: AttemptId, pool: &str, fault: PieceFault) -> Self {
        Self::ReportOutcome { attempt, pool: pool.to_owned(), outcome: Err(fault) }
    }
}

impl BatchDispatcher {
    /// Sets the retry limits that all daemons share.
    pub fn set_retries(&mut self, limits: RetryLimits) {
        self.retries = limits;
    }

    /// Sets the rate limiter, which knows the upstreams that have announced a rate limit.
    pub fn set_limiter(&mut self, limiter: Arc<RateLimiter>) {
        self.limiter = limiter;
    }

    /// Pauses or resumes forming calls. Calls are paused while the list of available upstreams is
    /// unreliable.
    pub fn set_paused(&mut self, is_paused: bool) {
        self.is_paused = is_paused;
    }

    /// Applies the current pools and upstreams. `backoffs` holds, by upstream name, the time until
    /// which the upstream has asked not to be called.
    pub fn reconfigure(
        &mut self,
        declarations: &Declarations,
        directory: &UpstreamDirectory,
        backoffs: &HashMap<String, MonotonicTime>,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.published.clear();
        for (name, stage) in declarations.stages() {
            let PoolKind::Batch(rules) = stage.kind else { continue };
            let entries = directory.available_entries().filter(|entry| entry.pool == name);
            self.published.insert(name.to_owned(), PublishedPool::new(rules, entries));
        }
        for (name, pool) in &mut self.pools {
            let section = PoolSection::from_name(name);
            if let Some(published) = self.published.get(&section.pool) {
                pool.set_rules(published.rules);
                pool.set_upstreams(published.upstreams_in(&section), now);
            }
        }
        for (upstream, until) in backoffs {
            self.back_off(upstream, *until);
        }
        self.run_cycle(now, actions);
    }

    /// Applies changes of published upstreams. Only open sections that contain one of them are
    /// updated.
    pub fn apply_changes(
        &mut self,
        changes: &[ChangedUpstream],
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        for ChangedUpstream { name, entry, .. } in changes {
            for (pool, published) in &mut self.published {
                let entry = entry.as_ref().filter(|entry| entry.pool == *pool);
                if !published.replace(name, entry) {
                    continue;
                }
                let hash = stable_hash(&[name]);
                for (section, open) in &mut self.pools {
                    let section = PoolSection::from_name(section);
                    if section.pool == *pool && section.contains_hash(hash) {
                        open.set_upstreams(published.upstreams_in(&section), now);
                    }
                }
            }
        }
        self.run_cycle(now, actions);
    }

    /// Closes sections without work: at once if they are not part of their pool's current section
    /// count, the others after [`SECTION_IDLE_TIME`].
    fn close_sections(&mut self, now: MonotonicTime) {
        let published = &self.published;
        self.pools.retain(|name, pool| {
            let section = PoolSection::from_name(name);
            let count = published.get(&section.pool).map(PublishedPool::section_count);
            let is_current = count.is_some_and(|count| section.has_section_count(count));
            let is_recent = pool.idle_time(now).is_none_or(|idle| idle < SECTION_IDLE_TIME);
            !pool.is_idle() || (is_current && is_recent)
        });
        self.backoffs.retain(|_, until| *until > now);
    }

    /// Number of sections of `pool`, derived from the upstreams known to this daemon.
    #[must_use]
    pub fn section_count(&self, pool: &str) -> usize {
        self.published.get(pool).map_or(1, PublishedPool::section_count)
    }

    /// Number of sections that are open.
    #[must_use]
    pub fn open_sections(&self) -> usize {
        self.pools.len()
    }

    /// Opens the section `name`, unless it is open or its pool is unknown. A daemon with a
    /// different list of upstreams may name a section of another section count.
    fn open_section(&mut self, name: &str, now: MonotonicTime) {
        let section = PoolSection::from_name(name);
        let Some(published) = self.published.get(&section.pool) else { return };
        if self.pools.contains_key(name) {
            return;
        }
        let dispatchers = MAX_DISPATCHERS_PER_POOL * published.section_count();
        let budget = self.retries.budget(dispatchers);
        let mut pool = BatchPool::new(published.rules, budget).limiter(Arc::clone(&self.limiter));
        pool.set_upstreams(published.upstreams_in(&section), now);
        for (upstream, until) in &self.backoffs {
            pool.back_off(upstream, *until);
        }
        self.pools.insert(name.to_owned(), pool);
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
        let name = order.pool.clone();
        self.open_section(&name, now);
        let Some(pool) = self.pools.get_mut(&name) else {
            actions.push(DispatchAction::fail(order.attempt, &name, PieceFault::NoUpstream));
            return;
        };
        pool.submit(order, crash_count, now, actions);
        self.advance_section(&name, now, actions);
    }

    /// Fails the pieces of all requests with `digest`, because upstreams that ran such requests
    /// have crashed.
    pub fn fail_quarantined(&mut self, digest: RequestDigest, actions: &mut Vec<DispatchAction>) {
        for pool in self.pools.values_mut() {
            pool.fail_quarantined(digest, actions);
        }
    }

    /// Drops the pieces of `attempt`, whose results are no longer needed.
    pub fn cancel_attempt(&mut self, attempt: AttemptId, pool: &str) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.cancel_job(attempt);
        }
    }

    /// Marks `results` of `pool` as no longer needed.
    pub fn release(&mut self, pool: &str, results: Vec<ResultHandle>) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.release(results);
        }
    }

    /// Whether [`Self::free_unneeded_results`] has anything to do, now or soon.
    #[must_use]
    pub fn has_results_to_free(&self) -> bool {
        self.pools.values().any(BatchPool::has_results_to_free)
    }

    /// Requests that unneeded results be freed, and forms calls that use the memory of those freed
    /// before.
    pub fn free_unneeded_results(&mut self, now: MonotonicTime, actions: &mut Vec<DispatchAction>) {
        let with_results = self.pools.iter().filter(|(_, pool)| pool.has_results_to_free());
        let names: Vec<String> = with_results.map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(pool) = self.pools.get_mut(&name) {
                pool.free_fetched_inputs(now, actions);
            }
            let has_freed =
                self.pools.get_mut(&name).is_some_and(|pool| pool.free_unneeded_results(actions));
            if has_freed {
                self.advance_section(&name, now, actions);
            }
        }
    }

    /// Updates the pool after a batch call has ended with `outcome`. Outcomes of unknown calls are
    /// ignored.
    pub fn handle_outcome(
        &mut self,
        batch: BatchId,
        outcome: BatchOutcome,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(name) = self.call_sections.remove(&batch) else { return };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.handle_outcome(batch, outcome, now, actions);
        }
        self.advance_section(&name, now, actions);
    }

    /// Records the free memory for results at `upstream`, in bytes, or `None` if it did not answer
    /// the query.
    pub fn record_free_memory(
        &mut self,
        upstream: &str,
        free_bytes: Option<u64>,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        let owning_pools = self.pools.iter_mut().filter(|(_, pool)| pool.has_upstream(upstream));
        let names: Vec<String> = owning_pools
            .map(|(name, pool)| {
                pool.record_free_memory(upstream, free_bytes, now);
                name.clone()
            })
            .collect();
        for name in names {
            self.advance_section(&name, now, actions);
        }
    }

    /// Sends nothing to `upstream` until `until`, as it has requested.
    pub fn back_off(&mut self, upstream: &str, until: MonotonicTime) {
        self.backoffs.insert(upstream.to_owned(), until);
        for pool in self.pools.values_mut() {
            pool.back_off(upstream, until);
        }
    }

    /// Records that `upstream` reported `pace`, in percent of the usual time, at `now`.
    pub fn record_pace(&mut self, upstream: &str, pace: u32, now: MonotonicTime) {
        for pool in self.pools.values_mut() {
            pool.record_pace(upstream, pace, now);
        }
    }

    /// Records that `upstream` announced at `now` that it fails if it has to reject more than
    /// `max_rejections` calls in a second.
    pub fn record_brittle(&mut self, upstream: &str, max_rejections: u32, now: MonotonicTime) {
        for pool in self.pools.values_mut() {
            pool.record_brittle(upstream, max_rejections, now);
        }
    }

    /// Adjusts all timeouts after this process was paused for `pause`, which ended at `now`.
    pub fn resume_after_pause(&mut self, pause: Duration, now: MonotonicTime) {
        for pool in self.pools.values_mut() {
            pool.resume_after_pause(pause, now);
        }
    }

    /// Names of the sections that have an upstream with a rate limit, whether they are open or not.
    #[must_use]
    pub fn rate_limited_sections(&self) -> Vec<String> {
        let open = self.pools.iter().filter(|(_, pool)| pool.has_limits());
        let mut names: BTreeSet<String> = open.map(|(name, _)| name.clone()).collect();
        for upstream in self.limiter.limited_upstreams() {
            let pools = self.published.iter();
            let sections = pools.filter_map(|(name, pool)| pool.section_of(name, &upstream));
            names.extend(sections.map(|section| section.to_string()));
        }
        names.into_iter().collect()
    }

    /// Sets whether this daemon considers itself the only dispatcher of the section `pool`. Opens
    /// the section if so, because the time since then counts.
    pub fn set_sole_dispatcher(&mut self, pool: &str, is_sole: bool, now: MonotonicTime) {
        if is_sole {
            self.open_section(pool, now);
        }
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.set_sole_dispatcher(is_sole, now);
        }
    }

    /// Returns the undispatched pieces of the section `pool`, which another daemon now dispatches.
    /// `cut_off` tells whether this daemon can't connect to the upstreams of the pool.
    pub fn hand_over(&mut self, pool: &str, cut_off: bool, actions: &mut Vec<DispatchAction>) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.hand_over(cut_off, actions);
        }
    }

    /// Handles timeouts of all sections, and forms calls.
    pub fn run_cycle(&mut self, now: MonotonicTime, actions: &mut Vec<DispatchAction>) {
        self.close_sections(now);
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            self.advance_section(&name, now, actions);
        }
    }

    /// Expected wait of new pieces in the section `pool`.
    #[must_use]
    pub fn expected_wait(&mut self, pool: &str, now: MonotonicTime) -> PoolWait {
        self.pools.get_mut(pool).map_or(PoolWait::default(), |pool| pool.expected_wait(now))
    }

    /// Number of waiting pieces of each section, sorted by section name.
    #[must_use]
    pub fn waiting(&self) -> Vec<(String, usize)> {
        let mut waiting: Vec<_> =
            self.pools.iter().map(|(name, pool)| (name.clone(), pool.waiting())).collect();
        waiting.sort();
        waiting
    }

    /// Whether no piece is waiting and no call is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pools.values().all(BatchPool::is_idle)
    }

    fn advance_section(
        &mut self,
        name: &str,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        let (last_id, call_sections) = (&mut self.last_batch_id, &mut self.call_sections);
        let mut next_batch_id = || {
            *last_id += 1;
            call_sections.insert(BatchId(*last_id), name.to_owned());
            BatchId(*last_id)
        };
        let first_new = actions.len();
        if self.is_paused {
            pool.expire(now, actions);
        } else {
            pool.run_cycle(&mut next_batch_id, now, actions);
        }
        for action in &actions[first_new..] {
            if let DispatchAction::Cancel(batch) = action {
                self.call_sections.remove(batch);
            }
        }
    }
}
