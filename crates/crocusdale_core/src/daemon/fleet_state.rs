use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::news_bounds::NewsPace;
use super::{Command, CounterName, StateChange, TimerKey};
use crate::configuration::{ConfigurationLedger, DeclarationReader, LedgerVerdict};
use crate::identity::{MonotonicTime, StorePosition};
use crate::membership::{
    DirectoryNews, ExchangeMessage, KnownDaemons, MemberStatus, MemberView, RosterHistory, VmRoster,
};
use crate::orders::{EngineOrder, OrderKeeper, OrderStep};
use crate::quarantine::CrashRecord;
use crate::rate_limiting::{LimitRecord, RateShare};

/// Peers that are told at once of a new revision.
const EAGER_PARTNERS: usize = 4;
/// Peers that are told at once of a drain.
const FAREWELL_PARTNERS: usize = 16;
/// Pause between two reads of the VM list, unless set.
const ROSTER_PERIOD: Duration = Duration::from_secs(2);
/// Pause between two reads of the VM list for each daemon of the fleet, which bounds the reads
/// of the whole fleet to 200 a second.
const ROSTER_SHARE: Duration = Duration::from_millis(5);
/// Pause between two looks at the engines that a daemon keeps in order.
const ORDER_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a fetch from a peer counts as lost.
const FETCH_PATIENCE: Duration = Duration::from_secs(2);
/// Pause between two greetings of a seed, while no peer is known and afterwards. Greetings of
/// seeds that are known already find the other side again after a partition.
const SEED_PACE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(3));
/// Address answers name a draining daemon for up to this many times as long as they may be kept:
/// some callers keep them three times as long as they are told.
const HOLD_FACTOR: u32 = 3;
/// Time after the start for which a daemon without a VM list asks each partner for all that it knows, and
/// the pause between two partners meanwhile. What is known doubles with each exchange.
const SETTLING: (Duration, Duration) = (Duration::from_secs(3), Duration::from_millis(150));
/// Peers whose answers are enough for a daemon that starts: what is in force is so nearly everywhere
/// within a second, so eight daemons that all lack it would have to be met by chance. Asking each
/// peer of a large fleet would take longer than [`START_GRACE`], in which callers are refused.
const START_SAMPLE: usize = 8;
/// Time after the start for which an unheard peer keeps a daemon from being ready.
const START_GRACE: Duration = Duration::from_secs(2);

/// Membership and configuration of one daemon, under one lock.
#[derive(Debug)]
pub struct FleetState {
    /// What is believed of the peers.
    pub view: MemberView,
    /// Which configuration is in force.
    pub ledger: ConfigurationLedger,
    /// VM lists in use.
    pub history: RosterHistory,
    pub(super) zone: String,
    started: MonotonicTime,
    roster_period: Duration,
    pub(super) service_revision: u64,
    pub(super) watching: bool,
    pub(super) failures: u32,
    fetching: Option<MonotonicTime>,
    /// Newest position that any peer had in force.
    highest_heard: (u64, u64),
    ready: bool,
    /// Position of the last change of the published upstreams that is known here.
    pub directory: StorePosition,
    /// Summary of what is known here of upstreams that ended under requests.
    pub(super) crash_summary: u64,
    /// Digest of what is known here of the rates that upstreams name.
    pub(super) limit_digest: u64,
    /// When that was last known to be the last change.
    pub directory_current: Option<MonotonicTime>,
    /// Whether one store publishes configuration and upstreams, which must both be known before callers
    /// are served.
    pub(super) needs_directory: bool,
    pub(super) pace: NewsPace,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    seeds_failed: usize,
    known: KnownDaemons,
    /// Whether the last share of cold upstreams' requests was withheld, if there was one.
    share_withheld: Option<bool>,
    random: SmallRng,
}

