//! Handling of what upstreams report about themselves in their responses.

use std::sync::Arc;

use super::core_state::CoreState;
use super::{Command, CounterName, StateChange};
use crate::configuration::Declarations;
use crate::identity::MonotonicTime;
use crate::membership::LeavingUpstream;
use crate::routing::{ColdUpstream, DirectoryChange, LoadNotice, UpstreamNotice};
use crate::sync::lock;

impl CoreState {
    /// Applies what `upstream` reported about itself in the response to a request that was sent at
    /// `sent`.
    pub(super) fn apply_notice(
        &self,
        upstream: &str,
        notice: UpstreamNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if notice.leaving {
            // Each run of a published upstream process has a unique name, so the name also
            // identifies the run.
            let leaving_upstream =
                LeavingUpstream { upstream: upstream.to_owned(), process: upstream.to_owned() };
            let mut fleet = lock(&self.fleet);
            if fleet.view.add_leaving_upstream(&leaving_upstream, now) {
                fleet.send_early_heartbeats(now, out);
            }
            drop(fleet);
            self.mark_leaving(&[leaving_upstream], now, out);
        }
        if let Some(duration) = notice.backoff {
            let mut unavailable_until = lock(&self.unavailable_until);
            unavailable_until.retain(|_, until| *until > now);
            unavailable_until.insert(upstream.to_owned(), now + duration);
            drop(unavailable_until);
            self.router().back_off(upstream, now + duration);
            lock(&self.dispatcher).back_off(upstream, now + duration);
            let stay_away_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
            let upstream = upstream.to_owned();
            out.push(Command::LogStateChange(StateChange::UpstreamAway { upstream, stay_away_ms }));
        }
        if let Some(left) = notice.cold_remaining {
            let cold_upstream = ColdUpstream { name: upstream.to_owned(), remaining: left };
            let has_changed = lock(&self.directory).record_cold_start(cold_upstream, now, out);
            if let Some(declarations) = self.declarations_in_force().filter(|_| has_changed) {
                self.route_changed_upstreams(&declarations, now, out);
            }
        }
        if let Some(max_rejections) = notice.max_rejections {
            self.router().record_brittle(upstream, max_rejections, now);
            lock(&self.dispatcher).record_brittle(upstream, max_rejections, now);
        }
        self.apply_load_notice(upstream, notice.load, now, out);
        self.apply_rate_notice(upstream, notice.rate, sent, now, out);
    }

    fn apply_load_notice(
        &self,
        upstream: &str,
        notice: LoadNotice,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if notice == LoadNotice::Unreadable {
            out.push(Command::Count(CounterName::LoadFiguresUnreadable));
        }
        if let Some(pace) = notice.pace() {
            self.router().record_pace(upstream, pace, now);
            lock(&self.dispatcher).record_pace(upstream, pace, now);
        }
    }

    /// Marks upstreams as leaving, and lets attempts that wait for them continue at other
    /// upstreams.
    pub(super) fn mark_leaving(
        &self,
        leaving_upstreams: &[LeavingUpstream],
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let (mut has_changed, mut has_list_changed) = (false, false);
        for leaving_upstream in leaving_upstreams {
            let is_routed = self.router().record_leaving(leaving_upstream);
            let is_listed =
                lock(&self.directory).directory.record_leaving(&leaving_upstream.upstream, now);
            if is_routed || is_listed {
                let upstream = leaving_upstream.upstream.clone();
                out.push(Command::LogStateChange(StateChange::UpstreamLeaving { upstream }));
            }
            has_changed |= is_routed || is_listed;
            has_list_changed |= is_listed;
        }
        if !has_changed {
            return;
        }
        if let Some(declarations) = self.declarations_in_force().filter(|_| has_list_changed) {
            self.route_changed_upstreams(&declarations, now, out);
        }
        let actions = self.assign_granted_slots(self.router().serve_all_waiting(now), now);
        self.run_actions(actions, now, out);
    }

    /// Declarations of the configuration in force; `None` if there is no configuration.
    fn declarations_in_force(&self) -> Option<Arc<Declarations>> {
        let fleet = lock(&self.fleet);
        fleet.ledger.in_force().map(|in_force| Arc::clone(&in_force.declarations))
    }

    /// Replaces the router and the pools of the batch dispatcher, after a change of the
    /// configuration or of any part of the list of upstreams.
    pub(super) fn rebuild_router(
        &self,
        declarations: &Declarations,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let directory = {
            let mut state = lock(&self.directory);
            // All changes up to now are part of the list that the router is built from.
            let _ = state.directory.take_change();
            state.directory.clone()
        };
        let router = self.router().reconfigured(declarations, &directory, now);
        router.apply_roster(self.fleet_snapshot().history.current());
        // An upstream's entry may expire and come back. The new router has lost how long the
        // upstream refuses requests, so that is set again.
        let unavailable_until = lock(&self.unavailable_until).clone();
        for (upstream, until) in &unavailable_until {
            router.back_off(upstream, *until);
        }
        self.set_router(router);
        let (mut actions, mut dispatch_actions) = (Vec::new(), Vec::new());
        lock(&self.dispatcher).reconfigure(
            declarations,
            &directory,
            &unavailable_until,
            now,
            &mut dispatch_actions,
        );
        self.run_dispatch_actions(dispatch_actions, now, &mut actions, out);
        self.run_actions(actions, now, out);
    }

    /// Updates the router and the batch dispatcher after upstreams were listed, changed or removed.
    pub(super) fn route_changed_upstreams(
        &self,
        declarations: &Declarations,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let change = lock(&self.directory).directory.take_change();
        let changes = match change {
            DirectoryChange::Upstreams(changes) => changes,
            DirectoryChange::All => return self.rebuild_router(declarations, now, out),
        };
        if !self.update_router(declarations, &changes, now) {
            return self.rebuild_router(declarations, now, out);
        }
        // An upstream's entry may expire and come back while it refuses requests.
        let unavailable_until = lock(&self.unavailable_until).clone();
        for change in &changes {
            if let Some(until) = unavailable_until.get(&change.name) {
                self.router().back_off(&change.name, *until);
            }
        }
        let (mut actions, mut dispatch_actions) = (Vec::new(), Vec::new());
        lock(&self.dispatcher).apply_changes(&changes, now, &mut dispatch_actions);
        self.run_dispatch_actions(dispatch_actions, now, &mut actions, out);
        self.run_actions(actions, now, out);
    }
}
