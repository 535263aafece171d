//! Real daemons that ask a placement coordinator for the engines of their requests.

use std::time::Duration;

use anyhow::Result;
use platform_stand_ins::{IngressCaller, IngressRequest, PublishedFleet, WorkerStandIn};
use serde_json::{Value, json};
use stand_ins::{CallerClient, wait_for};

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);
/// Number of daemons. Each engine has fewer slots.
const SIZE: usize = 4;
const RETRIES: u32 = 52;

/// A fleet in which the daemons for whose index `is_on` is true use placement.
async fn fleet(is_on: fn(usize) -> bool) -> Result<PublishedFleet> {
    let (binary, directory) = (env!("CARGO_BIN_EXE_crocusdaled"), env!("CARGO_TARGET_TMPDIR"));
    let scheduling = |index| {
        let is_on = if is_on(index) { "on" } else { "off" };
        format!("[scheduling]\ncoordination_min_daemons = 2\nengine_placement = {is_on}\n")
    };
    let fleet = PublishedFleet::start_scheduled(binary, directory, SIZE, RETRIES, scheduling);
    let fleet = fleet.await?;
    let mut configuration = fleet.configuration(2);
    configuration["services"][1]["engine"]["slots"] = json!(3);
    fleet.store.configure(&configuration);
    for index in 0..SIZE {
        wait_for(SOON, "the engines have few slots", async || {
            state(&fleet, index).await.is_ok_and(|state| state["revision"] == 2)
        })
        .await?;
    }
    Ok(fleet)
}

async fn state(fleet: &PublishedFleet, index: usize) -> Result<Value> {
    let (_, body) = CallerClient::new().get(fleet.daemons[index].operator, "/state").await?;
    Ok(serde_json::from_str(&body)?)
}

/// Sum of a counter over all daemons.
async fn counter(fleet: &PublishedFleet, name: &str) -> Result<f64> {
    let mut sum = 0.0;
    for daemon in &fleet.daemons {
        let (_, text) = CallerClient::new().get(daemon.operator, "/metrics").await?;
        let line = text.lines().find(|line| !line.starts_with('#') && line.contains(name));
        let value = line.and_then(|line| line.split_whitespace().last()).unwrap_or("0");
        sum += value.parse::<f64>()?;
    }
    Ok(sum)
}

/// Sends a request with `pieces` pieces for a batched pool to one of the daemons.
async fn send(fleet: &PublishedFleet, number: usize, pieces: u32) -> Result<()> {
    let request = IngressRequest::new("/digest/7", &format!("digest{number}"))
        .field("x-pieces", &pieces.to_string())
        .field("x-piece-key", "7c1e")
        .field("x-token-usage", "1000,50")
        .field("x-prefix-hash", "5c1e07a2:900,e4402b7d:100");
    let answer = IngressCaller::once(fleet.daemons[number % SIZE].caller, &request).await?;
    anyhow::ensure!(answer.status == 200 && answer.is_complete, "{}", answer.status);
    Ok(())
}

/// All daemons of the fleet use one coordinator, which knows the engines' speeds afterwards.
#[tokio::test]
async fn requests_of_all_daemons_are_placed() -> Result<()> {
    let fleet = fleet(|_| true).await?;
    for number in 0..40 {
        send(&fleet, number, 3).await?;
    }
    assert_eq!(counter(&fleet, "placements_used").await?, 40.0);
    let runs = fleet.engine_workers.iter().map(WorkerStandIn::executed_requests);
    assert_eq!(runs.map(|runs| runs.len()).sum::<usize>(), 40);
    let mut coordinators = 0;
    for index in 0..SIZE {
        let state = state(&fleet, index).await?;
        let speeds = state["engine_speeds"].as_array().cloned().unwrap_or_default();
        coordinators += usize::from(!speeds.is_empty());
        wait_for(SOON, "all requests are reported as ended", async || {
            let state = self::state(&fleet, index).await.unwrap_or_default();
            let speeds = state["engine_speeds"].as_array().cloned().unwrap_or_default();
            speeds.iter().all(|engine| engine["open"] == 0)
        })
        .await?;
    }
    assert_eq!(coordinators, 1);
    Ok(())
}

/// Guards against refusals while a fleet is replaced: daemons that do not know the call answer
/// UNIMPLEMENTED, as those do that have placement turned off.
#[tokio::test]
async fn daemons_without_the_call_cause_no_refusal() -> Result<()> {
    let fleet = fleet(|index| index == 0).await?;
    for number in 0..20 {
        send(&fleet, number, 3).await?;
    }
    let unplaced = counter(&fleet, "placement_fallbacks").await?;
    let placed = counter(&fleet, "placements_used").await?;
    assert_eq!(unplaced + placed, 5.0, "daemon 0 got five requests");
    Ok(())
}

/// Guards against refusals when the coordinator is killed in the middle of a run.
#[tokio::test]
async fn killed_coordinator_causes_no_refusal() -> Result<()> {
    let mut fleet = fleet(|_| true).await?;
    for number in 0..SIZE {
        send(&fleet, number, 3).await?;
    }
    let mut coordinator = None;
    for index in 0..SIZE {
        let state = state(&fleet, index).await?;
        if state["engine_speeds"].as_array().is_some_and(|speeds| !speeds.is_empty()) {
            coordinator = Some(index);
        }
    }
    let coordinator = coordinator.expect("one daemon coordinates");
    fleet.daemons[coordinator].process.kill();
    for number in (0..40).filter(|number| number % SIZE != coordinator) {
        // Without pieces, because the killed daemon may have been the dispatcher of the batched pool.
        send(&fleet, 100 + number, 0).await?;
    }
    Ok(())
}
