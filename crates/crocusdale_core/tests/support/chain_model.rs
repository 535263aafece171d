//! Test support: three batched pools in a row and a model engine, on a virtual clock, with callers
//! of several levels and one or two admission coordinators.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use crocusdale_core::admission::{
    AdmissionClass, AdmissionCoordinators, AdmissionRequest, AdmissionStep, AdmissionVerdict,
    SlotOutcome,
};
use crocusdale_core::batching::{
    BatchDispatcher, BatchId, BatchOutcome, DispatchAction, ItemOutcome,
};
use crocusdale_core::configuration::{
    BatchRules, Declarations, DeclarationsBuilder, PoolKind, SchedulingSettings, StageRules,
};
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime, RequestDigest, SoftwareVersion};
use crocusdale_core::pipeline::{PieceFault, PieceOrder, PieceSource, ResultHandle};
use crocusdale_core::retry::RetryLimits;
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Pools of the chain, each with its number of upstreams.
const POOLS: [(&str, usize); 3] = [("parse", 6), ("embed", 6), ("rank", 6)];
/// Pieces of a request in each pool.
const PIECES: [u32; 3] = [4, 8, 4];
/// Factor on the declared time of a piece that the pieces of each pool really take.
const PIECE_FACTORS: [f64; 3] = [1.0, 1.0, 0.3];
const ENGINE_TIME: Duration = Duration::from_millis(250);
/// Delay of a message between two daemons.
const HOP: Duration = Duration::from_millis(2);
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Time for which requests arrive. The first quarter is not counted.
pub const RUN: Duration = Duration::from_secs(40);

/// Kinds of requests: level and objective in milliseconds.
pub const KINDS: [(u8, u64); 3] = [(0, 1_800), (1, 2_000), (2, 2_600)];

/// Which messages are lost, by the time of their sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelFault {
    None,
    /// The coordinator ends at half of the run, and one with empty state takes over.
    CoordinatorLost,
    /// From half of the run on, two coordinators each decide on half of the requests.
    Partitioned,
    /// The dispatcher of the second pool sends no status in the third quarter of the run.
    SilentDispatcher,
}

/// Factor on the requests of the workspace that floods the chain from half of the run on.
const FLOOD_FACTOR: f64 = 10.0;
const FLOOD_WORKSPACE: &str = "lab";
/// Part of the usual requests that come from that workspace.
const FLOOD_PART: f64 = 0.1;
/// Number of the other workspaces.
const SMALL_WORKSPACES: u32 = 40;

/// What became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindCount {
    pub offered: usize,
    pub on_time: usize,
    pub late: usize,
    /// Requests refused at the entry.
    pub refused: usize,
    /// Requests whose callers obeyed the `Retry-After` of their slot, and those refused again.
    pub returned: usize,
    pub refused_twice: usize,
    /// Requests that were admitted and ended without an answer.
    pub lost: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival,
    Return(ReturningCaller),
    Start(u64),
    CallEnd(BatchId, usize),
    EngineEnd(u64),
    Report,
    Status(usize, usize),
    Cycle,
}

/// Caller that comes back after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReturningCaller {
    call: u64,
    kind: usize,
    is_counted: bool,
    /// Whether the refusal came with a slot.
    has_slot: bool,
    arrived_at: MonotonicTime,
}

#[derive(Debug)]
struct ModelRequest {
    kind: usize,
    is_small: bool,
    arrived_at: MonotonicTime,
    class: AdmissionClass,
    /// Due time of the answer, and the delays in the coordinator's forecast.
    due: MonotonicTime,
    delays: Vec<Duration>,
    step: usize,
}

