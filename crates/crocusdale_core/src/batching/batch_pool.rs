use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::batch_job::BatchJob;
use super::batch_worker::BatchWorker;
use super::{BatchId, BatchItem, BatchOrder, BatchOutcome, DeskStep, ItemOutcome};
use crate::configuration::BatchRules;
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::{PieceFault, PieceOrder, PlacedResult, ResultHandle};
use crate::retry::RetryBudget;
use crate::routing::DirectoryEntry;

/// Time for which a reckoning of the wait is good: it looks at all jobs, and each call that ends
/// asks for it several times.
const WAIT_LIFE: Duration = Duration::from_millis(10);

/// Waiting pieces and upstreams of one batched pool, at its dispatcher.
///
/// A call is formed the moment an upstream is free, from the pieces that are needed first. Waiting
/// for a call to fill would not pay: while all upstreams are busy, the calls fill by themselves.
#[derive(Debug)]
pub struct BatchPool {
    rules: BatchRules,
    workers: BTreeMap<String, BatchWorker>,
    jobs: HashMap<AttemptId, BatchJob>,
    /// Jobs with waiting pieces, those needed first in front.
    queue: BTreeMap<(MonotonicTime, AttemptId), ()>,
    open: HashMap<BatchId, OpenBatch>,
    budget: RetryBudget,
    /// Results that are to be given up with the next turn of the unwanted ones.
    unwanted: Vec<ResultHandle>,
    /// Results whose upstreams have been told, and should have given them up by the next turn.
    told: Vec<ResultHandle>,
    /// Last reckoning of how long new pieces would wait, and when it was made.
    last_wait: Option<(Duration, MonotonicTime)>,
}

/// Jobs in the order in which they are served, for one turn.
#[derive(Debug)]
struct JobLine {
    order: Vec<AttemptId>,
    /// Whether more waits than all upstreams can take at once.
    crowded: bool,
}

