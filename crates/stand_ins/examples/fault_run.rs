//! Replays a deployment's trace twice, without and with faults: `fault_run DIRECTORY [--seed N]
//! [--speed FACTOR]`.
//!
//! Kills, freezes, drains, cuts, silent connections, wrong upstreams and outages of the platform
//! are drawn from the printed seed. Callers behave as they are told to: they ask for addresses,
//! send repeatable work again elsewhere, and ask what became of the rest. The run fails if any
//! answer is wrong, any order ran twice, any refusal is dishonest, or any request is lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, ensure};
use crocusdale_core::configuration::Declarations;
use crocusdale_core::pipeline::{OutcomeKind, SubmittedRequest};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use serde::Deserialize;
use stand_ins::{
    CallerAnswer, CallerClient, DaemonFleet, DaemonFleetBuilder, PlatformMode, UpstreamFault,
    UpstreamPlan, UpstreamStandIn,
};
use tokio::task::JoinSet;

/// Pause between two faults.
const FAULT_PACE: Duration = Duration::from_millis(1_500);
/// Time for which a caller goes on asking what became of an order, beyond its deadline.
const RESOLVE_TIME: Duration = Duration::from_secs(6);
/// Pause of a caller before it asks or sends again.
const RETRY_PACE: Duration = Duration::from_millis(200);
/// Time that a fault lasts, in milliseconds.
const FAULT_MILLIS: std::ops::Range<u64> = 300..2_500;

#[derive(Clone, Deserialize)]
struct TraceLine {
    at_ms: f64,
    request: SubmittedRequest,
    contains: String,
}

/// How one request ended for its caller.
struct Ended {
    line: TraceLine,
    answer: Option<CallerAnswer>,
    in_time: bool,
}

/// What a run counted.
#[derive(Debug, Default)]
struct Tally {
    answered: u32,
    attained: u32,
    refused: u32,
    failed: u32,
    unknown: u32,
    wrong: u32,
    doubled: u32,
    dishonest: u32,
    lost: u32,
}

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

    let calm = replay(&trace, fleet.callers(), "calm").await;
    let calm = judge(&calm, &upstreams);
    println!("without faults: {calm:?}");
    let callers = fleet.callers();
    let replaying = tokio::spawn(async move { replay(&trace, callers, "faults").await });
    let faults = inject(&mut fleet, &upstreams, seed, || replaying.is_finished()).await?;
    let rough = judge(&replaying.await?, &upstreams);
    println!("with {faults} faults: {rough:?}");
    let share = |tally: &Tally| f64::from(tally.attained) / f64::from(tally.all()) * 100.0;
    println!("attainment {:.2}% without, {:.2}% with faults", share(&calm), share(&rough));
    for tally in [&calm, &rough] {
        let broken = tally.wrong + tally.doubled + tally.dishonest + tally.lost;
        ensure!(broken == 0, "a promise was broken: {tally:?}");
    }
    Ok(())
}

impl Tally {
    fn all(&self) -> u32 {
        self.answered + self.refused + self.failed + self.unknown + self.lost
    }
}

