//! Freeing of results that are no longer needed, and of the upstream memory that they occupy.

use super::batch_worker::BatchWorker;
use super::{BatchPool, DispatchAction};
use crate::identity::MonotonicTime;
use crate::pipeline::{PieceSource, ResultHandle};

impl BatchPool {
    /// Marks `results` as no longer needed. They are freed in the next cycle.
    pub fn release(&mut self, results: Vec<ResultHandle>) {
        self.unneeded_results.extend(results);
    }

    /// Whether a result is unneeded, or an input is being fetched and unneeded afterwards.
    #[must_use]
    pub fn has_results_to_free(&self) -> bool {
        !self.unneeded_results.is_empty()
            || !self.freed_results.is_empty()
            || !self.fetching_jobs.is_empty()
    }

    /// Requests that unneeded results be freed, and counts the memory of those from the previous
    /// cycle as free. The delay makes sure that a call which needs the memory does not overtake the
    /// message that frees it. Returns whether there were results in either cycle.
    pub fn free_unneeded_results(&mut self, actions: &mut Vec<DispatchAction>) -> bool {
        let freed_before =
            std::mem::replace(&mut self.freed_results, std::mem::take(&mut self.unneeded_results));
        // Results at an upstream with a rate limit are left to expire, because its requests are
        // spent on calls.
        let is_limited = |worker: &&BatchWorker| worker.rate_limit.is_some();
        let excluded =
            self.workers.values().filter(is_limited).map(|worker| worker.address).collect();
        for worker in self.workers.values_mut().filter(|worker| worker.rate_limit.is_none()) {
            for result in &freed_before {
                worker.result_memory.remove_result(result);
            }
        }
        if !self.freed_results.is_empty() {
            actions.push(DispatchAction::FreeResults {
                results: self.freed_results.clone(),
                excluded,
            });
        }
        !self.freed_results.is_empty() || !freed_before.is_empty()
    }

    /// Frees the inputs of jobs once their upstreams have fetched them.
    ///
    /// An upstream fetches inputs at the start of a call. The memory of the upstreams that produced
    /// them limits how full the calls of the preceding pool can be. If the call fails, its pieces
    /// find their inputs gone, and the steps of the request are restarted.
    pub(super) fn free_fetched_inputs(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<DispatchAction>,
    ) {
        while let Some((_, attempt)) =
            self.fetching_jobs.pop_front_if(|(fetched_at, _)| *fetched_at <= now)
        {
            let job = self.jobs.get(&attempt).filter(|job| job.waiting.is_empty());
            let Some(order) = job.map(|job| &job.order) else { continue };
            if let (Some(pool), PieceSource::Results(results)) = (&order.inputs_pool, &order.source)
            {
                let (pool, results) = (pool.clone(), results.clone());
                actions.push(DispatchAction::FreeInputs { pool, results });
            }
        }
    }
}
