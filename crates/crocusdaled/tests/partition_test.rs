//! Daemons lose one another, freeze and come back.

mod common;

use std::time::{Duration, Instant};

use anyhow::Result;
use common::{SOON, Upstreams, deployment, fleet};
use crocusdale_core::pipeline::OutcomeKind;
use stand_ins::{CallerClient, DaemonFleet, DeclarationText, RequestBuilder, wait_for};

/// Number of peers that each daemon sees alive.
async fn alive(fleet: &DaemonFleet) -> Vec<usize> {
    let client = CallerClient::new();
    let mut counts = Vec::new();
    for daemon in &fleet.daemons {
        let state = client.state(daemon.operator).await.unwrap_or_default();
        let members = state["members"].as_array().cloned().unwrap_or_default();
        counts.push(members.iter().filter(|member| member["status"] == "alive").count());
    }
    counts
}

async fn answers_everywhere(fleet: &DaemonFleet, name: &str) -> Result<()> {
    let client = CallerClient::new();
    for (index, address) in fleet.callers().into_iter().enumerate() {
        let request = RequestBuilder::new(&format!("{name}-{index}"), "read");
        let answer = client.submit(address, &request).await?;
        assert_eq!(answer.kind(), OutcomeKind::Answered, "{answer:?}");
    }
    Ok(())
}

// Three daemons are cut off from the three others, healed, and cut off again, while callers reach
// all six. Work that may repeat goes on everywhere, and all agree on who is alive soon after each heal.
#[tokio::test]
async fn three_cut_from_three_twice() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let fleet = fleet(6).relays().configuration(text).start().await?;
    for round in 0..2 {
        fleet.isolate(&[0, 1, 2], true);
        wait_for(SOON, "the cut is noticed", async || alive(&fleet).await == [2; 6]).await?;
        answers_everywhere(&fleet, &format!("cut-{round}")).await?;
        fleet.isolate(&[0, 1, 2], false);
        let start = Instant::now();
        wait_for(SOON, "all agree", async || alive(&fleet).await == [5; 6]).await?;
        println!("membership agrees {:?} after heal {round}", start.elapsed());
        answers_everywhere(&fleet, &format!("healed-{round}")).await?;
    }
    Ok(())
}

// Connections between daemons go silent for good while new ones work. Heartbeats must flow again
// on new connections without anyone's help.
#[tokio::test]
async fn connections_between_daemons_go_silent() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let fleet = fleet(3).relays().configuration(text).start().await?;
    wait_for(SOON, "all agree", async || alive(&fleet).await == [2; 3]).await?;
    fleet.silence_links();
    fleet
        .platform
        .publish(2, upstreams.declare(DeclarationText::default().silence_ms(900)).build());
    wait_for(SOON, "news flows again", async || {
        let client = CallerClient::new();
        let mut all = true;
        for daemon in &fleet.daemons {
            let state = client.state(daemon.operator).await.unwrap_or_default();
            all &= state["revision"] == 2;
        }
        all && alive(&fleet).await == [2; 3]
    })
    .await
}

// A daemon is frozen for longer than its peers wait. They take it for unreachable and leave it
// out of their address answers; it wakes up, refutes, and all agree again.
#[tokio::test]
async fn frozen_daemon_is_left_out_and_taken_back() -> Result<()> {
    let (_upstreams, fleet) = deployment(6).await?;
    let client = CallerClient::new();
    let frozen = fleet.daemons[3].caller.to_string();
    let named = async || {
        let answer = client.get(fleet.daemons[0].caller, "/v1/addresses").await;
        answer.is_ok_and(|(_, body)| body.contains(&frozen))
    };
    wait_for(SOON, "all agree", async || alive(&fleet).await == [5; 6]).await?;
    assert!(named().await);
    fleet.daemons[3].signal("STOP")?;
    wait_for(SOON, "it is left out", async || !named().await).await?;
    fleet.daemons[3].signal("CONT")?;
    wait_for(SOON, "it is taken back", async || named().await).await?;
    wait_for(Duration::from_secs(20), "all agree", async || alive(&fleet).await == [5; 6]).await
}