pub struct ChainModel {
    now: MonotonicTime,
    events: BinaryHeap<Reverse<(MonotonicTime, u64, ModelEvent)>>,
    sequence: u64,
    random: StdRng,
    mean_gap: f64,
    /// Whether one of many workspaces floods the chain.
    has_flood: bool,
    /// Whether refused callers come back once.
    has_returns: bool,
    fault: ModelFault,
    declarations: Declarations,
    dispatchers: Vec<BatchDispatcher>,
    /// Items of each call in flight.
    calls: HashMap<(BatchId, usize), usize>,
    coordinators: [AdmissionCoordinators; 2],
    requests: HashMap<u64, ModelRequest>,
    statuses: Vec<crocusdale_core::batching::PoolStatus>,
    pub kinds: [KindCount; 3],
    /// Requests that the small workspaces send during the flood.
    pub small: KindCount,
}

fn rules() -> BatchRules {
    BatchRules {
        slots: 1,
        pieces: 32,
        call_time: Duration::from_millis(120),
        piece_time: Duration::from_millis(6),
        result_bytes: 1_000_000_000,
        result_lifetime: Duration::from_secs(10),
    }
}

fn rules_of(pool: &str) -> Option<BatchRules> {
    POOLS.iter().any(|(name, _)| *name == pool).then(rules)
}

/// Duration of a call of `pieces` pieces in the pool at `pool`.
fn call_time(pool: usize, pieces: f64) -> Duration {
    rules().call_time + rules().piece_time.mul_f64(pieces * PIECE_FACTORS[pool])
}

/// Requests a second that the slowest pool of the chain can serve with full calls.
pub fn chain_capacity() -> f64 {
    let capacity = |pool: usize| {
        let full = f64::from(rules().pieces);
        let pieces_per_s = POOLS[pool].1 as f64 * full / call_time(pool, full).as_secs_f64();
        pieces_per_s / f64::from(PIECES[pool])
    };
    (0..POOLS.len()).map(capacity).fold(f64::INFINITY, f64::min)
}

impl ChainModel {
    /// Runs the chain with `load` times the requests that it can serve.
    pub fn run(load: f64, fault: ModelFault, seed: u64) -> Self {
        let mut model = Self::new(load, fault, seed, SchedulingSettings::default());
        model.run_to_end();
        model
    }

    /// Runs the chain with a flood of one workspace from half of the run on.
    pub fn run_flood(load: f64, settings: SchedulingSettings, seed: u64) -> Self {
        let mut model = Self::new(load, ModelFault::None, seed, settings);
        model.has_flood = true;
        model.run_to_end();
        model
    }

    /// Runs the chain with callers that come back once, as they are told.
    pub fn run_returns(load: f64, settings: SchedulingSettings, seed: u64) -> Self {
        let mut model = Self::new(load, ModelFault::None, seed, settings);
        model.has_returns = true;
        model.run_to_end();
        model
    }

    fn new(load: f64, fault: ModelFault, seed: u64, settings: SchedulingSettings) -> Self {
        let mut builder = DeclarationsBuilder::new("model", Duration::from_secs(1));
        for (name, _) in POOLS {
            builder = builder.stage(name, StageRules::published(PoolKind::Batch(rules()), None));
        }
        let mut model = Self {
            now: MonotonicTime::from_millis(60_000),
            events: BinaryHeap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(seed),
            mean_gap: 1.0 / (load * chain_capacity()),
            has_flood: false,
            has_returns: false,
            fault,
            declarations: builder.build(),
            dispatchers: Vec::new(),
            calls: HashMap::new(),
            coordinators: [(); 2].map(|()| AdmissionCoordinators::new(settings)),
            requests: HashMap::new(),
            statuses: Vec::new(),
            kinds: Default::default(),
            small: KindCount::default(),
        };
        model.open_pools();
        model
    }

