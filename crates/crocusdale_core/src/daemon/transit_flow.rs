//! Requests that are sent to upstreams through another daemon, and those that this daemon sends on
//! behalf of others.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::DaemonCore;
use super::core_state::CoreState;
use crate::configuration::{Declarations, StepWork};
use crate::identity::MonotonicTime;
use crate::pipeline::{ForwardOrder, RequestPlan};
use crate::reachability::{
    LinkPath, TransitEnd, TransitGoal, TransitGrant, TransitRefusal, TransitRequest,
};
use crate::sync::lock;

/// Retry delay of callers whose request no daemon can send to an upstream. It covers one round of
/// tests of the links and the announcement of the result.
pub(super) const NO_PATH_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Way of a request to its upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptPath {
    /// Over the own link.
    Direct,
    /// Through the daemon on this VM. Ends with [`DaemonCore::finish_transit`].
    Transit(String),
    /// None: the upstream is leaving, or only other upstreams of the pool can be reached.
    OtherUpstream,
    /// None: no daemon is known to reach the pool. Callers should retry after this time.
    NoPath(Duration),
}

impl DaemonCore {
    /// Whether the upstream `name` has announced that it is leaving.
    #[must_use]
    pub fn is_upstream_leaving(&self, name: &str) -> bool {
        lock(&self.state.directory).directory.is_leaving(name)
            || self.state.router().is_leaving(name)
    }

    /// Way of the request of `order` to its upstream. `tried` names the daemons that have not taken
    /// it.
    #[must_use]
    pub fn attempt_path(
        &self,
        order: &ForwardOrder,
        tried: &[String],
        now: MonotonicTime,
    ) -> AttemptPath {
        if !self.has_failed_links() {
            return AttemptPath::Direct;
        }
        self.state.attempt_path(order, tried, now)
    }

    /// Records that a request that was sent through the daemon on `vm` has ended there.
    pub fn finish_transit(&self, vm: &str, end: TransitEnd, now: MonotonicTime) {
        lock(&self.state.fleet).transits.finish(vm, end, now);
    }

    /// Request in transit for the request of `order`, whose caller named `host` and `path` and showed
    /// the key `access`.
    #[must_use]
    pub fn transit_request(
        &self,
        order: &ForwardOrder,
        (host, path): (&str, &str),
        access: Option<&str>,
    ) -> TransitRequest {
        let fleet = lock(&self.state.fleet);
        TransitRequest {
            upstream: order.upstream.clone(),
            pool: order.pool.clone(),
            process: order.process.clone(),
            address: order.address,
            directory: fleet.directory,
            revision: fleet.ledger.position().0,
            host: host.to_owned(),
            path: path.to_owned(),
            access: access.map(str::to_owned),
            workspace: order.workspace.clone().unwrap_or_default(),
        }
    }

    /// Decides whether this daemon sends `request` on behalf of another daemon. If so, the request
    /// counts as open until [`Self::end_transit`].
    ///
    /// # Errors
    ///
    /// Returns why it does not.
    pub fn admit_transit(
        &self,
        request: &TransitRequest,
        now: MonotonicTime,
    ) -> Result<TransitGrant, TransitRefusal> {
        self.state.admit_transit(request, now)
    }

    /// Reason why a request that was admitted by [`Self::admit_transit`] got no connection.
    #[must_use]
    pub fn connect_refusal(&self, pool: &str) -> TransitRefusal {
        if lock(&self.state.links).is_impaired(pool) {
            TransitRefusal::NoLink
        } else {
            TransitRefusal::ConnectFailed
        }
    }

