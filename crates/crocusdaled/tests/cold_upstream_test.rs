//! Model engines that have just started and take few requests a second, before real daemons.

use std::time::{Duration, Instant};

use anyhow::Result;
use platform_stand_ins::{IngressCaller, IngressRequest, PublishedFleet, WorkerStandIn};
use serde_json::json;
use stand_ins::wait_for;
use tokio::task::JoinSet;

/// Requests a second that a cold engine takes from all daemons.
const COLD_RATE: usize = 4;
/// Time for which an engine is cold.
const COLD_START: Duration = Duration::from_secs(4);
/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);

/// Three daemons before two engines that are cold after their start.
async fn fleet() -> Result<PublishedFleet> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let fleet = PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), 3).await?;
    let mut configuration = fleet.configuration(2);
    configuration["services"][1]["coldStartS"] = json!(COLD_START.as_secs_f64());
    configuration["services"][1]["coldPerS"] = json!(COLD_RATE);
    fleet.store.configure(&configuration);
    Ok(fleet)
}

/// Sends streams to all daemons at one time, each about another subject.
async fn send_streams(fleet: &PublishedFleet, count: usize) {
    let mut calls = JoinSet::new();
    for number in 0..count {
        let prompt = rand::random::<u32>();
        let request = IngressRequest::new("/digest/7", &format!("{:x}", rand::random::<u64>()))
            .field("x-pieces", "1")
            .field("x-piece-key", "7c1e")
            .field("x-token-usage", "1000,50")
            .field("x-prefix-hash", &format!("{prompt:08x}:900,{prompt:08x}:100"));
        let caller = fleet.daemons[number % fleet.daemons.len()].caller;
        calls.spawn(async move { IngressCaller::once(caller, &request).await.is_ok() });
    }
    calls.join_all().await;
}

/// Guards against all daemons choosing an engine that has just started at one time: it crashes.
#[tokio::test]
async fn engine_that_has_started_gets_few_requests() -> Result<()> {
    let fleet = fleet().await?;
    wait_for(SOON, "both engines are called", async || {
        send_streams(&fleet, 12).await;
        fleet.engine_workers.iter().all(|engine| !engine.executed_requests().is_empty())
    })
    .await?;
    // Daemons that have started of late send nothing to cold engines.
    tokio::time::sleep(COLD_START).await;
    let started = WorkerStandIn::start("engine-new")?;
    let mut entry = started.entry("reader", "ready");
    entry["coldLeftMs"] = json!(COLD_START.as_millis() as u64);
    fleet.store.publish(started.id(), &entry);
    let since = Instant::now();
    let mut gets = Vec::new();
    while since.elapsed() < COLD_START - Duration::from_secs(1) {
        let before = started.executed_requests().len();
        let second = Instant::now();
        while second.elapsed() < Duration::from_millis(900) {
            send_streams(&fleet, 30).await;
        }
        gets.push(started.executed_requests().len() - before);
    }
    assert!(gets.iter().all(|count| *count <= COLD_RATE), "within 0.9 s each: {gets:?}");
    assert!(gets.iter().sum::<usize>() > 0, "it is of no use to anybody");
    wait_for(SOON, "a warm engine gets its part", async || {
        let before = started.executed_requests().len();
        send_streams(&fleet, 30).await;
        started.executed_requests().len() > before + COLD_RATE
    })
    .await
}
