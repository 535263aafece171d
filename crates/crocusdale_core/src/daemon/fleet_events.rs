//! What is heard of peers, of the platform and of the configuration.

use std::sync::Arc;

use super::core_state::RequestBasis;
use super::directory_state::PublishedList;
use super::{Command, CounterName, DaemonCore, DaemonEvent};
use crate::identity::{MonotonicTime, StorePosition};
use crate::membership::{ExchangeMessage, VmRoster};
use crate::sync::lock;

impl DaemonCore {
    pub(super) fn fleet_event(
        &self,
        event: DaemonEvent,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        match event {
            DaemonEvent::Exchanged { message, sent } => {
                let sender = &message.sender.instance.vm;
                self.state.take_crashes(&message.crashes, sender, now, out);
                self.state.take_limits(&message.limits, sender, now, out);
                let news = lock(&self.state.fleet).take_message(&message, now, out);
                self.state.take_leaving(&news, now, out);
                self.heard(&message, now, out);
                let (revision, _) = lock(&self.state.fleet).ledger.position();
                let current = lock(&self.state.directory).heard_age(&message, revision, sent);
                if current.is_some() {
                    lock(&self.state.fleet).directory_current = current;
                }
            }
            DaemonEvent::SeedPingFailed => lock(&self.state.fleet).greeting_failed(out),
            DaemonEvent::DirectoryRead { position, entries, evacuations, cold, configuration } => {
                // First, so that no list says that it is young with an older configuration in force.
                self.take_configuration(configuration, now, out);
                let mut directory = lock(&self.state.directory);
                let read = PublishedList::new(position, entries, evacuations).cold(cold);
                let changed = directory.read_whole(read, now, out);
                drop(directory);
                self.directory_read(changed, now, out);
            }
            DaemonEvent::DirectoryReadFailed => lock(&self.state.directory).read_failed(now, out),
            DaemonEvent::DirectoryFetched(list) => {
                let (revision, _) = lock(&self.state.fleet).ledger.position();
                let changed = lock(&self.state.directory).fetched(list, revision, now, out);
                self.directory_read(changed, now, out);
            }
            DaemonEvent::ExchangeFailed(vm) => {
                lock(&self.state.fleet).exchange_failed(&vm, now, out);
            }
            DaemonEvent::ConfigurationFetched(fetched) => {
                lock(&self.state.fleet).fetch_ended();
                self.take_configuration(fetched, now, out);
            }
            DaemonEvent::ConfigurationWatched(read) => {
                let revision = read.as_ref().map(|(revision, _)| *revision);
                self.take_configuration(read, now, out);
                lock(&self.state.fleet).watch_ended(revision, now, out);
            }
            DaemonEvent::ConfigurationWatchFailed => lock(&self.state.fleet).watch_failed(now, out),
            DaemonEvent::RosterRead(read) => {
                self.take_roster(read, now, out);
                lock(&self.state.fleet).await_roster(now, out);
            }
            DaemonEvent::RosterReadFailed => {
                out.push(Command::Count(CounterName::PlatformReadsFailed));
                lock(&self.state.fleet).await_roster(now, out);
            }
            DaemonEvent::EngineOrderRead { upstream, held } => {
                lock(&self.state.fleet).placement_read(upstream, held, out);
            }
            DaemonEvent::OrderAnswered { taken: true } => {}
            DaemonEvent::OrderAnswered { taken: false } => {
                out.push(Command::Count(CounterName::OrdersRefused));
            }
            DaemonEvent::DrainAsked => self.drain(now, out),
            _ => debug_assert!(false, "an event of a request reached the fleet"),
        }
        self.check_ready(now);
    }

    /// Serves callers from the moment on from which the daemon may.
    pub(super) fn check_ready(&self, now: MonotonicTime) {
        let ready = lock(&self.state.fleet).become_ready(now);
        if ready {
            self.refresh_basis();
        }
    }

    pub(super) fn take_configuration(
        &self,
        offered: Option<(u64, String)>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let Some((revision, text)) = offered else { return };
        let declarations = {
            let mut fleet = lock(&self.state.fleet);
            if !fleet.offer(revision, &text, now, out) {
                return;
            }
            fleet.ledger.in_force().map(|in_force| Arc::clone(&in_force.declarations))
        };
        if let Some(declarations) = declarations {
            self.state.reroute(&declarations, now, out);
        }
        self.refresh_basis();
        let grants = self.state.router().serve_all_waiting(now);
        let steps = self.state.run_grants(grants, now);
        self.state.run_steps(steps, now, out);
    }

    /// Has what is published read, or asks the daemon that reads it for this one.
    pub(super) fn look_at_directory(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let (reader, has_met) = {
            let fleet = lock(&self.state.fleet);
            (fleet.directory_reader(), fleet.has_met_fleet())
        };
        let asked = lock(&self.state.directory).look(reader, has_met, now, out);
        if let Some(reader) = asked {
            lock(&self.state.fleet).exchange_with(vec![reader], now, out);
        }
    }

    /// The published upstreams were read or heard of.
    pub(super) fn directory_read(&self, changed: bool, now: MonotonicTime, out: &mut Vec<Command>) {
        let (revision, current) = {
            let mut state = lock(&self.state.directory);
            let restarted = state.directory.take_restarted();
            out.extend(restarted.into_iter().map(Command::CloseStaleConnections));
            let known = StorePosition::from(u64::from(state.directory.is_known()));
            (state.directory.changed().max(known), state.current())
        };
        let declarations = {
            let mut fleet = lock(&self.state.fleet);
            fleet.directory = revision;
            fleet.directory_current = current;
            if changed {
                fleet.tell_at_once(now, out);
            }
            fleet.ledger.in_force().map(|in_force| Arc::clone(&in_force.declarations))
        };
        if let Some(declarations) = declarations.filter(|_| changed) {
            self.state.reroute(&declarations, now, out);
            let grants = self.state.router().serve_all_waiting(now);
            let steps = self.state.run_grants(grants, now);
            self.state.run_steps(steps, now, out);
        }
    }

    /// A peer's half of a heartbeat came: takes what it says of others and of the upstreams.
    pub(super) fn heard(
        &self,
        message: &ExchangeMessage,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let vm = &message.sender.instance.vm;
        let (news, daemons) = {
            let mut fleet = lock(&self.state.fleet);
            let news = fleet.take_places(now, out);
            (news, fleet.view.alive_count() + 1)
        };
        if news {
            self.refresh_basis();
        }
        self.state.router().set_daemons(daemons);
        lock(&self.state.directory).heard_of(vm, message.directory, now, out);
    }

    pub(super) fn take_roster(
        &self,
        read: Option<VmRoster>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let Some(roster) = read else { return };
        if lock(&self.state.fleet).take_roster(roster, now, out) {
            self.refresh_basis();
            self.state.router().take_roster(self.state.basis().history.current());
        }
    }

    pub(super) fn refresh_basis(&self) {
        let fleet = lock(&self.state.fleet);
        let in_force = fleet.ledger.in_force().filter(|_| fleet.is_ready());
        let basis = RequestBasis {
            declarations: in_force.map(|each| Arc::clone(&each.declarations)),
            history: fleet.history.clone(),
            key_life: fleet.key_life(),
        };
        self.state.set_basis(basis);
    }

    pub(super) fn roster_revision(&self) -> u64 {
        self.state.basis().history.current().revision
    }
}
