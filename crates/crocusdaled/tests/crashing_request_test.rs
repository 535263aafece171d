//! A request that crashes every upstream that begins to run it, before real daemons.
//!
//! What was seen: its caller sent it again and again, with another identity each time, to any daemon, and
//! each try ended an engine with all that ran there. Cause: nothing outlived a try but what was learned of
//! the engine, which came back as another one.

use std::time::Duration;

use anyhow::Result;
use platform_stand_ins::{IngressAnswer, IngressCaller, IngressRequest, PublishedFleet};
use platform_stand_ins::{WorkerFault, WorkerStandIn};
use stand_ins::wait_for;

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);
/// Retry-After of a request that is stopped for good, in seconds, at least.
const LASTING: f64 = 500.0;

/// The same request each time but for its identity.
fn crashing(attempt: &str) -> IngressRequest {
    IngressRequest::new("/digest/crash", attempt)
        .body("a letter that no engine survives")
        .field("x-pieces", "1")
        .field("x-piece-key", "7c1e")
        .field("x-token-usage", "1000,50")
}

fn runs(engines: &[WorkerStandIn]) -> usize {
    let seen = engines.iter().flat_map(WorkerStandIn::executed_requests);
    seen.filter(|seen| seen.target.ends_with("/digest/crash")).count()
}

/// Publishes another engine in place of those that have crashed.
fn replace_crashed(fleet: &mut PublishedFleet) -> Result<()> {
    let crashed = |engine: &WorkerStandIn| runs(std::slice::from_ref(engine)) > 0;
    for id in fleet.engine_workers.iter().filter(|engine| crashed(engine)).map(WorkerStandIn::id) {
        fleet.store.remove(id);
    }
    let engine = WorkerStandIn::start(&format!("engine-{}", fleet.engine_workers.len()))?;
    engine.set_fault(WorkerFault::Crash);
    fleet.store.publish(engine.id(), &engine.entry("reader", "ready"));
    fleet.engine_workers.push(engine);
    Ok(())
}

fn retry_after(answer: &IngressAnswer) -> Option<f64> {
    answer.headers.get("retry-after")?.to_str().ok()?.parse().ok()
}

/// Waits until every daemon refuses the request for at least `least` seconds, as not run.
async fn wait_refused(fleet: &PublishedFleet, name: &str, least: f64) -> Result<()> {
    wait_for(SOON, "all daemons refuse it", async || {
        let mut refused = 0;
        for daemon in &fleet.daemons {
            let answer = IngressCaller::once(daemon.caller, &crashing(name)).await;
            let left =
                answer.ok().filter(|answer| answer.status == 503).as_ref().and_then(retry_after);
            refused += usize::from(left.is_some_and(|left| left >= least));
        }
        refused == fleet.daemons.len()
    })
    .await
}

#[tokio::test]
async fn crashing_request_is_stopped_at_all_daemons() -> Result<()> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let mut fleet = PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), 3).await?;
    for engine in &fleet.engine_workers {
        engine.set_fault(WorkerFault::Crash);
    }
    for index in 0..3 {
        // A new engine is known, and the request let in again, after a moment.
        wait_for(SOON, "an engine crashes under it", async || {
            let caller = fleet.daemons[index].caller;
            let _ = IngressCaller::once(caller, &crashing(&format!("try-{index}"))).await;
            runs(&fleet.engine_workers) > index
        })
        .await?;
        replace_crashed(&mut fleet)?;
    }
    wait_refused(&fleet, "refused", LASTING).await?;
    let crashed = runs(&fleet.engine_workers);
    for index in 0..30 {
        let caller = fleet.daemons[index % 3].caller;
        let answer = IngressCaller::once(caller, &crashing(&format!("again-{index}"))).await?;
        assert_eq!(answer.status, 503, "try {index}");
    }
    assert_eq!(runs(&fleet.engine_workers), crashed, "no engine got it again");
    assert!(crashed <= 4, "{crashed} engines crashed");
    // Others are served as before.
    let other = IngressRequest::new("/digest/7", "other").field("x-pieces", "1");
    let other = other.field("x-piece-key", "7c1e").field("x-token-usage", "1000,50");
    wait_for(SOON, "another request is answered", async || {
        let answer = IngressCaller::once(fleet.daemons[0].caller, &other).await;
        answer.is_ok_and(|answer| (answer.status, answer.is_complete) == (200, true))
    })
    .await?;
    let log: String = (0..3).filter_map(|index| fleet.log(index).ok()).collect();
    for line in ["attempt_broken", "request_quarantined", "\"reason\":\"quarantined\""] {
        assert!(log.contains(line), "{line} is not in the log");
    }
    Ok(())
}
