//! A real daemon whose connections to all workers are refused, beside others that reach them.

use std::time::{Duration, Instant};

use anyhow::Result;
use platform_stand_ins::{
    IngressAnswer, IngressCaller, IngressRequest, PublishedFleet, WorkerFault, WorkerStandIn,
};
use stand_ins::wait_for;
use tokio::task::JoinHandle;

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);

async fn fleet(size: usize) -> Result<PublishedFleet> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    PublishedFleet::start_cut_off(binary, env!("CARGO_TARGET_TMPDIR"), size).await
}

fn runs(workers: &[WorkerStandIn], attempt: &str) -> usize {
    let executed = workers.iter().flat_map(WorkerStandIn::executed_requests);
    executed.filter(|request| request.attempt == attempt).count()
}

/// Sends the request `open`, which must not repeat, to the cut-off daemon, and waits until a worker
/// runs it that does not answer.
async fn start_in_transit(fleet: &PublishedFleet) -> Result<JoinHandle<Result<IngressAnswer>>> {
    let caller = fleet.daemons[0].caller;
    IngressCaller::once(caller, &IngressRequest::new("/shred/7", "first")).await?;
    for worker in &fleet.plain_workers {
        worker.set_fault(WorkerFault::Silent);
    }
    let request = IngressRequest::new("/shred/7", "open");
    let answer = tokio::spawn(async move { IngressCaller::once(caller, &request).await });
    wait_for(SOON, "the worker runs it", async || runs(&fleet.plain_workers, "open") == 1).await?;
    Ok(answer)
}

fn digest(attempt: &str) -> IngressRequest {
    IngressRequest::new("/digest/7", attempt)
        .field("x-pieces", "3")
        .field("x-piece-key", "7c1e")
        .field("x-token-usage", "1000,50")
}

fn events() -> String {
    (0..5).map(|id| format!("id: {id}\ndata: word {id}\n\n")).collect()
}

/// Guards against callers of a daemon without links to the workers that are not served, or whose
/// requests reach a worker twice, changed, or with their key.
#[tokio::test]
async fn callers_of_a_cut_off_daemon_are_served() -> Result<()> {
    let fleet = fleet(3).await?;
    let caller = fleet.daemons[0].caller;
    for index in 0..10 {
        for path in ["/ask/7?page=2", "/shred/7?page=2"] {
            let attempt = format!("{}{index}", &path[1..4]);
            let answer = IngressCaller::once(caller, &IngressRequest::new(path, &attempt)).await?;
            assert_eq!((answer.status, answer.is_complete), (200, true), "{attempt}");
            assert!(answer.body.ends_with(&format!("answers {attempt}")), "{}", answer.body);
            assert!(answer.headers.contains_key("x-response-signature"), "{attempt}");
            assert_eq!(runs(&fleet.plain_workers, &attempt), 1, "{attempt}");
        }
        let attempt = format!("digest{index}");
        let answer = IngressCaller::once(caller, &digest(&attempt)).await?;
        assert_eq!((answer.status, answer.body, answer.is_complete), (200, events(), true));
        assert_eq!(runs(&fleet.engine_workers, &attempt), 1, "{attempt}");
    }
    let executed = fleet.plain_workers.iter().flat_map(WorkerStandIn::executed_requests);
    let request = executed.into_iter().find(|each| each.attempt == "shr0").expect("it ran");
    assert_eq!(request.target, "POST /shred/7?page=2");
    assert_eq!(&request.body[..], b"letter shr0");
    assert_eq!(request.headers["x-tenant"], "letters");
    assert!(!request.headers.contains_key("x-api-key"));
    let left: u64 = request.headers["x-deadline-ms"].to_str()?.parse()?;
    assert!(left <= 8_000, "{left} ms");
    let log = fleet.log(0)?;
    assert!(log.contains("links_impaired"), "the lost links are in the log");
    Ok(())
}

/// Guards against a request that must not repeat and runs again, or is said not to have run, after
/// the daemon that sent it for another one has been killed.
#[tokio::test]
async fn request_in_transit_runs_once_if_its_daemon_is_killed() -> Result<()> {
    let mut fleet = fleet(2).await?;
    let answer = start_in_transit(&fleet).await?;
    fleet.daemons[1].process.kill();
    let answer = answer.await??;
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(runs(&fleet.plain_workers, "open"), 1);
    Ok(())
}

/// Guards against callers that wait for a daemon which is frozen while it sends their request, and
/// against a request that runs again once it goes on.
#[tokio::test]
async fn request_in_transit_ends_soon_if_its_daemon_is_frozen() -> Result<()> {
    let fleet = fleet(2).await?;
    let answer = start_in_transit(&fleet).await?;
    let started = Instant::now();
    fleet.daemons[1].process.signal("STOP")?;
    let answer = answer.await??;
    assert_eq!(answer.status, 502, "it may have run");
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    fleet.daemons[1].process.signal("CONT")?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(runs(&fleet.plain_workers, "open"), 1);
    Ok(())
}

/// Guards against a stream in transit that ends with a gap, a repeated event or half an event when
/// its engine breaks off.
#[tokio::test]
async fn broken_stream_in_transit_goes_on_at_another_engine() -> Result<()> {
    let fleet = fleet(2).await?;
    let caller = fleet.daemons[0].caller;
    // A process begins without retries and earns them with its requests.
    for index in 0..40 {
        IngressCaller::once(caller, &digest(&format!("earlier{index}"))).await?;
    }
    let is_used = |engine: &WorkerStandIn| !engine.executed_requests().is_empty();
    let used = fleet.engine_workers.iter().position(is_used).unwrap_or(0);
    fleet.engine_workers[used].set_fault(WorkerFault::TruncatedStream(2));
    let answer = IngressCaller::once(caller, &digest("broken")).await?;
    assert_eq!((answer.status, answer.body, answer.is_complete), (200, events(), true));
    let executed = fleet.engine_workers[1 - used].executed_requests();
    let resumed = executed.iter().find(|each| each.attempt == "broken").expect("it went on there");
    assert_eq!(resumed.headers["last-event-id"], "1");
    Ok(())
}

/// Guards against requests that wait, or get no true retry delay, once no daemon reaches a worker.
#[tokio::test]
async fn caller_is_refused_if_no_daemon_is_left_to_ask() -> Result<()> {
    let mut fleet = fleet(2).await?;
    let caller = fleet.daemons[0].caller;
    IngressCaller::once(caller, &IngressRequest::new("/shred/7", "first")).await?;
    fleet.daemons[1].process.kill();
    wait_for(SOON, "callers are refused at once", async || {
        let started = Instant::now();
        let request = IngressRequest::new("/shred/7", "alone");
        let answer = IngressCaller::once(caller, &request).await;
        answer.is_ok_and(|answer| {
            answer.status == 503
                && answer.headers.contains_key("retry-after")
                && started.elapsed() < Duration::from_millis(100)
        })
    })
    .await
}