#[derive(Debug)]
struct OpenBatch {
    upstream: String,
    since: MonotonicTime,
    lost_at: MonotonicTime,
    /// Memory that is kept for the results, in bytes.
    bytes: u64,
    /// Job and piece of each item.
    items: Vec<(AttemptId, u32)>,
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
            last_wait: None,
        }
    }

    /// Sets what the upstreams are like.
    pub fn set_rules(&mut self, rules: BatchRules) {
        self.rules = rules;
    }

    /// Sets the upstreams; those that are left out or leaving get no new calls.
    pub fn set_upstreams<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a DirectoryEntry>,
        now: MonotonicTime,
    ) {
        for worker in self.workers.values_mut() {
            worker.staying = false;
        }
        for entry in entries {
            let fresh = || BatchWorker::new(entry, now);
            let worker = self.workers.entry(entry.id.clone()).or_insert_with(fresh);
            worker.staying = !entry.leaving;
        }
        self.workers.retain(|_, worker| worker.staying || worker.open > 0);
    }

    /// Number of pieces that wait for a call.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|job| job.waiting.len()).sum()
    }

    /// How long new pieces of a request that can still be in time would wait for their call: the
    /// work before them, shared by the upstreams, behind the call that ends first.
    #[must_use]
    pub fn expected_wait(&mut self, now: MonotonicTime) -> Duration {
        if let Some((wait, at)) = self.last_wait.filter(|(_, at)| now.since(*at) < WAIT_LIFE) {
            return wait.saturating_sub(now.since(at));
        }
        let wait = self.reckon_wait(now);
        self.last_wait = Some((wait, now));
        wait
    }

    fn reckon_wait(&self, now: MonotonicTime) -> Duration {
        let staying: Vec<&BatchWorker> =
            self.workers.values().filter(|worker| worker.staying).collect();
        let Some(first) = staying.iter().map(|each| each.free_in(&self.rules, now)).min() else {
            return Duration::ZERO;
        };
        let shortest = self.rules.expected(1);
        let ahead = self.jobs.values().filter(|job| job.is_ahead(now + shortest));
        let pieces: usize = ahead.map(|job| job.waiting.len()).sum();
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        let calls = pieces / self.rules.pieces.max(1);
        let work = self.rules.call_time * calls + self.rules.piece_time * pieces;
        first + work / u32::try_from(staying.len()).unwrap_or(1).max(1)
    }

    /// Whether nothing waits and no call is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.open.is_empty()
    }

    /// Takes the pieces of a step.
    pub fn offer(&mut self, order: PieceOrder, now: MonotonicTime, steps: &mut Vec<DeskStep>) {
        let attempt = order.attempt;
        if order.pieces == 0 {
            let pool = order.pool;
            steps.push(DeskStep::Settle { attempt, pool, outcome: Ok(Vec::new()) });
            return;
        }
        // Pieces that another dispatcher may have had made count as retries at the pool.
        if order.repeated {
            if !(0..order.pieces).all(|_| self.budget.spend(now)) {
                steps.push(DeskStep::fail(attempt, &order.pool, PieceFault::Failed));
                return;
            }
        } else {
            self.budget.earn(now);
        }
        if !self.workers.values().any(|worker| worker.staying) {
            steps.push(DeskStep::fail(attempt, &order.pool, PieceFault::NoUpstream));
            return;
        }
        let job = BatchJob::new(order);
        self.queue.insert((job.rank(), attempt), ());
        self.jobs.insert(attempt, job);
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
        steps: &mut Vec<DeskStep>,
    ) {
        let Some(open) = self.open.remove(&batch) else {
            self.release(made_by(outcome));
            return;
        };
        let pieces = u32::try_from(open.items.len()).unwrap_or(u32::MAX);
        let time = now.since(open.since);
        let rules = self.rules;
        let mut worker = self.workers.get_mut(&open.upstream);
        if let Some(worker) = &mut worker {
            worker.unreserve(open.bytes);
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
        steps: &mut Vec<DeskStep>,
    ) {
        self.give_up_lost(now, steps);
        self.give_up_late(now, steps);
        for worker in self.workers.values_mut() {
            worker.forget_lapsed(now);
        }
        self.form_calls(next, now, steps);
    }

    /// Forms calls while upstreams are free. A large pool has hundreds of upstreams and thousands
    /// of waiting jobs: what looks at all of them is done once a turn, and only if one is free.
    fn form_calls(
        &mut self,
        next: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
        steps: &mut Vec<DeskStep>,
    ) {
        if self.queue.is_empty() || self.free_upstreams(now).is_empty() {
            return;
        }
        // While more waits than all upstreams can take at once, a call that is not full is lost.
        let at_once = self.rules.pieces.max(1) as usize * self.workers.len();
        let line = JobLine { order: self.order_of_jobs(now), crowded: self.waiting() > at_once };
        loop {
            let free = self.free_upstreams(now);
            let call = free.iter().find_map(|upstream| self.call_of(upstream, &line, next, now));
            let Some(call) = call else { return };
            steps.push(DeskStep::Call(call));
        }
    }

    fn give_up_lost(&mut self, now: MonotonicTime, steps: &mut Vec<DeskStep>) {
        let lost = self.open.iter().filter(|(_, open)| now >= open.lost_at);
        let lost: Vec<BatchId> = lost.map(|(batch, _)| *batch).collect();
        for batch in lost {
            steps.push(DeskStep::Cancel(batch));
            self.answered(batch, BatchOutcome::Broken, now, steps);
        }
    }

    fn give_up_late(&mut self, now: MonotonicTime, steps: &mut Vec<DeskStep>) {
        let shortest = self.rules.expected(1);
        let late = self.queue.keys().filter(|(_, attempt)| {
            self.jobs.get(attempt).is_none_or(|job| now + shortest > job.order.expires)
        });
        let late: Vec<AttemptId> = late.map(|(_, attempt)| *attempt).collect();
        for attempt in late {
            self.fail(attempt, PieceFault::Late, steps);
        }
    }

    /// A call of `upstream` with the first of the jobs in `line` that go there.
    fn call_of(
        &mut self,
        upstream: &str,
        line: &JobLine,
        next: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
    ) -> Option<BatchOrder> {
        let (items, refs, bytes) = self.fill(line, upstream, now);
        if items.is_empty() {
            return None;
        }
        let pieces = u32::try_from(items.len()).unwrap_or(u32::MAX);
        let worker = self.workers.get_mut(upstream)?;
        let lost_at = now + worker.patience(&self.rules, pieces, now);
        worker.begin(&self.rules, pieces, now);
        worker.reserve(bytes);
        let address = worker.address;
        let batch = next();
        let upstream = upstream.to_owned();
        let open =
            OpenBatch { upstream: upstream.clone(), since: now, lost_at, bytes, items: refs };
        self.open.insert(batch, open);
        Some(BatchOrder { batch, upstream, address, items })
    }

    /// Jobs in the order in which they are served: first those that can still be in time, and those
    /// of requests that have been worked on, by the time at which they are needed; then the others,
    /// by priority and the end of their time.
    fn order_of_jobs(&self, now: MonotonicTime) -> Vec<AttemptId> {
        let shortest = self.rules.expected(1);
        let in_time = |attempt: &AttemptId| {
            self.jobs.get(attempt).is_some_and(|job| job.is_ahead(now + shortest))
        };
        let jobs = self.queue.keys().map(|(_, attempt)| *attempt);
        let (mut order, mut late): (Vec<AttemptId>, Vec<AttemptId>) = jobs.partition(in_time);
        late.sort_by_key(|attempt| {
            self.jobs.get(attempt).map(|job| (job.order.level, job.order.expires))
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
        line: &JobLine,
        upstream: &str,
        now: MonotonicTime,
    ) -> (Vec<BatchItem>, Vec<(AttemptId, u32)>, u64) {
        let limit = self.rules.pieces.max(1) as usize;
        let (mut items, mut refs, mut bytes) = (Vec::new(), Vec::new(), 0);
        let Some(worker) = self.workers.get(upstream) else { return (items, refs, bytes) };
        let (own_zone, room) = (worker.zone.clone(), worker.room(&self.rules));
        // Later steps wait for their calls too: a job that uses up all of its time here is late.
        let margin = self.rules.expected(self.rules.pieces / 2);
        let zones = zone_ends(&self.workers, &self.rules, now);
        for attempt in &line.order {
            if items.len() == limit {
                break;
            }
            let waits = |job: &&mut BatchJob| !job.waiting.is_empty();
            let Some(job) = self.jobs.get_mut(attempt).filter(waits) else { continue };
            let useful = if now < job.order.due { job.order.due } else { job.order.expires };
            let elsewhere = job.order.zone.as_ref().is_some_and(|zone| {
                let end = zones.get(zone.as_str());
                *zone != own_zone && end.is_some_and(|end| *end + margin <= useful)
            });
            let fitting = room.saturating_sub(bytes) / job.order.result_bytes.max(1);
            let fitting = usize::try_from(fitting).unwrap_or(usize::MAX).min(limit - items.len());
            let whole = job.waiting.len() <= fitting || items.is_empty() || line.crowded;
            if fitting == 0 || !whole || elsewhere {
                continue;
            }
            let taken = job.take(fitting);
            bytes += job.order.result_bytes * taken.len() as u64;
            refs.extend(taken.iter().map(|item| (*attempt, item.piece)));
            items.extend(taken);
            if job.waiting.is_empty() {
                self.queue.remove(&(job.rank(), *attempt));
            }
        }
        (items, refs, bytes)
    }

    /// Nobody needs `results` any more.
    pub fn release(&mut self, results: Vec<ResultHandle>) {
        self.unwanted.extend(results);
    }

    /// Has unwanted results given up, and counts on those of the turn before being gone: the news
    /// must not overtake a call that needs their room. Returns whether there were any.
    pub fn turn_unwanted(&mut self, steps: &mut Vec<DeskStep>) -> bool {
        let told = std::mem::replace(&mut self.told, std::mem::take(&mut self.unwanted));
        for worker in self.workers.values_mut() {
            for result in &told {
                worker.free(result);
            }
        }
        if !self.told.is_empty() {
            steps.push(DeskStep::Free(self.told.clone()));
        }
        !self.told.is_empty() || !told.is_empty()
    }

    fn item_ended(
        &mut self,
        (attempt, piece): (AttemptId, u32),
        outcome: ItemOutcome,
        upstream: &str,
        zone: &str,
        now: MonotonicTime,
        steps: &mut Vec<DeskStep>,
    ) {
        match outcome {
            ItemOutcome::Made(handle) => {
                let bytes = self.jobs.get(&attempt).map_or(0, |job| job.order.result_bytes);
                if let Some(worker) = self.workers.get_mut(upstream) {
                    worker.hold(handle.clone(), bytes, now + self.rules.result_life);
                }
                let result = PlacedResult { handle, zone: zone.to_owned() };
                self.made(attempt, piece, result, steps);
            }
            ItemOutcome::Late => self.fail(attempt, PieceFault::Late, steps),
            ItemOutcome::InputGone => self.fail(attempt, PieceFault::InputGone, steps),
            ItemOutcome::Failed => self.put_back(attempt, piece, now, steps),
            ItemOutcome::NoRoom => {
                if let Some(worker) = self.workers.get_mut(upstream) {
                    worker.crowded(now);
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
        steps: &mut Vec<DeskStep>,
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
            steps.push(DeskStep::Settle { attempt, pool, outcome: Ok(results) });
        }
    }

    /// Lets a piece wait for another call, if the retry budget allows it.
    fn put_back(
        &mut self,
        attempt: AttemptId,
        piece: u32,
        now: MonotonicTime,
        steps: &mut Vec<DeskStep>,
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

    fn fail(&mut self, attempt: AttemptId, fault: PieceFault, steps: &mut Vec<DeskStep>) {
        if let Some(job) = self.jobs.get(&attempt) {
            steps.push(DeskStep::fail(attempt, &job.order.pool, fault));
            self.withdraw(attempt);
        }
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

/// Results that a call made.
fn made_by(outcome: BatchOutcome) -> Vec<ResultHandle> {
    let BatchOutcome::Answered(items) = outcome else { return Vec::new() };
    let made = items.into_iter().filter_map(|item| match item {
        ItemOutcome::Made(handle) => Some(handle),
        _ => None,
    });
    made.collect()
}
