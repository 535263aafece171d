use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{BatchId, BatchOrder, BatchOutcome, BatchPool, PoolSection, PoolWait};
use crate::configuration::{BatchRules, Declarations, PoolKind};
use crate::identity::{AttemptId, MonotonicTime, RequestDigest, stable_hash};
use crate::pipeline::{PieceFault, PieceOrder, PlacedResult, ResultHandle};
use crate::rate_limiting::RateLimiter;
use crate::retry::RetryLimits;
use crate::routing::{DirectoryEntry, UpstreamDirectory};

/// Dispatchers that a pool may have at one time, for the retry budget: while members disagree on
/// the dispatcher, two daemons spend.
const DISPATCHERS: usize = 2;

/// The batched pools that this daemon dispatches, or would if it were asked to.
#[derive(Debug, Default)]
pub struct BatchDispatcher {
    /// By the names of their sections.
    pools: HashMap<String, BatchPool>,
    /// Published upstreams of each pool that stay, with the hashes of their names.
    upstreams: HashMap<String, Vec<(u64, DirectoryEntry)>>,
    /// Section of each open call.
    calls: HashMap<BatchId, String>,
    retries: RetryLimits,
    /// Upstreams that have named a rate.
    limiter: Arc<RateLimiter>,
    /// Whether no call may be formed, because it is not known which upstreams stay.
    held: bool,
    next: u64,
}

/// What a dispatcher wants done.
#[derive(Debug)]
pub enum DispatchStep {
    /// Call an upstream.
    Call(BatchOrder),
    /// Give up a call, and close its connection.
    Cancel(BatchId),
    /// Tell whoever offered them what became of pieces.
    Settle {
        /// Attempt that the pieces were for.
        attempt: AttemptId,
        /// Their pool.
        pool: String,
        /// Their results in order, or why there are none.
        outcome: Result<Vec<PlacedResult>, PieceFault>,
    },
    /// Give up results of another pool that were fetched.
    FreeInputs {
        /// Pool whose upstreams hold them.
        pool: String,
        /// The results.
        results: Vec<ResultHandle>,
    },
    /// Give up results, but for those that lie at upstreams that name a rate.
    Free {
        /// The results.
        results: Vec<ResultHandle>,
        /// Addresses of those upstreams.
        spared: Vec<SocketAddr>,
    },
    /// Look at an upstream that broke off a call, and suspect a request of that call if it has ended.
    Suspect {
        /// What the request has in common with its repeats.
        digest: RequestDigest,
        /// Name of the upstream.
        upstream: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask an upstream how much of its memory for results is free.
    AskRoom {
        /// Name of the upstream.
        upstream: String,
        /// Where it listens.
        address: SocketAddr,
    },
}

impl DispatchStep {
    /// Tells that pieces have no results.
    #[must_use]
    pub fn fail(attempt: AttemptId, pool: &str, fault: PieceFault) -> Self {
        Self::Settle { attempt, pool: pool.to_owned(), outcome: Err(fault) }
    }
}

impl BatchDispatcher {
    /// Sets how many retries the daemons may make together.
    pub fn set_retries(&mut self, limits: RetryLimits) {
        self.retries = limits;
    }

    /// Sets what knows the upstreams that have named a rate.
    pub fn set_limiter(&mut self, limiter: Arc<RateLimiter>) {
        self.limiter = limiter;
    }

    /// Sets whether no call may be formed, because it is not known which upstreams stay.
    pub fn hold(&mut self, held: bool) {
        self.held = held;
    }

