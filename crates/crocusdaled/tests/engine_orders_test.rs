//! Orders to engines grow with the revision and never undo a newer one.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{SOON, Upstreams, fleet};
use stand_ins::{DaemonFleet, DeclarationText, UpstreamStandIn, wait_for};

fn text(upstreams: &Upstreams, version: &str) -> String {
    let declared = upstreams.declare(DeclarationText::default()).build();
    let placement = "[placement writers]\nupstreams = stage = generate\nmodel = letters\n";
    format!("{declared}{placement}version = {version}\n")
}

fn holds(engine: &UpstreamStandIn, version: &str) -> bool {
    engine.orders().last().is_some_and(|order| order.version == version)
}

async fn wait_held(upstreams: &Upstreams, version: &str) -> Result<()> {
    wait_for(SOON, &format!("engines hold {version}"), async || {
        upstreams.generate.iter().all(|engine| holds(engine, version))
    })
    .await
}

/// Whether no order undid one of a later revision.
fn never_went_back(engine: &UpstreamStandIn) -> bool {
    engine.orders().windows(2).all(|pair| pair[0].fence <= pair[1].fence)
}

async fn started(relays: bool) -> Result<(Upstreams, DaemonFleet)> {
    let upstreams = Upstreams::start()?;
    upstreams.generate[1].ignore_fence();
    let builder = fleet(6).configuration(text(&upstreams, "v1"));
    let fleet = if relays { builder.relays().start().await? } else { builder.start().await? };
    wait_held(&upstreams, "v1").await?;
    Ok((upstreams, fleet))
}

// The fleet is cut in two and a new version is declared. Both sides have a keeper for each engine
// and give the same order; after the heal nothing is ordered any more.
#[tokio::test]
async fn both_sides_of_a_cut_give_the_same_order() -> Result<()> {
    let (upstreams, fleet) = started(true).await?;
    fleet.isolate(&[0, 1, 2], true);
    fleet.platform.publish(2, text(&upstreams, "v2"));
    wait_held(&upstreams, "v2").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.isolate(&[0, 1, 2], false);
    for engine in &upstreams.generate {
        assert!(never_went_back(engine), "{:?}", engine.orders());
        let second: Vec<_> = engine.orders().into_iter().filter(|order| order.fence == 2).collect();
        assert!(second.iter().all(|order| *order == second[0]), "{second:?}");
    }
    Ok(())
}

// Every daemon in turn is frozen while a new version is declared, so the keeper of each engine is
// among them. When it wakes up it still believes in the old one; it must not order it back, also
// where the engine ignores fencing numbers.
#[tokio::test]
async fn keeper_that_wakes_up_late_undoes_nothing() -> Result<()> {
    let (upstreams, fleet) = started(false).await?;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let revision = index as u64 + 2;
        daemon.signal("STOP")?;
        fleet.platform.publish(revision, text(&upstreams, &format!("v{revision}")));
        wait_held(&upstreams, &format!("v{revision}")).await?;
        daemon.signal("CONT")?;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for engine in &upstreams.generate {
        assert!(never_went_back(engine), "{:?}", engine.orders());
        assert!(holds(engine, "v7"), "{:?}", engine.orders());
    }
    Ok(())
}
