//! Choice of model engines by the daemons of a large fleet, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::{
    AllowedRegions, Declarations, DeclarationsBuilder, EngineRules, PoolKind, StageRules,
};
use crocusdale_core::identity::{CallId, MonotonicTime};
use crocusdale_core::pipeline::{EngineDemand, PromptPart};
use crocusdale_core::routing::{
    AttemptReport, DirectoryEntry, SlotRequest, UpstreamDirectory, UpstreamRouter,
};
use crocusdale_core::streams::AllowedVersion;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Time from a request's first token to its last. Every other request generates a dozen events, the
/// others some seventy.
const SERVICE_TIMES: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(4_000)];
/// Time in which an engine processes a prompt.
const PROMPT_TIME: Duration = Duration::from_millis(80);
/// Tokens of the three parts of a prompt: the part that a quarter of all subjects share, the part
/// of the subject, and the part of the request.
const PROMPT_PART_TOKENS: [u32; 3] = [2_500, 3_800, 2_900];
/// Number of prompt parts that many subjects share.
const SHARED_PARTS: u64 = 4;
/// Time for which an engine caches an unused prompt part.
const PART_CACHE_TIME: Duration = Duration::from_secs(20);

/// Load that users expect from large fleets, and the engines that serve the load.
struct FleetLoad {
    daemons: usize,
    engines: usize,
    rules: EngineRules,
    /// Requests a second.
    rate: u64,
    subjects: u64,
    /// Fraction of the requests, 0 to 1, that are about one single subject.
    hot_share: f64,
}

/// Result of a simulated load.
struct LoadOutcome {
    /// Fraction, 0 to 1, of the requests about a recent subject that reached an engine which has
    /// cached its prompt part.
    cached: f64,
    /// Fraction, 0 to 1, of the requests whose engine had no free slot.
    queued: f64,
}

impl FleetLoad {
    fn simulate(&self, seed: u64) -> LoadOutcome {
        let declarations = declarations(self.rules);
        let directory = directory(self.engines);
        let routers: Vec<UpstreamRouter> = (0..self.daemons)
            .map(|index| {
                let router = UpstreamRouter::new("a", index as u64);
                router.set_daemons(self.daemons);
                router.reconfigured(&declarations, &directory, MonotonicTime::from_millis(0))
            })
            .collect();
        let mut random = SmallRng::seed_from_u64(seed);
        let mut open: BTreeMap<(MonotonicTime, u64), (usize, String)> = BTreeMap::new();
        let mut unprocessed: BTreeMap<(MonotonicTime, u64), (usize, String)> = BTreeMap::new();
        let mut last_uses: HashMap<(String, u64), MonotonicTime> = HashMap::new();
        let mut last_requests: HashMap<u64, MonotonicTime> = HashMap::new();
        let mut running: HashMap<String, usize> = HashMap::new();
        let (mut cached, mut recent_requests, mut queued, mut measured_requests) = (0, 0, 0, 0);
        let seconds = 20;
        for number in 0..self.rate * seconds {
            let now = MonotonicTime::from_start(Duration::from_secs_f64(
                number as f64 / self.rate as f64,
            ));
            while let Some(entry) = unprocessed.first_entry().filter(|entry| entry.key().0 <= now) {
                let ((_, call), (daemon, engine)) = entry.remove_entry();
                routers[daemon].record_first_event(&engine, CallId(call));
            }
            while let Some(entry) = open.first_entry().filter(|entry| entry.key().0 <= now) {
                let ((_, call), (daemon, engine)) = entry.remove_entry();
                *running.entry(engine.clone()).or_default() -= 1;
                let report = AttemptReport::Answered(SERVICE_TIMES[call as usize % 2]);
                routers[daemon].release(&engine, CallId(call), report, now);
            }
            let hot = random.random_bool(self.hot_share);
            let subject = if hot { 0 } else { random.random_range(0..self.subjects) };
            let daemon = random.random_range(0..self.daemons);
            let grant = routers[daemon].acquire(request(number, subject), now);
            let Ok(Some(grant)) = grant else { continue };
            let is_recent = |last: Option<MonotonicTime>| {
                last.is_some_and(|last| now.since(last) < PART_CACHE_TIME)
            };
            let is_cached = is_recent(last_uses.insert((grant.upstream.clone(), subject), now));
            if is_recent(last_requests.insert(subject, now)) {
                recent_requests += 1;
                cached += u32::from(is_cached);
            }
            let load = running.entry(grant.upstream.clone()).or_default();
            // The first quarter of the requests only warms up the daemons.
            if number > self.rate * seconds / 4 {
                measured_requests += 1;
                queued += u32::from(*load >= self.rules.slots as usize);
            }
            *load += 1;
            unprocessed.insert((now + PROMPT_TIME, number), (daemon, grant.upstream.clone()));
            let end = now + SERVICE_TIMES[number as usize % 2];
            open.insert((end, number), (daemon, grant.upstream));
        }
        LoadOutcome {
            cached: f64::from(cached) / f64::from(recent_requests),
            queued: f64::from(queued) / f64::from(measured_requests),
        }
    }
}

