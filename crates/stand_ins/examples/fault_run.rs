//! Replays a deployment's trace twice, without and with faults: `fault_run DIRECTORY [--seed N]
//! [--speed FACTOR]`.
//!
//! Kills, freezes, drains, cuts, silent connections, wrong upstreams and outages of the platform
//! are drawn from the printed seed. Callers behave as they are told to: they ask for addresses,
//! send repeatable work again elsewhere, and ask what became of the rest. The run fails if any
//! answer is wrong, any order ran twice, any refusal is dishonest, or any request is lost.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result, ensure};
use crocusdale_core::configuration::Declarations;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use stand_ins::{
    DaemonFleet, DaemonFleetBuilder, PlatformMode, ReplayTally, UpstreamFault, UpstreamPlan,
    UpstreamStandIn, judge_replay, read_trace, replay_trace,
};

/// Pause between two faults.
const FAULT_PACE: Duration = Duration::from_millis(1_500);
/// Time that a fault lasts, in milliseconds.
const FAULT_MILLIS: std::ops::Range<u64> = 300..2_500;

#[tokio::main]
async fn main() -> Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or_else(rand::random);
    let speed: f64 = arguments.opt_value_from_str("--speed")?.unwrap_or(0.5);
    let directory: PathBuf = arguments.free_from_str().context("usage: fault_run DIRECTORY")?;
    println!("{} seed {seed}", directory.display());
    let text = std::fs::read_to_string(directory.join("declarations.ini"))?;
    let declarations = Declarations::check("declarations.ini", &text)
        .map_err(|errors| anyhow::anyhow!("{}", errors[0]))?;
    let trace = read_trace(&directory.join("ordinary_day.jsonl"), speed)?;
    let upstreams = start_upstreams(&declarations)?;
    let mut fleet = start_fleet(&declarations, text).await?;
    fleet.wait_for_witnesses(declarations.deployment().key_life).await;

    let calm = replay_trace(&trace, fleet.callers(), "calm").await;
    let all: Vec<&UpstreamStandIn> = upstreams.iter().collect();
    let calm = judge_replay(&calm, &all);
    println!("without faults: {calm:?}");
    let callers = fleet.callers();
    let replaying = tokio::spawn(async move { replay_trace(&trace, callers, "faults").await });
    let faults = inject(&mut fleet, &upstreams, seed, || replaying.is_finished()).await?;
    let rough = judge_replay(&replaying.await?, &all);
    println!("with {faults} faults: {rough:?}");
    let share = |tally: &ReplayTally| f64::from(tally.attained) / f64::from(tally.all()) * 100.0;
    println!("attainment {:.2}% without, {:.2}% with faults", share(&calm), share(&rough));
    for tally in [&calm, &rough] {
        let broken = tally.wrong + tally.doubled + tally.dishonest + tally.lost;
        ensure!(broken == 0, "a promise was broken: {tally:?}");
    }
    Ok(())
}

fn start_upstreams(declarations: &Declarations) -> Result<Vec<UpstreamStandIn>> {
    let start = |rules: &crocusdale_core::configuration::UpstreamRules| {
        let upstream = UpstreamStandIn::start(&rules.name, rules.address)?;
        upstream.set_plan(plan(&rules.name, UpstreamFault::None));
        Ok(upstream)
    };
    declarations.upstreams().iter().map(start).collect()
}

fn plan(name: &str, fault: UpstreamFault) -> UpstreamPlan {
    let (service_ms, piece_ms) = if name.contains("generate") { (60, 5) } else { (10, 0) };
    UpstreamPlan { service_ms, pieces: 16, piece_ms, fault }
}

async fn start_fleet(declarations: &Declarations, text: String) -> Result<DaemonFleet> {
    let bin = std::env::current_exe()?;
    let bin = bin.parent().context("no folder")?;
    let mut zones: Vec<String> = Vec::new();
    for upstream in declarations.upstreams() {
        if !zones.contains(&upstream.zone) {
            zones.push(upstream.zone.clone());
        }
    }
    let binary = bin.join("../crocusdaled");
    let work = std::env::temp_dir();
    DaemonFleetBuilder::new(&binary.to_string_lossy(), &work.to_string_lossy())
        .zones(zones)
        .relays()
        .configuration(text)
        .start()
        .await
}

/// Draws faults until `finished`; gives their number.
async fn inject(
    fleet: &mut DaemonFleet,
    upstreams: &[UpstreamStandIn],
    seed: u64,
    finished: impl Fn() -> bool,
) -> Result<u32> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = 0;
    while !finished() {
        let length = Duration::from_millis(random.random_range(FAULT_MILLIS));
        let daemon = random.random_range(0..fleet.daemons.len());
        let kind = random.random_range(0..8);
        let side: Vec<usize> = (0..fleet.daemons.len()).filter(|_| random.random()).collect();
        let wrong = [
            UpstreamFault::Silent,
            UpstreamFault::Cut,
            UpstreamFault::ForeignId,
            UpstreamFault::Refuse,
            UpstreamFault::WrongTail,
        ];
        let fault = *wrong.choose(&mut random).context("a fault")?;
        let upstream = upstreams.choose(&mut random).context("an upstream")?;
        match kind {
            0 => fleet.daemons[daemon].kill(),
            1 => fleet.daemons[daemon].signal("STOP")?,
            2 => fleet.daemons[daemon].signal("TERM")?,
            3 => fleet.isolate(&side, true),
            4 => fleet.silence_links(),
            5 => fleet.platform.set_mode(PlatformMode::Down),
            6 => upstream.set_plan(plan(upstream.name(), fault)),
            _ => {
                fleet.daemons[daemon].kill();
                fleet.daemons[(daemon + 1) % 6].signal("STOP")?;
                fleet.isolate(&side, true);
            }
        }
        faults += 1;
        tokio::time::sleep(length).await;
        match kind {
            0 => fleet.launch(daemon)?,
            1 => fleet.daemons[daemon].signal("CONT")?,
            2 => {
                fleet.daemons[daemon].wait_exit(Duration::from_secs(30)).await?;
                fleet.launch(daemon)?;
            }
            3 => fleet.isolate(&side, false),
            5 => fleet.platform.set_mode(PlatformMode::Up),
            6 => upstream.set_plan(plan(upstream.name(), UpstreamFault::None)),
            7 => {
                fleet.isolate(&side, false);
                fleet.daemons[(daemon + 1) % 6].signal("CONT")?;
                fleet.launch(daemon)?;
            }
            _ => {}
        }
        tokio::time::sleep(FAULT_PACE).await;
    }
    Ok(faults)
}