    /// Records the end of a request that [`Self::admit_transit`] has admitted.
    pub fn end_transit(&self) {
        self.state.open_transits.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CoreState {
    fn attempt_path(
        &self,
        order: &ForwardOrder,
        tried: &[String],
        now: MonotonicTime,
    ) -> AttemptPath {
        let ForwardOrder { pool, upstream, .. } = order;
        let (path, has_open) = {
            let links = lock(&self.links);
            (links.path(pool, upstream, now), links.has_open(pool))
        };
        if path == LinkPath::Direct {
            return AttemptPath::Direct;
        }
        let router = self.router();
        if router.is_leaving(upstream) {
            return AttemptPath::OtherUpstream;
        }
        let goal = TransitGoal { pool, zone: router.upstream_zone(upstream), tried };
        let chosen = lock(&self.fleet).choose_transit(goal, now);
        match chosen {
            Some(vm) => AttemptPath::Transit(vm),
            None if has_open => AttemptPath::OtherUpstream,
            None => AttemptPath::NoPath(NO_PATH_RETRY_AFTER),
        }
    }

    fn admit_transit(
        &self,
        request: &TransitRequest,
        now: MonotonicTime,
    ) -> Result<TransitGrant, TransitRefusal> {
        let TransitRequest { pool, upstream, .. } = request;
        if lock(&self.held_work).is_holding() {
            return Err(TransitRefusal::StaleList);
        }
        if lock(&self.links).path(pool, upstream, now) == LinkPath::Transit {
            return Err(TransitRefusal::NoLink);
        }
        let (directory, revision, is_leaving) = {
            let fleet = lock(&self.fleet);
            (fleet.directory, fleet.ledger.position().0, fleet.view.is_own_leaving())
        };
        if is_leaving {
            return Err(TransitRefusal::Draining);
        }
        let snapshot = self.fleet_snapshot();
        let declarations = snapshot.declarations.as_ref().ok_or(TransitRefusal::StaleList)?;
        if revision > request.revision && !allows_transit(declarations, request) {
            return Err(TransitRefusal::NotAllowed);
        }
        let is_admitted = self
            .open_transits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |open| {
                (open < self.transit_limit).then_some(open + 1)
            })
            .is_ok();
        if !is_admitted {
            return Err(TransitRefusal::Busy);
        }
        let grant = self.router().grant_transit(pool, upstream, now).and_then(|grant| {
            // The sender's list is newer if the upstream has just been added.
            let added = (request.directory > directory)
                .then_some(TransitGrant { address: request.address, max_idle_connections: 0 });
            grant.or(added).ok_or(TransitRefusal::UnknownUpstream)
        });
        if grant.is_err() {
            self.open_transits.fetch_sub(1, Ordering::Relaxed);
        }
        grant
    }

    /// Whether no daemon is known to reach a pool that `plan` needs.
    pub(super) fn has_unreachable_pool(&self, plan: &RequestPlan) -> bool {
        if !self.has_failed_links.load(Ordering::Relaxed) {
            return false;
        }
        let steps = plan.pipeline.plan.steps().iter().enumerate();
        let mut needed = steps.filter(|(position, step)| match step.work {
            StepWork::Batched { .. } => plan.pieces(*position) > 0,
            StepWork::Forward => true,
            // JSON calls are not sent in transit, and their upstreams are retried as before.
            StepWork::Json => false,
        });
        needed.any(|(_, step)| {
            let has_open = lock(&self.links).has_open(&step.stage);
            !has_open && !lock(&self.fleet).has_transit_to(&step.stage)
        })
    }
}

/// Whether `declarations` allow the request: its route leads to the pool, and its access key belongs
/// to the workspace.
fn allows_transit(declarations: &Declarations, request: &TransitRequest) -> bool {
    let Some(pipeline) = declarations.route(&request.host, &request.path) else { return false };
    let leads_to_pool = pipeline
        .forward
        .as_ref()
        .is_some_and(|rules| rules.pools.iter().any(|weighted| weighted.pool == request.pool));
    let has_access = request.workspace.is_empty()
        || request
            .access
            .as_deref()
            .and_then(|access| declarations.workspace_for_access_key(access))
            .is_some_and(|workspace| workspace == request.workspace);
    leads_to_pool && has_access
}
