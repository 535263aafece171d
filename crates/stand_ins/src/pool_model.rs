//! Batched pools in virtual time: the real dispatcher before modelled upstreams.

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_core::batching::{
    BatchDesk, BatchId, BatchOrder, BatchOutcome, DeskStep, ItemOutcome,
};
use crocusdale_core::configuration::{
    BatchRules, Declarations, DeclarationsBuilder, PoolKind, StageRules,
};
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime};
use crocusdale_core::pipeline::{PieceOrder, PieceSource, ResultHandle};
use crocusdale_core::retry::RetryLimits;
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Pause between two turns of each desk.
const TURN: Duration = Duration::from_millis(15);
/// Calls that wait at an upstream before it refuses more.
const UPSTREAM_QUEUE: usize = 2;
/// Time of a message between two daemons.
const HOP: Duration = Duration::from_millis(1);
/// Time that the last step of a request needs after its pieces.
const LAST_STEP: Duration = Duration::from_millis(200);

/// Who forms the calls of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum CallForming {
    /// Each daemon from its own requests.
    EachDaemon,
    /// One dispatcher for each pool.
    OneDispatcher,
}

/// A pool of the model.
#[derive(Clone, Debug)]
pub struct ModelPool {
    /// Name of the pool.
    pub name: &'static str,
    /// Number of upstreams.
    pub upstreams: usize,
    /// What they are like.
    pub rules: BatchRules,
}

/// A kind of request of the model.
#[derive(Clone, Debug)]
pub struct ModelKind {
    /// Name of the kind.
    pub name: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// Objective.
    pub objective: Duration,
    /// Priority level.
    pub level: u8,
    /// Pools that it passes, with its pieces in each.
    pub steps: Vec<(usize, u32)>,
}

/// More requests of all kinds for a time.
#[derive(Clone, Copy, Debug)]
pub struct ModelBurst {
    /// Its first second.
    pub from: f64,
    /// Its last second.
    pub to: f64,
    /// Requests against the ordinary rate.
    pub factor: f64,
}

/// A load on batched pools.
#[derive(Clone, Debug)]
pub struct PoolModel {
    /// The pools.
    pub pools: Vec<ModelPool>,
    /// The kinds of request.
    pub kinds: Vec<ModelKind>,
    /// Bursts.
    pub bursts: Vec<ModelBurst>,
    /// Daemons.
    pub daemons: usize,
    /// Seconds of traffic.
    pub seconds: f64,
}

/// How a run of the model ended.
#[derive(Clone, Debug, Default)]
pub struct ModelReport {
    /// Requests, and those in time, by kind.
    pub kinds: BTreeMap<&'static str, (u32, u32)>,
    /// Share in time of the requests of each second.
    pub seconds: Vec<(u32, u32)>,
    /// Calls that upstreams worked on.
    pub calls: u64,
    /// Pieces in them.
    pub pieces: u64,
    /// Calls that upstreams refused.
    pub refused: u64,
}

impl ModelReport {
    /// Share of the requests of `kind` that were in time.
    #[must_use]
    pub fn share(&self, kind: &str) -> f64 {
        self.kinds.get(kind).map_or(0.0, |(all, good)| f64::from(*good) / f64::from((*all).max(1)))
    }
}

impl PoolModel {
    /// Three pools of a few upstreams and three kinds of request, as on the users' pages: a call
    /// takes a fifth of a second and holds some ten to a hundred pieces.
    #[must_use]
    pub fn small(daemons: usize) -> Self {
        let pool = |name, upstreams, pieces, piece_us| ModelPool {
            name,
            upstreams,
            rules: BatchRules {
                slots: 1,
                pieces,
                call_time: Duration::from_millis(200),
                piece_time: Duration::from_micros(piece_us),
                result_bytes: u64::MAX,
                result_life: Duration::from_secs(4),
            },
        };
        let kind = |name, rate, objective_ms, level, steps| ModelKind {
            name,
            rate,
            objective: Duration::from_millis(objective_ms),
            level,
            steps,
        };
        Self {
            pools: vec![
                pool("encode", 5, 20, 8_000),
                pool("retrieve", 5, 64, 2_600),
                pool("rerank", 6, 96, 1_800),
            ],
            kinds: vec![
                kind("chain", 50.0, 1_800, 0, vec![(0, 1), (1, 6), (2, 10)]),
                kind("single", 40.0, 900, 1, vec![(0, 2)]),
                kind("spare", 25.0, 1_700, 2, vec![(0, 1), (1, 6), (2, 10)]),
            ],
            bursts: Vec::new(),
            daemons,
            seconds: 20.0,
        }
    }

    /// Adds a burst.
    #[must_use]
    pub fn burst(mut self, from: f64, to: f64, factor: f64) -> Self {
        self.bursts.push(ModelBurst { from, to, factor });
        self
    }

    /// Runs the model; the same seed gives the same report.
    #[must_use]
    pub fn run(&self, forming: CallForming, seed: u64) -> ModelReport {
        ModelRun::new(self, forming, seed).run()
    }

