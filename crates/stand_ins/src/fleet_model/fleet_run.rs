//! One run of a load: daemons, upstreams and callers on one virtual clock.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_core::batching::BatchOrder;
use crocusdale_core::configuration::{ConfigurationError, Declarations, RegionMap};
use crocusdale_core::daemon::{DaemonEvent, StalenessBounds, TimerKey};
use crocusdale_core::identity::{
    AttemptId, CallId, InstanceId, MonotonicTime, RequestDigest, RequestKey, SoftwareVersion,
};
use crocusdale_core::membership::{ExchangeMessage, MemberCapacity, MemberPlace};
use crocusdale_core::pipeline::{
    AttemptEvent, CallerRequest, FinalAnswer, ForwardHead, ForwardOrder, OutcomeKind,
    RequestContent,
};
use crocusdale_core::retry::RetryLimits;
use crocusdale_core::routing::{ColdLimits, DirectoryEntry};
use crocusdale_core::{DaemonCore, DaemonCoreBuilder, DiscoverySettings};
use rand::{Rng as _, SeedableRng as _};

use super::batch_model::BatchModel;
use super::engine_model::EngineModel;
use super::model_callers::{CallerSource, ModelRequest};
use super::model_load::{CallForming, HOST, ModelFault, ModelLoad, workspace_name};
use super::model_report::{ModelReport, RequestEnd};

/// Time of a message between two processes.
pub(super) const HOP: Duration = Duration::from_millis(1);
/// Time that the daemons have to find each other before the first request.
const LEAD: Duration = Duration::from_secs(10);
/// Time of an answer of the platform.
pub(super) const PLATFORM_TIME: Duration = Duration::from_millis(10);
/// Time after which nobody waits for an answer of a peer any more.
pub(super) const SILENCE: Duration = Duration::from_millis(800);
/// Time after which a caller whose connection broke tries again.
const CALLER_PAUSE: Duration = Duration::from_millis(50);
/// Tries of one request.
const TRIES: u32 = 2;
/// Seeds that each daemon knows.
const SEEDS: usize = 3;
/// Lives of one daemon are this far apart, so that the daemon follows from the life.
const LIVES: u64 = 10_000;

/// What happens next.
#[derive(Debug)]
pub(super) enum ModelEvent {
    Start { daemon: usize },
    Timer { life: u64, timer: TimerKey },
    Core { life: u64, event: Box<DaemonEvent> },
    Ask { life: u64, to: usize, message: Box<ExchangeMessage> },
    Arrival { kind: usize, workspace: usize },
    Try { request: u64 },
    Call { life: u64, order: BatchOrder },
    CallEnd { upstream: String },
    Relay(ForwardOrder),
    EngineStep { engine: String },
    FaultBegin { fault: usize },
    FaultEnd { fault: usize },
    CallerLeaves { request: u64, tries: u32 },
}

/// A daemon, while it runs.
#[derive(Debug)]
pub(super) struct ModelDaemon {
    pub(super) life: u64,
    pub(super) core: Option<DaemonCore>,
}

/// Pieces that one daemon has had made by another.
#[derive(Debug)]
pub(super) struct OfferedPieces {
    pub(super) dispatcher: usize,
    pub(super) pool: String,
}

/// One run of a model.
#[derive(Debug)]
pub(super) struct FleetRun<'a> {
    pub(super) load: &'a ModelLoad,
    forming: CallForming,
    callers: CallerSource,
    pub(super) now: MonotonicTime,
    queue: BTreeMap<(MonotonicTime, u64), ModelEvent>,
    sequence: u64,
    pub(super) daemons: Vec<ModelDaemon>,
    pub(super) published: Vec<(u64, DirectoryEntry)>,
    pub(super) batches: BTreeMap<String, BatchModel>,
    pub(super) engines: BTreeMap<String, (usize, EngineModel)>,
    /// Parts of prompts that any engine has read.
    pub(super) read_parts: HashSet<u64>,
    pub(super) requests: HashMap<u64, ModelRequest>,
    /// Request of each open call of a daemon's life.
    pub(super) calls: HashMap<(u64, CallId), u64>,
    pub(super) offered: HashMap<AttemptId, OfferedPieces>,
    /// Life of a daemon by the mark that its attempts bear.
    lives: HashMap<u64, u64>,
    pub(super) report: ModelReport,
}

impl ModelLoad {
    /// Runs the load; the same seed gives the same report.
    #[must_use]
    pub fn run(&self, forming: CallForming, seed: u64) -> ModelReport {
        FleetRun::new(self, forming, seed).run()
    }
}

