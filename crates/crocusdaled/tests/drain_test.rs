//! A graceful shutdown cuts off no request.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use anyhow::{Context as _, Result};
use common::{SOON, Upstreams, deployment, fleet};
use crocusdale_core::pipeline::OutcomeKind;
use serde_json::Value;
use stand_ins::{
    CallerClient, DaemonFleet, DeclarationText, RequestBuilder, UpstreamPlan, wait_for,
};
use tokio::task::JoinSet;

/// Time that a drain may take under load.
const DRAIN_PATIENCE: Duration = Duration::from_secs(15);

/// Time for which callers keep an address answer in these tests.
const ADDRESS_HOLD: Duration = Duration::from_millis(500);

/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(30);

/// A caller that asks for addresses, keeps the answer for as long as it may, and sends requests
/// until it is told to stop. Gives the number of requests that were answered whole.
async fn steady_caller(
    name: usize,
    entries: Vec<std::net::SocketAddr>,
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU32>,
) -> Result<u32> {
    let client = CallerClient::new();
    let (mut address, mut until) = (None, tokio::time::Instant::now());
    let mut answered = 0;
    while !stop.load(Ordering::Relaxed) {
        if address.is_none() || tokio::time::Instant::now() >= until {
            let mut reply = None;
            for entry in &entries {
                let path = format!("/v1/addresses?caller=c{name}");
                if let Ok((200, body)) = client.get(*entry, &path).await {
                    reply = Some(serde_json::from_str::<Value>(&body)?);
                    break;
                }
            }
            let reply = reply.context("no daemon answers")?;
            let hold = Duration::from_millis(reply["hold_ms"].as_u64().context("hold_ms")?);
            until = tokio::time::Instant::now() + hold;
            address = Some(reply["addresses"][0].as_str().context("an address")?.parse()?);
        }
        let number = sent.fetch_add(1, Ordering::Relaxed);
        let request = RequestBuilder::new(&format!("k-{name}-{number}"), "read");
        let answer = client.submit(address.context("an address")?, &request).await;
        let answer = answer.with_context(|| format!("request {number} was cut off"))?;
        anyhow::ensure!(answer.kind() == OutcomeKind::Answered, "{answer:?}");
        answered += 1;
        // Callers that are idle for moments let a daemon without a window end too early.
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    Ok(answered)
}

/// Runs steady callers while `replace` replaces daemons; all of their requests must be answered.
async fn under_load(
    fleet: &mut DaemonFleet,
    replace: impl AsyncFnOnce(&mut DaemonFleet) -> Result<()>,
) -> Result<()> {
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let mut callers = JoinSet::new();
    for name in 0..8 {
        callers.spawn(steady_caller(name, fleet.callers(), stop.clone(), sent.clone()));
    }
    let replaced = replace(fleet).await;
    stop.store(true, Ordering::Relaxed);
    let answered: Result<Vec<u32>> = callers.join_all().await.into_iter().collect();
    let answered: u32 = answered?.iter().sum();
    println!("{answered} requests answered whole while daemons were replaced");
    assert!(answered > 0 && answered == sent.load(Ordering::Relaxed));
    replaced
}

async fn replace(fleet: &mut DaemonFleet, indices: &[usize]) -> Result<()> {
    for index in indices {
        fleet.daemons[*index].signal("TERM")?;
    }
    for index in indices {
        let code = fleet.daemons[*index].wait_exit(DRAIN_PATIENCE).await?;
        assert_eq!(code, Some(0));
    }
    // Whoever still held an address of theirs would be refused a connection now.
    tokio::time::sleep(2 * ADDRESS_HOLD).await;
    for index in indices {
        fleet.launch(*index)?;
    }
    fleet.wait_ready().await
}

// Daemons are replaced one after another, then two at once, while callers hold addresses that
// still name them. No request is cut off or refused for that.
#[tokio::test]
async fn daemons_replaced_under_load() -> Result<()> {
    let (_upstreams, mut fleet) = deployment(6).await?;
    under_load(&mut fleet, async |fleet| {
        for index in 0..3 {
            replace(fleet, &[index]).await?;
        }
        replace(fleet, &[3, 4]).await
    })
    .await
}

// A daemon with a long stream open is asked to drain, twice and in two ways. The stream goes on
// for long after everything else has ended; it ends whole, and then the daemon exits.
#[tokio::test]
async fn stream_outlives_drain_that_is_asked_for_twice() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = DeclarationText::default().longest_deadline_ms(9_500).key_life_ms(10_000);
    let mut fleet = fleet(3).configuration(upstreams.declare(text).build()).start().await?;
    for upstream in &upstreams.generate {
        let plan = UpstreamPlan { pieces: 32, piece_ms: 200, ..UpstreamPlan::default() };
        upstream.set_plan(plan);
    }
    let address = fleet.daemons[0].caller;
    let request = RequestBuilder::new("long", "read").deadline_ms(9_500).stream();
    let stream = tokio::spawn(async move { CallerClient::new().submit(address, &request).await });
    wait_for(SOON, "the stream runs", async || {
        upstreams.generate.iter().any(|upstream| upstream.calls() > 0)
    })
    .await?;
    fleet.daemons[0].signal("TERM")?;
    fleet.daemons[0].signal("INT")?;
    let answer = stream.await??;
    assert_eq!((answer.kind(), answer.pieces.len()), (OutcomeKind::Answered, 32), "{answer:?}");
    assert_eq!(fleet.daemons[0].wait_exit(DRAIN_PATIENCE).await?, Some(0));
    Ok(())
}

// A daemon is killed in the middle of its drain. That costs what it was working on, and nothing
// at the other daemons.
#[tokio::test]
async fn kill_during_drain_costs_only_that_daemon() -> Result<()> {
    let (_upstreams, mut fleet) = deployment(3).await?;
    fleet.daemons[0].signal("TERM")?;
    fleet.daemons[0].kill();
    let client = CallerClient::new();
    for address in fleet.callers() {
        let answer = client.submit(address, &RequestBuilder::new("k", "read")).await?;
        assert_eq!(answer.kind(), OutcomeKind::Answered);
    }
    let addresses = client.get(fleet.daemons[1].caller, "/v1/addresses").await?.1;
    assert!(!addresses.contains(&fleet.daemons[0].caller.to_string()) || addresses.len() > 30);
    Ok(())
}
