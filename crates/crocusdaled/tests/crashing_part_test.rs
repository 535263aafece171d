//! Requests with one prompt part that crashes every engine which begins to answer it, before real
//! daemons.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;
use platform_stand_ins::{IngressCaller, IngressRequest, PublishedFleet, WorkerStandIn};
use stand_ins::wait_for;
use tokio::task::JoinSet;

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);
/// The part that crashes engines.
const CRASHING_PART: u64 = 0xbad;
/// Number of engines.
const ENGINES: usize = 8;
/// Number of daemons.
const DAEMONS: usize = 4;
/// Time from a crash of an engine until another one takes its place.
const ABSENCE: Duration = Duration::from_millis(800);
/// Number of crashes, and the time of contact after them, from which few more sends are allowed.
const BOUND: (usize, Duration) = (5, Duration::from_secs(3));
/// Maximum number of sends after that.
const MAX_LATE_SENDS: usize = 3;
/// Interval between two sound requests, and between two with the crashing part.
const INTERVALS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// Sound requests, and how many of them were answered at the first try.
#[derive(Debug, Default)]
struct SoundCount {
    sent: AtomicUsize,
    answered: AtomicUsize,
}

impl SoundCount {
    fn share(&self) -> f64 {
        let sent = self.sent.load(Ordering::Relaxed);
        self.answered.load(Ordering::Relaxed) as f64 / sent.max(1) as f64
    }
}

/// A request with one of four first parts, which sound and crashing requests share.
fn request(attempt: &str, number: usize, crashing_part: Option<u64>) -> IngressRequest {
    let crashing = crashing_part.map(|part| format!("{part:x}:300,")).unwrap_or_default();
    let parts = format!("{:x}:300,{crashing}{:x}:100", 0x100 + number % 4, 0x10_0000 + number);
    IngressRequest::new("/digest/7", attempt)
        .field("x-pieces", "0")
        .field("x-token-usage", "1000,50")
        .field("x-prefix-hash", &parts)
}

fn start_engine(fleet: &mut PublishedFleet) -> Result<()> {
    let engine = WorkerStandIn::start(&format!("engine-{}", fleet.engine_workers.len()))?;
    engine.crash_on_part(CRASHING_PART);
    fleet.store.publish(engine.id(), &engine.entry("reader", "ready"));
    fleet.engine_workers.push(engine);
    Ok(())
}

/// Sends requests for `time`, and replaces engines that crash.
async fn run(
    fleet: &mut PublishedFleet,
    time: Duration,
    name: &str,
    has_crashing_part: bool,
) -> Result<Arc<SoundCount>> {
    let sound = Arc::new(SoundCount::default());
    let (start, mut calls, mut number) = (Instant::now(), JoinSet::new(), 0);
    let (mut next_sound, mut next_crashing) = (start, start);
    let mut crashed: Vec<(usize, Instant)> = Vec::new();
    while start.elapsed() < time {
        let now = Instant::now();
        if now >= next_sound {
            next_sound += INTERVALS.0;
            number += 1;
            let caller = fleet.daemons[number % DAEMONS].caller;
            let (sound, request) =
                (Arc::clone(&sound), request(&format!("{name}-{number}"), number, None));
            calls.spawn(async move {
                sound.sent.fetch_add(1, Ordering::Relaxed);
                let answer = IngressCaller::once(caller, &request).await;
                let is_whole =
                    answer.is_ok_and(|answer| answer.status == 200 && answer.is_complete);
                sound.answered.fetch_add(usize::from(is_whole), Ordering::Relaxed);
            });
        }
        if has_crashing_part && now >= next_crashing {
            next_crashing += INTERVALS.1;
            number += 1;
            let caller = fleet.daemons[number % DAEMONS].caller;
            let request = request(&format!("{name}-{number}"), number, Some(CRASHING_PART));
            calls.spawn(async move {
                let _ = IngressCaller::once(caller, &request).await;
            });
        }
        for (index, engine) in fleet.engine_workers.iter().enumerate() {
            let is_known = crashed.iter().any(|(known, _)| *known == index);
            if !engine.is_running() && !is_known {
                fleet.store.remove(engine.id());
                crashed.push((index, now));
            }
        }
        let live = fleet.engine_workers.iter().filter(|engine| engine.is_running()).count();
        let due = crashed.iter().filter(|(_, at)| now.duration_since(*at) >= ABSENCE).count();
        if live < ENGINES && fleet.engine_workers.len() < ENGINES + due {
            start_engine(fleet)?;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    while calls.join_next().await.is_some() {}
    Ok(sound)
}

/// Number of requests with the crashing part that engines have begun to run.
fn crashing_runs(fleet: &PublishedFleet) -> usize {
    let runs = fleet.engine_workers.iter().flat_map(WorkerStandIn::executed_requests);
    let part = format!(",{CRASHING_PART:x}:");
    runs.filter(|run| run.headers["x-prefix-hash"].to_str().is_ok_and(|text| text.contains(&part)))
        .count()
}

/// Guards against a part that crashes engine after engine at all daemons, and against the refusal of
/// the sound requests that share its workspace and the first parts.
#[tokio::test]
async fn crashing_part_is_stopped_at_all_daemons_and_sound_requests_go_on() -> Result<()> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let mut fleet = PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), DAEMONS).await?;
    for engine in &fleet.engine_workers {
        engine.crash_on_part(CRASHING_PART);
    }
    while fleet.engine_workers.len() < ENGINES {
        start_engine(&mut fleet)?;
    }
    let before = run(&mut fleet, Duration::from_secs(4), "before", false).await?;
    // Crashes until the bound begins, and the time of contact.
    let mut round = 0;
    while crashing_runs(&fleet) < BOUND.0 && round < 12 {
        run(&mut fleet, Duration::from_millis(500), &format!("crash-{round}"), true).await?;
        round += 1;
    }
    run(&mut fleet, BOUND.1, "contact", true).await?;
    let runs = crashing_runs(&fleet);
    assert!(runs >= 3, "only {runs} requests with the part were sent");
    let after = run(&mut fleet, Duration::from_secs(6), "after", true).await?;
    let late = crashing_runs(&fleet) - runs;
    assert!(late <= MAX_LATE_SENDS, "{late} late sends after {runs}");
    let (before, after) = (before.share(), after.share());
    assert!(after >= before / 2.0, "{after:.2} sound requests are answered, {before:.2} before");
    wait_for(SOON, "the log names the part", async || {
        let log: String = (0..DAEMONS).filter_map(|index| fleet.log(index).ok()).collect();
        log.contains("\"msg\":\"part_quarantined\"") && log.contains("\"part\":\"bad\"")
    })
    .await
}