impl<'a> FleetRun<'a> {
    pub(super) fn new(load: &'a ModelLoad, forming: CallForming, seed: u64) -> Self {
        let mut run = Self {
            load,
            forming,
            callers: CallerSource { random: rand::rngs::SmallRng::seed_from_u64(seed) },
            now: MonotonicTime::from_millis(0),
            queue: BTreeMap::new(),
            sequence: 0,
            daemons: Vec::new(),
            published: Vec::new(),
            batches: BTreeMap::new(),
            engines: BTreeMap::new(),
            read_parts: HashSet::new(),
            requests: HashMap::new(),
            calls: HashMap::new(),
            offered: HashMap::new(),
            lives: HashMap::new(),
            report: ModelReport::default(),
        };
        run.publish();
        for daemon in 0..load.daemons {
            run.daemons.push(ModelDaemon { life: daemon as u64 + 1, core: None });
            run.push(Duration::ZERO, ModelEvent::Start { daemon });
        }
        for (kind, workspace) in pairs(load.kinds.len(), load.workspaces) {
            run.await_arrival(kind, workspace, LEAD);
        }
        for (fault, rules) in load.faults.iter().enumerate() {
            let at = |second: f64| LEAD + Duration::from_secs_f64(second);
            run.push(at(rules.from), ModelEvent::FaultBegin { fault });
            run.push(at(rules.to), ModelEvent::FaultEnd { fault });
        }
        run
    }