    fn factor(&self, second: f64) -> f64 {
        let running = self.bursts.iter().filter(|burst| (burst.from..burst.to).contains(&second));
        running.map(|burst| burst.factor).product()
    }

    fn declarations(&self) -> Declarations {
        self.pools
            .iter()
            .fold(DeclarationsBuilder::new("model", Duration::from_secs(1)), |builder, pool| {
                let stage = StageRules::published(PoolKind::Batch(pool.rules), None);
                builder.stage(pool.name, stage)
            })
            .build()
    }

    fn directory(&self) -> UpstreamDirectory {
        let mut directory = UpstreamDirectory::default();
        let mut entries = Vec::new();
        for pool in &self.pools {
            entries.extend((0..pool.upstreams).map(|index| {
                let entry = DirectoryEntry {
                    id: format!("{}-{index}", pool.name),
                    pool: pool.name.to_owned(),
                    address: SocketAddr::from(([127, 0, 0, 1], 9)),
                    zone: "a".to_owned(),
                    slots: 1,
                    leaving: false,
                };
                (1, entry)
            }));
        }
        directory.replace(1, entries, None);
        directory
    }
}

/// What happens next; the order of the variants breaks ties.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival { kind: usize },
    Offer { request: u64 },
    CallEnd { upstream: String },
    Turn,
}

/// A request on its way.
struct ModelRequest {
    kind: usize,
    arrived: MonotonicTime,
    step: usize,
    desk: usize,
}

/// One run of a model.
struct ModelRun<'a> {
    model: &'a PoolModel,
    forming: CallForming,
    random: SmallRng,
    now: MonotonicTime,
    events: BinaryHeap<std::cmp::Reverse<(MonotonicTime, u64, ModelEvent)>>,
    sequence: u64,
    desks: Vec<BatchDesk>,
    requests: HashMap<u64, ModelRequest>,
    /// Calls at each upstream with the desk that sent them; the first one is worked on.
    upstreams: HashMap<String, Vec<(usize, BatchOrder)>>,
    report: ModelReport,
}

impl<'a> ModelRun<'a> {
    fn new(model: &'a PoolModel, forming: CallForming, seed: u64) -> Self {
        let (declarations, directory) = (model.declarations(), model.directory());
        let now = MonotonicTime::from_millis(10_000);
        let desks = (0..model.daemons).map(|_| {
            let mut desk = BatchDesk::default();
            desk.set_retries(RetryLimits { reserve: f64::INFINITY, ..RetryLimits::default() });
            desk.reconfigure(&declarations, &directory, now, &mut Vec::new());
            desk
        });
        let mut run = Self {
            model,
            forming,
            random: SmallRng::seed_from_u64(seed),
            now,
            events: BinaryHeap::new(),
            sequence: 0,
            desks: desks.collect(),
            requests: HashMap::new(),
            upstreams: HashMap::new(),
            report: ModelReport::default(),
        };
        for kind in 0..model.kinds.len() {
            run.await_arrival(kind);
        }
        run.push(TURN, ModelEvent::Turn);
        run
    }

