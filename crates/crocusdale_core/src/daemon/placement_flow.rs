//! Requests whose engine is chosen by the placement coordinator of the pool, and the part of the
//! coordinator.

use std::time::Duration;

use super::core_state::CoreState;
use super::placement_state::{ActivePlacement, PendingPlacement, PlacementSource};
use super::{Command, CounterName, DaemonCore, StateChange};
use crate::batching::PoolSection;
use crate::configuration::StepWork;
use crate::identity::{AttemptId, CallId, MonotonicTime};
use crate::pipeline::{RefusalReason, RequestPlan, ShardAction};
use crate::placement::{
    PlacementOutcome, PlacementReply, PlacementReport, PlacementRequest, coordinator_name,
    section_name,
};
use crate::routing::{AttemptReport, SlotRequest};
use crate::streams::AllowedVersion;
use crate::sync::lock;

impl DaemonCore {
    /// Whether placement coordinators choose the engines of requests, if the fleet is large enough.
    #[must_use]
    pub fn uses_placement(&self) -> bool {
        self.state.coordination.settings.engine_placement
    }

    /// Chooses the engine of a request of another daemon, as the placement coordinator of its
    /// section. `None` if this daemon places no requests.
    #[must_use]
    pub fn place_request(
        &self,
        request: &PlacementRequest,
        now: MonotonicTime,
    ) -> Option<PlacementReply> {
        self.uses_placement().then(|| self.state.place(request, now))
    }

    /// Applies the reports of another daemon about requests of `section`.
    pub fn report_placements(
        &self,
        section: &str,
        reports: &[PlacementReport],
        now: MonotonicTime,
    ) {
        lock(&self.state.placements.placers).report(section, reports, now);
    }
}

impl CoreState {
    /// Assigns an upstream to an attempt, as [`Self::acquire`] does. If a placement coordinator
    /// chooses among the engines of the attempt's pool, it is asked first.
    pub(super) fn acquire_placed(
        &self,
        request: SlotRequest,
        reason: RefusalReason,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let Some(question) = self.placement_request(&request, now) else {
            self.acquire(request, reason, now, actions);
            return;
        };
        let pending = PendingPlacement { id: question.attempt, request, reason };
        match self.coordinator(&coordinator_name(&question.section), now) {
            Some(vm) if vm == self.own_instance.vm => {
                let reply = self.place(&question, now);
                let source = source_of(vm, &question);
                self.use_placement(pending, source, reply, now, actions, out);
            }
            Some(vm) => match self.placements.push_pending(pending) {
                None => out.push(Command::PlaceRequest { vm, request: Box::new(question) }),
                Some(rejected) => self.acquire_unplaced(rejected, now, actions, out),
            },
            None => self.acquire_unplaced(pending, now, actions, out),
        }
    }

    /// Handles the reply of a placement coordinator. `None` if it did not reply in time.
    pub(super) fn handle_placement_reply(
        &self,
        vm: String,
        question: &PlacementRequest,
        reply: Option<PlacementReply>,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let pending = self.placements.take_pending(question.attempt);
        let source = source_of(vm, question);
        match (pending, reply) {
            (Some(pending), Some(reply)) => {
                self.use_placement(pending, source, reply, now, actions, out);
            }
            (Some(pending), None) => {
                self.record_lost_coordinator(&source, now, out);
                self.acquire_unplaced(pending, now, actions, out);
            }
            // The request has ended in the meantime.
            (None, Some(_)) => {
                let report = source.report(PlacementOutcome::Cancelled, "");
                self.send_placement_report(source, report, now, out);
            }
            (None, None) => self.record_lost_coordinator(&source, now, out),
        }
    }

    /// Reports the first event of a placed request to its coordinator.
    pub(super) fn report_first_event(
        &self,
        call: CallId,
        upstream: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let Some((source, sent_at)) = self.placements.active(call, upstream) else { return };
        let mut report = source.report(PlacementOutcome::Started, upstream);
        // A pause of this process would count against the engine.
        let is_measured = lock(&self.pause_detector).has_run_since(sent_at);
        report.first_event = is_measured.then(|| now.since(sent_at));
        self.send_placement_report(source, report, now, out);
    }

    /// Reports the end of a placed request to its coordinator.
    pub(super) fn report_placement_end(
        &self,
        call: CallId,
        upstream: &str,
        report: AttemptReport,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if let Some((source, report)) = self.placements.end(call, upstream, report) {
            self.send_placement_report(source, report, now, out);
        }
    }

    /// Expected time to first response of the forwarded step of a request, from the latest reply of
    /// its pool's placement coordinator. `None` if it is not known.
    pub(super) fn placed_first_response(
        &self,
        plan: &RequestPlan,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if !self.coordination.settings.engine_placement {
            return None;
        }
        let mut steps = plan.pipeline.plan.steps().iter();
        let step = steps.find(|step| step.work == StepWork::Forward)?;
        let demand = plan.request.forward_head()?.demand.as_ref();
        let tokens = demand.map_or(0, |demand| demand.prompt_tokens);
        self.placements.pool_time(&step.stage, tokens, now)
    }

    /// Removes placed requests whose deadline has passed without a report.
    pub(super) fn expire_placements(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        if !self.coordination.settings.engine_placement {
            return;
        }
        let expired = lock(&self.placements.placers).expire(now);
        out.extend((0..expired).map(|_| Command::Count(CounterName::PlacementsExpired)));
    }

