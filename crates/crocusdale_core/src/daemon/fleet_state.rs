use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::directory_state::whole_millis;
use super::readiness_gap::GapLog;
use super::staleness_bounds::RefreshIntervals;
use super::{Command, CounterName, ReadinessGap, StateChange, TimerKey};
use crate::batching::DispatcherCandidates;
use crate::configuration::{
    ActiveConfiguration, ConfigurationLedger, DeclarationReader, LedgerVerdict,
};
use crate::identity::{MonotonicTime, StorePosition};
use crate::membership::{
    DirectoryVersion, ExchangeMessage, KnownDaemons, MemberStatus, MemberView, VmList,
    VmListHistory,
};
use crate::orders::{EngineOrder, OrderReconciler, ReconcileAction};
use crate::rate_limiting::RateShare;
use crate::reachability::TransitTable;
use crate::streams::RecordKeepers;

/// Number of peers that receive a heartbeat at once after a change, ahead of the regular period.
pub(super) const UPDATE_FANOUT: usize = 4;
/// Number of peers that receive a heartbeat at once when this daemon starts to drain or has
/// received its first VM list.
pub(super) const ANNOUNCEMENT_FANOUT: usize = 16;
/// Interval between two reads of the VM list, unless the configuration of the process sets one.
const DEFAULT_VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Lower limit of the interval between two reads of the VM list, for each daemon in the fleet. It
/// limits the reads of the whole fleet to 200 per second.
const VM_LIST_INTERVAL_PER_PEER: Duration = Duration::from_millis(5);
/// Interval at which this daemon checks the engines that it manages.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a configuration fetch from a peer, after which another fetch may start.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Intervals between two heartbeats to seed addresses: while no peer is known, and after one is.
/// Heartbeats to seeds continue after startup, so that both sides of a network partition find each
/// other again.
const SEED_INTERVALS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(3));
/// Factor on the time for which callers may cache an address answer, where upstreams are published.
/// Some callers cache answers three times as long as they may, so a draining daemon must stay
/// reachable for that long.
const ADDRESS_HOLD_FACTOR: u32 = 3;
/// Duration of member discovery after the start of a daemon without a VM list, and the longest
/// heartbeat period during it. Each heartbeat in this phase asks for all members that the peer
/// knows, so the number of known members doubles with each one.
const DISCOVERY_PHASE: (Duration, Duration) = (Duration::from_secs(3), Duration::from_millis(150));
/// Number of peers that a starting daemon must have asked before it is ready. A new configuration
/// reaches nearly every daemon within a second, so it is very unlikely that eight peers all lack
/// it. Contacting every peer of a large fleet would take longer than [`MAX_STARTUP_WAIT`], and
/// callers are refused meanwhile.
const SUFFICIENT_STARTUP_PEERS: usize = 8;
/// Longest time between two updates of the known daemons. It is short compared with the time for
/// which a daemon that has disappeared stays known.
const KNOWN_DAEMONS_INTERVAL: Duration = Duration::from_secs(10);
/// Longest time after the start for which peers that have not answered can keep a daemon from being
/// ready.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(2);

/// Membership and configuration of one daemon, guarded by one lock.
#[derive(Debug)]
pub struct FleetState {
    /// Status of each peer, as known from heartbeats.
    pub view: MemberView,
    /// Configuration in force, and the last rejected one.
    pub ledger: ConfigurationLedger,
    /// VM lists that were in use recently, and the current one.
    pub history: VmListHistory,
    /// Version of the member locations that the VM list was derived from. `None` if it wasn't
    /// derived from them yet.
    listed_places_version: Option<u64>,
    pub(super) zone: String,
    started_at: MonotonicTime,
    vm_list_interval: Duration,
    pub(super) watched_revision: u64,
    pub(super) is_watching: bool,
    pub(super) failed_watches: u32,
    fetch_started_at: Option<MonotonicTime>,
    /// Highest revision and digest of a configuration that any peer reported as in force.
    newest_peer_position: (u64, u64),
    is_ready: bool,
    gap_log: GapLog,
    /// Position of the last known change to the published upstreams.
    pub directory: StorePosition,
    /// Digest of the known crash records of upstreams, compared with peers to detect differences.
    pub(super) crash_summary: u64,
    /// Digest of the known records of prompt parts, compared with peers to detect differences.
    pub(super) part_summary: u64,
    /// Digest of the known rate limits that upstreams requested, compared with peers to detect
    /// differences.
    pub(super) limit_digest: u64,
    /// Time at which the list of published upstreams was last known to be up to date. `None` if it
    /// never was.
    pub directory_verified_at: Option<MonotonicTime>,
    /// Whether a store publishes both the configuration and the upstreams. Both must be known then
    /// before the daemon is ready.
    pub(super) needs_directory: bool,
    pub(super) intervals: RefreshIntervals,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    failed_seed_attempts: usize,
    known_daemons: KnownDaemons,
    /// Version of the member view and time of the last update of `known_daemons`.
    known_daemons_at: Option<(u64, MonotonicTime)>,
    pub(super) dispatcher_candidates: DispatcherCandidates,
    pub(super) stream_keepers: RecordKeepers,
    /// Requests that are sent to upstreams through other daemons.
    pub(super) transits: TransitTable,
    /// Version of the members' links at the last call of `take_links_change`.
    pub(super) seen_links_version: u64,
    /// Whether this daemon's last computed share of upstream request rates was withheld. `None`
    /// before the first one.
    was_share_withheld: Option<bool>,
    pub(super) random: SmallRng,
}

