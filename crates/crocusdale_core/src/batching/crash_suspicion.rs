//! Handling of requests whose pieces crash upstreams of a pool.

use std::collections::BTreeSet;

use super::in_flight_call::InFlightCall;
use super::{BatchPool, DispatchAction};
use crate::identity::{AttemptId, RequestDigest};
use crate::pipeline::PieceFault;

impl BatchPool {
    /// Fails the pieces of all requests with `digest`, because upstreams that ran such requests
    /// have crashed.
    pub fn fail_quarantined(&mut self, digest: RequestDigest, actions: &mut Vec<DispatchAction>) {
        let matching = self.jobs.iter().filter(|(_, job)| job.order.digest == Some(digest));
        let mut matching: Vec<AttemptId> = matching.map(|(attempt, _)| *attempt).collect();
        matching.sort_unstable();
        for attempt in matching {
            self.fail_job(attempt, PieceFault::Quarantined, actions);
        }
    }

    /// Requests a probe of the upstream of a failed call. If the probe finds that it has crashed,
    /// the requests of the call are suspected.
    pub(super) fn suspect_requests(
        &mut self,
        call: &InFlightCall,
        actions: &mut Vec<DispatchAction>,
    ) {
        let attempts: BTreeSet<AttemptId> = call.items.iter().map(|(job, _)| *job).collect();
        for attempt in attempts {
            let Some(job) = self.jobs.get_mut(&attempt) else { continue };
            job.add_suspected_crashes(1);
            let Some(digest) = job.order.digest else { continue };
            let (upstream, address) = (call.upstream.clone(), call.address);
            actions.push(DispatchAction::ProbeUpstream { digest, upstream, address });
        }
    }
}
