use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::core_state::CoreState;
use super::held_work::HeldRequest;
use super::{Command, CounterName, DaemonEvent, StateChange, StateDump, TimerKey};
use crate::claims::RegisterReply;
use crate::configuration::CallerLimits;
use crate::identity::{CallId, InstanceId, MonotonicTime, RequestKey, StorePosition};
use crate::membership::{AddressAnswer, AddressOrder, ExchangeMessage, WitnessSet};
use crate::pipeline::{HolderReply, RefusalReason};
use crate::routing::{ListAge, PeerDirectory};
use crate::sync::lock;

/// Pause between two looks at waiting work, pauses and the drain.
const HOUSEKEEPING: Duration = Duration::from_millis(100);
/// Time before a draining process is killed at which it ends the requests that are still open.
const END_MARGIN: Duration = Duration::from_millis(900);
/// Time that the answers of those requests have to reach their callers.
const END_TIME: Duration = Duration::from_millis(250);
/// Part of the time until the kill in which a draining process takes new requests. Those that come
/// later could not be finished, and another daemon serves them at once.
const ACCEPT_SHARE: f64 = 0.3;
/// Pause between two turns of unwanted results. Long enough for one call to give up those of many
/// requests, short against the seconds that an upstream's memory for results lasts.
const RESULT_PACE: Duration = Duration::from_millis(15);
/// Pause of the process from which on everything that was believed is asked for again.
const LONG_PAUSE: Duration = Duration::from_millis(1_000);

/// All decisions of one daemon: events and time in, commands out.
///
/// Calls may come from several threads; each part has its own lock, and none is held across
/// calls of another. With one thread and one seed, the same events give the same commands.
#[derive(Debug)]
pub struct DaemonCore {
    pub(super) state: CoreState,
}

impl DaemonCore {
    pub(super) fn from_state(state: CoreState) -> Self {
        Self { state }
    }