fn read_trace(path: &Path, speed: f64) -> Result<Vec<TraceLine>> {
    let text = std::fs::read_to_string(path)?;
    let read = |line: &str| {
        let mut line: TraceLine = serde_json::from_str(line)?;
        line.at_ms /= speed;
        Ok(line)
    };
    text.lines().map(read).collect()
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

async fn replay(trace: &[TraceLine], daemons: Vec<SocketAddr>, name: &str) -> Vec<Ended> {
    let (start, daemons) = (Instant::now(), Arc::new(daemons));
    let mut calls = JoinSet::new();
    for (number, line) in trace.iter().enumerate() {
        let mut line = line.clone();
        let key = format!("{}.{name}", line.request.key);
        line.contains = line.contains.replace(&line.request.key, &key);
        line.request.key = key;
        let due = start + Duration::from_secs_f64(line.at_ms / 1e3);
        tokio::time::sleep_until(due.into()).await;
        let daemons = Arc::clone(&daemons);
        calls.spawn(async move { one_caller(number, line, &daemons).await });
    }
    calls.join_all().await
}

/// Sends a request and, if no final answer comes, does what callers are told to do.
async fn one_caller(number: usize, line: TraceLine, daemons: &[SocketAddr]) -> Ended {
    let client = CallerClient::new();
    let start = Instant::now();
    let deadline = Duration::from_millis(line.request.deadline_ms);
    let mut answer = None;
    for attempt in 0.. {
        let age = start.elapsed();
        let left = deadline.saturating_sub(age);
        let address = address(&client, number + attempt, daemons).await;
        let once = !line.request.repeatable;
        let over = if once { age > deadline + RESOLVE_TIME } else { left.is_zero() };
        if over {
            break;
        }
        let mut request = line.request.clone();
        request.deadline_ms = u64::try_from(left.as_millis()).unwrap_or(1).max(1);
        request.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let reply = if once && left.is_zero() {
            ask(&client, address, &request).await
        } else {
            send(&client, address, &request, left).await
        };
        let final_answer = reply.ok();
        let again = match &final_answer {
            None => true,
            Some(reply) => reply.kind() == OutcomeKind::Unknown || is_busy(reply),
        };
        answer = final_answer.or(answer);
        if !again {
            break;
        }
        tokio::time::sleep(RETRY_PACE).await;
    }
    Ended { line, answer, in_time: start.elapsed() <= deadline }
}

/// Whether a refusal says that the same request may be sent again.
fn is_busy(reply: &CallerAnswer) -> bool {
    reply.kind() == OutcomeKind::Refused && reply.outcome.same_key == Some(true)
}

/// Asks the daemons in turn for an address, starting with another one each time.
async fn address(client: &CallerClient, number: usize, daemons: &[SocketAddr]) -> SocketAddr {
    for step in 0..daemons.len() {
        let daemon = daemons[(number + step) % daemons.len()];
        let path = format!("/v1/addresses?caller=c{number}");
        let asked = client.get(daemon, &path);
        let asked = tokio::time::timeout(RETRY_PACE, asked).await;
        if let Ok(Ok((200, body))) = asked
            && let Ok(reply) = serde_json::from_str::<serde_json::Value>(&body)
            && let Some(first) = reply["addresses"][0].as_str().and_then(|text| text.parse().ok())
        {
            return first;
        }
    }
    daemons[number % daemons.len()]
}

async fn send(
    client: &CallerClient,
    address: SocketAddr,
    request: &SubmittedRequest,
    left: Duration,
) -> Result<CallerAnswer> {
    let call = client.post(address, serde_json::to_string(request)?);
    tokio::time::timeout(left.max(RETRY_PACE), call).await?
}

async fn ask(
    client: &CallerClient,
    address: SocketAddr,
    request: &SubmittedRequest,
) -> Result<CallerAnswer> {
    let (workspace, key, age) = (&request.workspace, &request.key, request.age_ms);
    let path = format!("/v1/outcomes?workspace={workspace}&key={key}&age_ms={age}");
    let (status, body) =
        tokio::time::timeout(Duration::from_secs(3), client.get(address, &path)).await??;
    Ok(CallerAnswer { status, pieces: Vec::new(), outcome: serde_json::from_str(&body)? })
}

fn judge(ended: &[Ended], upstreams: &[UpstreamStandIn]) -> Tally {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for (key, count) in upstreams.iter().flat_map(UpstreamStandIn::all_runs) {
        *runs.entry(key).or_default() += count;
    }
    let mut tally = Tally::default();
    for each in ended {
        let request = &each.line.request;
        let ran = runs.get(&format!("{}/{}", request.workspace, request.key)).copied();
        let ran = ran.unwrap_or_default();
        let once = !request.repeatable;
        tally.doubled += u32::from(once && ran > 1);
        let Some(answer) = &each.answer else {
            tally.lost += u32::from(once);
            tally.failed += u32::from(!once);
            continue;
        };
        match answer.kind() {
            OutcomeKind::Answered => {
                tally.answered += 1;
                tally.attained += u32::from(each.in_time);
                tally.wrong += u32::from(!answer.text().contains(&each.line.contains));
            }
            OutcomeKind::Refused => {
                tally.refused += 1;
                // A repeatable request may have run for an earlier try of its caller.
                tally.dishonest += u32::from(once && ran > 0);
            }
            OutcomeKind::Failed => tally.failed += 1,
            OutcomeKind::Unknown => tally.unknown += 1,
        }
    }
    tally
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