impl FleetState {
    /// Creates the state of a daemon in the availability zone `zone` that starts at `started_at`.
    /// `seed` initializes the random number generator.
    #[must_use]
    pub fn new(view: MemberView, zone: &str, started_at: MonotonicTime, seed: u64) -> Self {
        Self {
            view,
            ledger: ConfigurationLedger::default(),
            history: VmListHistory::new(started_at),
            listed_places_version: None,
            zone: zone.to_owned(),
            started_at,
            vm_list_interval: DEFAULT_VM_LIST_INTERVAL,
            watched_revision: 0,
            is_watching: false,
            failed_watches: 0,
            fetch_started_at: None,
            newest_peer_position: (0, 0),
            is_ready: false,
            gap_log: GapLog::default(),
            directory: StorePosition::default(),
            crash_summary: 0,
            part_summary: 0,
            limit_digest: 0,
            directory_verified_at: None,
            needs_directory: false,
            intervals: RefreshIntervals::default(),
            seeds: Vec::new(),
            next_seed: 0,
            failed_seed_attempts: 0,
            known_daemons: KnownDaemons::default(),
            known_daemons_at: None,
            dispatcher_candidates: DispatcherCandidates::default(),
            stream_keepers: RecordKeepers::default(),
            transits: TransitTable::default(),
            seen_links_version: 0,
            was_share_withheld: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the reader that parses and validates configurations.
    pub fn set_reader(&mut self, reader: DeclarationReader) {
        self.ledger = ConfigurationLedger::new(reader);
    }

    /// Sets the refresh intervals of the list and the configuration that the platform publishes.
    pub(super) fn set_refresh_intervals(&mut self, intervals: RefreshIntervals) {
        self.intervals = intervals;
    }

    /// Switches to discovery: peers are found through the addresses in `seeds` and through gossip
    /// rather than in a VM list. The daemon then also needs the list of published upstreams to be
    /// ready.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>, now: MonotonicTime) {
        self.seeds = seeds;
        self.needs_directory = true;
        self.view.set_full_sync(true);
        self.refresh_vm_list(now, &mut Vec::new());
    }

    /// Sends a heartbeat to the next seed address and schedules the one after it.
    pub fn ping_seed(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let own = self.view.own().place.as_ref().map(|place| place.peer);
        let other_seeds: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| Some(*seed) != own).collect();
        if other_seeds.is_empty() {
            self.failed_seed_attempts = usize::MAX;
            return;
        }
        let address = other_seeds[self.next_seed % other_seeds.len()];
        self.next_seed += 1;
        let message = Box::new(self.heartbeat_for("", now));
        out.push(Command::PingSeed { address, message });
        let is_isolated = self.view.peer_count() == 0;
        let delay = if is_isolated { SEED_INTERVALS.0 } else { SEED_INTERVALS.1 };
        let at = now + self.with_jitter(delay);
        out.push(Command::SetTimer { timer: TimerKey::SeedPing, at });
    }

    /// Derives the VM list from the addresses that members report about themselves, if there is no
    /// VM list to read. Returns whether the list has changed.
    pub fn refresh_vm_list(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        if self.view.own().place.is_none() {
            return false;
        }
        self.view.remove_unreachable(now);
        let places_version = Some(self.view.places_version());
        if self.listed_places_version == places_version {
            return false;
        }
        self.listed_places_version = places_version;
        let vms = self.view.places();
        let current = self.history.current();
        if current.vms == vms {
            return false;
        }
        let vm_list = VmList { revision: current.revision + 1, vms };
        self.apply_vm_list(vm_list, now, out)
    }

    /// Sets the shortest interval between two reads of the VM list.
    pub fn set_vm_list_interval(&mut self, period: Duration) {
        self.vm_list_interval = period;
    }