    /// This life of this process.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        &self.state.own
    }

    /// Gives the first commands of a process.
    pub fn start(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let published = lock(&self.state.fleet).view.own().place.is_some();
        if published {
            for timer in [TimerKey::Directory, TimerKey::Seeds, TimerKey::Results] {
                out.push(Command::SetTimer { timer, at: now });
            }
        } else {
            out.push(Command::ReadRoster { known: 0 });
        }
        for timer in
            [TimerKey::Heartbeat, TimerKey::Housekeeping, TimerKey::Configuration, TimerKey::Orders]
        {
            out.push(Command::SetTimer { timer, at: now });
        }
    }

    /// Numbers a new call about `key`.
    #[must_use]
    pub fn open_call(&self, key: &RequestKey) -> CallId {
        CallId(self.state.next_call(key))
    }

    /// Takes an event at `now`; what has to be done about it is added to `out`.
    pub fn handle(&self, event: DaemonEvent, now: MonotonicTime, out: &mut Vec<Command>) {
        self.look_for_pause(now, out);
        self.state.check_list(now, out);
        let mut steps = Vec::new();
        match event {
            DaemonEvent::Submitted { call, request } => {
                let held = HeldRequest { call, request: *request, arrived: now };
                self.state.receive(held, now, out);
            }
            DaemonEvent::Inquired { call, key, age } => {
                self.state.inquire(call, key, age, now, out);
            }
            DaemonEvent::Abandoned(call) => {
                self.state.abandon_waiting(call, &mut steps);
                self.state.shard(call.0).abandon(call, now, &mut steps);
            }
            DaemonEvent::Attempt { attempt, event } => {
                self.state.shard(attempt.call.0).attempt_event(attempt, event, now, &mut steps);
            }
            DaemonEvent::RegisterReplied { call, witness, reply } => {
                let mut shard = self.state.shard(call.0);
                shard.register_replied(call, &witness, reply, now, &mut steps);
            }
            DaemonEvent::HolderReplied { call, reply } => {
                self.state.shard(call.0).holder_replied(call, reply, now, &mut steps);
            }
            DaemonEvent::Timer(timer) => self.timer(timer, now, out),
            DaemonEvent::PiecesOffered(order) => {
                self.state.dispatch_pieces(*order, now, &mut steps, out);
            }
            DaemonEvent::PiecesWithdrawn { attempt, pool } => {
                lock(&self.state.dispatcher).withdraw(attempt, &pool);
            }
            DaemonEvent::WaitTold { pool, wait } => {
                lock(&self.state.waits).note(&pool, wait, now);
            }
            DaemonEvent::ResultsUnwanted { pool, results } => {
                lock(&self.state.dispatcher).release(&pool, results);
            }
            DaemonEvent::BatchEnded { batch, outcome } => {
                self.state.batch_ended(batch, outcome, now, &mut steps, out);
            }
            DaemonEvent::UpstreamNoticed { upstream, notice, sent } => {
                self.state.take_notice(&upstream, notice, sent, now, out);
            }
            DaemonEvent::UpstreamProbed { upstream, has_ended } => {
                self.state.upstream_probed(&upstream, has_ended, now, out);
            }
            DaemonEvent::RoomTold { upstream, free } => {
                self.state.room_told(&upstream, free, now, &mut steps, out);
            }
            event => self.fleet_event(event, now, out),
        }
        self.state.run_steps(steps, now, out);
        if lock(&self.state.held).is_closed() {
            self.state.check_list(now, out);
        }
    }

    /// Mints a ticket for `key`, good for the returned time.
    #[must_use]
    pub fn mint_ticket(&self, key: &RequestKey, now: MonotonicTime) -> (String, Duration) {
        let life = self.state.basis().ticket_life();
        (self.state.tickets.mint(key, now), life)
    }

    /// Answers a peer's heartbeat.
    pub fn exchange(
        &self,
        message: &ExchangeMessage,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> ExchangeMessage {
        self.state.check_list(now, out);
        let sender = &message.sender.instance.vm;
        self.state.take_crashes(&message.crashes, sender, now, out);
        self.state.take_limits(&message.limits, sender, now, out);
        let (news, mut reply) = {
            let mut fleet = lock(&self.state.fleet);
            let news = fleet.take_message(message, now, out);
            let position = fleet.ledger.position();
            let directory = fleet.directory_news(now);
            let vm = &message.sender.instance.vm;
            let reply = match message.known_members {
                Some(known) => fleet.view.welcome(vm, known, position, directory),
                None => fleet.view.message(vm, position, directory),
            };
            let reply = ExchangeMessage {
                crash_summary: fleet.crash_summary,
                limit_digest: fleet.limit_digest,
                ..reply
            };
            (news, reply)
        };
        if message.crash_summary != reply.crash_summary {
            reply.crashes = lock(&self.state.crashes).records(now);
        }
        if message.limit_digest != reply.limit_digest {
            reply.limits = self.state.limiter.records(now);
        }
        self.state.take_leaving(&news, now, out);
        self.heard(message, now, out);
        reply
    }

    /// Answers as a witness of `key`: claims it for `claimant`, or buries it for `None`.
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

    /// Keeps the outcome of `key` that its holder left here.
    pub fn record_outcome(
        &self,
        key: &RequestKey,
        holder: &InstanceId,
        body: &[u8],
        now: MonotonicTime,
    ) {
        let key_life = self.state.basis().key_life;
        self.state.register(key).record(key, holder, body, now, key_life);
    }

    /// Answers a peer that asks what became of `key` at `holder`.
    #[must_use]
    pub fn holder_reply(&self, key: &RequestKey, holder: &InstanceId) -> HolderReply {
        if *holder != self.state.own {
            return HolderReply::Gone;
        }
        self.state.shard_of_key(key).holder_reply(key)
    }

    /// Configuration in force, if it is newer than `known`.
    #[must_use]
    pub fn configuration_after(&self, known: u64) -> Option<(u64, Arc<str>)> {
        let fleet = lock(&self.state.fleet);
        let in_force = fleet.ledger.in_force()?;
        // The same revision is given too: the asker may have another text under it.
        (in_force.revision >= known).then(|| (in_force.revision, Arc::clone(&in_force.text)))
    }

    /// Revision in force, 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        lock(&self.state.fleet).ledger.position().0
    }

    /// Whether the daemon may serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        lock(&self.state.fleet).is_ready()
    }

    /// What callers may send by the declarations in force, if these say so.
    #[must_use]
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.state.basis().declarations.as_ref().and_then(|each| each.caller_limits())
    }

    /// Whether `upstream` is known to have named a rate, so that an answer without one is news.
    #[must_use]
    pub fn is_limited(&self, upstream: &str) -> bool {
        self.state.limiter.is_limited(upstream)
    }

    /// Whether the daemon drains.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        lock(&self.state.fleet).view.is_own_leaving()
    }

    /// Addresses for `caller`, as seen from `zone` or from the own one.
    #[must_use]
    pub fn addresses(&self, caller: &str, zone: Option<&str>) -> AddressAnswer {
        let fleet = lock(&self.state.fleet);
        let hold = fleet.ledger.in_force();
        let hold = hold.map_or(Duration::ZERO, |each| each.declarations.deployment().address_hold);
        let order = AddressOrder::new(fleet.history.current(), &fleet.view, hold);
        let order = order.regions(&self.state.regions);
        order.answer(caller, zone.unwrap_or(&self.state.zone))
    }

    /// Where the daemon on `vm` listens for other daemons.
    #[must_use]
    pub fn peer_address(&self, vm: &str) -> Option<SocketAddr> {
        self.state.basis().history.current().get(vm)?.peer
    }

    /// State of the daemon, for operators.
    #[must_use]
    pub fn dump(&self, now: MonotonicTime) -> StateDump {
        let router = self.state.router();
        let running = lock(&self.state.gate).running();
        let registers = self.state.registers.iter().map(|each| lock(each).len()).sum();
        let outcomes = self.state.registers.iter().map(|each| lock(each).outcome_count()).sum();
        let keys = self.state.shards.iter().map(|each| lock(each).key_count()).sum();
        let open_calls = self.open_calls();
        let (directory_age, evacuated_zones) = {
            let state = lock(&self.state.directory);
            let zones = state.directory.evacuated_zones().map(str::to_owned).collect();
            (state.age(now), zones)
        };
        let fleet = lock(&self.state.fleet);
        let (revision, digest) = fleet.ledger.position();
        let rejected = fleet.ledger.rejected();
        let members: Vec<_> = fleet.view.records().cloned().collect();
        let leaving = members.iter().map(|each| &each.instance.vm);
        let leaving_members = leaving.filter(|vm| fleet.view.is_leaving(vm)).cloned().collect();
        StateDump {
            instance: self.state.own.clone(),
            zone: self.state.zone.clone(),
            uptime_ms: u64::try_from(now.since(self.state.started).as_millis()).unwrap_or(u64::MAX),
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
            waiting: router.waiting(),
            waiting_pieces: lock(&self.state.dispatcher).waiting(),
            upstreams: router.summaries(now),
            limited_upstreams: self.state.limiter.summaries(),
            quarantined: lock(&self.state.crashes).quarantined(now),
        }
    }

    fn open_calls(&self) -> usize {
        let begun: usize = self.state.shards.iter().map(|shard| lock(shard).open_count()).sum();
        let held = lock(&self.state.held).request_count();
        begun + lock(&self.state.backlog).len() + held
    }

    fn timer(&self, timer: TimerKey, now: MonotonicTime, out: &mut Vec<Command>) {
        match timer {
            TimerKey::Deadline(call)
            | TimerKey::Claim(call)
            | TimerKey::Inquiry(call)
            | TimerKey::Holder(call) => self.request_timer(call, timer, now, out),
            TimerKey::Silence(attempt) => self.request_timer(attempt.call, timer, now, out),
            TimerKey::Directory => {
                self.look_at_directory(now, out);
            }
            TimerKey::Results => {
                let mut steps = Vec::new();
                self.state.turn_unwanted(now, &mut steps, out);
                self.state.run_steps(steps, now, out);
                out.push(Command::SetTimer { timer: TimerKey::Results, at: now + RESULT_PACE });
            }
            // Whatever comes looks at the age of the list; this has something come in time.
            TimerKey::DirectoryAnswer => {}
            TimerKey::UpstreamNews => self.state.tell_upstream_news(now, out),
            TimerKey::Seeds => lock(&self.state.fleet).greet_seed(now, out),
            TimerKey::EndRequests => self.end_requests(now, out),
            TimerKey::Exit => {
                out.push(Command::Note(StateChange::Drained));
                out.push(Command::Exit);
            }
            TimerKey::Heartbeat => self.heartbeat(now, out),
            TimerKey::Configuration => lock(&self.state.fleet).decide_watch(now, out),
            TimerKey::Housekeeping => self.housekeeping(now, out),
            TimerKey::Orders => lock(&self.state.fleet).look_at_engines(now, out),
            TimerKey::Roster => out.push(Command::ReadRoster { known: self.roster_revision() }),
            TimerKey::Drain => self.state.window_over.store(true, Ordering::Relaxed),
        }
    }

    /// Ends every request that is still open: the process is about to end.
    fn end_requests(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let mut steps = Vec::new();
        self.state.end_held(now, out);
        self.state.end_waiting(now, &mut steps);
        for shard in &self.state.shards {
            lock(shard).end_all(RefusalReason::Draining, now, &mut steps);
        }
        self.state.run_steps(steps, now, out);
    }

    fn request_timer(
        &self,
        call: CallId,
        timer: TimerKey,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let mut steps = Vec::new();
        self.state.shard(call.0).timer(timer, now, &mut steps);
        self.state.run_steps(steps, now, out);
    }

    /// Published upstreams that this daemon knows, for a peer that can't read them.
    #[must_use]
    pub fn published_upstreams(&self, now: MonotonicTime) -> PeerDirectory {
        lock(&self.state.directory).directory.snapshot(now)
    }

    /// Published upstreams that a peer lacks that knows everything up to `known`.
    #[must_use]
    pub fn published_since(&self, known: StorePosition, now: MonotonicTime) -> PeerDirectory {
        let (revision, _) = lock(&self.state.fleet).ledger.position();
        let state = lock(&self.state.directory);
        let age = state.age(now).map(|age| ListAge { age, revision });
        PeerDirectory { age, ..state.directory.changes_since(known, now) }
    }

    fn heartbeat(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let share = {
            let mut fleet = lock(&self.state.fleet);
            fleet.heartbeat(now, out);
            fleet.changed_share(now)
        };
        if let Some(share) = share {
            self.state.limiter.set_share(share);
        }
    }

    fn housekeeping(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        *lock(&self.state.last_housekeeping) = now;
        self.check_ready(now);
        self.state.forget_crashes(now);
        self.state.forget_limits(now);
        let lost = lock(&self.state.directory).drop_missing(now, out);
        if lost {
            self.directory_read(true, now, out);
        }
        let grants = self.state.router().serve_all_waiting(now);
        let mut steps = self.state.run_grants(grants, now);
        self.state.shed_limited(now, &mut steps);
        self.state.hand_over_pools(now, &mut steps, out);
        self.state.note_duties(now);
        self.state.turn_dispatcher(now, &mut steps, out);
        self.state.turn_backlog(now, &mut steps);
        self.state.run_steps(steps, now, out);
        let idle = self.open_calls() == 0 && lock(&self.state.dispatcher).is_idle();
        if self.state.window_over.load(Ordering::Relaxed) && idle {
            out.push(Command::Note(StateChange::Drained));
            out.push(Command::Exit);
        }
        out.push(Command::SetTimer { timer: TimerKey::Housekeeping, at: now + HOUSEKEEPING });
    }

    /// Looks for a pause of this process that ends with the event at hand, before anything is
    /// decided by times that it made longer.
    fn look_for_pause(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let Some(pause) = lock(&self.state.pauses).note_event(now) else { return };
        out.push(Command::Count(CounterName::PausesNoticed));
        lock(&self.state.dispatcher).woke(pause, now);
        lock(&self.state.directory).woke(pause, now);
        if pause >= LONG_PAUSE {
            self.doubt_beliefs(pause, now, out);
        }
    }

    /// After a long pause everything that was believed before it is asked for again. No promise rests
    /// on noticing: deadlines are checked before each dispatch, claims never expire into a run.
    fn doubt_beliefs(&self, pause: Duration, now: MonotonicTime, out: &mut Vec<Command>) {
        let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        out.push(Command::Note(StateChange::Paused { millis }));
        self.state.note_pause(pause, now);
        let mut fleet = lock(&self.state.fleet);
        let partners = fleet.view.random_partners(4);
        fleet.exchange_with(partners, now, out);
    }

    pub(super) fn drain(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let mut fleet = lock(&self.state.fleet);
        if fleet.view.is_own_leaving() {
            return;
        }
        fleet.drain(now, out);
        let window = fleet.drain_window();
        out.push(Command::Note(StateChange::Draining));
        if let Some(grace) = self.state.grace {
            // Whatever is open by then can't be finished; its callers are told so while there is
            // time. A process that is killed would reset their connections without a word.
            let last = grace.saturating_sub(END_MARGIN);
            out.push(Command::SetTimer { timer: TimerKey::EndRequests, at: now + last });
            out.push(Command::SetTimer { timer: TimerKey::Exit, at: now + last + END_TIME });
            let accepting = fleet.drain_window().min(grace.mul_f64(ACCEPT_SHARE));
            *lock(&self.state.refuse_from) = Some(now + accepting);
        }
        out.push(Command::SetTimer { timer: TimerKey::Drain, at: now + window });
        drop(fleet);
        let mut steps = Vec::new();
        self.state.hand_over_pools(now, &mut steps, out);
        self.state.run_steps(steps, now, out);
    }
}