    /// The question to the placement coordinator about `request`. `None` if this daemon decides by
    /// itself.
    fn placement_request(
        &self,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> Option<PlacementRequest> {
        if !self.coordination.settings.engine_placement || !self.is_coordinated() {
            return None;
        }
        let demand = request.demand.as_ref()?;
        let engines = self.router().placed_engine_count(&request.stage)?;
        // Neither a held nor a quarantined request may be sent, and no region or version means no
        // engine.
        if request.allowed_version == AllowedVersion::Unknown
            || request.allowed_regions.names().is_some_and(<[String]>::is_empty)
            || lock(&self.held_work).is_holding()
            || self.slot_quarantine(request, now).is_some()
        {
            return None;
        }
        let inputs = self.shard(request.call.0).placement_inputs(request.call, request.branch)?;
        let attempt = self.placements.next_id(self.own_instance.process_hash(), request.call);
        let shared_parts = demand.shared_parts().to_vec();
        let hash = PlacementRequest::section_hash(&shared_parts, attempt);
        let question = PlacementRequest {
            attempt,
            section: section_name(&request.stage, engines, hash),
            level: request.level,
            shared_parts,
            prompt_tokens: demand.prompt_tokens,
            output_tokens: demand.output_tokens,
            objective: inputs.objective,
            deadline: request.deadline,
            excluded: request.failed_upstreams.clone(),
            allowed_regions: request.allowed_regions.clone(),
            allowed_version: request.allowed_version.clone(),
            input_zone: inputs.zone,
            input_bytes: inputs.bytes,
        };
        Some(question.limited())
    }

    /// Chooses an engine as the coordinator of the request's section.
    fn place(&self, request: &PlacementRequest, now: MonotonicTime) -> PlacementReply {
        let section = &request.section;
        let needs_engines = lock(&self.placements.placers).needs_engines(section, now);
        let engines = needs_engines
            .then(|| self.router().section_engines(&PoolSection::from_name(section), now));
        let mut placers = lock(&self.placements.placers);
        if let Some((rules, engines)) = engines.flatten() {
            placers.set_engines(section, rules, engines, now);
        }
        placers.place(request, now)
    }

    /// Sends an attempt to the engine that a coordinator has chosen. If the router does not allow
    /// that engine, it chooses one by itself.
    fn use_placement(
        &self,
        pending: PendingPlacement,
        source: PlacementSource,
        reply: PlacementReply,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let PendingPlacement { request, reason, .. } = pending;
        if let Some(time) = reply.first_event {
            self.placements.record_pool_time(&request.stage, time, now);
        }
        let Some(chosen) = reply.upstream else {
            out.push(Command::Count(CounterName::PlacementsUnused));
            self.acquire(request, reason, now, actions);
            return;
        };
        let is_held = lock(&self.held_work).is_holding();
        if is_held || self.slot_quarantine(&request, now).is_some() {
            let report = source.report(PlacementOutcome::Cancelled, "");
            self.send_placement_report(source, report, now, out);
            self.acquire(request, reason, now, actions);
            return;
        }
        let call = request.call;
        let result = match self.router().acquire_at(request, &chosen, now) {
            Ok(grant) => Ok(Some(grant)),
            Err(request) => self.router().acquire(*request, now),
        };
        let granted = result.as_ref().ok().and_then(Option::as_ref);
        let upstream = granted.map(|grant| grant.upstream.clone()).unwrap_or_default();
        if upstream == chosen {
            out.push(Command::Count(CounterName::PlacementsUsed));
        } else {
            out.push(Command::Count(CounterName::PlacementsUnused));
            let report = source.report(PlacementOutcome::NotUsed, &upstream);
            self.send_placement_report(source.clone(), report, now, out);
        }
        if !upstream.is_empty() {
            let stream = (0, Duration::ZERO);
            let placement = ActivePlacement { source, upstream, sent_at: now, stream };
            self.placements.push_active(call, placement);
        }
        self.finish_acquire(result, reason, now, actions);
    }

    /// Assigns an upstream without a coordinator.
    fn acquire_unplaced(
        &self,
        pending: PendingPlacement,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        out.push(Command::Count(CounterName::PlacementFallbacks));
        self.acquire(pending.request, pending.reason, now, actions);
    }

    /// Records that a coordinator did not reply in time. Logged once for each time in which it is
    /// not asked again.
    fn record_lost_coordinator(
        &self,
        source: &PlacementSource,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let PlacementSource { vm, section, .. } = source;
        if self.coordinator(&coordinator_name(section), now).as_ref() == Some(vm) {
            out.push(Command::LogStateChange(StateChange::PlacementCoordinatorLost {
                vm: vm.clone(),
                section: section.clone(),
                pending: self.placements.pending_count(),
            }));
        }
        self.coordination.record_failure(vm, now);
    }

    fn send_placement_report(
        &self,
        source: PlacementSource,
        report: PlacementReport,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let PlacementSource { vm, section, .. } = source;
        if vm == self.own_instance.vm {
            lock(&self.placements.placers).report(&section, &[report], now);
        } else {
            out.push(Command::ReportPlacement { vm, section, report: Box::new(report) });
        }
    }
}

fn source_of(vm: String, question: &PlacementRequest) -> PlacementSource {
    let id: AttemptId = question.attempt;
    PlacementSource { vm, section: question.section.clone(), id }
}
