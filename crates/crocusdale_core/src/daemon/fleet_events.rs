//! Events from peers, from the platform and from the configuration service.

use std::sync::Arc;

use super::core_state::FleetSnapshot;
use super::directory_state::PlatformSnapshot;
use super::{Command, CounterName, DaemonCore, DaemonEvent};
use crate::identity::{MonotonicTime, StorePosition};
use crate::membership::{ExchangeMessage, VmList};
use crate::sync::lock;

impl DaemonCore {
    /// Handles an event that concerns membership, configuration, the list of published upstreams or
    /// the model engines, and then checks whether the daemon has become ready.
    pub(super) fn handle_fleet_event(
        &self,
        event: DaemonEvent,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        match event {
            DaemonEvent::HeartbeatAnswered { message, sent } => {
                let sender = &message.sender.instance.vm;
                self.state.merge_crash_records(&message.crashes, sender, now, out);
                self.state.merge_part_records(&message.part_crashes, sender, now, out);
                self.state.merge_limits(&message.limits, sender, now, out);
                if let Some(report) = message.versions.clone() {
                    lock(&self.state.versions).merge(report, now);
                }
                let leaving_upstreams = lock(&self.state.fleet).apply_heartbeat(&message, now, out);
                self.state.mark_leaving(&leaving_upstreams, now, out);
                self.update_from_heartbeat(&message, now, out);
                let (revision, _) = lock(&self.state.fleet).ledger.position();
                let verified_at =
                    lock(&self.state.directory).apply_peer_age(&message, revision, sent);
                if verified_at.is_some() {
                    lock(&self.state.fleet).directory_verified_at = verified_at;
                }
            }
            DaemonEvent::SeedPingFailed => lock(&self.state.fleet).record_seed_failure(out),
            DaemonEvent::DirectoryRead { position, entries, evacuations, cold, configuration } => {
                // Applied before the list, so that the list's age never counts as confirmed while
                // an older configuration is in force.
                self.apply_configuration(configuration, now, out);
                let mut directory = lock(&self.state.directory);
                let snapshot =
                    PlatformSnapshot::new(position, entries, evacuations).with_cold_upstreams(cold);
                let changed = directory.apply_full_read(snapshot, now, out);
                drop(directory);
                self.propagate_directory(changed, now, out);
            }
            DaemonEvent::DirectoryChangesRead {
                position,
                written,
                removed,
                evacuations,
                cold,
                configuration,
            } => {
                self.apply_configuration(configuration, now, out);
                let changes =
                    PlatformSnapshot::new(position, written, evacuations).with_cold_upstreams(cold);
                let changed =
                    lock(&self.state.directory).apply_changes_read(changes, removed, now, out);
                self.propagate_directory(changed, now, out);
            }
            DaemonEvent::DirectoryReadDelayed => {
                lock(&self.state.directory).record_read_delay(now, out)
            }
            DaemonEvent::DirectoryReadFailed => {
                lock(&self.state.directory).record_read_failure(now, out)
            }
            DaemonEvent::DirectoryFetched(list) => {
                let (revision, _) = lock(&self.state.fleet).ledger.position();
                let changed = lock(&self.state.directory).apply_peer_list(list, revision, now, out);
                self.propagate_directory(changed, now, out);
            }
            DaemonEvent::HeartbeatFailed(vm) => {
                lock(&self.state.fleet).record_heartbeat_failure(&vm, now, out);
            }
            DaemonEvent::ConfigurationFetched(configuration) => {
                lock(&self.state.fleet).finish_configuration_fetch();
                self.apply_configuration(configuration, now, out);
            }
            DaemonEvent::ConfigurationWatched(configuration) => {
                let revision = configuration.as_ref().map(|(revision, _)| *revision);
                self.apply_configuration(configuration, now, out);
                lock(&self.state.fleet).finish_watch(revision, now, out);
            }
            DaemonEvent::ConfigurationWatchFailed => {
                lock(&self.state.fleet).record_watch_failure(now, out)
            }
            DaemonEvent::VmListRead(vm_list) => {
                self.apply_vm_list(vm_list, now, out);
                lock(&self.state.fleet).schedule_vm_list_read(now, out);
            }
            DaemonEvent::VmListReadFailed => {
                out.push(Command::Count(CounterName::PlatformReadsFailed));
                lock(&self.state.fleet).schedule_vm_list_read(now, out);
            }
            DaemonEvent::EngineOrderRead { upstream, held } => {
                lock(&self.state.fleet).reconcile_engine(upstream, held, out);
            }
            DaemonEvent::OrderAnswered { is_accepted: true } => {}
            DaemonEvent::OrderAnswered { is_accepted: false } => {
                out.push(Command::Count(CounterName::OrdersRefused));
            }
            DaemonEvent::DrainRequested => self.drain(now, out),
            _ => debug_assert!(false, "handle_fleet_event received an event of a request"),
        }
        self.check_ready(now, out);
    }