    /// Takes pools and upstreams as they are now, of which those `away` want nothing for a while.
    pub fn reconfigure(
        &mut self,
        declarations: &Declarations,
        directory: &UpstreamDirectory,
        away: &HashMap<String, MonotonicTime>,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        for (name, stage) in declarations.stages() {
            let PoolKind::Batch(rules) = stage.kind else { continue };
            let staying = directory.staying().filter(|entry| entry.pool == name);
            let staying = staying.map(|entry| (stable_hash(&[&entry.name()]), entry.clone()));
            self.upstreams.insert(name.to_owned(), staying.collect());
            for section in PoolSection::all(name, self.sections(name)) {
                self.open_section(&section, rules, now);
            }
            // Sections of before still hold work, and share their upstreams with those of now.
            let pools = self.pools.iter_mut().map(|(name, pool)| (PoolSection::named(name), pool));
            for (section, pool) in pools.filter(|(section, _)| section.pool == name) {
                pool.set_rules(rules);
                pool.set_upstreams(upstreams_of(&section, &self.upstreams), now);
            }
        }
        let declared = |pool: &str| {
            declarations.stage(pool).is_some_and(|stage| matches!(stage.kind, PoolKind::Batch(_)))
        };
        self.upstreams.retain(|name, _| declared(name));
        for (upstream, until) in away {
            self.stay_away(upstream, *until);
        }
        self.turn(now, steps);
    }

    /// Closes sections that are none of a pool's any more, once they are idle.
    fn close_sections(&mut self) {
        let upstreams = &self.upstreams;
        self.pools.retain(|name, pool| {
            let section = PoolSection::named(name);
            let count = upstreams.get(&section.pool).map(|all| PoolSection::count(all.len()));
            count.is_some_and(|count| section.is_one_of(count)) || !pool.is_idle()
        });
    }

    /// Number of sections of `pool`, by the upstreams that are known here.
    #[must_use]
    pub fn sections(&self, pool: &str) -> usize {
        PoolSection::count(self.upstreams.get(pool).map_or(0, Vec::len))
    }

    fn open_section(&mut self, section: &PoolSection, rules: BatchRules, now: MonotonicTime) {
        let name = section.to_string();
        if self.pools.contains_key(&name) {
            return;
        }
        let budget = self.retries.budget(DISPATCHERS * self.sections(&section.pool));
        let mut pool = BatchPool::new(rules, budget).limiter(Arc::clone(&self.limiter));
        pool.set_upstreams(upstreams_of(section, &self.upstreams), now);
        self.pools.insert(name, pool);
    }

    /// Opens a section that a daemon with another list asks for, if its pool is known.
    fn open_foreign(&mut self, name: &str, now: MonotonicTime) {
        let section = PoolSection::named(name);
        let mut known = self.pools.iter();
        let known = known.find(|(known, _)| PoolSection::named(known).pool == section.pool);
        if let Some(rules) = known.map(|(_, pool)| pool.rules()) {
            self.open_section(&section, rules, now);
        }
    }

    /// Takes the pieces of a step, whose request `ends` upstreams ended under.
    pub fn offer(
        &mut self,
        order: PieceOrder,
        ends: usize,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        let name = order.pool.clone();
        if !self.pools.contains_key(&name) {
            self.open_foreign(&name, now);
        }
        let Some(pool) = self.pools.get_mut(&name) else {
            steps.push(DispatchStep::fail(order.attempt, &name, PieceFault::NoUpstream));
            return;
        };
        pool.offer(order, ends, now, steps);
        self.turn_pool(&name, now, steps);
    }

    /// Gives up the pieces of requests like `digest`, under which upstreams ended.
    pub fn end_quarantined(&mut self, digest: RequestDigest, steps: &mut Vec<DispatchStep>) {
        for pool in self.pools.values_mut() {
            pool.end_quarantined(digest, steps);
        }
    }

