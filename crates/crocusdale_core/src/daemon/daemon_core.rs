use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::core_state::CoreState;
use super::held_work::HeldRequest;
use super::{Command, CounterName, DaemonEvent, StateChange, StateDump, TimerKey};
use crate::admission::{AdmissionDecision, AdmissionRequest};
use crate::claims::RegisterReply;
use crate::configuration::CallerLimits;
use crate::identity::{CallId, InstanceId, MonotonicTime, RequestKey, StorePosition};
use crate::membership::{AddressAnswer, AddressOrder, ExchangeMessage, WitnessSet};
use crate::pipeline::HolderReply;
use crate::routing::{ListAge, PeerDirectory};
use crate::sync::lock;

/// Shortest pause of the process after which its view of the peers is refreshed at once.
const REFRESH_PAUSE: Duration = Duration::from_millis(1_000);

/// Deterministic state machine of one daemon: consumes events with their time, emits commands.
///
/// Several threads may call it at once. Each part of the state has its own lock, which is not held
/// while another part is called. With one thread and one seed, equal events give equal commands.
#[derive(Debug)]
pub struct DaemonCore {
    pub(super) state: CoreState,
}

impl DaemonCore {
    pub(super) fn from_state(state: CoreState) -> Self {
        Self { state }
    }

    /// Identity of this process: its VM and its incarnation, which is new after every restart.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        &self.state.own_instance
    }

    /// Emits the commands that start the daemon: the first platform read and the periodic timers.
    pub fn start(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let uses_discovery = lock(&self.state.fleet).view.own().place.is_some();
        if uses_discovery {
            for timer in [TimerKey::DirectoryPoll, TimerKey::SeedPing] {
                out.push(Command::SetTimer { timer, at: now });
            }
        } else {
            out.push(Command::ReadVmList { known: 0 });
        }
        for timer in [
            TimerKey::Heartbeat,
            TimerKey::Housekeeping,
            TimerKey::Configuration,
            TimerKey::EngineCheck,
        ] {
            out.push(Command::SetTimer { timer, at: now });
        }
    }

    /// Assigns an id to a new caller's call about `key`.
    #[must_use]
    pub fn open_call(&self, key: &RequestKey) -> CallId {
        CallId(self.state.next_call(key))
    }

    /// Handles `event` at `now` and appends the resulting commands to `out`.
    pub fn handle(&self, event: DaemonEvent, now: MonotonicTime, out: &mut Vec<Command>) {
        self.detect_pause(now, out);
        self.state.check_staleness(now, out);
        let mut actions = Vec::new();
        match event {
            DaemonEvent::Submitted { call, request } => {
                let held_request = HeldRequest { call, request: *request, arrived_at: now };
                self.state.submit_or_hold(held_request, now, out);
            }
            DaemonEvent::Inquired { call, key, age } => {
                self.state.inquire(call, key, age, now, out);
            }
            DaemonEvent::CallerDisconnected(call) => {
                self.state.remove_queued_request(call, &mut actions);
                self.state.shard(call.0).handle_disconnect(call, now, &mut actions);
            }
            DaemonEvent::Attempt { attempt, event } => {
                self.state.shard(attempt.call.0).handle_attempt_event(
                    attempt,
                    event,
                    now,
                    &mut actions,
                );
            }
            DaemonEvent::WitnessReplied { call, witness, reply } => {
                let mut shard = self.state.shard(call.0);
                shard.handle_register_reply(call, &witness, reply, now, &mut actions);
            }
            DaemonEvent::HolderReplied { call, reply } => {
                self.state.shard(call.0).handle_holder_reply(call, reply, now, &mut actions);
            }
            DaemonEvent::Timer(timer) => self.handle_timer(timer, now, out),
            DaemonEvent::PiecesReceived(order) => {
                self.state.queue_pieces(*order, now, &mut actions, out);
            }
            DaemonEvent::PiecesCancelled { attempt, pool } => {
                lock(&self.state.dispatcher).cancel_attempt(attempt, &pool);
            }
            DaemonEvent::AdmissionReplied { call, vm, decision } => {
                self.state.handle_admission_reply(call, &vm, decision, now, &mut actions);
            }
            DaemonEvent::StreamFound { call, reply } => {
                self.state.handle_origin_reply(call, reply, now, &mut actions);
            }
            DaemonEvent::PoolStatusReported(status) => {
                self.state.record_pool_status(*status, now);
            }
            DaemonEvent::PoolWaitReported { pool, wait, vm } => {
                lock(&self.state.pool_waits).record(&pool, wait, &vm, now);
            }
            DaemonEvent::ResultsReleased { pool, results } => {
                lock(&self.state.dispatcher).release(&pool, results);
            }
            DaemonEvent::BatchEnded { batch, outcome } => {
                self.state.handle_batch_outcome(batch, outcome, now, &mut actions, out);
            }
            DaemonEvent::PlacementReplied { vm, request, reply } => {
                self.state.handle_placement_reply(vm, &request, reply, now, &mut actions, out);
            }
            DaemonEvent::StreamForwarded { call, events, time } => {
                self.state.placements.record_stream(call, events, time);
            }
            DaemonEvent::UpstreamNoticed { upstream, notice, sent } => {
                self.state.apply_notice(&upstream, notice, sent, now, out);
            }
            DaemonEvent::LinkUsed { upstream, result } => {
                self.state.record_link(&upstream, result, false, now, &mut actions, out);
            }
            DaemonEvent::LinkTested { upstream, result } => {
                self.state.record_link(&upstream, result, true, now, &mut actions, out);
            }
            DaemonEvent::UpstreamDown { upstream } => self.state.record_down(&upstream, now),
            DaemonEvent::UpstreamProbed { upstream, has_ended } => {
                self.state.handle_probe_result(&upstream, has_ended, now, out);
            }
            DaemonEvent::FreeMemoryReported { upstream, free } => {
                self.state.record_free_memory(&upstream, free, now, &mut actions, out);
            }
            handle_fleet_event => self.handle_fleet_event(handle_fleet_event, now, out),
        }
        self.state.run_actions(actions, now, out);
        if lock(&self.state.held_work).is_holding() {
            self.state.check_staleness(now, out);
        }
        self.state.schedule_result_release(now, out);
        self.state.schedule_pool_status(now, out);
    }

    /// Issues a ticket for `key` and returns it with its validity period. The ticket lets this
    /// process verify the age of a later request with that key.
    #[must_use]
    pub fn issue_ticket(&self, key: &RequestKey, now: MonotonicTime) -> (String, Duration) {
        let validity = self.state.fleet_snapshot().ticket_life();
        (self.state.ticket_issuer.issue(key, now), validity)
    }

    /// Merges a peer's heartbeat and returns the heartbeat of this daemon as its answer.
    pub fn exchange(
        &self,
        message: &ExchangeMessage,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> ExchangeMessage {
        self.state.check_staleness(now, out);
        let sender = &message.sender.instance.vm;
        self.state.merge_crash_records(&message.crashes, sender, now, out);
        self.state.merge_part_records(&message.part_crashes, sender, now, out);
        self.state.merge_limits(&message.limits, sender, now, out);
        let (newly_leaving, mut reply) = {
            let mut fleet = lock(&self.state.fleet);
            let newly_leaving = fleet.apply_heartbeat(message, now, out);
            let position = fleet.ledger.position();
            let directory = fleet.directory_status(now);
            let vm = &message.sender.instance.vm;
            let reply = match message.known_members {
                Some(known) => fleet.view.full_sync_message(vm, known, position, directory),
                None => fleet.view.message(vm, position, directory),
            };
            let reply = ExchangeMessage {
                crash_summary: fleet.crash_summary,
                part_summary: fleet.part_summary,
                limit_digest: fleet.limit_digest,
                ..reply
            };
            (newly_leaving, reply)
        };
        if message.known_members.is_some() {
            reply.versions = lock(&self.state.versions).report(now);
        }
        if message.crash_summary != reply.crash_summary {
            reply.crashes = lock(&self.state.crash_detector).records(now);
        }
        if message.part_summary != reply.part_summary {
            reply.part_crashes = lock(&self.state.part_detector).records(now);
        }
        if message.limit_digest != reply.limit_digest {
            reply.limits = self.state.limiter.records(now);
        }
        self.state.mark_leaving(&newly_leaving, now, out);
        self.update_from_heartbeat(message, now, out);
        reply
    }

    /// Votes as a witness of `key`: stores a claim of `claimant`, or a tombstone for `None`. An
    /// earlier claim or tombstone stays and is returned instead.
    pub fn witness(
        &self,
        key: &RequestKey,
        claimant: Option<&InstanceId>,
        witnesses: &WitnessSet,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> RegisterReply {
        self.state.witness(key, claimant, witnesses, now, out)
    }

    /// Decides on a peer's request as the admission coordinator of its section. `None` if the peer
    /// has to decide by itself.
    pub fn admit(
        &self,
        request: &AdmissionRequest,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Option<AdmissionDecision> {
        if !self.state.coordination.settings.chain_admission {
            return None;
        }
        self.state.decide_admission(request, now, out)
    }

    /// Stores the outcome of the request `key` that the claiming process `holder` reported.
    pub fn record_outcome(
        &self,
        key: &RequestKey,
        holder: &InstanceId,
        body: &[u8],
        now: MonotonicTime,
    ) {
        let key_life = self.state.fleet_snapshot().key_life;
        self.state.register_shard(key).record(key, holder, body, now, key_life);
    }

    /// Answers a peer's inquiry about the request `key` that the process `holder` has claimed. A
    /// `holder` of another incarnation is reported as gone.
    #[must_use]
    pub fn holder_reply(&self, key: &RequestKey, holder: &InstanceId) -> HolderReply {
        if *holder != self.state.own_instance {
            return HolderReply::Gone;
        }
        self.state.shard_of_key(key).holder_reply(key)
    }

    /// Revision and text of the configuration in force, or `None` if there is none or its revision
    /// is below `known`.
    #[must_use]
    pub fn configuration_after(&self, known: u64) -> Option<(u64, Arc<str>)> {
        let fleet = lock(&self.state.fleet);
        let in_force = fleet.ledger.in_force()?;
        // An equal revision is returned too, because the peer may have a conflicting text for it.
        (in_force.revision >= known).then(|| (in_force.revision, Arc::clone(&in_force.text)))
    }

    /// Configuration revision in force, 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        lock(&self.state.fleet).ledger.position().0
    }

    /// Whether the daemon may serve callers. Once ready, it stays ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        lock(&self.state.fleet).is_ready()
    }

    /// Limits on the size of callers' requests and on their timeouts, if the configuration in force
    /// sets any.
    #[must_use]
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.state
            .fleet_snapshot()
            .declarations
            .as_ref()
            .and_then(|declarations| declarations.caller_limits())
    }

    /// Whether `upstream` has announced a rate limit, so that an answer without one withdraws it.
    #[must_use]
    pub fn is_limited(&self, upstream: &str) -> bool {
        self.state.limiter.is_limited(upstream)
    }

    /// Whether the daemon is draining.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        lock(&self.state.fleet).view.is_own_leaving()
    }

    /// Addresses of daemons that `caller` should try, in that order. Daemons in the availability
    /// zone `zone` come before others; `None` stands for this daemon's own zone.
    #[must_use]
    pub fn addresses(&self, caller: &str, zone: Option<&str>) -> AddressAnswer {
        let fleet = lock(&self.state.fleet);
        let in_force = fleet.ledger.in_force();
        let address_cache_time = in_force
            .map_or(Duration::ZERO, |entry| entry.declarations.deployment().address_cache_time);
        let order = AddressOrder::new(fleet.history.current(), &fleet.view, address_cache_time);
        let order = order.regions(&self.state.region_map);
        order.answer(caller, zone.unwrap_or(&self.state.zone))
    }

    /// Address that the daemon on `vm` listens on for peers, or `None` if it is not known.
    #[must_use]
    pub fn peer_address(&self, vm: &str) -> Option<SocketAddr> {
        self.state.fleet_snapshot().history.current().get(vm)?.peer
    }

    /// Snapshot of the daemon's state for operators.
    #[must_use]
    pub fn dump(&self, now: MonotonicTime) -> StateDump {
        let router = self.state.router();
        let running = lock(&self.state.admission_gate).running();
        let registers = self.state.register_shards.iter().map(|shard| lock(shard).len()).sum();
        let outcomes =
            self.state.register_shards.iter().map(|shard| lock(shard).outcome_count()).sum();
        let keys = self.state.request_shards.iter().map(|shard| lock(shard).key_count()).sum();
        let open_calls = self.open_call_count();
        let (directory_age, evacuated_zones) = {
            let state = lock(&self.state.directory);
            let zones = state.directory.evacuated_zones().map(str::to_owned).collect();
            (state.age(now), zones)
        };
        let impaired_pools = lock(&self.state.links).impaired_pools();
        let fleet = lock(&self.state.fleet);
        let (revision, digest) = fleet.ledger.position();
        let rejected = fleet.ledger.rejected();
        let members: Vec<_> = fleet.view.records().cloned().collect();
        let member_vms = members.iter().map(|member| &member.instance.vm);
        let leaving_members = member_vms.filter(|vm| fleet.view.is_leaving(vm)).cloned().collect();
        StateDump {
            instance: self.state.own_instance.clone(),
            zone: self.state.zone.clone(),
            uptime_ms: u64::try_from(now.since(self.state.started_at).as_millis())
                .unwrap_or(u64::MAX),
            ready: fleet.is_ready(),
            leaving: fleet.view.is_own_leaving(),
            revision,
            digest: format!("{digest:016x}"),
            rejected_revision: rejected.map(|(revision, _)| revision),
            rejected_errors: rejected
                .map(|(_, errors)| errors.iter().map(ToString::to_string).collect())
                .unwrap_or_default(),
            configuration_conflicts: fleet.ledger.conflicts(),
            roster_revision: fleet.history.current().revision,
            directory_revision: fleet.directory.revision,
            directory_era: fleet.directory.era,
            evacuated_zones,
            directory_age_ms: directory_age
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            peers: fleet.view.peer_count(),
            sharing_daemons: self.state.limiter.sharing_daemons(),
            members,
            leaving_members,
            running,
            open_calls,
            registers,
            outcomes,
            keys,
            waiting: router.waiting_counts(),
            waiting_pieces: lock(&self.state.dispatcher).waiting(),
            upstreams: router.summaries(now),
            engine_speeds: lock(&self.state.placements.placers).speeds(now),
            limited_upstreams: self.state.limiter.summaries(),
            impaired_pools,
            stream_records: lock(&self.state.stream_log).len(),
            quarantined: lock(&self.state.crash_detector).quarantined(now),
            quarantined_parts: lock(&self.state.part_detector).quarantined(),
        }
    }

    /// Number of open calls of callers, including inquiries and queued requests.
    pub(super) fn open_call_count(&self) -> usize {
        let started: usize =
            self.state.request_shards.iter().map(|shard| lock(shard).open_count()).sum();
        let held_count = lock(&self.state.held_work).request_count();
        let pending_count = lock(&self.state.coordination.pending_admissions).len();
        let resuming_count = lock(&self.state.pending_streams).len();
        let queued_count = lock(&self.state.entry_backlog).len();
        started + queued_count + held_count + pending_count + resuming_count
    }

    /// All published upstreams that this daemon knows, for a peer that can't read the store.
    #[must_use]
    pub fn published_upstreams(&self, now: MonotonicTime) -> PeerDirectory {
        lock(&self.state.directory).directory.snapshot(now)
    }

    /// Changes of the published upstreams after `known`, for a peer that has everything before.
    #[must_use]
    pub fn published_since(&self, known: StorePosition, now: MonotonicTime) -> PeerDirectory {
        let (revision, _) = lock(&self.state.fleet).ledger.position();
        let state = lock(&self.state.directory);
        let age = state.age(now).map(|age| ListAge { age, revision });
        PeerDirectory { age, ..state.directory.changes_since(known, now) }
    }

    /// Detects a pause of this process that ends with the current event. This runs before any
    /// decision that depends on measured durations, which the pause has inflated.
    fn detect_pause(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let Some(pause) = lock(&self.state.pause_detector).record_event(now) else { return };
        out.push(Command::Count(CounterName::PausesNoticed));
        lock(&self.state.dispatcher).resume_after_pause(pause, now);
        lock(&self.state.directory).extend_read_deadline(pause, now);
        if pause >= REFRESH_PAUSE {
            self.refresh_peer_view(pause, now, out);
        }
    }

    /// Exchanges heartbeats with a few random peers after a long pause, because the view of the
    /// peers is stale. Safety does not depend on detecting the pause: deadlines are checked before
    /// each dispatch, and no claim expires in a way that lets its request run twice.
    fn refresh_peer_view(&self, pause: Duration, now: MonotonicTime, out: &mut Vec<Command>) {
        let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        out.push(Command::LogStateChange(StateChange::Paused { millis }));
        self.state.record_pause(pause, now);
        let mut fleet = lock(&self.state.fleet);
        let partners = fleet.view.random_partners(4);
        fleet.send_heartbeats_to(partners, now, out);
    }
}