fn declarations(rules: EngineRules) -> Declarations {
    DeclarationsBuilder::new("test", Duration::from_secs(1))
        .stage("reader", StageRules::published(PoolKind::Engine(rules), None))
        .build()
}

fn directory(engines: usize) -> UpstreamDirectory {
    let entry = |index: usize| DirectoryEntry {
        started_at_ms: None,
        id: format!("engine-{index}"),
        pool: "reader".to_owned(),
        address: format!("10.1.0.{}:80", index + 1).parse().expect("an address"),
        zone: ["a", "b", "c"][index % 3].to_owned(),
        slots: 64,
        leaving: false,
        software_version: None,
    };
    let mut directory = UpstreamDirectory::default();
    let entries = (0..engines).map(|index| (1, entry(index))).collect();
    directory.replace(1, entries, None);
    directory
}

fn request(number: u64, subject: u64) -> SlotRequest {
    let part = |id, tokens| PromptPart { id, tokens };
    let demand = EngineDemand {
        parts: vec![
            part(2_000_000 + subject % SHARED_PARTS, PROMPT_PART_TOKENS[0]),
            part(subject, PROMPT_PART_TOKENS[1]),
            part(1_000_000 + number, PROMPT_PART_TOKENS[2]),
        ],
        prompt_tokens: PROMPT_PART_TOKENS.iter().map(|tokens| u64::from(*tokens)).sum(),
        output_tokens: 60,
    };
    SlotRequest {
        call: CallId(number),
        branch: 0,
        stage: "reader".to_owned(),
        level: 1,
        deadline: MonotonicTime::from_start(Duration::from_secs(60)),
        failed_upstreams: Vec::new(),
        demand: Some(Arc::new(demand)),
        digest: Default::default(),
        allowed_regions: AllowedRegions::default(),
        allowed_version: AllowedVersion::Any,
    }
}

/// Guards against a large fleet that spreads each subject over many engines: 80 daemons before 60
/// engines of 64 slots, 160 requests a second about 1,100 subjects. A daemon that counts each of
/// its own requests as eighty finds every engine full, forgets subjects and sends requests
/// anywhere. Most shared parts would be processed again, which takes the engines two thirds of
/// their time.
#[test]
fn large_fleet_reuses_cached_subjects() {
    let rules = EngineRules { slots: 64, token_memory: 550_000 };
    let load =
        FleetLoad { daemons: 80, engines: 60, rules, rate: 160, subjects: 1_100, hot_share: 0.0 };
    let outcome = load.simulate(1);
    assert!(outcome.cached > 0.9, "fraction of cached subjects: {}", outcome.cached);

    assert!(outcome.queued < 0.1, "fraction of queued requests: {}", outcome.queued);
}

/// Guards against the same failure with engines of few slots: 60 daemons before 90 engines of 12.
#[test]
fn large_fleet_reuses_cached_subjects_with_few_slots() {
    let rules = EngineRules { slots: 12, token_memory: 470_000 };
    let load =
        FleetLoad { daemons: 60, engines: 90, rules, rate: 180, subjects: 1_100, hot_share: 0.0 };
    let outcome = load.simulate(1);
    assert!(outcome.cached > 0.8, "fraction of cached subjects: {}", outcome.cached);

    assert!(outcome.queued < 0.1, "fraction of queued requests: {}", outcome.queued);
}

/// Guards against an engine that is overloaded by a hot subject. A third of all requests are about
/// one subject, more than one engine can run, and no daemon sees more than a few of them. The
/// engine must not get more requests than it has slots.
#[test]
fn hot_subject_spreads_over_engines() {
    let rules = EngineRules { slots: 24, token_memory: 550_000 };
    let load =
        FleetLoad { daemons: 80, engines: 60, rules, rate: 400, subjects: 1_100, hot_share: 0.3 };
    let outcome = load.simulate(1);

    assert!(outcome.queued < 0.1, "fraction of queued requests: {}", outcome.queued);
    assert!(outcome.cached > 0.8, "fraction of cached subjects: {}", outcome.cached);
}

/// Guards against a small fleet that no longer keeps the requests of a subject on one engine.
#[test]
fn small_fleet_reuses_cached_subjects() {
    let rules = EngineRules { slots: 96, token_memory: 560_000 };
    let load =
        FleetLoad { daemons: 6, engines: 18, rules, rate: 120, subjects: 330, hot_share: 0.1 };
    let outcome = load.simulate(1);
    assert!(outcome.cached > 0.9, "fraction of cached subjects: {}", outcome.cached);

    assert!(outcome.queued < 0.1, "fraction of queued requests: {}", outcome.queued);
}