    /// Schedules the next read of the VM list.
    pub fn schedule_vm_list_read(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let peers = u32::try_from(self.view.peer_count()).unwrap_or(u32::MAX);
        let delay = self.with_jitter(
            self.vm_list_interval.max(VM_LIST_INTERVAL_PER_PEER.saturating_mul(peers)),
        );
        out.push(Command::SetTimer { timer: TimerKey::VmListRead, at: now + delay });
    }

    /// Whether the daemon serves callers. Never becomes false again.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Updates whether the daemon serves callers, and returns whether it just became ready. Logs what
    /// a daemon lacks that isn't ready for long.
    pub fn update_readiness(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        if self.is_ready {
            return false;
        }
        let since_start_ms = whole_millis(now.since(self.started_at));
        if let Some(gap) = self.readiness_gap(now) {
            if self.gap_log.is_due(gap, self.started_at, now) {
                out.push(Command::LogStateChange(StateChange::NotReady { gap, since_start_ms }));
            }
            return false;
        }
        self.is_ready = true;
        self.view.become_ready();
        out.push(Command::LogStateChange(StateChange::Ready { since_start_ms }));
        true
    }

    /// What the daemon lacks before it may serve callers. It needs a configuration and a VM list.
    /// Enough peers must have been asked, or the startup wait must be over, and this daemon must
    /// have caught up with the newest configuration that any peer has in force.
    ///
    /// Guards against a new process that reads an outdated revision from a stale configuration
    /// service while its peers have a newer one in force. It would serve callers under the outdated
    /// revision until its fetch from a peer ends.
    fn readiness_gap(&self, now: MonotonicTime) -> Option<ReadinessGap> {
        let has_waited = now.since(self.started_at) >= MAX_STARTUP_WAIT;
        let has_asked_peers = self.view.has_contacted_peers(SUFFICIENT_STARTUP_PEERS)
            && self.has_finished_discovery();
        let (revision, digest) = self.newest_peer_position;
        if self.ledger.in_force().is_none() {
            Some(ReadinessGap::Configuration)
        } else if self.needs_directory && self.directory.is_none() {
            Some(ReadinessGap::Directory)
        } else if self.history.current().revision == 0 {
            Some(ReadinessGap::VmList)
        } else if !has_asked_peers && !has_waited {
            Some(ReadinessGap::Peers)
        } else if self.ledger.should_fetch(revision, digest) {
            Some(ReadinessGap::NewerConfiguration)
        } else {
            None
        }
    }

    /// Whether a peer is known, or no seed could be reached.
    ///
    /// Guards against a process that is ready before the response to its first heartbeat arrives.
    /// It knows no peer to ask, and would serve callers under an outdated configuration if the
    /// store was restored from an older copy.
    pub(super) fn has_finished_discovery(&self) -> bool {
        let other_seeds = self.seeds.len().saturating_sub(1);
        self.seeds.is_empty()
            || self.view.peer_count() > 0
            || self.failed_seed_attempts >= other_seeds.max(1)
    }

    /// Records that no daemon answered at a seed address.
    pub(super) fn record_seed_failure(&mut self, out: &mut Vec<Command>) {
        self.failed_seed_attempts = self.failed_seed_attempts.saturating_add(1);
        out.push(Command::Count(CounterName::ExchangesFailed));
    }

    /// Sends the heartbeats of one period and schedules the next period.
    pub fn heartbeat(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let is_discovering = self.is_discovering_members(now);
        self.view.set_full_sync(is_discovering);
        let partners = self.view.tick(now);
        self.send_heartbeats_to(partners, now, out);
        let delay = if is_discovering {
            DISCOVERY_PHASE.1.min(self.view.period())
        } else {
            self.view.period()
        };
        let delay = self.with_jitter(delay);
        out.push(Command::SetTimer { timer: TimerKey::Heartbeat, at: now + delay });
    }

    /// Returns this daemon's share of the request rates that upstreams accept from all daemons
    /// together, or `None` if the share has not changed since the last call.
    pub(super) fn update_rate_share(&mut self, now: MonotonicTime) -> Option<RateShare> {
        let version = self.view.version();
        let is_current = self.known_daemons_at.is_some_and(|(known_version, updated_at)| {
            known_version == version && now.since(updated_at) < KNOWN_DAEMONS_INTERVAL
        });
        let has_changed = !is_current && {
            self.known_daemons_at = Some((version, now));
            let names = self.view.records().map(|record| record.instance.vm.as_str());
            self.known_daemons.update(names, now)
        };
        let is_share_withheld = self.is_discovering_members(now);
        let is_new_share = has_changed || self.was_share_withheld != Some(is_share_withheld);
        self.was_share_withheld = Some(is_share_withheld);
        let own = &self.view.own().instance.vm;
        is_new_share
            .then(|| RateShare::new(own, self.known_daemons.names()).withheld(is_share_withheld))
    }

