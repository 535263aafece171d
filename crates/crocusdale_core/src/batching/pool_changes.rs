//! What changes around a pool: its upstreams, its dispatcher, a pause of this process.

use std::collections::HashSet;
use std::time::Duration;

use super::batch_worker::BatchWorker;
use super::{BatchPool, DispatchStep};
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::PieceFault;
use crate::routing::DirectoryEntry;

impl BatchPool {
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
            let worker = self.workers.entry(entry.name()).or_insert_with(fresh);
            worker.staying = !entry.leaving;
        }
        self.lose_ended_lives(now);
        self.workers.retain(|_, worker| worker.staying || worker.open > 0);
    }

    /// Calls of a process that has started again are lost, with whatever they made.
    ///
    /// Guards against a call that nobody works on any more: if the VM of the process lost its power,
    /// the connection stays silent, and the call's pieces would wait for its patience to end.
    fn lose_ended_lives(&mut self, now: MonotonicTime) {
        let staying = self.workers.values().filter(|worker| worker.staying);
        let living: HashSet<&str> = staying.map(|worker| worker.process.as_str()).collect();
        let has_ended = |upstream: &String| {
            let worker = self.workers.get(upstream);
            worker.is_some_and(|each| !each.staying && living.contains(each.process.as_str()))
        };
        for open in self.open.values_mut().filter(|open| has_ended(&open.upstream)) {
            open.lost_at = now;
        }
    }

    /// This process was paused for `pause` until now. What the calls that were open then take says
    /// nothing of their upstreams, and their answers may lie unread: they are not lost before they
    /// have had as much time as without the pause. How overloaded the pool was is to be seen anew.
    pub fn woke(&mut self, pause: Duration, now: MonotonicTime) {
        for open in self.open.values_mut() {
            open.since = None;
            open.lost_at = open.lost_at + pause;
        }
        self.overloaded_since = None;
        self.full_until = None;
        self.last_wait = None;
        self.last_shed = Some(now);
    }

    /// Another daemon dispatches the pool now: hands over what was in no call yet.
    ///
    /// Guards against two queues before the same upstreams: each of the two dispatchers sends its own
    /// small calls, and these stand behind each other's where nobody sees them. With this, a rolling
    /// restart of the whole fleet leaves nothing behind in processes that are about to end.
    pub fn hand_over(&mut self, steps: &mut Vec<DispatchStep>) {
        let untouched = self.jobs.iter().filter(|(_, job)| job.is_untouched());
        let mut untouched: Vec<AttemptId> = untouched.map(|(attempt, _)| *attempt).collect();
        untouched.sort_unstable();
        for attempt in untouched {
            self.fail(attempt, PieceFault::Moved, steps);
        }
    }
}
