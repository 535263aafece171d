//! Results that nobody needs any more, and the memory that they take up until upstreams are told.

use super::batch_worker::BatchWorker;
use super::{BatchPool, DispatchStep};
use crate::identity::MonotonicTime;
use crate::pipeline::{PieceSource, ResultHandle};

impl BatchPool {
    /// Nobody needs `results` any more.
    pub fn release(&mut self, results: Vec<ResultHandle>) {
        self.unwanted.extend(results);
    }

    /// Has unwanted results given up, and counts on those of the turn before being gone: the news
    /// must not overtake a call that needs their room. Returns whether there were any.
    pub fn turn_unwanted(&mut self, steps: &mut Vec<DispatchStep>) -> bool {
        let told = std::mem::replace(&mut self.told, std::mem::take(&mut self.unwanted));
        // What lies at an upstream that names a rate lapses: it takes calls instead of this news.
        let limited = |worker: &&BatchWorker| worker.limit.is_some();
        let spared = self.workers.values().filter(limited).map(|worker| worker.address).collect();
        for worker in self.workers.values_mut().filter(|worker| worker.limit.is_none()) {
            for result in &told {
                worker.room.release(result);
            }
        }
        if !self.told.is_empty() {
            steps.push(DispatchStep::Free { results: self.told.clone(), spared });
        }
        !self.told.is_empty() || !told.is_empty()
    }

    /// Gives up the inputs of jobs that were fetched.
    ///
    /// An upstream fetches them at the beginning of a call, and the memory of their maker bounds how full
    /// the calls of the pool before are. If the call fails, its pieces find their inputs gone, and the
    /// request's steps are begun anew.
    pub(super) fn free_fetched(&mut self, now: MonotonicTime, steps: &mut Vec<DispatchStep>) {
        while let Some((_, attempt)) = self.fetching.pop_front_if(|(at, _)| *at <= now) {
            let job = self.jobs.get(&attempt).filter(|job| job.waiting.is_empty());
            let Some(order) = job.map(|job| &job.order) else { continue };
            if let (Some(pool), PieceSource::Results(results)) = (&order.inputs_pool, &order.source)
            {
                let (pool, results) = (pool.clone(), results.clone());
                steps.push(DispatchStep::FreeInputs { pool, results });
            }
        }
    }
}
