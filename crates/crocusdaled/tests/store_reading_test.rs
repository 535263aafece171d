//! Reading of a large store by a real daemon: whole lists, changes, and lost changes.

use std::time::Duration;

use anyhow::Result;
use platform_stand_ins::{IngressCaller, IngressRequest, PublishedFleet, WorkerStandIn};
use stand_ins::wait_for;

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);
/// Number of published workers that no daemon calls.
const OTHER_WORKERS: usize = 13_000;

/// Starts one daemon, and publishes many workers of a service without routes. Their keys precede
/// those of the fleet's workers.
async fn large_fleet() -> Result<PublishedFleet> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let fleet = PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), 1).await?;
    let entry = fleet.plain_workers[0].entry("other", "ready");
    for number in 0..OTHER_WORKERS {
        fleet.store.publish(&format!("a-{number:05}"), &entry);
    }
    Ok(fleet)
}

async fn status(fleet: &PublishedFleet) -> Option<u16> {
    let request = IngressRequest::new("/ask/7", &format!("{:x}", rand::random::<u64>()));
    let answer = IngressCaller::once(fleet.daemons[0].caller, &request).await;
    answer.ok().map(|answer| answer.status)
}

/// Waits until the daemon calls `worker`.
async fn wait_called(fleet: &PublishedFleet, worker: &WorkerStandIn) -> Result<()> {
    wait_for(SOON, "the worker is called", async || {
        let _ = status(fleet).await;
        !worker.executed_requests().is_empty()
    })
    .await
}

/// Guards against a list that is cut off after a fixed number of pages, so that the upstreams on
/// the pages after it seem to be gone.
#[tokio::test]
async fn list_of_many_pages_is_read_whole() -> Result<()> {
    let mut fleet = large_fleet().await?;
    for old in &fleet.plain_workers {
        fleet.store.remove(old.id());
    }
    let last = WorkerStandIn::start("zz-last")?;
    fleet.store.publish(last.id(), &last.entry("notify", "ready"));
    fleet.daemons[0].process.kill();
    fleet.start_daemon(0)?;
    fleet.wait_ready().await?;
    wait_called(&fleet, &last).await
}

/// Guards against calls to the store that grow with the list instead of with its changes.
#[tokio::test]
async fn change_of_a_large_list_is_read_without_its_pages() -> Result<()> {
    let fleet = large_fleet().await?;
    let first = WorkerStandIn::start("first-worker")?;
    fleet.store.publish(first.id(), &first.entry("notify", "ready"));
    wait_called(&fleet, &first).await?;
    let before = fleet.store.requested_pages();
    let second = WorkerStandIn::start("second-worker")?;
    fleet.store.publish(second.id(), &second.entry("notify", "ready"));
    for old in fleet.plain_workers.iter().chain([&first]) {
        fleet.store.remove(old.id());
    }
    wait_called(&fleet, &second).await?;
    assert_eq!(fleet.store.requested_pages(), before, "no page may be read for a few changes");
    Ok(())
}

/// Guards against changes that are lost while the store compacts its history: watches report
/// nothing although items change.
#[tokio::test]
async fn change_that_no_watch_reports_is_read_with_the_whole_list() -> Result<()> {
    let fleet = large_fleet().await?;
    let first = WorkerStandIn::start("first-worker")?;
    fleet.store.publish(first.id(), &first.entry("notify", "ready"));
    wait_called(&fleet, &first).await?;
    fleet.store.hide_changes();
    let second = WorkerStandIn::start("second-worker")?;
    fleet.store.publish(second.id(), &second.entry("notify", "ready"));
    wait_called(&fleet, &second).await
}
