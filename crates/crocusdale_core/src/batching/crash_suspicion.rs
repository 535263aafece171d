//! Requests whose pieces crash the upstreams of a pool.

use std::collections::BTreeSet;

use super::open_batch::OpenBatch;
use super::{BatchPool, DispatchStep};
use crate::identity::{AttemptId, RequestDigest};
use crate::pipeline::PieceFault;

impl BatchPool {
    /// Gives up the pieces of requests like `digest`, under which upstreams ended.
    pub fn end_quarantined(&mut self, digest: RequestDigest, steps: &mut Vec<DispatchStep>) {
        let like = self.jobs.iter().filter(|(_, job)| job.order.digest == Some(digest));
        let mut like: Vec<AttemptId> = like.map(|(attempt, _)| *attempt).collect();
        like.sort_unstable();
        for attempt in like {
            self.fail(attempt, PieceFault::Quarantined, steps);
        }
    }

    /// A call broke off: its upstream is looked at, and if it has ended, the requests of the call are
    /// suspected.
    pub(super) fn suspect(&mut self, open: &OpenBatch, steps: &mut Vec<DispatchStep>) {
        let attempts: BTreeSet<AttemptId> = open.items.iter().map(|(job, _)| *job).collect();
        for attempt in attempts {
            let Some(job) = self.jobs.get_mut(&attempt) else { continue };
            job.note_breaks(1);
            let Some(digest) = job.order.digest else { continue };
            let (upstream, address) = (open.upstream.clone(), open.address);
            steps.push(DispatchStep::Suspect { digest, upstream, address });
        }
    }
}