    fn run_to_end(&mut self) {
        self.push(Duration::ZERO, ModelEvent::Arrival);
        self.push(Duration::ZERO, ModelEvent::Report);
        self.push(Duration::ZERO, ModelEvent::Cycle);
        let end = self.now + RUN + DEADLINE * 2;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(&event);
        }
    }

    /// Rate of answers on time, of all kinds.
    pub fn on_time_rate(&self) -> f64 {
        let on_time: usize = self.kinds.iter().map(|kind| kind.on_time).sum();
        on_time as f64 / RUN.mul_f64(0.75).as_secs_f64()
    }

    fn open_pools(&mut self) {
        for (pool, count) in POOLS {
            let entry = |index| DirectoryEntry {
                started_at_ms: None,
                id: format!("{pool}-{index}"),
                pool: pool.to_owned(),
                address: "127.0.0.1:9000".parse().expect("an address"),
                zone: "a".to_owned(),
                slots: 1,
                leaving: false,
                software_version: SoftwareVersion::new("v1"),
            };
            let mut directory = UpstreamDirectory::default();
            directory.replace(1, (0..count).map(|index| (1, entry(index))).collect(), None);
            let mut dispatcher = BatchDispatcher::default();
            dispatcher.set_retries(RetryLimits {
                ratio: 0.2,
                reserve: 400.0,
                window: Duration::from_secs(10),
            });
            let mut actions = Vec::new();
            let (backoffs, now) = (HashMap::new(), self.now);
            dispatcher.reconfigure(&self.declarations, &directory, &backoffs, now, &mut actions);
            self.dispatchers.push(dispatcher);
        }
    }

    fn push(&mut self, after: Duration, event: ModelEvent) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn elapsed(&self) -> Duration {
        self.now.since(MonotonicTime::from_millis(60_000))
    }

    fn handle(&mut self, event: &ModelEvent) {
        match *event {
            ModelEvent::Arrival => self.arrive(),
            ModelEvent::Return(caller) => {
                let mut request = admission_request(caller.call, caller.kind);
                let waited = self.now.since(caller.arrived_at);
                request.objective_in = request.objective_in.saturating_sub(waited);
                request.deadline_in = request.deadline_in.saturating_sub(waited);
                self.offer(&request, false, caller);
            }
            ModelEvent::Start(call) => self.submit_step(call),
            ModelEvent::CallEnd(batch, pool) => {
                let items = self.calls.remove(&(batch, pool)).unwrap_or_default();
                let made = ItemOutcome::Made(ResultHandle::new("127.0.0.1:9000/1"));
                let outcome = BatchOutcome::Answered(vec![made; items]);
                let mut actions = Vec::new();
                self.dispatchers[pool].handle_outcome(batch, outcome, self.now, &mut actions);
                self.take(pool, actions);
            }
            ModelEvent::EngineEnd(call) => self.finish(call),
            ModelEvent::Report => self.report(),
            ModelEvent::Status(index, coordinator) => {
                let status = self.statuses[index].clone();
                self.coordinators[coordinator].record_status(status, &rules_of, self.now);
            }
            ModelEvent::Cycle => {
                for pool in 0..POOLS.len() {
                    let mut actions = Vec::new();
                    self.dispatchers[pool].run_cycle(self.now, &mut actions);
                    self.dispatchers[pool].free_unneeded_results(self.now, &mut actions);
                    self.take(pool, actions);
                }
                self.push(Duration::from_millis(100), ModelEvent::Cycle);
            }
        }
    }

    fn coordinator_of(&self, call: u64) -> usize {
        let is_second_half = self.elapsed() >= RUN / 2;
        match self.fault {
            ModelFault::CoordinatorLost if is_second_half => 1,
            ModelFault::Partitioned if is_second_half => (call % 2) as usize,
            _ => 0,
        }
    }

    fn arrive(&mut self) {
        if self.elapsed() > RUN {
            return;
        }
        let is_flooded = self.has_flood && self.elapsed() >= RUN / 2;
        let flood = FLOOD_PART * if is_flooded { FLOOD_FACTOR } else { 1.0 };
        let all = if is_flooded { flood + 1.0 - FLOOD_PART } else { 1.0 };
        let gap = -self.mean_gap / all * (1.0 - self.random.random::<f64>()).ln();
        self.push(Duration::from_secs_f64(gap), ModelEvent::Arrival);
        let call = self.sequence;
        let kind = self.random.random_range(0..KINDS.len());
        let is_counted = self.elapsed() >= RUN / 4;
        let mut request = admission_request(call, kind);
        if self.has_flood && self.random.random::<f64>() >= flood / all {
            request.workspace = format!("desk-{}", self.random.random_range(0..SMALL_WORKSPACES));
        }
        // Rates are compared over 1.5 s, so that a flood is known some seconds after it began.
        let is_small = request.workspace != FLOOD_WORKSPACE && self.elapsed() >= RUN * 11 / 20;
        self.small.offered += usize::from(is_small);
        self.kinds[kind].offered += usize::from(is_counted);
        let arrived_at = self.now;
        let caller = ReturningCaller { call, kind, is_counted, has_slot: false, arrived_at };
        self.offer(&request, is_small, caller);
    }

    /// Asks the coordinator about the request of `caller`, and carries out its decision.
    fn offer(&mut self, request: &AdmissionRequest, is_small: bool, caller: ReturningCaller) {
        let ReturningCaller { call, kind, is_counted, arrived_at, .. } = caller;
        let coordinator = self.coordinator_of(call);
        let decision = self.coordinators[coordinator].decide(request, &rules_of, self.now + HOP);
        let decision = decision.expect("the coordinator has capacity for the section");
        if decision.inputs.return_slot == Some(SlotOutcome::Claimed) {
            // An on-time start after the objective would be ordered as if it could still be met.
            let is_on_time = decision.verdict == AdmissionVerdict::Start;
            assert!(is_on_time || decision.verdict == AdmissionVerdict::StartAfter(Duration::ZERO));
            assert!(!(is_on_time && request.objective_in.is_zero()));
        }
        let counts = &mut self.kinds[kind];
        counts.returned += usize::from(is_counted && caller.has_slot);
        let (class, start) = match decision.verdict {
            AdmissionVerdict::Start => (AdmissionClass::OnTime, HOP * 2),
            AdmissionVerdict::StartAfter(wait) => (AdmissionClass::Late, HOP * 2 + wait),
            AdmissionVerdict::Refuse(wait) if self.has_returns && arrived_at == self.now => {
                let has_slot = decision.inputs.return_slot == Some(SlotOutcome::Reserved);
                let caller = ReturningCaller { has_slot, ..caller };
                self.push(wait.min(DEADLINE / 3) + HOP * 2, ModelEvent::Return(caller));
                return;
            }
            AdmissionVerdict::Refuse(_) => {
                counts.refused_twice += usize::from(is_counted && caller.has_slot);
                counts.refused += usize::from(is_counted);
                return;
            }
        };
        let objective = self.now + request.objective_in;
        let due = match class {
            AdmissionClass::Late => {
                let times = request.steps.iter().zip(&decision.step_delays);
                let duration: Duration = times.map(|(step, delay)| step.step_time + *delay).sum();
                (self.now + start + duration.mul_f64(1.1)).min(arrived_at + DEADLINE).max(objective)
            }
            _ => objective,
        };
        let request = ModelRequest {
            kind: if is_counted { kind } else { KINDS.len() },
            is_small,
            arrived_at,
            class,
            due,
            delays: decision.step_delays,
            step: 0,
        };
        self.requests.insert(call, request);
        self.push(start, ModelEvent::Start(call));
    }

    fn submit_step(&mut self, call: u64) {
        let request = &self.requests[&call];
        let step = request.step;
        let after: Duration = (step + 1..=POOLS.len())
            .map(|later| step_time(later) + request.delays.get(later).copied().unwrap_or_default())
            .sum();
        let rest: Duration = (step + 1..=POOLS.len()).map(step_time).sum();
        let earlier = |time: MonotonicTime, by| {
            MonotonicTime::from_start(time.since_start().saturating_sub(by))
        };
        let order = PieceOrder {
            attempt: AttemptId { incarnation: 1, call: CallId(call), sequence: step as u32 },
            request: format!("request-{call}"),
            digest: None,
            pool: POOLS[step].0.to_owned(),
            step: step as u32,
            pieces: PIECES[step],
            result_bytes: 1_000,
            source: PieceSource::Caller("letter".to_owned()),
            zone: None,
            level: KINDS.get(request.kind).map_or(1, |(level, _)| *level),
            target_end: earlier(request.due, after),
            expires: earlier(request.arrived_at + DEADLINE, rest),
            inputs_pool: None,
            is_flood: false,
            admission: request.class,
            is_resubmission: false,
        };
        let mut actions = Vec::new();
        self.dispatchers[step].submit(order, 0, self.now, &mut actions);
        self.take(step, actions);
    }

    fn take(&mut self, pool: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Call(order) => {
                    let noise = 0.9 + 0.2 * self.random.random::<f64>();
                    let time = call_time(pool, order.items.len() as f64).mul_f64(noise);
                    self.calls.insert((order.batch, pool), order.items.len());
                    self.push(time + HOP * 2, ModelEvent::CallEnd(order.batch, pool));
                }
                DispatchAction::ReportOutcome { attempt, outcome, .. } => {
                    self.end_step(attempt.call.0, outcome.err());
                }
                DispatchAction::QueryFreeMemory { upstream, .. } => {
                    let (now, free, mut actions) =
                        (self.now, Some(rules().result_bytes), Vec::new());
                    let dispatcher = &mut self.dispatchers[pool];
                    dispatcher.record_free_memory(&upstream, free, now, &mut actions);
                    self.take(pool, actions);
                }
                _ => {}
            }
        }
    }

    fn end_step(&mut self, call: u64, fault: Option<PieceFault>) {
        let Some(request) = self.requests.get_mut(&call) else { return };
        if fault.is_some() {
            if let Some(counts) = self.kinds.get_mut(request.kind) {
                counts.lost += 1;
            }
            self.requests.remove(&call);
            return;
        }
        request.step += 1;
        let event = if request.step == POOLS.len() {
            (ENGINE_TIME, ModelEvent::EngineEnd(call))
        } else {
            (HOP * 2, ModelEvent::Start(call))
        };
        self.push(event.0, event.1);
    }

    fn finish(&mut self, call: u64) {
        let Some(request) = self.requests.remove(&call) else { return };
        let Some(counts) = self.kinds.get_mut(request.kind) else { return };
        let objective = Duration::from_millis(KINDS[request.kind].1);
        if self.now.since(request.arrived_at) <= objective {
            counts.on_time += 1;
            self.small.on_time += usize::from(request.is_small);
        } else {
            counts.late += 1;
        }
    }

    fn report(&mut self) {
        for pool in 0..POOLS.len() {
            let is_silent = self.fault == ModelFault::SilentDispatcher
                && pool == 1
                && (RUN / 2..RUN * 3 / 4).contains(&self.elapsed());
            if is_silent {
                continue;
            }
            for (status, _) in self.dispatchers[pool].statuses("dispatcher", self.now) {
                self.statuses.push(status);
                let index = self.statuses.len() - 1;
                self.push(HOP, ModelEvent::Status(index, 0));
                self.push(HOP, ModelEvent::Status(index, 1));
            }
        }
        self.push(REPORT_INTERVAL, ModelEvent::Report);
    }
}

/// Duration of a step without queueing, as an entry expects it.
fn step_time(position: usize) -> Duration {
    match PIECES.get(position) {
        Some(pieces) => rules().expected((*pieces).max(rules().pieces / 2)),
        None => ENGINE_TIME,
    }
}

fn admission_request(call: u64, kind: usize) -> AdmissionRequest {
    let steps = (0..=POOLS.len()).map(|position| AdmissionStep {
        pool: POOLS.get(position).map_or("engine", |(pool, _)| *pool).to_owned(),
        pieces: PIECES.get(position).copied().unwrap_or(0),
        after: position.checked_sub(1).into_iter().collect(),
        step_time: step_time(position),
    });
    AdmissionRequest {
        attempt: AttemptId { incarnation: 1, call: CallId(call), sequence: 0 },
        section: "admission".to_owned(),
        digest: RequestDigest::of(&[&call.to_le_bytes()]),
        workspace: FLOOD_WORKSPACE.to_owned(),
        level: KINDS[kind].0,
        objective_in: Duration::from_millis(KINDS[kind].1),
        deadline_in: DEADLINE,
        steps: steps.collect(),
    }
}
