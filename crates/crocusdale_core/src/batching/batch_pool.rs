use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use super::batch_job::BatchJob;
use super::batch_worker::BatchWorker;
use super::open_batch::{OpenBatch, made_by};
use super::pool_forecast::InflowMeter;
use super::{BatchId, BatchOutcome, DispatchStep, ItemOutcome, PoolWait};
use crate::configuration::BatchRules;
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::{PieceFault, PieceOrder, PlacedResult, ResultHandle};
use crate::rate_limiting::RateLimiter;
use crate::retry::RetryBudget;

/// Waiting pieces and upstreams of one batched pool, at its dispatcher.
///
/// A call is formed the moment an upstream is free, from the pieces that are needed first. Waiting
/// for a call to fill would not pay: while all upstreams are busy, the calls fill by themselves.
#[derive(Debug)]
pub struct BatchPool {
    pub(super) rules: BatchRules,
    pub(super) workers: BTreeMap<String, BatchWorker>,
    pub(super) jobs: HashMap<AttemptId, BatchJob>,
    /// Jobs with waiting pieces, those needed first in front.
    pub(super) queue: BTreeMap<(MonotonicTime, AttemptId), ()>,
    pub(super) open: HashMap<BatchId, OpenBatch>,
    pub(super) budget: RetryBudget,
    /// Results that are to be given up with the next turn of the unwanted ones.
    pub(super) unwanted: Vec<ResultHandle>,
    /// Results whose upstreams have been told, and should have given them up by the next turn.
    pub(super) told: Vec<ResultHandle>,
    /// When this dispatcher last doubted what lies at the upstreams.
    pub(super) taken_over: Option<MonotonicTime>,
    /// Jobs all of whose pieces are in calls, with the time at which their inputs are fetched.
    pub(super) fetching: VecDeque<(MonotonicTime, AttemptId)>,
    /// When the pool last had work here.
    pub(super) last_work: Option<MonotonicTime>,
    /// Last reckoning of how long new pieces would wait, and when it was made.
    pub(super) last_wait: Option<(PoolWait, MonotonicTime)>,
    /// Since when the pool has had no room for late requests.
    pub(super) overloaded_since: Option<MonotonicTime>,
    /// When pieces of the job that was given up last should have ended: nobody who is refused finds
    /// room before.
    pub(super) full_until: Option<MonotonicTime>,
    /// When jobs that wait in vain were last looked for.
    pub(super) last_shed: Option<MonotonicTime>,
    /// Pieces that a usual call holds, of late.
    pub(super) usual_pieces: f64,
    /// Work that came in and could be in time.
    pub(super) inflow: InflowMeter,
    /// Upstreams that name a rate.
    pub(super) limiter: Arc<RateLimiter>,
    /// Since when this daemon is the dispatcher, as far as it knows; only asked for while upstreams of the
    /// pool name a rate.
    pub(super) sole_since: Option<MonotonicTime>,
}

impl BatchPool {
    /// A pool without upstreams.
    #[must_use]
    pub fn new(rules: BatchRules, budget: RetryBudget) -> Self {
        Self {
            rules,
            workers: BTreeMap::new(),
            jobs: HashMap::new(),
            queue: BTreeMap::new(),
            open: HashMap::new(),
            budget,
            unwanted: Vec::new(),
            told: Vec::new(),
            taken_over: None,
            fetching: VecDeque::new(),
            last_work: None,
            last_wait: None,
            overloaded_since: None,
            full_until: None,
            last_shed: None,
            usual_pieces: 1.0,
            inflow: InflowMeter::default(),
            limiter: Arc::default(),
            sole_since: None,
        }
    }

    /// Sets what knows the upstreams that name a rate.
    #[must_use]
    pub fn limiter(mut self, limiter: Arc<RateLimiter>) -> Self {
        self.limiter = limiter;
        self
    }

    /// What the upstreams are like.
    #[must_use]
    pub fn rules(&self) -> BatchRules {
        self.rules
    }

    /// Sets what the upstreams are like.
    pub fn set_rules(&mut self, rules: BatchRules) {
        self.rules = rules;
    }

    /// Whether `upstream` belongs to the pool.
    #[must_use]
    pub fn has_upstream(&self, upstream: &str) -> bool {
        self.workers.contains_key(upstream)
    }