impl FleetState {
    /// The state of a daemon in `zone` that starts at `started`.
    #[must_use]
    pub fn new(view: MemberView, zone: &str, started: MonotonicTime, seed: u64) -> Self {
        Self {
            view,
            ledger: ConfigurationLedger::default(),
            history: RosterHistory::new(started),
            zone: zone.to_owned(),
            started,
            roster_period: ROSTER_PERIOD,
            service_revision: 0,
            watching: false,
            failures: 0,
            fetching: None,
            highest_heard: (0, 0),
            ready: false,
            directory: StorePosition::default(),
            crash_summary: 0,
            limit_digest: 0,
            directory_current: None,
            needs_directory: false,
            pace: NewsPace::default(),
            seeds: Vec::new(),
            next_seed: 0,
            seeds_failed: 0,
            known: KnownDaemons::default(),
            share_withheld: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets what reads configurations.
    pub fn set_reader(&mut self, reader: DeclarationReader) {
        self.ledger = ConfigurationLedger::new(reader);
    }

    /// Sets how often what the platform publishes is asked for.
    pub(super) fn set_pace(&mut self, pace: NewsPace) {
        self.pace = pace;
    }

    /// Finds peers through `seeds` and what members tell of each other, not through a VM list, and
    /// needs the published upstreams.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>, now: MonotonicTime) {
        self.seeds = seeds;
        self.needs_directory = true;
        self.view.ask_for_all(true);
        self.take_places(now, &mut Vec::new());
    }

    /// Greets the next seed.
    pub fn greet_seed(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let own = self.view.own().place.as_ref().map(|place| place.peer);
        let others: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| Some(*seed) != own).collect();
        if others.is_empty() {
            self.seeds_failed = usize::MAX;
            return;
        }
        let address = others[self.next_seed % others.len()];
        self.next_seed += 1;
        let message = Box::new(self.message_to("", now));
        out.push(Command::PingSeed { address, message });
        let alone = self.view.peer_count() == 0;
        let pause = if alone { SEED_PACE.0 } else { SEED_PACE.1 };
        let at = now + self.jittered(pause);
        out.push(Command::SetTimer { timer: TimerKey::Seeds, at });
    }

    /// Takes where members say that they are as the VM list. Returns whether that is news.
    pub fn take_places(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        if self.view.own().place.is_none() {
            return false;
        }
        self.view.forget_lost(now);
        let vms = self.view.places();
        let current = self.history.current();
        if current.vms == vms {
            return false;
        }
        let roster = VmRoster { revision: current.revision + 1, vms };
        self.take_roster(roster, now, out)
    }

    /// Sets the pause between two reads of the VM list.
    pub fn set_roster_period(&mut self, period: Duration) {
        self.roster_period = period;
    }

    /// Arms the next read of the VM list.
    pub fn await_roster(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let peers = u32::try_from(self.view.peer_count()).unwrap_or(u32::MAX);
        let pause = self.jittered(self.roster_period.max(ROSTER_SHARE.saturating_mul(peers)));
        out.push(Command::SetTimer { timer: TimerKey::Roster, at: now + pause });
    }

    /// Whether the daemon may serve callers; once it may, it always may.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Decides whether the daemon may serve callers from now on; returns whether that is new. It
    /// needs a configuration and a VM list, its peers must have been asked, or enough of them, and
    /// what any of them has in force must be in force here.
    ///
    /// Guards against a fresh process that reads an old revision from a stale service while its
    /// peers act on a newer one: it would serve callers by the old one until the fetch has ended.
    pub fn become_ready(&mut self, now: MonotonicTime) -> bool {
        let asked = self.view.has_asked(START_SAMPLE) || now.since(self.started) >= START_GRACE;
        let (revision, digest) = self.highest_heard;
        let asked = asked && (self.has_met_fleet() || now.since(self.started) >= START_GRACE);
        let ready = self.ledger.in_force().is_some()
            && (!self.needs_directory || !self.directory.is_none())
            && self.history.current().revision > 0
            && asked
            && !self.ledger.wants(revision, digest);
        if self.ready || !ready {
            return false;
        }
        self.ready = true;
        self.view.become_ready();
        true
    }

    /// Whether a peer is known, or none of the seeds could be reached.
    ///
    /// Guards against a process that is ready before the answer to its first greeting has come: it knows
    /// no peer that it could ask, and would serve callers by the older configuration that it reads from a
    /// store which came back from a copy.
    pub(super) fn has_met_fleet(&self) -> bool {
        let others = self.seeds.len().saturating_sub(1);
        self.seeds.is_empty() || self.view.peer_count() > 0 || self.seeds_failed >= others.max(1)
    }

