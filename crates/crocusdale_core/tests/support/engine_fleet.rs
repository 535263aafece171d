//! Model engines of different speeds behind one placement coordinator, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use crocusdale_core::configuration::{AllowedRegions, EngineRules};
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime};
use crocusdale_core::pipeline::PromptPart;
use crocusdale_core::placement::{
    EngineInfo, EnginePlacer, PlacementOutcome, PlacementReport, PlacementRequest,
};
use crocusdale_core::streams::AllowedVersion;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Slots and memory of each engine.
pub const RULES: EngineRules = EngineRules { slots: 16, token_memory: 200_000 };
/// Time until a daemon's report reaches the coordinator, in milliseconds.
const REPORT_DELAY_MS: f64 = 22.0;
/// Events of one answer.
const EVENTS: u32 = 20;

/// Engines with their true speeds, and the coordinators that place requests on them.
pub struct EngineFleet {
    pub placers: Vec<EnginePlacer>,
    pub engines: Vec<SimulatedEngine>,
    pub random: SmallRng,
    pub now_ms: f64,
    /// Reports by the time at which they arrive, with the coordinator that they are for.
    reports: BTreeMap<(u64, u64), (usize, PlacementReport)>,
    sent: u64,
    /// Times to the first event.
    pub first_event_ms: Vec<f64>,
}

/// One engine: it reads prompts one after the other, and then generates answers side by side.
pub struct SimulatedEngine {
    /// Ratio of its time to that of the fastest engines.
    pub lasting: f64,
    slow_until_ms: f64,
    prefill_free_ms: f64,
    ends_ms: Vec<f64>,
    pub requests: u64,
}

pub fn info(index: usize) -> EngineInfo {
    EngineInfo {
        name: format!("reader-{index}"),
        zone: "a".to_owned(),
        region: None,
        software_version: None,
    }
}

pub fn at(millis: f64) -> MonotonicTime {
    MonotonicTime::from_start(Duration::from_secs_f64(millis / 1e3))
}

pub fn request(call: u64, session: u64, now: MonotonicTime) -> PlacementRequest {
    PlacementRequest {
        attempt: AttemptId { incarnation: 1, call: CallId(call), sequence: 0 },
        section: "reader".to_owned(),
        level: 0,
        shared_parts: vec![PromptPart { id: session, tokens: 500 }],
        prompt_tokens: 1_500,
        output_tokens: 100,
        objective: now + Duration::from_millis(1_800),
        deadline: now + Duration::from_secs(6),
        excluded: Vec::new(),
        allowed_regions: AllowedRegions::default(),
        allowed_version: AllowedVersion::Any,
        input_zone: None,
        input_bytes: 0,
    }
}

impl EngineFleet {
    /// Engines of which a third is 2.4 times slower than the others.
    pub fn new(engines: usize, coordinators: usize, seed: u64) -> Self {
        let new_placer = || {
            let mut placer = EnginePlacer::new(RULES);
            placer.set_engines(RULES, (0..engines).map(info));
            placer
        };
        let engine = |index: usize| SimulatedEngine {
            lasting: if index.is_multiple_of(3) { 2.4 } else { 1.0 },
            slow_until_ms: 0.0,
            prefill_free_ms: 0.0,
            ends_ms: Vec::new(),
            requests: 0,
        };
        Self {
            placers: (0..coordinators).map(|_| new_placer()).collect(),
            engines: (0..engines).map(engine).collect(),
            random: SmallRng::seed_from_u64(seed),
            now_ms: 0.0,
            reports: BTreeMap::new(),
            sent: 0,
            first_event_ms: Vec::new(),
        }
    }

    /// Sends `rate` requests a second for `seconds`, each through a random coordinator. Each engine
    /// becomes 2.5 times slower for 600 ms at random, 15% of the time.
    pub fn run(&mut self, rate: f64, seconds: f64) {
        let end_ms = self.now_ms + seconds * 1e3;
        while self.now_ms < end_ms {
            let gap_ms = -(1.0 - self.random.random::<f64>()).ln() * 1e3 / rate;
            self.now_ms += gap_ms;
            for engine in &mut self.engines {
                let is_slowed = self.random.random::<f64>() < gap_ms * 0.15 / (600.0 * 0.85);
                if is_slowed && engine.slow_until_ms < self.now_ms {
                    engine.slow_until_ms = self.now_ms + 600.0;
                }
            }
            self.deliver_reports();
            self.send_one();
        }
    }

