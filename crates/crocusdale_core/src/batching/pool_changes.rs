//! Reactions of a pool to a new upstream list, a new dispatcher, and a pause of this process.

use std::collections::HashSet;
use std::time::Duration;

use super::batch_worker::BatchWorker;
use super::{BatchPool, DispatchAction};
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::PieceFault;
use crate::routing::DirectoryEntry;

impl BatchPool {
    /// Replaces the list of upstreams. Upstreams that are missing from it or leaving get no new
    /// calls.
    pub fn set_upstreams<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a DirectoryEntry>,
        now: MonotonicTime,
    ) {
        for worker in self.workers.values_mut() {
            worker.accepts_calls = false;
        }
        for entry in entries {
            let new_worker = || BatchWorker::new(entry, now);
            let worker = self.workers.entry(entry.name()).or_insert_with(new_worker);
            worker.accepts_calls = !entry.leaving;
        }
        self.expire_calls_of_restarted(now);
        self.workers.retain(|_, worker| worker.accepts_calls || worker.open_calls > 0);
    }

    /// Expires the calls to a process that has restarted under a new name. The calls and their
    /// results are lost.
    ///
    /// Guards against waiting for a call that nobody processes: if the VM of the process lost
    /// power, its connection stays silent, and the pieces would wait until the call times out.
    fn expire_calls_of_restarted(&mut self, now: MonotonicTime) {
        let accepting = self.workers.values().filter(|worker| worker.accepts_calls);
        let live_processes: HashSet<&str> =
            accepting.map(|worker| worker.process_id.as_str()).collect();
        let was_replaced = |upstream: &String| {
            let worker = self.workers.get(upstream);
            worker.is_some_and(|worker| {
                !worker.accepts_calls && live_processes.contains(worker.process_id.as_str())
            })
        };
        for call in self.in_flight.values_mut().filter(|call| was_replaced(&call.upstream)) {
            call.lost_at = now;
        }
    }

    /// Adjusts timeouts after this process was paused for `pause`, which ended at `now`. The
    /// durations of calls that were in flight say nothing about their upstreams, and their answers
    /// may be waiting to be read. So these calls time out later by the length of the pause. The
    /// overload of the pool is measured anew.
    pub fn resume_after_pause(&mut self, pause: Duration, now: MonotonicTime) {
        for call in self.in_flight.values_mut() {
            call.started_at = None;
            call.lost_at = call.lost_at + pause;
        }
        self.overloaded_since = None;
        self.overload_until = None;
        self.cached_wait = None;
        self.last_shed_at = Some(now);
    }

    /// Forgets the failed calls to all upstreams, because the links of this daemon have failed.
    pub fn forget_failures(&mut self, now: MonotonicTime) {
        for worker in self.workers.values_mut() {
            worker.forget_failures(now);
        }
    }

    /// Returns all undispatched jobs, because another daemon now dispatches the pool.
    ///
    /// Guards against two queues for the same upstreams: each dispatcher would send small calls,
    /// which then queue up at the upstreams where no dispatcher sees them. In a rolling restart of
    /// the fleet, this also leaves no work behind in processes that are about to exit.
    ///
    /// If this daemon is `cut_off` from the upstreams, it also returns jobs whose pieces may have
    /// run: it can't do anything for them any more.
    pub fn hand_over(&mut self, cut_off: bool, actions: &mut Vec<DispatchAction>) {
        let mut waiting: Vec<(AttemptId, PieceFault)> = Vec::new();
        for (attempt, job) in &self.jobs {
            if job.is_undispatched() {
                waiting.push((*attempt, PieceFault::Moved));
            } else if cut_off && job.is_waiting() {
                waiting.push((*attempt, PieceFault::DispatcherCutOff));
            }
        }
        waiting.sort_unstable_by_key(|(attempt, _)| *attempt);
        for (attempt, fault) in waiting {
            self.fail_job(attempt, fault, actions);
        }
    }
}
