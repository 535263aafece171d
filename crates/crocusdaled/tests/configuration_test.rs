//! A configuration is in force everywhere within seconds, and never goes back.

mod common;

use std::time::{Duration, Instant};

use anyhow::Result;
use common::{SOON, Upstreams, fleet};
use stand_ins::{CallerClient, DaemonFleet, DeclarationText, PlatformMode, wait_for};

/// Time within which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);

fn text(upstreams: &Upstreams, hold_ms: u64) -> String {
    let text = upstreams.declare(DeclarationText::default()).build();
    text.replace("address_hold_ms = 500", &format!("address_hold_ms = {hold_ms}"))
}

/// Revisions and digests in force in all daemons that run.
async fn positions(fleet: &DaemonFleet) -> Vec<(u64, String)> {
    let client = CallerClient::new();
    let mut positions = Vec::new();
    for daemon in fleet.daemons.iter().filter(|daemon| daemon.id().is_ok()) {
        if let Ok(state) = client.state(daemon.operator).await {
            let digest = state["digest"].as_str().unwrap_or_default().to_owned();
            positions.push((state["revision"].as_u64().unwrap_or_default(), digest));
        }
    }
    positions
}

async fn wait_revision(fleet: &DaemonFleet, revision: u64) -> Result<()> {
    wait_for(IN_FORCE, &format!("revision {revision} is in force everywhere"), async || {
        positions(fleet).await.iter().all(|(each, _)| *each == revision)
    })
    .await
}

// An operator publishes a change. It must be in force in all six daemons within seconds, while
// the service sees far fewer reads than daemons times looks.
#[tokio::test]
async fn change_is_in_force_everywhere_within_seconds() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let fleet = fleet(6).configuration(text(&upstreams, 500)).start().await?;
    for revision in 2..6 {
        fleet.platform.publish(revision, text(&upstreams, 500 + revision));
        let start = Instant::now();
        wait_revision(&fleet, revision).await?;
        println!("revision {revision} in force in six daemons after {:?}", start.elapsed());
    }
    Ok(())
}

// A stale replica of the configuration service shows an older revision, and a daemon is replaced
// meanwhile. Neither the old daemons nor the fresh one may act on the older revision.
#[tokio::test]
async fn stale_service_reverts_nobody() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let mut fleet = fleet(6).configuration(text(&upstreams, 500)).start().await?;
    fleet.platform.publish(7, text(&upstreams, 700));
    wait_revision(&fleet, 7).await?;
    fleet.platform.publish(3, text(&upstreams, 300));
    fleet.daemons[2].kill();
    fleet.launch(2)?;
    let client = CallerClient::new();
    let operator = fleet.daemons[2].operator;
    // From its first answer as a ready daemon on, the fresh one acts on revision 7.
    wait_for(SOON, "the fresh daemon is ready", async || {
        client.get(operator, "/ready").await.is_ok_and(|(status, _)| status == 200)
    })
    .await?;
    for (revision, _) in positions(&fleet).await {
        assert_eq!(revision, 7);
    }
    Ok(())
}

// A broken revision is published. Every daemon keeps the last accepted one and shows the errors;
// the next right revision comes into force.
#[tokio::test]
async fn broken_revision_changes_nothing() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let fleet = fleet(6).configuration(text(&upstreams, 500)).start().await?;
    fleet.platform.publish(2, text(&upstreams, 500).replace("[stage encode]", "[stge encode]"));
    let client = CallerClient::new();
    wait_for(IN_FORCE, "a daemon shows the rejected revision", async || {
        let state = client.state(fleet.daemons[0].operator).await;
        state.is_ok_and(|state| state["rejected_revision"] == 2 && state["revision"] == 1)
    })
    .await?;
    let state = client.state(fleet.daemons[0].operator).await?;
    assert!(state["rejected_errors"][0].as_str().is_some_and(|error| error.contains("stge")));
    fleet.platform.publish(3, text(&upstreams, 600));
    wait_revision(&fleet, 3).await
}

// The service is down for long, comes back with news, goes silent, and comes back again. Daemons
// go on with what they have, and take the news each time.
#[tokio::test]
async fn service_down_and_silent() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let mut fleet = fleet(6).configuration(text(&upstreams, 500)).start().await?;
    fleet.platform.set_mode(PlatformMode::Down);
    fleet.daemons[4].kill();
    fleet.launch(4)?;
    // The fresh daemon can't read the VM list, so it can't serve; the others go on.
    let others: Vec<u64> = positions(&fleet).await.iter().map(|(revision, _)| *revision).collect();
    assert!(others.iter().filter(|revision| **revision == 1).count() >= 5, "{others:?}");
    fleet.platform.publish(2, text(&upstreams, 600));
    fleet.platform.set_mode(PlatformMode::Up);
    wait_for(SOON, "revision 2 after the outage", async || {
        positions(&fleet).await.iter().all(|(revision, _)| *revision == 2)
    })
    .await?;
    fleet.platform.set_mode(PlatformMode::Silent);
    fleet.platform.publish(3, text(&upstreams, 700));
    assert!(positions(&fleet).await.iter().all(|(revision, _)| *revision == 2));
    fleet.platform.set_mode(PlatformMode::Up);
    wait_for(Duration::from_secs(20), "revision 3 after the silence", async || {
        positions(&fleet).await.iter().all(|(revision, _)| *revision == 3)
    })
    .await
}

// Two operators race, and two contents have one revision. All daemons must end with the same one.
#[tokio::test]
async fn two_contents_of_one_revision() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let fleet = fleet(6).configuration(text(&upstreams, 500)).start().await?;
    for (revision, hold) in [(2, 600), (2, 601), (2, 602)] {
        fleet.platform.publish(revision, text(&upstreams, hold));
        // Some daemons read the first content before the next one replaces it.
        wait_for(IN_FORCE, "someone has read it", async || {
            positions(&fleet).await.iter().any(|(each, _)| *each == revision)
        })
        .await?;
    }
    wait_for(IN_FORCE, "all have one content", async || {
        let positions = positions(&fleet).await;
        positions.iter().all(|each| *each == positions[0] && each.0 == 2)
    })
    .await
}

// Each half of the fleet is cut off from the other in turn while changes are published; both halves
// read the service for themselves. After the cuts are healed all have the newest revision.
#[tokio::test]
async fn partition_and_heal() -> Result<()> {
    let upstreams = Upstreams::start()?;
    let fleet = fleet(6).relays().configuration(text(&upstreams, 500)).start().await?;
    fleet.isolate(&[0, 1, 2], true);
    fleet.platform.publish(2, text(&upstreams, 600));
    fleet.isolate(&[0, 1, 2], false);
    fleet.isolate(&[3, 4, 5], true);
    fleet.platform.publish(3, text(&upstreams, 700));
    fleet.isolate(&[3, 4, 5], false);
    wait_for(SOON, "revision 3 everywhere", async || {
        positions(&fleet).await.iter().all(|(revision, _)| *revision == 3)
    })
    .await
}
