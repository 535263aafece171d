//! A store that comes back from an older copy, before real daemons.
//!
//! What a user would see: requests that are refused, as workers that registered after the store came back
//! get none, and a configuration that is written again without effect. In which order: the store is away
//! for a moment and comes back as it was some seconds before; its revisions are given out again; operator
//! and workers write again what they wrote since. Cause: daemons ordered all they read by the revision
//! alone, and took each reading for an old one until the revision had caught up.

use std::time::Duration;

use anyhow::Result;
use platform_stand_ins::{IngressCaller, IngressRequest, PublishedFleet, WorkerStandIn};
use serde_json::{Value, json};
use stand_ins::wait_for;

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(10);

async fn fleet() -> Result<PublishedFleet> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), 3).await
}

/// Raises the store's revision as workers do that renew their entries.
fn renew_entries(fleet: &PublishedFleet, times: usize) {
    for _ in 0..times {
        for worker in &fleet.plain_workers {
            fleet.store.publish(worker.id(), &worker.entry("notify", "ready"));
        }
    }
}

async fn status(fleet: &PublishedFleet, daemon: usize, key: &str) -> Option<u16> {
    let request = IngressRequest::new("/ask/7", &format!("{:x}", rand::random::<u64>()));
    let request = request.field("x-api-key", key).field("x-deadline-ms", "1500");
    let answer = IngressCaller::once(fleet.daemons[daemon].caller, &request).await;
    answer.ok().map(|answer| answer.status)
}

/// Waits until every daemon answers a caller that shows `key` with `wanted`.
async fn wait_status(fleet: &PublishedFleet, key: &str, wanted: u16, what: &str) -> Result<()> {
    wait_for(SOON, what, async || {
        let mut same = true;
        for daemon in 0..fleet.daemons.len() {
            same &= status(fleet, daemon, key).await == Some(wanted);
        }
        same
    })
    .await
}

/// The configuration of the fleet with `keys` only.
fn with_keys(fleet: &PublishedFleet, version: u64, keys: &[&str]) -> Value {
    let mut configuration = fleet.configuration(version);
    configuration["tenants"][0]["apiKeys"] = json!(keys);
    configuration
}

/// A worker registers after the drill, and those of before leave: the new one is all that is left.
#[tokio::test]
async fn worker_that_registers_after_the_drill_gets_requests() -> Result<()> {
    let fleet = fleet().await?;
    let backup = fleet.store.backup();
    renew_entries(&fleet, 200);
    wait_status(&fleet, "secret", 200, "all serve").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for drill in 0..2 {
        fleet.store.restore(&backup);
        let worker = WorkerStandIn::start(&format!("later-{drill}"))?;
        fleet.store.publish(worker.id(), &worker.entry("notify", "ready"));
        for old in &fleet.plain_workers {
            fleet.store.publish(old.id(), &old.entry("notify", "draining"));
        }
        wait_for(SOON, "the new worker gets requests", async || {
            for daemon in 0..3 {
                let _ = status(&fleet, daemon, "secret").await;
            }
            !worker.executed_requests().is_empty()
        })
        .await?;
        fleet.store.publish(worker.id(), &worker.entry("notify", "draining"));
    }
    Ok(())
}

/// The configuration is written again under the revision that another one had before the drill: it takes
/// effect. Meanwhile a key that was taken away stays away.
#[tokio::test]
async fn configuration_takes_effect_under_a_revision_that_was_used() -> Result<()> {
    let fleet = fleet().await?;
    let backup = fleet.store.backup();
    fleet.store.configure(&with_keys(&fleet, 2, &["second"]));
    wait_status(&fleet, "secret", 401, "the key is taken away").await?;
    fleet.store.restore(&backup);
    for _ in 0..20 {
        for daemon in 0..3 {
            assert_eq!(status(&fleet, daemon, "secret").await, Some(401), "it is let in again");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.store.configure(&with_keys(&fleet, 3, &["third"]));
    wait_status(&fleet, "third", 200, "the next configuration is in force").await?;
    wait_status(&fleet, "second", 401, "everywhere").await
}

/// A worker registered within the lost seconds, and is the only one left. The copy doesn't know it; it
/// writes its entry again a second later. Nobody is refused meanwhile.
#[tokio::test]
async fn worker_that_the_copy_does_not_know_is_kept() -> Result<()> {
    let fleet = fleet().await?;
    let worker = WorkerStandIn::start("within")?;
    for old in &fleet.plain_workers {
        fleet.store.publish(old.id(), &old.entry("notify", "draining"));
    }
    let backup = fleet.store.backup();
    fleet.store.publish(worker.id(), &worker.entry("notify", "ready"));
    wait_status(&fleet, "secret", 200, "the only one serves").await?;
    renew_entries(&fleet, 0);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.store.restore(&backup);
    for round in 0..30 {
        if round == 10 {
            fleet.store.publish(worker.id(), &worker.entry("notify", "ready"));
        }
        for daemon in 0..3 {
            assert_eq!(status(&fleet, daemon, "secret").await, Some(200), "round {round}");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// A worker said that it leaves, and was gone, within the lost seconds; the copy lists it as ready. It gets
/// nothing.
#[tokio::test]
async fn worker_that_left_within_the_lost_seconds_gets_nothing() -> Result<()> {
    let fleet = fleet().await?;
    let backup = fleet.store.backup();
    let leaving = &fleet.plain_workers[0];
    fleet.store.publish(leaving.id(), &leaving.entry("notify", "draining"));
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.remove(leaving.id());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = leaving.executed_requests().len();
    fleet.store.restore(&backup);
    for _ in 0..30 {
        for daemon in 0..3 {
            assert_eq!(status(&fleet, daemon, "secret").await, Some(200));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(leaving.executed_requests().len(), before, "it has left");
    Ok(())
}

/// A daemon starts while only the old copy is there: it serves nobody by what its peers know to be old.
#[tokio::test]
async fn daemon_that_starts_on_the_old_copy_asks_its_peers() -> Result<()> {
    let mut fleet = fleet().await?;
    let backup = fleet.store.backup();
    fleet.store.configure(&with_keys(&fleet, 2, &["second"]));
    wait_status(&fleet, "secret", 401, "the key is taken away").await?;
    fleet.store.restore(&backup);
    fleet.daemons[0].process.kill();
    fleet.start_daemon(0)?;
    wait_for(SOON, "it answers", async || status(&fleet, 0, "second").await == Some(200)).await?;
    for _ in 0..10 {
        assert_eq!(status(&fleet, 0, "secret").await, Some(401), "it is let in again");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}
