//! Replays a deployment's trace under faults of upstreams and load, with the baseline policy and the
//! adaptive one side by side: `experiment DIRECTORY [SCENARIO ...]`.
//!
//! Both fleets run at the same time on the same machine, each with upstreams of its own that work
//! on a limited number of calls at one time. Prints, per scenario and policy: attainment of all
//! and of the quick jobs, what became of the rest, calls of upstreams for each request, and work
//! of upstreams that ended in no answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Context as _, Result};
use crocusdale_core::configuration::{Declarations, UpstreamRules};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use stand_ins::{
    DaemonFleet, DaemonFleetBuilder, EndedRequest, TraceLine, UpstreamFault, UpstreamPlan,
    UpstreamStandIn, judge_replay, read_trace, replay_trace,
};
use strum::{IntoEnumIterator as _, VariantNames as _};

/// Seed of what the scenarios draw.
const SEED: u64 = 5;
/// Levels of priority that count as quick.
const QUICK_LEVEL: u8 = 0;
/// How much slower a slow upstream is.
const SLOWNESS: u64 = 10;
/// Part of the trace in which a burst comes, in milliseconds.
const BURST: std::ops::Range<f64> = 4_000.0..8_000.0;

#[derive(
    Clone, Copy, Debug, strum::EnumIter, strum::EnumString, strum::Display, strum::VariantNames,
)]
#[strum(serialize_all = "snake_case")]
enum Scenario {
    /// The trace as it is.
    Ordinary,
    /// Three times the requests for four seconds.
    Burst,
    /// One upstream of each stage is ten times slower.
    SlowUpstreams,
    /// One upstream of each stage is gone.
    DeadUpstreams,
    /// One upstream of each stage fails at once, so that it always has room.
    FastFailures,
    /// One upstream of each stage takes calls and never answers.
    SilentUpstreams,
    /// The daemons and upstreams of one zone are gone.
    ZoneLost,
    /// One workspace sends five times its requests.
    Flood,
    /// Twice the requests, all the time.
    Overload,
}

struct Stage {
    declarations: Declarations,
    upstreams: HashMap<String, UpstreamStandIn>,
    fleet: DaemonFleet,
}

#[tokio::main]
async fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let directory = PathBuf::from(arguments.next().context("usage: experiment DIRECTORY")?);
    let chosen: Vec<Scenario> = arguments
        .map(|name| {
            name.parse()
                .with_context(|| format!("{name}: one of {}", Scenario::VARIANTS.join(", ")))
        })
        .collect::<Result<_>>()?;
    let chosen = if chosen.is_empty() { Scenario::iter().collect() } else { chosen };
    println!(
        "{:<17} {:<9} {:>8} {:>8} {:>9} {:>7} {:>8} {:>7} {:>8}",
        "scenario",
        "policy",
        "all %",
        "quick %",
        "refused",
        "failed",
        "unknown",
        "calls/r",
        "wasted %"
    );
    for scenario in chosen {
        let (baseline, adaptive) = tokio::join!(
            measure(&directory, scenario, "baseline"),
            measure(&directory, scenario, "adaptive"),
        );
        println!("{}\n{}", baseline?, adaptive?);
    }
    Ok(())
}

async fn measure(directory: &std::path::Path, scenario: Scenario, policy: &str) -> Result<String> {
    let mut stage = set_up(directory, policy).await?;
    stage.fleet.wait_for_witnesses(stage.declarations.deployment().key_life).await;
    let trace = read_trace(&directory.join("ordinary_day.jsonl"), 1.0)?;
    let trace = load(scenario, &trace);
    disturb(scenario, &mut stage)?;
    let ended = replay_trace(&trace, stage.fleet.callers(), "x").await;
    Ok(report(scenario, policy, &stage, &ended))
}

async fn set_up(directory: &std::path::Path, policy: &str) -> Result<Stage> {
    let mut text = std::fs::read_to_string(directory.join("declarations.ini"))?;
    let declared = check(&text)?;
    let mut upstreams = HashMap::new();
    for rules in declared.upstreams() {
        let upstream = UpstreamStandIn::start(&rules.name, SocketAddr::from(([127, 0, 0, 1], 0)))?;
        upstream.set_plan(plan(rules, UpstreamFault::None, 1));
        upstream.limit_slots(if is_engine(rules) { 1 } else { 4 });
        let (from, to) = (rules.address.to_string(), upstream.address().to_string());
        text = text.replace(&format!("address = {from}\n"), &format!("address = {to}\n"));
        upstreams.insert(rules.name.clone(), upstream);
    }
    text = text.replace("[deployment]\n", &format!("[deployment]\npolicy = {policy}\n"));
    let declarations = check(&text)?;
    let mut zones: Vec<String> = Vec::new();
    for rules in declarations.upstreams() {
        if !zones.contains(&rules.zone) {
            zones.push(rules.zone.clone());
        }
    }
    let bin = std::env::current_exe()?;
    let binary = bin.parent().context("no folder")?.join("../crocusdaled");
    let work = std::env::temp_dir();
    let builder = DaemonFleetBuilder::new(&binary.to_string_lossy(), &work.to_string_lossy());
    let fleet = builder.zones(zones).configuration(text).start().await?;
    Ok(Stage { declarations, upstreams, fleet })
}