    /// Nobody answered a greeting.
    pub(super) fn greeting_failed(&mut self, out: &mut Vec<Command>) {
        self.seeds_failed = self.seeds_failed.saturating_add(1);
        out.push(Command::Count(CounterName::ExchangesFailed));
    }

    /// Runs one heartbeat period.
    pub fn heartbeat(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let settling = self.is_settling(now);
        self.view.ask_for_all(settling);
        let partners = self.view.tick(now);
        self.exchange_with(partners, now, out);
        let pause = if settling { SETTLING.1.min(self.view.period()) } else { self.view.period() };
        let pause = self.jittered(pause);
        out.push(Command::SetTimer { timer: TimerKey::Heartbeat, at: now + pause });
    }

    /// This daemon's share of the requests of cold upstreams, if it is another one than was told last.
    pub(super) fn changed_share(&mut self, now: MonotonicTime) -> Option<RateShare> {
        let names = self.view.records().map(|record| record.instance.vm.as_str());
        let changed = self.known.note(names, now);
        let withheld = self.is_settling(now);
        let is_news = changed || self.share_withheld != Some(withheld);
        self.share_withheld = Some(withheld);
        let own = &self.view.own().instance.vm;
        is_news.then(|| RateShare::new(own, self.known.names()).withheld(withheld))
    }

    /// Whether this daemon still has to learn who its peers are, for lack of a VM list.
    ///
    /// Guards against the time after a start of the whole fleet. Each daemon is ready at once and
    /// knows a few others; until it knows all it takes other daemons for dispatchers than they do.
    /// Pools are called from many sides then, calls are small, and upstreams decline them.
    fn is_settling(&self, now: MonotonicTime) -> bool {
        self.view.own().place.is_some() && now.since(self.started) < SETTLING.0
    }

