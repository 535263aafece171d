//! Which model engines the requests of a large fleet find, in virtual time.

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
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Time from a request's first token to its last. Every other request generates a dozen events, the
/// others some seventy.
const SERVICE_TIMES: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(4_000)];
/// Time to read a prompt.
const READ_TIME: Duration = Duration::from_millis(80);
/// Tokens of the part that a quarter of all subjects share, of a subject's own part, and of the
/// request's.
const PROMPT: [u32; 3] = [2_500, 3_800, 2_900];
/// Parts that are shared by many subjects.
const ROOTS: u64 = 4;
/// Time for which an engine keeps a part that nobody uses.
const PART_LIFE: Duration = Duration::from_secs(20);

/// A load as the users expect it once their fleets have grown, and the engines for it.
struct FleetLoad {
    daemons: usize,
    engines: usize,
    rules: EngineRules,
    /// Requests a second.
    rate: u64,
    subjects: u64,
    /// Part of the requests that are about one subject.
    hot_share: f64,
}

/// What a load came to.
struct LoadOutcome {
    /// Part of the requests about a subject of late whose engine has kept its part.
    known: f64,
    /// Part of the requests that found their engine with as many requests as it has places.
    queued: f64,
}

impl FleetLoad {
    fn play(&self, seed: u64) -> LoadOutcome {
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
        let mut unread: BTreeMap<(MonotonicTime, u64), (usize, String)> = BTreeMap::new();
        let mut used: HashMap<(String, u64), MonotonicTime> = HashMap::new();
        let mut asked: HashMap<u64, MonotonicTime> = HashMap::new();
        let mut running: HashMap<String, usize> = HashMap::new();
        let (mut known, mut counted, mut queued, mut settled) = (0, 0, 0, 0);
        let seconds = 20;
        for number in 0..self.rate * seconds {
            let now = MonotonicTime::from_start(Duration::from_secs_f64(
                number as f64 / self.rate as f64,
            ));
            while let Some(entry) = unread.first_entry().filter(|entry| entry.key().0 <= now) {
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
            let is_kept =
                |last: Option<MonotonicTime>| last.is_some_and(|last| now.since(last) < PART_LIFE);
            let kept_there = is_kept(used.insert((grant.upstream.clone(), subject), now));
            if is_kept(asked.insert(subject, now)) {
                counted += 1;
                known += u32::from(kept_there);
            }
            let load = running.entry(grant.upstream.clone()).or_default();
            // The first quarter is what the daemons learn from.
            if number > self.rate * seconds / 4 {
                settled += 1;
                queued += u32::from(*load >= self.rules.slots as usize);
            }
            *load += 1;
            unread.insert((now + READ_TIME, number), (daemon, grant.upstream.clone()));
            let end = now + SERVICE_TIMES[number as usize % 2];
            open.insert((end, number), (daemon, grant.upstream));
        }
        LoadOutcome {
            known: f64::from(known) / f64::from(counted),
            queued: f64::from(queued) / f64::from(settled),
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
            part(2_000_000 + subject % ROOTS, PROMPT[0]),
            part(subject, PROMPT[1]),
            part(1_000_000 + number, PROMPT[2]),
        ],
        prompt_tokens: PROMPT.iter().map(|tokens| u64::from(*tokens)).sum(),
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
    }
}

// Eighty daemons stand before sixty engines of 64 places each, 160 requests a second about 1,100
// subjects. A daemon that takes each of its own requests for eighty finds every engine full,
// forgets subjects and sends requests anywhere: most shared parts are read again, which takes the
// engines two thirds of their time.
#[test]
fn large_fleet_finds_the_engine_that_knows_the_subject() {
    let rules = EngineRules { slots: 64, token_memory: 550_000 };
    let load =
        FleetLoad { daemons: 80, engines: 60, rules, rate: 160, subjects: 1_100, hot_share: 0.0 };
    let outcome = load.play(1);
    assert!(outcome.known > 0.9, "{}", outcome.known);

    assert!(outcome.queued < 0.1, "{}", outcome.queued);
}

// The same fleet before engines of few places: sixty daemons, ninety engines of 12.
#[test]
fn engines_of_few_places_are_found_too() {
    let rules = EngineRules { slots: 12, token_memory: 470_000 };
    let load =
        FleetLoad { daemons: 60, engines: 90, rules, rate: 180, subjects: 1_100, hot_share: 0.0 };
    let outcome = load.play(1);
    assert!(outcome.known > 0.8, "{}", outcome.known);

    assert!(outcome.queued < 0.1, "{}", outcome.queued);
}

// A third of all requests are about one subject, more than one engine can run. No daemon sees more
// than a few of them; the engine must not be given more than it has places for all the same.
#[test]
fn subject_that_everybody_asks_for_spreads() {
    let rules = EngineRules { slots: 24, token_memory: 550_000 };
    let load =
        FleetLoad { daemons: 80, engines: 60, rules, rate: 400, subjects: 1_100, hot_share: 0.3 };
    let outcome = load.play(1);

    assert!(outcome.queued < 0.1, "{}", outcome.queued);
    assert!(outcome.known > 0.8, "{}", outcome.known);
}

// A fleet of the size of today keeps subjects together as before.
#[test]
fn small_fleet_finds_the_engine_that_knows_the_subject() {
    let rules = EngineRules { slots: 96, token_memory: 560_000 };
    let load =
        FleetLoad { daemons: 6, engines: 18, rules, rate: 120, subjects: 330, hot_share: 0.1 };
    let outcome = load.play(1);
    assert!(outcome.known > 0.9, "{}", outcome.known);

    assert!(outcome.queued < 0.1, "{}", outcome.queued);
}