    fn run(mut self) -> ModelReport {
        while let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                ModelEvent::Arrival { kind } => self.arrive(kind),
                ModelEvent::Offer { request } => self.offer(request),
                ModelEvent::CallEnd { upstream } => self.end_call(&upstream),
                ModelEvent::Turn => self.turn(),
            }
        }
        self.report
    }

    fn push(&mut self, after: Duration, event: ModelEvent) {
        self.sequence += 1;
        self.events.push(std::cmp::Reverse((self.now + after, self.sequence, event)));
    }

    fn second(&self) -> f64 {
        self.now.since_start().as_secs_f64() - 10.0
    }

    fn await_arrival(&mut self, kind: usize) {
        let rate = self.model.kinds[kind].rate * self.model.factor(self.second());
        let pause = -self.random.random_range(f64::EPSILON..1.0_f64).ln() / rate;
        self.push(Duration::from_secs_f64(pause), ModelEvent::Arrival { kind });
    }

    fn arrive(&mut self, kind: usize) {
        if self.second() > self.model.seconds {
            return;
        }
        self.await_arrival(kind);
        self.sequence += 1;
        let request = self.sequence;
        let desk = self.random.random_range(0..self.model.daemons);
        self.requests.insert(request, ModelRequest { kind, arrived: self.now, step: 0, desk });
        self.push(HOP, ModelEvent::Offer { request });
    }

    /// Offers the pieces of a request's step to the desk that forms the calls.
    fn offer(&mut self, request: u64) {
        let Some(state) = self.requests.get(&request) else { return };
        let kind = &self.model.kinds[state.kind];
        let (pool, pieces) = kind.steps[state.step];
        let rules = |position: usize| self.model.pools[kind.steps[position].0].rules;
        let later: Duration = (state.step + 1..kind.steps.len())
            .map(|position| rules(position).expected(rules(position).pieces / 2))
            .sum();
        let end = state.arrived + kind.objective;
        let due = end.since_start().saturating_sub(LAST_STEP + later);
        let order = PieceOrder {
            attempt: AttemptId {
                incarnation: 1,
                call: CallId(request),
                sequence: u32::try_from(state.step).unwrap_or(u32::MAX),
            },
            request: request.to_string(),
            pool: self.model.pools[pool].name.to_owned(),
            step: u32::try_from(state.step).unwrap_or(u32::MAX),
            pieces,
            result_bytes: 1,
            source: PieceSource::Caller(String::new()),
            zone: None,
            level: kind.level,
            due: MonotonicTime::from_start(due),
            expires: state.arrived + kind.objective * 4,
            repeated: false,
        };
        let desk = match self.forming {
            CallForming::EachDaemon => state.desk,
            CallForming::OneDispatcher => pool % self.model.daemons,
        };
        let mut steps = Vec::new();
        self.desks[desk].offer(order, self.now, &mut steps);
        self.take(desk, steps);
    }

    fn turn(&mut self) {
        for desk in 0..self.desks.len() {
            let mut steps = Vec::new();
            self.desks[desk].turn(self.now, &mut steps);
            self.take(desk, steps);
        }
        if !self.requests.is_empty() || self.second() < self.model.seconds {
            self.push(TURN, ModelEvent::Turn);
        }
    }

    fn take(&mut self, desk: usize, steps: Vec<DeskStep>) {
        for step in steps {
            match step {
                DeskStep::Call(order) => self.call(desk, order),
                DeskStep::Cancel(batch) => self.cancel(desk, batch),
                DeskStep::Settle { attempt, outcome, .. } => {
                    self.settle(attempt.call.0, outcome.is_ok());
                }
                DeskStep::Free(_) => {}
                // The model does not count memory.
                DeskStep::AskRoom { upstream, .. } => {
                    let mut steps = Vec::new();
                    self.desks[desk].room_told(&upstream, None, self.now, &mut steps);
                    self.take(desk, steps);
                }
            }
        }
    }

    fn call(&mut self, desk: usize, order: BatchOrder) {
        let name = order.upstream.clone();
        let calls = self.upstreams.entry(name.clone()).or_default();
        if calls.len() > UPSTREAM_QUEUE {
            self.report.refused += 1;
            self.answer(desk, order.batch, BatchOutcome::Declined);
            return;
        }
        calls.push((desk, order));
        if calls.len() == 1 {
            self.work(name);
        }
    }

    /// The first call at an upstream is worked on.
    fn work(&mut self, upstream: String) {
        let Some((_, order)) = self.upstreams.get(&upstream).and_then(|calls| calls.first()) else {
            return;
        };
        let pieces = u32::try_from(order.items.len()).unwrap_or(u32::MAX);
        let pool = self.model.pools.iter().find(|pool| upstream.starts_with(pool.name));
        let time = pool.map_or(Duration::ZERO, |pool| pool.rules.expected(pieces));
        self.report.calls += 1;
        self.report.pieces += u64::from(pieces);
        self.push(time + HOP, ModelEvent::CallEnd { upstream });
    }

    fn end_call(&mut self, upstream: &str) {
        let Some(calls) = self.upstreams.get_mut(upstream) else { return };
        let (desk, order) = calls.remove(0);
        self.work(upstream.to_owned());
        let made = order.items.iter().map(|_| ItemOutcome::Made(ResultHandle::new("a/1")));
        self.answer(desk, order.batch, BatchOutcome::Answered(made.collect()));
    }

    /// A call that waits is dropped; one that is worked on goes on.
    fn cancel(&mut self, desk: usize, batch: BatchId) {
        for calls in self.upstreams.values_mut() {
            let waiting =
                calls.iter().skip(1).position(|(by, order)| (*by, order.batch) == (desk, batch));
            if let Some(position) = waiting {
                calls.remove(position + 1);
            }
        }
    }

    fn answer(&mut self, desk: usize, batch: BatchId, outcome: BatchOutcome) {
        let mut steps = Vec::new();
        self.desks[desk].answered(batch, outcome, self.now, &mut steps);
        self.take(desk, steps);
    }

    fn settle(&mut self, request: u64, made: bool) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let kind = &self.model.kinds[state.kind];
        state.step += 1;
        if made && state.step < kind.steps.len() {
            self.push(HOP, ModelEvent::Offer { request });
            return;
        }
        let in_time = made && self.now + LAST_STEP <= state.arrived + kind.objective;
        let second = (state.arrived.since_start().as_secs_f64() - 10.0) as usize;
        let (name, good) = (kind.name, u32::from(in_time));
        self.requests.remove(&request);
        let counts = self.report.kinds.entry(name).or_default();
        *counts = (counts.0 + 1, counts.1 + good);
        if self.report.seconds.len() <= second {
            self.report.seconds.resize(second + 1, (0, 0));
        }
        let counts = &mut self.report.seconds[second];
        *counts = (counts.0 + 1, counts.1 + good);
    }
}