    /// Whether this daemon is still discovering its peers because there is no VM list.
    ///
    /// Guards against inefficient batches just after the whole fleet has started. Each daemon is
    /// ready at once and knows only a few others, so daemons disagree on which of them dispatches
    /// for a pool. Several daemons then call the same pool with small batches, and upstreams
    /// decline them.
    fn is_discovering_members(&self, now: MonotonicTime) -> bool {
        self.view.own().place.is_some() && now.since(self.started_at) < DISCOVERY_PHASE.0
    }

    /// Applies a heartbeat from a peer, and fetches the peer's configuration if it is newer.
    /// Returns the upstreams that are newly known to be leaving.
    pub fn apply_heartbeat(
        &mut self,
        message: &ExchangeMessage,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Vec<crate::membership::LeavingUpstream> {
        let vm = &message.sender.instance.vm;
        let previous_status = self.view.status(vm);
        let leaving_upstreams = self.view.merge_message(message, now);
        self.log_peer_status(vm, previous_status, out);
        self.newest_peer_position =
            self.newest_peer_position.max((message.revision, message.digest));
        let is_fetching = self
            .fetch_started_at
            .is_some_and(|fetch_started_at| now.since(fetch_started_at) < FETCH_TIMEOUT);
        if !is_fetching && self.ledger.should_fetch(message.revision, message.digest) {
            self.fetch_started_at = Some(now);
            let known = self.ledger.position().0;
            out.push(Command::FetchConfiguration { vm: vm.clone(), known });
        }
        leaving_upstreams
    }

    /// Records that a heartbeat to the peer on `vm` failed.
    pub fn record_heartbeat_failure(
        &mut self,
        vm: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        out.push(Command::Count(CounterName::ExchangesFailed));
        let previous_status = self.view.status(vm);
        self.view.handle_failed_exchange(vm, now);
        self.log_peer_status(vm, previous_status, out);
    }

    /// Records that the configuration fetch from a peer has ended, successfully or not.
    pub fn finish_configuration_fetch(&mut self) {
        self.fetch_started_at = None;
    }

    /// Puts the configuration `text` in force if it is valid and newer than the current one.
    /// Returns whether the configuration in force has changed.
    pub fn apply_configuration(
        &mut self,
        revision: u64,
        text: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let previous_position = self.ledger.position();
        match self.ledger.offer(revision, text) {
            LedgerVerdict::Accepted => {
                out.push(Command::Count(CounterName::ConfigurationsAccepted));
                out.push(Command::LogStateChange(StateChange::ConfigurationInForce { revision }));
            }
            LedgerVerdict::Rejected(errors) => {
                out.push(Command::Count(CounterName::ConfigurationsRejected));
                let error = errors.first().map(ToString::to_string).unwrap_or_default();
                let errors = errors.len();
                out.push(Command::LogStateChange(StateChange::ConfigurationRejected {
                    revision,
                    error,
                    errors,
                }));
            }
            LedgerVerdict::Conflict => {
                out.push(Command::Count(CounterName::ConfigurationConflicts));
                out.push(Command::LogStateChange(StateChange::ConfigurationConflict { revision }));
            }
            LedgerVerdict::AlreadyInForce
            | LedgerVerdict::Older
            | LedgerVerdict::RejectedBefore => {}
        }
        let has_changed = previous_position != self.ledger.position();
        if has_changed {
            self.send_early_heartbeats(now, out);
        }
        has_changed
    }

    /// Sends heartbeats to a few peers without waiting for the next period, to spread a change
    /// quickly.
    pub fn send_early_heartbeats(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let partners = self.view.random_partners(UPDATE_FANOUT);
        self.send_heartbeats_to(partners, now, out);
    }

    /// Applies a VM list. Returns whether it replaced the one in use.
    pub fn apply_vm_list(
        &mut self,
        vm_list: VmList,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let key_life = self.key_life();
        if !self.history.take(vm_list, now, key_life) {
            return false;
        }
        let current = self.history.current().clone();
        let is_first_list = self.view.peer_count() == 0;
        self.view.update_peers(&current, now);
        let (revision, vms) = (current.revision, current.vms.len());
        out.push(Command::LogStateChange(StateChange::RosterTaken { revision, vms }));
        if is_first_list {
            let partners = self.view.random_partners(ANNOUNCEMENT_FANOUT);
            self.send_heartbeats_to(partners, now, out);
        }
        true
    }

    /// Time for which idempotency keys are remembered: as configured, or one hour while no
    /// configuration is in force.
    #[must_use]
    pub fn key_life(&self) -> Duration {
        let in_force = self.ledger.in_force();
        in_force.map_or(Duration::from_secs(3_600), |each| each.declarations.deployment().key_life)
    }

    /// Asks the engines that this daemon manages which model placement they hold, and schedules the
    /// next check.
    pub fn query_engines(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        // Published engines have no declared placement.
        let has_engines =
            |in_force: &&ActiveConfiguration| !in_force.declarations.upstreams().is_empty();
        let in_force = self.ledger.in_force().filter(has_engines);
        if let Some(in_force) = in_force.filter(|_| self.is_ready) {
            let reconciler = OrderReconciler::new(&in_force.declarations, in_force.revision);
            for engine in reconciler.managed_engines(self.history.current(), &self.view) {
                let (upstream, address) = (engine.name.clone(), engine.address);
                out.push(Command::ReadEngineOrder { upstream, address });
            }
        }
        let delay = self.with_jitter(ENGINE_POLL_INTERVAL);
        out.push(Command::SetTimer { timer: TimerKey::EngineCheck, at: now + delay });
    }

    /// Compares the placement that an engine reported with the desired one, and sends an order if
    /// they differ. `None` in `held_order` means that the engine did not report any.
    pub fn reconcile_engine(
        &mut self,
        upstream: String,
        held_order: Option<EngineOrder>,
        out: &mut Vec<Command>,
    ) {
        let (Some(held_order), Some(in_force)) = (held_order, self.ledger.in_force()) else {
            return;
        };
        let reconciler = OrderReconciler::new(&in_force.declarations, in_force.revision);
        match reconciler.decide(&upstream, &held_order) {
            ReconcileAction::Nothing => {}
            ReconcileAction::NewerHeld => out.push(Command::Count(CounterName::OrdersOutdated)),
            ReconcileAction::Send { address, order } => {
                out.push(Command::Count(CounterName::OrdersGiven));
                out.push(Command::SendEngineOrder { upstream, address, order });
            }
        }
    }

    /// Announces to peers that this daemon is draining.
    pub fn drain(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        self.view.leave();
        let partners = self.view.random_partners(ANNOUNCEMENT_FANOUT);
        self.send_heartbeats_to(partners, now, out);
    }

    /// Time after the start of a drain until callers have dropped every cached address answer that
    /// names this daemon. Includes four heartbeat periods in which peers learn of the drain.
    #[must_use]
    pub fn drain_window(&self) -> Duration {
        let in_force = self.ledger.in_force();
        let address_cache_time = in_force.map_or(Duration::ZERO, |in_force| {
            in_force.declarations.deployment().address_cache_time
        });
        let announced_time = if self.needs_directory {
            address_cache_time * ADDRESS_HOLD_FACTOR
        } else {
            address_cache_time
        };
        announced_time + self.view.period() * 4
    }

    /// Sends a heartbeat to each of `partners`.
    pub fn send_heartbeats_to(
        &mut self,
        partners: Vec<String>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        for vm in partners {
            let message = Box::new(self.heartbeat_for(&vm, now));
            out.push(Command::SendHeartbeat { vm, message });
        }
    }

    pub(super) fn heartbeat_for(&mut self, vm: &str, now: MonotonicTime) -> ExchangeMessage {
        let message = self.view.message(vm, self.ledger.position(), self.directory_status(now));
        ExchangeMessage {
            crash_summary: self.crash_summary,
            part_summary: self.part_summary,
            limit_digest: self.limit_digest,
            ..message
        }
    }

    /// Shortens `delay` by a random amount of up to a quarter, so that daemons do not act in
    /// lockstep.
    pub fn with_jitter(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.random.random_range(0.75..=1.0))
    }

    /// Position and age of the local list of published upstreams, as reported in heartbeats.
    #[must_use]
    pub fn directory_status(&self, now: MonotonicTime) -> DirectoryVersion {
        let age = self.directory_verified_at.map(|verified_at| now.since(verified_at));
        DirectoryVersion { changed: self.directory, age }
    }

    fn log_peer_status(&self, vm: &str, previous: Option<MemberStatus>, out: &mut Vec<Command>) {
        let current = self.view.status(vm);
        if let Some(status) = current.filter(|status| Some(*status) != previous) {
            let (vm, status) = (vm.to_owned(), status.to_string());
            out.push(Command::LogStateChange(StateChange::PeerStatus { vm, status }));
        }
    }
}