fn check(text: &str) -> Result<Declarations> {
    Declarations::check("declarations.ini", text).map_err(|errors| anyhow::anyhow!("{}", errors[0]))
}

fn is_engine(rules: &UpstreamRules) -> bool {
    rules.name.contains("generate")
}

/// How the upstream works, `factor` times slower than it should.
fn plan(rules: &UpstreamRules, fault: UpstreamFault, factor: u64) -> UpstreamPlan {
    let (service_ms, piece_ms) = if is_engine(rules) { (60, 5) } else { (10, 0) };
    UpstreamPlan { service_ms: service_ms * factor, pieces: 16, piece_ms: piece_ms * factor, fault }
}

fn load(scenario: Scenario, trace: &[TraceLine]) -> Vec<TraceLine> {
    let mut random = StdRng::seed_from_u64(SEED);
    let flooding = trace.first().map(|line| line.request.workspace.clone()).unwrap_or_default();
    let copies = |line: &TraceLine| match scenario {
        Scenario::Burst if BURST.contains(&line.at_ms) => 3,
        Scenario::Flood if line.request.workspace == flooding => 5,
        Scenario::Overload => 2,
        _ => 1,
    };
    let mut all = Vec::new();
    for line in trace {
        for copy in 0..copies(line) {
            let mut line = line.clone();
            let key = format!("{}.{copy}", line.request.key);
            line.contains = line.contains.replace(&line.request.key, &key);
            line.request.key = key;
            line.at_ms += if copy == 0 { 0.0 } else { random.random_range(0.0..200.0) };
            all.push(line);
        }
    }
    all.sort_by(|left, right| left.at_ms.total_cmp(&right.at_ms));
    all
}

fn disturb(scenario: Scenario, stage: &mut Stage) -> Result<()> {
    let rules = stage.declarations.upstreams().to_vec();
    let zone = rules.first().context("no upstream")?.zone.clone();
    // The first upstream of each stage's pool.
    let pools = stage.declarations.stages().map(|(_, stage)| stage.pool[0]);
    let firsts: Vec<usize> = pools.collect();
    for (position, each) in rules.iter().enumerate() {
        let first = firsts.contains(&position);
        let upstream = &stage.upstreams[&each.name];
        match scenario {
            Scenario::SlowUpstreams if first => {
                upstream.set_plan(plan(each, UpstreamFault::None, SLOWNESS));
            }
            Scenario::FastFailures if first => {
                upstream.set_plan(plan(each, UpstreamFault::Refuse, 1));
            }
            Scenario::SilentUpstreams if first => {
                upstream.set_plan(plan(each, UpstreamFault::Silent, 1));
            }
            Scenario::DeadUpstreams if first => drop(stage.upstreams.remove(&each.name)),
            Scenario::ZoneLost if each.zone == zone => drop(stage.upstreams.remove(&each.name)),
            _ => {}
        }
    }
    if matches!(scenario, Scenario::ZoneLost) {
        stage.fleet.daemons[0].kill();
        stage.fleet.daemons[3].kill();
    }
    Ok(())
}

fn report(scenario: Scenario, policy: &str, stage: &Stage, ended: &[EndedRequest]) -> String {
    let upstreams: Vec<&UpstreamStandIn> = stage.upstreams.values().collect();
    let tally = judge_replay(ended, &upstreams);
    let level = |each: &EndedRequest| stage.declarations.level_for(&each.line.request.labels);
    let quick: Vec<&EndedRequest> =
        ended.iter().filter(|each| level(each) == QUICK_LEVEL).collect();
    let attained = quick.iter().filter(|each| each.is_attained()).count();
    let quick_share = attained as f64 / quick.len() as f64 * 100.0;
    let share = f64::from(tally.attained) / f64::from(tally.all()) * 100.0;
    let calls: u64 = upstreams.iter().map(|upstream| upstream.calls()).sum();
    let useful: usize = ended
        .iter()
        .filter(|each| each.is_attained())
        .filter_map(|each| each.answer.as_ref())
        .map(|answer| answer.outcome.stages.len())
        .sum();
    let wasted = (1.0 - useful as f64 / calls as f64) * 100.0;
    let broken = tally.wrong + tally.doubled + tally.dishonest + tally.lost;
    let note = if broken > 0 { format!(" BROKEN PROMISES: {broken}") } else { String::new() };
    format!(
        "{:<17} {policy:<9} {share:>8.2} {quick_share:>8.2} {:>9} {:>7} {:>8} {:>7.2} {wasted:>8.1}{note}",
        scenario.to_string(),
        tally.refused,
        tally.failed,
        tally.unknown,
        calls as f64 / ended.len() as f64,
    )
}
