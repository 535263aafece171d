//! An availability zone that the operator evacuates, before real daemons.

use std::time::Duration;

use anyhow::Result;
use platform_stand_ins::{IngressCaller, IngressRequest, PublishedFleet, WorkerStandIn};
use stand_ins::wait_for;

/// Time from the request to evacuate a zone to the last request that may reach its upstreams.
const EVACUATION_BOUND: Duration = Duration::from_millis(5_000);
/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);

/// Three daemons, and upstreams of which the first of each pool stands in zone `b`.
async fn fleet() -> Result<PublishedFleet> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let fleet = PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), 3).await?;
    for (service, workers) in fleet.services() {
        let mut entry = workers[0].entry(service, "ready");
        entry["zone"] = "b".into();
        fleet.store.publish(workers[0].id(), &entry);
    }
    Ok(fleet)
}

/// Sends idempotent requests, at-most-once requests and streams with pieces to every daemon at one time.
async fn send_all(fleet: &PublishedFleet) {
    let mut calls = tokio::task::JoinSet::new();
    for daemon in &fleet.daemons {
        for path in ["/ask/7", "/shred/7", "/digest/7", "/digest/8"] {
            let prompt = rand::random::<u32>();
            let request = IngressRequest::new(path, &format!("{:x}", rand::random::<u64>()))
                .field("x-pieces", "3")
                .field("x-piece-key", "7c1e")
                .field("x-token-usage", "1000,50")
                .field("x-prefix-hash", &format!("5c1e07a2:900,{prompt:08x}:100"));
            let caller = daemon.caller;
            calls.spawn(async move { IngressCaller::once(caller, &request).await.is_ok() });
        }
    }
    calls.join_all().await;
}

/// Requests, streams and calls for pieces that upstreams in zone `b` have seen.
fn seen_in_zone(fleet: &PublishedFleet) -> usize {
    let first = fleet.services().map(|(_, workers)| &workers[0]);
    first
        .iter()
        .map(|worker: &&WorkerStandIn| {
            worker.executed_requests().len() + worker.batch_sizes().len()
        })
        .sum()
}

/// Guards against requests to the upstreams of a zone that was evacuated.
#[tokio::test]
async fn evacuated_zone_gets_nothing_until_it_is_opened() -> Result<()> {
    let fleet = fleet().await?;
    wait_for(SOON, "zone b is called", async || {
        send_all(&fleet).await;
        fleet.services().iter().all(|(_, workers)| {
            !workers[0].executed_requests().is_empty() || !workers[0].batch_sizes().is_empty()
        })
    })
    .await?;
    fleet.store.set_evacuated("b", true);
    tokio::time::sleep(EVACUATION_BOUND).await;
    let before = seen_in_zone(&fleet);
    for _ in 0..5 {
        send_all(&fleet).await;
    }
    assert_eq!(seen_in_zone(&fleet), before, "sent to an evacuated zone");
    fleet.store.set_evacuated("b", false);
    wait_for(SOON, "zone b is called again", async || {
        send_all(&fleet).await;
        seen_in_zone(&fleet) > before
    })
    .await
}
