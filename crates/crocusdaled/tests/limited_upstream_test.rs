//! Upstreams that name how many requests a second they take, before real daemons.

use std::time::{Duration, Instant};

use anyhow::Result;
use platform_stand_ins::{IngressCaller, IngressRequest, PublishedFleet, WorkerFault};
use stand_ins::wait_for;

/// Time from the first answer that names a rate until the bound holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in such a window that a rate of one a second allows.
const ALLOWED: usize = 11;
/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);

async fn send_for(fleet: &PublishedFleet, time: Duration) -> Result<()> {
    let begun = Instant::now();
    while begun.elapsed() < time {
        for daemon in &fleet.daemons {
            let attempt = format!("{:x}", rand::random::<u64>());
            IngressCaller::once(daemon.caller, &IngressRequest::new("/ask/7", &attempt)).await?;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against daemons that read past the rate which an upstream names in its answers.
#[tokio::test]
async fn worker_that_names_a_rate_gets_no_more_from_three_daemons() -> Result<()> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let fleet = PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), 3).await?;
    let limited = &fleet.plain_workers[0];
    send_for(&fleet, Duration::from_secs(1)).await?;
    assert!(!limited.executed_requests().is_empty(), "it is used");
    limited.set_fault(WorkerFault::Limited);
    send_for(&fleet, CONTACT).await?;
    let before = limited.executed_requests().len();
    send_for(&fleet, WINDOW).await?;
    let most = limited.executed_requests().len() - before;
    assert!(most <= ALLOWED, "{most} requests in {WINDOW:?}");
    limited.set_fault(WorkerFault::None);
    wait_for(SOON, "it is used again", async || {
        let before = limited.executed_requests().len();
        let _ = send_for(&fleet, Duration::from_secs(1)).await;
        limited.executed_requests().len() > before + ALLOWED
    })
    .await
}
