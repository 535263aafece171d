use std::collections::{BTreeMap, HashMap};

use super::batch_job::BatchJob;
use super::batch_worker::BatchWorker;
use super::{BatchId, BatchItem, BatchOrder, BatchOutcome, DeskStep, ItemOutcome};
use crate::configuration::BatchRules;
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::{PieceFault, PieceOrder, PlacedResult, ResultHandle};
use crate::retry::RetryBudget;
use crate::routing::DirectoryEntry;

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
}

#[derive(Debug)]
struct OpenBatch {
    upstream: String,
    since: MonotonicTime,
    lost_at: MonotonicTime,
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

    /// Whether nothing waits and no call is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.open.is_empty()
    }

    /// Takes the pieces of a step.
    pub fn offer(&mut self, order: PieceOrder, now: MonotonicTime, steps: &mut Vec<DeskStep>) {
        let attempt = order.attempt;
        // Pieces that another dispatcher may have had made count as retries at the pool.
        if order.repeated {
            if !(0..order.pieces).all(|_| self.budget.spend(now)) {
                steps.push(DeskStep::fail(attempt, PieceFault::Failed));
                return;
            }
        } else {
            self.budget.earn(now);
        }
        if !self.workers.values().any(|worker| worker.staying) {
            steps.push(DeskStep::fail(attempt, PieceFault::NoUpstream));
            return;
        }
        let job = BatchJob::new(order);
        self.queue.insert((job.rank(), attempt), ());
        self.jobs.insert(attempt, job);
    }

    /// Nobody wants the results for `attempt` any more.
    pub fn withdraw(&mut self, attempt: AttemptId, steps: &mut Vec<DeskStep>) {
        let Some(job) = self.jobs.remove(&attempt) else { return };
        self.queue.remove(&(job.rank(), attempt));
        let made: Vec<ResultHandle> =
            job.results.into_iter().flatten().map(|result| result.handle).collect();
        if !made.is_empty() {
            steps.push(DeskStep::Free(made));
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
            free_made(outcome, steps);
            return;
        };
        let pieces = u32::try_from(open.items.len()).unwrap_or(u32::MAX);
        let time = now.since(open.since);
        let rules = self.rules;
        let worker = self.workers.get_mut(&open.upstream);
        let zone = worker.as_ref().map(|worker| worker.zone.clone()).unwrap_or_default();
        match outcome {
            BatchOutcome::Answered(items) if items.len() == open.items.len() => {
                if let Some(worker) = worker {
                    worker.answered(&rules, pieces, time, now);
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
                free_made(outcome, steps);
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
        while let Some(order) = self.form_call(next, now) {
            steps.push(DeskStep::Call(order));
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

    fn form_call(
        &mut self,
        next: &mut impl FnMut() -> BatchId,
        now: MonotonicTime,
    ) -> Option<BatchOrder> {
        let order = self.order_of_jobs(now);
        let zone = self.jobs.get(order.first()?)?.order.zone.clone();
        let upstream = self.free_upstream(zone.as_deref(), now)?;
        let (items, refs) = self.fill(&order, &upstream, now);
        if items.is_empty() {
            return None;
        }
        let pieces = u32::try_from(items.len()).unwrap_or(u32::MAX);
        let worker = self.workers.get_mut(&upstream)?;
        let lost_at = now + worker.patience(&self.rules, pieces, now);
        worker.begin(&self.rules, pieces, now);
        let address = worker.address;
        let batch = next();
        let open = OpenBatch { upstream: upstream.clone(), since: now, lost_at, items: refs };
        self.open.insert(batch, open);
        Some(BatchOrder { batch, upstream, address, items })
    }

    /// Jobs in the order in which they are served: those that can still be in time first, by the
    /// time at which they are needed; then the others, by the end of their time.
    fn order_of_jobs(&self, now: MonotonicTime) -> Vec<AttemptId> {
        let shortest = self.rules.expected(1);
        let in_time = |attempt: &AttemptId| {
            self.jobs.get(attempt).is_some_and(|job| now + shortest <= job.order.due)
        };
        let jobs = self.queue.keys().map(|(_, attempt)| *attempt);
        let (mut order, mut late): (Vec<AttemptId>, Vec<AttemptId>) = jobs.partition(in_time);
        late.sort_by_key(|attempt| {
            self.jobs.get(attempt).map(|job| (job.order.level, job.order.expires))
        });
        order.extend(late);
        order
    }

    /// A free upstream, one in `zone` before others; none if a busy one would be done sooner.
    fn free_upstream(&self, zone: Option<&str>, now: MonotonicTime) -> Option<String> {
        let pieces = self.rules.pieces / 2;
        let end = |worker: &BatchWorker| worker.end_of_next(&self.rules, pieces, now);
        let staying = self.workers.values().filter(|worker| worker.staying);
        let soonest = staying.map(end).min()?;
        // Half a call's time of difference is within what the pace of a call varies by.
        let bound = soonest + self.rules.expected(pieces) / 2;
        let free = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_free(&self.rules, now) && end(worker) <= bound);
        let away = |worker: &BatchWorker| zone.is_some_and(|zone| worker.zone != zone);
        let best = free.min_by_key(|(_, worker)| (away(worker), end(worker)));
        best.map(|(upstream, _)| upstream.clone())
    }

    /// Takes pieces out for a call of `upstream`. The pieces of a job stay together unless they
    /// are more than one call holds; jobs whose results are used in a zone with another free
    /// upstream are left to that one.
    fn fill(
        &mut self,
        order: &[AttemptId],
        upstream: &str,
        now: MonotonicTime,
    ) -> (Vec<BatchItem>, Vec<(AttemptId, u32)>) {
        let limit = self.rules.pieces.max(1) as usize;
        let own_zone = self.workers.get(upstream).map(|each| each.zone.clone()).unwrap_or_default();
        let free_zones: Vec<String> = self
            .workers
            .iter()
            .filter(|(name, worker)| *name != upstream && worker.is_free(&self.rules, now))
            .map(|(_, worker)| worker.zone.clone())
            .collect();
        let (mut items, mut refs) = (Vec::new(), Vec::new());
        for attempt in order {
            let Some(job) = self.jobs.get_mut(attempt) else { continue };
            let room = limit - items.len();
            let fits = job.waiting.len() <= room || items.is_empty();
            let elsewhere = job.order.zone.as_ref().is_some_and(|zone| {
                *zone != own_zone && free_zones.contains(zone) && !items.is_empty()
            });
            if room == 0 || !fits || elsewhere {
                continue;
            }
            let taken = job.take(room);
            refs.extend(taken.iter().map(|item| (*attempt, item.piece)));
            items.extend(taken);
            if job.waiting.is_empty() {
                self.queue.remove(&(job.rank(), *attempt));
            }
        }
        (items, refs)
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
                let result = PlacedResult { handle, zone: zone.to_owned() };
                self.made(attempt, piece, result, steps);
            }
            ItemOutcome::Late => self.fail(attempt, PieceFault::Late, steps),
            ItemOutcome::InputGone => self.fail(attempt, PieceFault::InputGone, steps),
            ItemOutcome::NoRoom | ItemOutcome::Failed => {
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
                steps.push(DeskStep::Free(vec![result.handle]));
                return;
            }
        }
        if !self.jobs.get(&attempt).is_some_and(BatchJob::is_made) {
            return;
        }
        if let Some(job) = self.jobs.remove(&attempt) {
            self.queue.remove(&(job.rank(), attempt));
            let results = job.results.into_iter().flatten().collect();
            steps.push(DeskStep::Settle { attempt, outcome: Ok(results) });
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
        if self.jobs.contains_key(&attempt) {
            self.withdraw(attempt, steps);
            steps.push(DeskStep::fail(attempt, fault));
        }
    }
}

/// Gives up results that nobody waits for.
fn free_made(outcome: BatchOutcome, steps: &mut Vec<DeskStep>) {
    let BatchOutcome::Answered(items) = outcome else { return };
    let made: Vec<ResultHandle> = items
        .into_iter()
        .filter_map(|item| match item {
            ItemOutcome::Made(handle) => Some(handle),
            _ => None,
        })
        .collect();
    if !made.is_empty() {
        steps.push(DeskStep::Free(made));
    }
}