    pub(super) fn run(mut self) -> ModelReport {
        // Housekeeping of the daemons never ends: the run does, once every request has.
        let last = LEAD + Duration::from_secs_f64(self.load.seconds);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at.since_start() > last && self.requests.is_empty() {
                break;
            }
            self.now = at;
            self.take(event);
        }
        for (_, engine) in self.engines.values() {
            self.report.prompt_tokens += engine.tally.tokens;
            self.report.read_again += engine.tally.again;
        }
        self.report.finish(self.load)
    }

    fn take(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Start { daemon } => self.start(daemon),
            ModelEvent::Timer { life, timer } => self.feed(life, DaemonEvent::Timer(timer)),
            ModelEvent::Core { life, event } => self.feed(life, *event),
            ModelEvent::Ask { life, to, message } => self.answer_exchange(life, to, &message),
            ModelEvent::Arrival { kind, workspace } => self.arrive(kind, workspace),
            ModelEvent::Try { request } => self.submit(request),
            ModelEvent::Call { life, order } => self.call_batch(life, order),
            ModelEvent::CallEnd { upstream } => self.end_call(&upstream),
            ModelEvent::Relay(order) => self.relay(&order),
            ModelEvent::EngineStep { engine } => self.step_engine(&engine),
            ModelEvent::FaultBegin { fault } => self.turn_fault(fault, true),
            ModelEvent::FaultEnd { fault } => self.turn_fault(fault, false),
            ModelEvent::CallerLeaves { request, tries } => self.leave(request, tries),
        }
    }

    pub(super) fn push(&mut self, after: Duration, event: ModelEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    pub(super) fn push_core(&mut self, after: Duration, life: u64, event: DaemonEvent) {
        self.push(after, ModelEvent::Core { life, event: Box::new(event) });
    }

    /// Publishes the upstreams of all pools, spread over the zones.
    fn publish(&mut self) {
        let load = self.load;
        let pools = load.pools.iter().map(|pool| (&pool.name, pool.upstreams, 1));
        let engines =
            load.engines.iter().map(|each| (&each.name, each.upstreams, each.rules.slots));
        for (pool, upstreams, slots) in pools.chain(engines) {
            for index in 0..upstreams {
                let entry = DirectoryEntry {
                    started_at_ms: None,
                    id: format!("{pool}-{index}"),
                    pool: pool.clone(),
                    address: SocketAddr::from(([127, 0, 0, 1], 9)),
                    zone: zone_name(index % load.zones),
                    slots,
                    leaving: false,
                    software_version: SoftwareVersion::new("v1"),
                };
                self.published.push((1, entry));
            }
        }
        for pool in &load.pools {
            for index in 0..pool.upstreams {
                let name = format!("{}-{index}", pool.name);
                let upstream = BatchModel::new(&name, index % load.zones, pool.rules);
                self.batches.insert(name, upstream);
            }
        }
        for rules in &load.engines {
            for index in 0..rules.upstreams {
                let name = format!("{}-{index}", rules.name);
                self.engines.insert(name, (index % load.zones, EngineModel::new(rules)));
            }
        }
    }

    /// Life of the daemon that made `attempt`.
    pub(super) fn life_of(&self, attempt: AttemptId) -> u64 {
        self.lives.get(&attempt.incarnation).copied().expect("attempts come from started daemons")
    }

    fn start(&mut self, daemon: usize) {
        let life = self.daemons[daemon].life;
        self.lives.insert(InstanceId::new(vm_name(daemon), life).process_hash(), life);
        let core = self.core(daemon, life);
        let mut commands = Vec::new();
        core.start(self.now, &mut commands);
        self.daemons[daemon].core = Some(core);
        self.carry_out(life, commands);
    }

    fn core(&self, daemon: usize, life: u64) -> DaemonCore {
        let zone = zone_name(daemon % self.load.zones);
        let place = MemberPlace {
            zone: zone.clone(),
            caller: peer_address(daemon),
            peer: peer_address(daemon),
            capacity: MemberCapacity::new(1.0, 1_000.0),
        };
        let seeds = match self.forming {
            CallForming::EachDaemon => 0,
            CallForming::OneDispatcher => SEEDS.min(self.load.daemons),
        };
        let published = DiscoverySettings {
            place,
            regions: RegionMap::default(),
            seeds: (0..seeds).map(peer_address).collect(),
            reader: read_load,
            retries: RetryLimits::default(),
            grace: Duration::from_secs(8),
            cold_limits: ColdLimits::default(),
            bounds: StalenessBounds::default(),
        };
        let own = InstanceId::new(vm_name(daemon), life);
        DaemonCoreBuilder::new(own, zone).discovery(published).seed(daemon as u64).build(self.now)
    }

    fn feed(&mut self, life: u64, event: DaemonEvent) {
        let daemon = &self.daemons[daemon_of(life)];
        let Some(core) = daemon.core.as_ref().filter(|_| daemon.life == life) else { return };
        let mut commands = Vec::new();
        core.handle(event, self.now, &mut commands);
        self.carry_out(life, commands);
    }

    fn second(&self) -> f64 {
        self.now.since_start().as_secs_f64() - LEAD.as_secs_f64()
    }

    fn await_arrival(&mut self, kind: usize, workspace: usize, after: Duration) {
        let (rules, second) = (self.load.kind(kind), self.second().max(0.0));
        let pause = self.callers.next_arrival(self.load, rules, workspace, second);
        self.push(after + pause, ModelEvent::Arrival { kind, workspace });
    }

    fn arrive(&mut self, kind: usize, workspace: usize) {
        if self.second() > self.load.seconds {
            return;
        }
        self.await_arrival(kind, workspace, Duration::ZERO);
        for _ in 0..self.callers.clump_size(self.load.clump) {
            self.sequence += 1;
            let number = self.sequence;
            let request = self.callers.request(self.load, kind, workspace, self.now);
            self.requests.insert(number, request);
            self.push(HOP, ModelEvent::Try { request: number });
        }
    }

    /// A caller sends its request to one of the daemons that serve.
    fn submit(&mut self, number: u64) {
        let running: Vec<u64> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.core.as_ref().is_some_and(DaemonCore::is_ready))
            .map(|daemon| daemon.life)
            .collect();
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.tries += 1;
        let (tries, workspace) = (request.tries, request.workspace);
        let rules = self.load.kind(request.kind);
        let left = rules.deadline.saturating_sub(self.now.since(request.arrived));
        if running.is_empty() {
            self.try_again(number, CALLER_PAUSE, RequestEnd::Failed);
            return;
        }
        let life = running[self.callers.random.random_range(0..running.len())];
        let head = ForwardHead {
            host: HOST.to_owned(),
            path: rules.path(),
            content: RequestDigest::of(&[&number.to_le_bytes()]),
            access: Some(workspace_name(workspace)),
            pieces: request.pieces.clone(),
            piece_source: number.to_string(),
            demand: Some(request.demand.clone()),
            resumed: None,
        };
        let submitted = CallerRequest {
            key: RequestKey::new("", number.to_string()),
            labels: Default::default(),
            deadline: left,
            repeatable: rules.repeat.is_repeatable(),
            stream: true,
            age: Duration::ZERO,
            ticket: None,
            content: RequestContent::Forward(Box::new(head)),
        };
        let Some(core) = &self.daemons[daemon_of(life)].core else { return };
        let call = core.open_call(&submitted.key);
        self.calls.insert((life, call), number);
        self.push(left, ModelEvent::CallerLeaves { request: number, tries });
        self.feed(life, DaemonEvent::Submitted { call, request: Box::new(submitted) });
    }

    fn leave(&mut self, number: u64, tries: u32) {
        if self.requests.get(&number).is_none_or(|request| request.tries != tries) {
            return;
        }
        let mut open = self.calls.iter().filter(|(_, each)| **each == number);
        let open = open.next().map(|(key, _)| *key);
        self.end(number, RequestEnd::Failed);
        if let Some((life, call)) = open {
            self.calls.remove(&(life, call));
            self.feed(life, DaemonEvent::CallerDisconnected(call));
        }
    }

    pub(super) fn replied(&mut self, life: u64, call: CallId, answer: &FinalAnswer) {
        let Some(number) = self.calls.remove(&(life, call)) else { return };
        match answer.kind {
            OutcomeKind::Answered => self.end(number, RequestEnd::Served),
            OutcomeKind::Refused => {
                let after = answer.retry_after.unwrap_or(CALLER_PAUSE);
                if let Some(request) = self.requests.get_mut(&number) {
                    request.returned |= request.tries < TRIES;
                }
                self.try_again(number, after, RequestEnd::Refused);
            }
            OutcomeKind::Failed | OutcomeKind::Unknown => self.end(number, RequestEnd::Failed),
        }
    }

    fn try_again(&mut self, number: u64, after: Duration, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let deadline = request.arrived + self.load.kind(request.kind).deadline;
        if request.tries < TRIES && self.now + after < deadline {
            self.push(after, ModelEvent::Try { request: number });
            return;
        }
        // Whoever has no time or no try left does not come back.
        request.returned &= request.tries > 1;
        self.end(number, end);
    }

    fn end(&mut self, number: u64, end: RequestEnd) {
        let Some(request) = self.requests.remove(&number) else { return };
        let second = request.arrived.since_start().as_secs_f64() - LEAD.as_secs_f64();
        self.report.count(&request, self.load.kind(request.kind), end, second, self.now);
    }

    fn turn_fault(&mut self, position: usize, begins: bool) {
        let ModelFault { daemons, slow, .. } = &self.load.faults[position];
        if let Some((pool, upstreams, factor)) = slow {
            for index in 0..*upstreams {
                if let Some(upstream) = self.batches.get_mut(&format!("{pool}-{index}")) {
                    upstream.slowness = if begins { *factor } else { 1.0 };
                }
            }
        }
        for daemon in 0..(*daemons).min(self.daemons.len()) {
            if begins {
                self.kill(daemon);
            } else {
                self.daemons[daemon].life += LIVES;
                self.start(daemon);
            }
        }
    }

    /// Ends a daemon; whoever has a connection to it notices at once.
    fn kill(&mut self, daemon: usize) {
        let life = self.daemons[daemon].life;
        self.daemons[daemon].core = None;
        let mut lost: Vec<((u64, CallId), u64)> =
            self.calls.iter().filter(|((of, _), _)| *of == life).map(|(k, n)| (*k, *n)).collect();
        lost.sort_unstable_by_key(|(_, number)| *number);
        for (key, number) in lost {
            self.calls.remove(&key);
            self.try_again(number, CALLER_PAUSE, RequestEnd::Failed);
        }
        let mut orphans: Vec<AttemptId> = self
            .offered
            .iter()
            .filter(|(_, offered)| offered.dispatcher == daemon)
            .map(|(attempt, _)| *attempt)
            .collect();
        orphans.sort_unstable();
        for attempt in orphans {
            self.offered.remove(&attempt);
            let event = AttemptEvent::DispatcherLost(vm_name(daemon));
            let event = DaemonEvent::Attempt { attempt, event };
            self.push_core(HOP, self.life_of(attempt), event);
        }
    }
}

fn read_load(file: &str, text: &str) -> Result<Declarations, Vec<ConfigurationError>> {
    match ModelLoad::parse(text) {
        Ok(load) => Ok(load.declarations()),
        Err(error) => panic!("{file}: a load that was read once can be read again: {error:#}"),
    }
}

fn pairs(kinds: usize, workspaces: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..kinds).flat_map(move |kind| (0..workspaces).map(move |workspace| (kind, workspace)))
}

fn daemon_of(life: u64) -> usize {
    usize::try_from(life % LIVES).unwrap_or(usize::MAX) - 1
}

pub(super) fn vm_name(daemon: usize) -> String {
    format!("vm-{daemon}")
}

pub(super) fn daemon_index(vm: &str) -> usize {
    vm.trim_start_matches("vm-").parse().expect("VMs of the model have such names")
}

fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

fn peer_address(daemon: usize) -> SocketAddr {
    let [high, low] = u16::try_from(daemon).expect("a small fleet").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}