    /// Takes a peer's half of an exchange; returns the upstreams newly known to leave.
    pub fn take_message(
        &mut self,
        message: &ExchangeMessage,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Vec<crate::membership::LeavingUpstream> {
        let vm = &message.sender.instance.vm;
        let before = self.view.status(vm);
        let news = self.view.take_message(message, now);
        self.note_status(vm, before, out);
        self.highest_heard = self.highest_heard.max((message.revision, message.digest));
        let fetching = self.fetching.is_some_and(|since| now.since(since) < FETCH_PATIENCE);
        if !fetching && self.ledger.wants(message.revision, message.digest) {
            self.fetching = Some(now);
            let known = self.ledger.position().0;
            out.push(Command::FetchConfiguration { vm: vm.clone(), known });
        }
        news
    }

    /// Takes the news that a heartbeat failed.
    pub fn exchange_failed(&mut self, vm: &str, now: MonotonicTime, out: &mut Vec<Command>) {
        out.push(Command::Count(CounterName::ExchangesFailed));
        let before = self.view.status(vm);
        self.view.exchange_failed(vm, now);
        self.note_status(vm, before, out);
    }

    /// A fetch from a peer has ended.
    pub fn fetch_ended(&mut self) {
        self.fetching = None;
    }

    /// Offers a revision to the ledger; returns whether another one is in force now.
    pub fn offer(
        &mut self,
        revision: u64,
        text: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let before = self.ledger.position();
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
        let changed = before != self.ledger.position();
        if changed {
            self.tell_at_once(now, out);
        }
        changed
    }

    /// Exchanges heartbeats with a few peers at once, because there is news.
    pub fn tell_at_once(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let partners = self.view.random_partners(EAGER_PARTNERS);
        self.exchange_with(partners, now, out);
    }

    /// Takes a VM list; returns whether it is in use now.
    pub fn take_roster(
        &mut self,
        roster: VmRoster,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let key_life = self.key_life();
        if !self.history.take(roster, now, key_life) {
            return false;
        }
        let current = self.history.current().clone();
        let first = self.view.peer_count() == 0;
        self.view.take_roster(&current, now);
        let (revision, vms) = (current.revision, current.vms.len());
        out.push(Command::LogStateChange(StateChange::RosterTaken { revision, vms }));
        if first {
            let partners = self.view.random_partners(FAREWELL_PARTNERS);
            self.exchange_with(partners, now, out);
        }
        true
    }

    /// How long keys are remembered under what is in force.
    #[must_use]
    pub fn key_life(&self) -> Duration {
        let in_force = self.ledger.in_force();
        in_force.map_or(Duration::from_secs(3_600), |each| each.declarations.deployment().key_life)
    }

    /// Asks the engines that this daemon keeps what they hold.
    pub fn look_at_engines(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        if let Some(in_force) = self.ledger.in_force().filter(|_| self.ready) {
            let keeper = OrderKeeper::new(&in_force.declarations, in_force.revision);
            for engine in keeper.kept(self.history.current(), &self.view) {
                let (upstream, address) = (engine.name.clone(), engine.address);
                out.push(Command::ReadEngineOrder { upstream, address });
            }
        }
        let pause = self.jittered(ORDER_PERIOD);
        out.push(Command::SetTimer { timer: TimerKey::Orders, at: now + pause });
    }

    /// Takes what an engine says that it holds, and gives it an order if it must have one.
    pub fn placement_read(
        &mut self,
        upstream: String,
        held: Option<EngineOrder>,
        out: &mut Vec<Command>,
    ) {
        let (Some(held), Some(in_force)) = (held, self.ledger.in_force()) else { return };
        let keeper = OrderKeeper::new(&in_force.declarations, in_force.revision);
        match keeper.decide(&upstream, &held) {
            OrderStep::Nothing => {}
            OrderStep::Newer => out.push(Command::Count(CounterName::OrdersOutdated)),
            OrderStep::Give { address, order } => {
                out.push(Command::Count(CounterName::OrdersGiven));
                out.push(Command::SendEngineOrder { upstream, address, order });
            }
        }
    }

    /// Announces that this daemon drains.
    pub fn drain(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        self.view.leave();
        let partners = self.view.random_partners(FAREWELL_PARTNERS);
        self.exchange_with(partners, now, out);
    }

    /// Time between the announcement of a drain and the last address answer that names this
    /// daemon having been forgotten.
    #[must_use]
    pub fn drain_window(&self) -> Duration {
        let hold = self.ledger.in_force();
        let hold = hold.map_or(Duration::ZERO, |each| each.declarations.deployment().address_hold);
        let kept = if self.needs_directory { hold * HOLD_FACTOR } else { hold };
        kept + self.view.period() * 4
    }

    /// Exchanges heartbeats with `partners`.
    pub fn exchange_with(
        &mut self,
        partners: Vec<String>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        for vm in partners {
            let message = Box::new(self.message_to(&vm, now));
            out.push(Command::Exchange { vm, message });
        }
    }

    /// Tells those of whom all others hear soon that upstreams ended under requests, or what rates they
    /// name: the daemons that read for others, which each daemon asks several times a second. Without
    /// such, a few at random.
    pub fn tell_readers(
        &mut self,
        crashes: &[CrashRecord],
        limits: &[LimitRecord],
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let partners = if self.needs_directory {
            self.all_directory_readers()
        } else {
            self.view.random_partners(EAGER_PARTNERS)
        };
        for vm in partners {
            let message = ExchangeMessage {
                crashes: crashes.to_vec(),
                limits: limits.to_vec(),
                ..self.message_to(&vm, now)
            };
            out.push(Command::Exchange { vm, message: Box::new(message) });
        }
    }

    fn message_to(&mut self, vm: &str, now: MonotonicTime) -> ExchangeMessage {
        let message = self.view.message(vm, self.ledger.position(), self.directory_news(now));
        ExchangeMessage {
            crash_summary: self.crash_summary,
            limit_digest: self.limit_digest,
            ..message
        }
    }

    /// `pause`, shortened at random by up to a quarter, so that daemons don't act in step.
    pub fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.random.random_range(0.75..=1.0))
    }

    /// What this daemon tells of its list of published upstreams.
    #[must_use]
    pub fn directory_news(&self, now: MonotonicTime) -> DirectoryNews {
        let age = self.directory_current.map(|current| now.since(current));
        DirectoryNews { changed: self.directory, age }
    }

    fn note_status(&self, vm: &str, before: Option<MemberStatus>, out: &mut Vec<Command>) {
        let after = self.view.status(vm);
        if let Some(status) = after.filter(|status| Some(*status) != before) {
            let (vm, status) = (vm.to_owned(), status.to_string());
            out.push(Command::LogStateChange(StateChange::PeerStatus { vm, status }));
        }
    }
}