    /// Forgets what was measured so far, but not the state of coordinators and engines.
    pub fn reset_measurements(&mut self) {
        self.first_event_ms.clear();
        self.engines.iter_mut().for_each(|engine| engine.requests = 0);
    }

    fn send_one(&mut self) {
        self.sent += 1;
        let session = self.random.random_range(0..2_000_u64);
        let placer = self.random.random_range(0..self.placers.len());
        let request = request(self.sent, session, at(self.now_ms));
        let reply = self.placers[placer].place(&request, at(self.now_ms));
        let Some(upstream) = reply.upstream else { return };
        let index: usize = upstream.trim_start_matches("reader-").parse().expect("a number");
        let (first_ms, end_ms) = self.engines[index].serve(self.now_ms, 1_500.0);
        self.first_event_ms.push(first_ms - self.now_ms);
        let report = PlacementReport {
            attempt: request.attempt,
            outcome: PlacementOutcome::Started,
            first_event: Some(Duration::from_secs_f64((first_ms - self.now_ms) / 1e3)),
            stream_time: Duration::from_secs_f64((end_ms - first_ms) / 1e3),
            events: EVENTS,
            upstream,
        };
        self.report(first_ms, placer, report.clone());
        self.report(
            end_ms,
            placer,
            PlacementReport { outcome: PlacementOutcome::Answered, first_event: None, ..report },
        );
    }

    fn report(&mut self, sent_ms: f64, placer: usize, report: PlacementReport) {
        let at_us = ((sent_ms + REPORT_DELAY_MS) * 1e3) as u64;
        self.reports.insert((at_us, self.reports.len() as u64 + self.sent), (placer, report));
    }

    fn deliver_reports(&mut self) {
        while let Some(entry) = self.reports.first_entry()
            && entry.key().0 as f64 <= self.now_ms * 1e3
        {
            let ((at_us, _), (placer, report)) = entry.remove_entry();
            self.placers[placer].report(&report, at(at_us as f64 / 1e3));
        }
    }

    /// Requests of the slowest third of the engines for each request of an equally large number of
    /// the other ones.
    pub fn slow_share(&self) -> f64 {
        let count = |slow: bool| -> f64 {
            let engines = self.engines.iter().filter(|engine| (engine.lasting > 1.5) == slow);
            let requests: Vec<f64> = engines.map(|engine| engine.requests as f64).collect();
            requests.iter().sum::<f64>() / requests.len() as f64
        };
        count(true) / count(false)
    }

    pub fn first_event_quantile(&self, quantile: f64) -> f64 {
        let mut sorted = self.first_event_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[(sorted.len() as f64 * quantile) as usize]
    }
}

impl SimulatedEngine {
    /// Times of the first and the last event of a request that arrives at `now_ms`.
    pub fn serve(&mut self, now_ms: f64, tokens: f64) -> (f64, f64) {
        self.requests += 1;
        self.ends_ms.retain(|end| *end > now_ms);
        self.ends_ms.sort_by(f64::total_cmp);
        let slots = RULES.slots as usize;
        let slot_ms =
            self.ends_ms.len().checked_sub(slots).map_or(now_ms, |index| self.ends_ms[index]);
        let ratio = self.lasting * if now_ms < self.slow_until_ms { 2.5 } else { 1.0 };
        let start_ms = slot_ms.max(self.prefill_free_ms).max(now_ms);
        self.prefill_free_ms = start_ms + tokens * 0.04 * ratio;
        let first_ms = self.prefill_free_ms + 40.0 * ratio;
        let running = self.ends_ms.len().min(slots) as f64;
        let end_ms = first_ms + f64::from(EVENTS) * (20.0 + running) * ratio;
        self.ends_ms.push(end_ms);
        (first_ms, end_ms)
    }
}