    /// Nobody wants the results for `attempt` any more.
    pub fn withdraw(&mut self, attempt: AttemptId, pool: &str) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.withdraw(attempt);
        }
    }

    /// Nobody needs `results` of `pool` any more.
    pub fn release(&mut self, pool: &str, results: Vec<ResultHandle>) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.release(results);
        }
    }

    /// Has unwanted results given up, and forms calls that take their room.
    pub fn turn_unwanted(&mut self, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            if let Some(pool) = self.pools.get_mut(&name) {
                pool.free_fetched(now, steps);
            }
            let freed = self.pools.get_mut(&name).is_some_and(|pool| pool.turn_unwanted(steps));
            if freed {
                self.turn_pool(&name, now, steps);
            }
        }
    }

    /// Takes the end of a call.
    pub fn answered(
        &mut self,
        batch: BatchId,
        outcome: BatchOutcome,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        let Some(name) = self.calls.remove(&batch) else { return };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.answered(batch, outcome, now, steps);
        }
        self.turn_pool(&name, now, steps);
    }

    /// An upstream said how many bytes for results are free there, or nothing.
    pub fn room_told(
        &mut self,
        upstream: &str,
        free: Option<u64>,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        let with_it = self.pools.iter_mut().filter(|(_, pool)| pool.has_upstream(upstream));
        let names: Vec<String> = with_it
            .map(|(name, pool)| {
                pool.room_told(upstream, free, now);
                name.clone()
            })
            .collect();
        for name in names {
            self.turn_pool(&name, now, steps);
        }
    }

    /// `upstream` wants nothing until `until`.
    pub fn stay_away(&mut self, upstream: &str, until: MonotonicTime) {
        for pool in self.pools.values_mut() {
            pool.stay_away(upstream, until);
        }
    }

    /// This process was paused for `pause` until now.
    pub fn woke(&mut self, pause: Duration, now: MonotonicTime) {
        for pool in self.pools.values_mut() {
            pool.woke(pause, now);
        }
    }

    /// Pools with upstreams that name a rate.
    #[must_use]
    pub fn limited_pools(&self) -> Vec<String> {
        let limited = self.pools.iter().filter(|(_, pool)| pool.has_limits());
        limited.map(|(name, _)| name.clone()).collect()
    }

    /// Sets whether this daemon is the dispatcher of `pool`, as far as it knows.
    pub fn set_sole(&mut self, pool: &str, is_sole: bool, now: MonotonicTime) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.set_sole(is_sole, now);
        }
    }

    /// Hands over what waits in `pool`, which another daemon dispatches now.
    pub fn hand_over(&mut self, pool: &str, steps: &mut Vec<DispatchStep>) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.hand_over(steps);
        }
    }

    /// Lets time pass for all pools.
    pub fn turn(&mut self, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        self.close_sections();
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            self.turn_pool(&name, now, steps);
        }
    }

    /// How long new pieces would wait in `pool`.
    #[must_use]
    pub fn expected_wait(&mut self, pool: &str, now: MonotonicTime) -> PoolWait {
        self.pools.get_mut(pool).map_or(PoolWait::default(), |pool| pool.expected_wait(now))
    }

    /// Pieces that wait, by pool.
    #[must_use]
    pub fn waiting(&self) -> Vec<(String, usize)> {
        let mut waiting: Vec<_> =
            self.pools.iter().map(|(name, pool)| (name.clone(), pool.waiting())).collect();
        waiting.sort();
        waiting
    }

    /// Whether nothing waits and no call is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pools.values().all(BatchPool::is_idle)
    }

    fn turn_pool(&mut self, name: &str, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        let (next, calls) = (&mut self.next, &mut self.calls);
        let mut number = || {
            *next += 1;
            calls.insert(BatchId(*next), name.to_owned());
            BatchId(*next)
        };
        let before = steps.len();
        if self.held {
            pool.give_up(now, steps);
        } else {
            pool.turn(&mut number, now, steps);
        }
        for step in &steps[before..] {
            if let DispatchStep::Cancel(batch) = step {
                self.calls.remove(batch);
            }
        }
    }
}

/// Upstreams of `section` among those of all pools.
fn upstreams_of<'a>(
    section: &'a PoolSection,
    pools: &'a HashMap<String, Vec<(u64, DirectoryEntry)>>,
) -> impl Iterator<Item = &'a DirectoryEntry> {
    let upstreams = pools.get(&section.pool).into_iter().flatten();
    upstreams.filter(|(hash, _)| section.holds(*hash)).map(|(_, entry)| entry)
}