    /// Lets the daemon serve callers as soon as all conditions for readiness are met.
    pub(super) fn check_ready(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let is_newly_ready = lock(&self.state.fleet).update_readiness(now, out);
        if is_newly_ready {
            self.refresh_fleet_snapshot();
        }
    }

    /// Puts a configuration in force, if it is valid and newer than the current one, and rebuilds
    /// the router from it. `None` stands for an unchanged configuration.
    pub(super) fn apply_configuration(
        &self,
        configuration: Option<(u64, String)>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let Some((revision, text)) = configuration else { return };
        let declarations = {
            let mut fleet = lock(&self.state.fleet);
            if !fleet.apply_configuration(revision, &text, now, out) {
                return;
            }
            fleet.ledger.in_force().map(|in_force| Arc::clone(&in_force.declarations))
        };
        if let Some(declarations) = declarations {
            self.state.rebuild_router(&declarations, now, out);
        }
        self.refresh_fleet_snapshot();
        let grants = self.state.router().serve_all_waiting(now);
        let actions = self.state.assign_granted_slots(grants, now);
        self.state.run_actions(actions, now, out);
    }

    /// Polls the published list of upstreams: starts a read of the platform, or asks the daemon
    /// that reads the platform for this one.
    pub(super) fn poll_directory(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let (reader, startup_turn, has_met_peers) = {
            let fleet = lock(&self.state.fleet);
            (fleet.directory_reader(), fleet.startup_turn(), fleet.has_finished_discovery())
        };
        let mut directory = lock(&self.state.directory);
        directory.set_startup_turn(startup_turn);
        let reader_to_query = directory.poll(reader, has_met_peers, now, out);
        drop(directory);
        if let Some(reader) = reader_to_query {
            // The heartbeat exchanges what the fleet knows of upstreams' limits and crashes.
            lock(&self.state.directory).fetch_list(&reader, now, out);
            lock(&self.state.fleet).send_heartbeats_to(vec![reader], now, out);
        }
    }

    /// Propagates a new or confirmed list of published upstreams to membership, and to routing if
    /// the list has changed.
    pub(super) fn propagate_directory(
        &self,
        changed: bool,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let (position, verified_at) = {
            let mut state = lock(&self.state.directory);
            let restarted = state.directory.take_restarted();
            out.extend(restarted.into_iter().map(Command::CloseStaleConnections));
            let lowest_position = StorePosition::from(u64::from(state.directory.is_known()));
            (state.directory.change_position().max(lowest_position), state.verified_at())
        };
        let declarations = {
            let mut fleet = lock(&self.state.fleet);
            fleet.directory = position;
            fleet.directory_verified_at = verified_at;
            fleet.ledger.in_force().map(|in_force| Arc::clone(&in_force.declarations))
        };
        if let Some(declarations) = declarations.filter(|_| changed) {
            self.state.route_changed_upstreams(&declarations, now, out);
            let grants = self.state.router().serve_all_waiting(now);
            let actions = self.state.assign_granted_slots(grants, now);
            self.state.run_actions(actions, now, out);
        }
    }

    /// Applies a peer's heartbeat to membership and routing, and fetches the peer's list of
    /// upstreams if it is newer.
    pub(super) fn update_from_heartbeat(
        &self,
        message: &ExchangeMessage,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let vm = &message.sender.instance.vm;
        let (has_vm_list_changed, daemon_count) = {
            let mut fleet = lock(&self.state.fleet);
            let has_vm_list_changed = fleet.refresh_vm_list(now, out);
            (has_vm_list_changed, fleet.view.alive_count() + 1)
        };
        if has_vm_list_changed {
            self.refresh_fleet_snapshot();
        }
        self.state.router().set_daemons(daemon_count);
        self.state.drop_waits_of_cut_off();
        lock(&self.state.directory).fetch_newer_list(vm, message.directory, now, out);
    }

    /// Applies a VM list to membership and routing; `None` stands for an unchanged list.
    pub(super) fn apply_vm_list(
        &self,
        vm_list: Option<VmList>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let Some(vm_list) = vm_list else { return };
        if lock(&self.state.fleet).apply_vm_list(vm_list, now, out) {
            self.refresh_fleet_snapshot();
            self.state.router().apply_roster(self.state.fleet_snapshot().history.current());
        }
    }

    /// Replaces the snapshot that requests are decided by. It holds no configuration until the
    /// daemon is ready.
    pub(super) fn refresh_fleet_snapshot(&self) {
        let fleet = lock(&self.state.fleet);
        let in_force = fleet.ledger.in_force().filter(|_| fleet.is_ready());
        let snapshot = FleetSnapshot {
            declarations: in_force.map(|in_force| Arc::clone(&in_force.declarations)),
            history: fleet.history.clone(),
            key_life: fleet.key_life(),
        };
        self.state.set_fleet_snapshot(snapshot);
    }

    pub(super) fn vm_list_revision(&self) -> u64 {
        self.state.fleet_snapshot().history.current().revision
    }
}