    /// Number of pieces that wait for a call.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|job| job.waiting.len()).sum()
    }

    /// Whether nothing waits and no call is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.open.is_empty()
    }

    /// Takes the pieces of a step, whose request `ends` upstreams ended under.
    pub fn offer(
        &mut self,
        order: PieceOrder,
        ends: usize,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        let attempt = order.attempt;
        self.begin_work(order.repeated, now);
        if order.pieces == 0 {
            let pool = order.pool;
            steps.push(DispatchStep::Settle { attempt, pool, outcome: Ok(Vec::new()) });
            return;
        }
        // Pieces that another dispatcher may have had made count as retries at the pool.
        if order.repeated {
            if !(0..order.pieces).all(|_| self.budget.spend(now)) {
                steps.push(DispatchStep::fail(attempt, &order.pool, PieceFault::Failed));
                return;
            }
        } else {
            self.budget.earn(now);
        }
        if !self.workers.values().any(|worker| worker.staying) {
            steps.push(DispatchStep::fail(attempt, &order.pool, PieceFault::NoUpstream));
            return;
        }
        let mut job = BatchJob::new(order);
        job.note_breaks(ends);
        if job.is_ahead(now + self.rules.expected(1)) {
            self.note_inflow(job.order.pieces, now);
        }
        self.queue.insert((job.rank(), attempt), ());
        self.jobs.insert(attempt, job);
    }

    /// Doubts what lies at the upstreams if another dispatcher may have had work done there: after a
    /// time without work as long as results live, or when it is lost and its pieces come here.
    fn begin_work(&mut self, taken_over: bool, now: MonotonicTime) {
        let pause = self.last_work.replace(now).map(|last| now.since(last));
        let rested = pause.is_none_or(|pause| pause >= self.rules.result_life);
        if rested || (taken_over && !self.took_over_of_late(now)) {
            self.taken_over = Some(now);
            for worker in self.workers.values_mut() {
                worker.room.doubt();
            }
        }
    }

    fn took_over_of_late(&self, now: MonotonicTime) -> bool {
        self.taken_over.is_some_and(|since| now.since(since) < self.rules.result_life)
    }

    /// `upstream` wants nothing until `until`.
    pub fn stay_away(&mut self, upstream: &str, until: MonotonicTime) {
        if let Some(worker) = self.workers.get_mut(upstream) {
            worker.stay_away(until);
        }
    }

    /// An upstream said how many bytes for results are free there, or nothing.
    pub fn room_told(&mut self, upstream: &str, free: Option<u64>, now: MonotonicTime) {
        let rules = self.rules;
        if let Some(worker) = self.workers.get_mut(upstream) {
            worker.room.told(free, &rules, now);
        }
    }

    /// Nobody wants the results for `attempt` any more.
    pub fn withdraw(&mut self, attempt: AttemptId) {
        let Some(job) = self.jobs.remove(&attempt) else { return };
        self.queue.remove(&(job.rank(), attempt));
        let made: Vec<ResultHandle> =
            job.results.into_iter().flatten().map(|result| result.handle).collect();
        if !made.is_empty() {
            self.release(made);
        }
        // Calls with pieces of the job go on: an upstream does not stop a call that it works on,
        // and the results must be given up once they are known.
    }

    /// Takes the end of a call.
    pub fn answered(
        &mut self,
        batch: BatchId,
        outcome: BatchOutcome,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        let Some(open) = self.open.remove(&batch) else {
            self.release(made_by(outcome));
            return;
        };
        let pieces = u32::try_from(open.items.len()).unwrap_or(u32::MAX);
        let time = open.since.map(|since| now.since(since));
        let rules = self.rules;
        let mut worker = self.workers.get_mut(&open.upstream);
        if let Some(worker) = &mut worker {
            worker.room.unreserve(open.bytes);
        }
        let zone = worker.as_ref().map(|worker| worker.zone.clone()).unwrap_or_default();
        match outcome {
            BatchOutcome::Answered(items) if items.len() == open.items.len() => {
                if let Some(worker) = worker {
                    worker.answered(&rules, pieces, time, now);
                }
                let failed = items.iter().filter(|item| **item == ItemOutcome::Failed).count();
                if let Some(worker) = self.workers.get_mut(&open.upstream) {
                    worker.note_failed(u32::try_from(failed).unwrap_or(u32::MAX), pieces, now);
                }
                for ((job, piece), item) in open.items.iter().zip(items) {
                    self.item_ended((*job, *piece), item, &open.upstream, &zone, now, steps);
                }
            }
            outcome => {
                if let Some(worker) = worker {
                    match outcome {
                        BatchOutcome::Declined => worker.declined(now),
                        BatchOutcome::WrongProcess => worker.displaced(now),
                        _ => worker.failed(&rules, pieces, time, now),
                    }
                }
                if matches!(outcome, BatchOutcome::Broken) {
                    self.suspect(&open, steps);
                }
                self.release(made_by(outcome));
                for (job, piece) in open.items {
                    self.put_back(job, piece, now, steps);
                }
            }
        }
    }

    /// Gives up calls that are lost and jobs whose time is over, and forms calls.
    pub fn turn(
        &mut self,
        next: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        self.refresh_limits(now);
        self.give_up(now, steps);
        for worker in self.workers.values_mut() {
            worker.room.forget_lapsed(now);
        }
        if !self.queue.is_empty() {
            self.ask_for_room(now, steps);
        }
        self.form_calls(next, now, steps);
    }

    /// Gives up calls that are lost, and pieces that nobody can have made in time.
    pub fn give_up(&mut self, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        self.give_up_lost(now, steps);
        self.give_up_late(now, steps);
        self.shed_unservable(now, steps);
    }

    fn ask_for_room(&mut self, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        // An upstream that names a rate gets calls for what it takes, and no questions.
        let wanting = self
            .workers
            .iter_mut()
            .filter(|(_, worker)| worker.staying && !worker.is_away(now) && worker.limit.is_none());
        for (upstream, worker) in wanting {
            if worker.room.must_ask(now) {
                let (upstream, address) = (upstream.clone(), worker.address);
                steps.push(DispatchStep::AskRoom { upstream, address });
            }
        }
    }

    fn give_up_lost(&mut self, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        let lost = self.open.iter().filter(|(_, open)| now >= open.lost_at);
        let lost: Vec<BatchId> = lost.map(|(batch, _)| *batch).collect();
        for batch in lost {
            steps.push(DispatchStep::Cancel(batch));
            self.answered(batch, BatchOutcome::Broken, now, steps);
        }
    }

    fn give_up_late(&mut self, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        let shortest = self.rules.expected(1);
        let late = self.queue.keys().filter(|(_, attempt)| {
            self.jobs.get(attempt).is_none_or(|job| now + shortest > job.order.expires)
        });
        let late: Vec<AttemptId> = late.map(|(_, attempt)| *attempt).collect();
        for attempt in late {
            self.fail(attempt, PieceFault::Late, steps);
        }
    }

    fn item_ended(
        &mut self,
        (attempt, piece): (AttemptId, u32),
        outcome: ItemOutcome,
        upstream: &str,
        zone: &str,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        match outcome {
            ItemOutcome::Made(handle) => {
                let bytes = self.jobs.get(&attempt).map_or(0, |job| job.order.result_bytes);
                if let Some(worker) = self.workers.get_mut(upstream) {
                    worker.room.hold(handle.clone(), bytes, now + self.rules.result_life);
                }
                let result = PlacedResult { handle, zone: zone.to_owned() };
                self.made(attempt, piece, result, steps);
            }
            ItemOutcome::Late => self.fail(attempt, PieceFault::Late, steps),
            ItemOutcome::InputGone => self.fail(attempt, PieceFault::InputGone, steps),
            ItemOutcome::Failed => self.put_back(attempt, piece, now, steps),
            ItemOutcome::NoRoom => {
                if let Some(worker) = self.workers.get_mut(upstream) {
                    worker.overloaded(now);
                }
                self.put_back(attempt, piece, now, steps);
            }
        }
    }

    fn made(
        &mut self,
        attempt: AttemptId,
        piece: u32,
        result: PlacedResult,
        steps: &mut Vec<DispatchStep>,
    ) {
        let job = self.jobs.get_mut(&attempt);
        let place = job.and_then(|job| job.results.get_mut(piece as usize));
        match place {
            Some(place) if place.is_none() => *place = Some(result),
            _ => {
                self.unwanted.push(result.handle);
                return;
            }
        }
        if !self.jobs.get(&attempt).is_some_and(BatchJob::is_made) {
            return;
        }
        if let Some(job) = self.jobs.remove(&attempt) {
            self.queue.remove(&(job.rank(), attempt));
            let results = job.results.into_iter().flatten().collect();
            let pool = job.order.pool;
            steps.push(DispatchStep::Settle { attempt, pool, outcome: Ok(results) });
        }
    }

    /// Lets a piece wait for another call, if the retry budget allows it.
    fn put_back(
        &mut self,
        attempt: AttemptId,
        piece: u32,
        now: MonotonicTime,
        steps: &mut Vec<DispatchStep>,
    ) {
        if !self.jobs.contains_key(&attempt) {
            return;
        }
        if !self.budget.spend(now) {
            self.fail(attempt, PieceFault::Failed, steps);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&attempt) {
            job.put_back(piece);
            self.queue.insert((job.rank(), attempt), ());
        }
    }

    pub(super) fn fail(
        &mut self,
        attempt: AttemptId,
        fault: PieceFault,
        steps: &mut Vec<DispatchStep>,
    ) {
        if let Some(job) = self.jobs.get(&attempt) {
            steps.push(DispatchStep::fail(attempt, &job.order.pool, fault));
            self.withdraw(attempt);
        }
    }
}
