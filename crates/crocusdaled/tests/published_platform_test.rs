//! Real daemons before stand-ins of the platform's store and workers.

use std::time::Duration;

use anyhow::Result;
use platform_stand_ins::{
    IngressCaller, IngressRequest, PublishedFleet, StoreMode, WorkerFault, WorkerStandIn,
};
use serde_json::json;
use stand_ins::wait_for;

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);

async fn fleet(size: usize) -> Result<PublishedFleet> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), size).await
}

fn runs(workers: &[WorkerStandIn], attempt: &str) -> usize {
    let seen = workers.iter().flat_map(WorkerStandIn::executed_requests);
    seen.filter(|seen| seen.attempt == attempt).count()
}

fn set_fault(workers: &[WorkerStandIn], fault: WorkerFault) {
    for worker in workers {
        worker.set_fault(fault);
    }
}

fn digest(attempt: &str) -> IngressRequest {
    IngressRequest::new("/digest/7", attempt)
        .field("x-pieces", "3")
        .field("x-piece-key", "7c1e")
        .field("x-token-usage", "1000,50")
        .field("x-prefix-hash", "5c1e07a2:900,e4402b7d:100")
}

fn events(from: u64) -> String {
    (from..5).map(|id| format!("id: {id}\ndata: word {id}\n\n")).collect()
}

/// The whole path on a calm day: a question, an order and a stream with pieces, each whole and its
/// own, and upstreams see what the caller sent and no more.
#[tokio::test]
async fn calm_day_is_served() -> Result<()> {
    let fleet = fleet(3).await?;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let request = IngressRequest::new("/ask/7?page=2", &format!("ask{index}"))
            .field("x-tenant", "somebody-else");
        let answer = IngressCaller::once(daemon.caller, &request).await?;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert!(answer.body.ends_with(&format!("answers ask{index}")), "{}", answer.body);
        let answer = IngressCaller::once(daemon.caller, &digest(&format!("digest{index}"))).await?;
        assert_eq!((answer.status, answer.body, answer.is_complete), (200, events(0), true));
    }
    let seen: Vec<_> =
        fleet.plain_workers.iter().flat_map(WorkerStandIn::executed_requests).collect();
    let first = seen.iter().find(|seen| seen.attempt == "ask0").expect("it ran");
    assert_eq!(first.target, "POST /ask/7?page=2");
    assert_eq!(&first.body[..], b"letter ask0");
    assert_eq!(first.headers["x-tenant"], "letters");
    assert!(!first.headers.contains_key("x-api-key"));
    let inputs: Vec<_> =
        fleet.engine_workers.iter().flat_map(WorkerStandIn::executed_requests).collect();
    let inputs = inputs[0].headers["x-inputs"].to_str()?.split(',').count();
    assert_eq!(inputs, 3);
    wait_for(SOON, "all results are given up", async || {
        fleet.batch_workers.iter().map(|stage| stage.released_results().len()).sum::<usize>() == 9
    })
    .await
}

/// Requests come in at all daemons at one time, and one stage worker serves them all. Each daemon
/// by itself would send many small calls; together they share few.
#[tokio::test]
async fn pieces_of_all_daemons_share_calls() -> Result<()> {
    let fleet = fleet(3).await?;
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..30 {
        let caller = fleet.daemons[index % 3].caller;
        let request = digest(&format!("digest{index}"));
        calls.spawn(async move { IngressCaller::once(caller, &request).await });
    }
    while let Some(answer) = calls.join_next().await {
        assert_eq!(answer??.body, events(0));
    }
    let made: Vec<usize> =
        fleet.batch_workers.iter().flat_map(WorkerStandIn::batch_sizes).collect();
    assert_eq!(made.iter().sum::<usize>(), 90);
    assert!(made.len() < 30, "{} calls for thirty requests", made.len());
    Ok(())
}

/// An engine breaks off in the middle of an event. The caller's stream goes on with the next event
/// from the other engine, and shows neither the broken part nor a gap.
#[tokio::test]
async fn broken_stream_goes_on_at_another_engine() -> Result<()> {
    let fleet = fleet(1).await?;
    let caller = fleet.daemons[0].caller;
    // A process begins without retries and earns them with its requests.
    for index in 0..40 {
        IngressCaller::once(caller, &digest(&format!("earlier{index}"))).await?;
    }
    let used = fleet
        .engine_workers
        .iter()
        .position(|engine| !engine.executed_requests().is_empty())
        .unwrap_or(0);
    fleet.engine_workers[used].set_fault(WorkerFault::TruncatedStream(2));
    let answer = IngressCaller::once(caller, &digest("second")).await?;
    assert_eq!((answer.status, answer.body, answer.is_complete), (200, events(0), true));
    let other = fleet.engine_workers[1 - used].executed_requests();
    let resumed = other.iter().find(|seen| seen.attempt == "second").expect("it went on there");
    assert_eq!(resumed.headers["last-event-id"], "1");
    Ok(())
}

/// A user sees every word of the answer, and then waits for its end until the deadline passes. The
/// engine that was asked first had moved, or had lost an input, and said that it ran nothing; the
/// other one ran the request to its end. The first attempt was never closed, and kept the way of the
/// events to the caller open.
#[tokio::test]
async fn stream_ends_with_its_last_event_after_an_engine_ran_nothing() -> Result<()> {
    let fleet = fleet(1).await?;
    let caller = fleet.daemons[0].caller;
    for index in 0..40 {
        IngressCaller::once(caller, &digest(&format!("earlier{index}"))).await?;
    }
    for (fault, attempt) in [(WorkerFault::WrongProcess, "moved"), (WorkerFault::InputGone, "gone")]
    {
        set_fault(&fleet.engine_workers, WorkerFault::None);
        let seen = |engine: &WorkerStandIn| engine.executed_requests().len();
        let before: Vec<usize> = fleet.engine_workers.iter().map(seen).collect();
        IngressCaller::once(caller, &digest(&format!("before-{attempt}"))).await?;
        let used =
            fleet.engine_workers.iter().zip(before).position(|(each, before)| seen(each) > before);
        fleet.engine_workers[used.unwrap_or(0)].set_fault(fault);
        let answer = IngressCaller::once(caller, &digest(attempt)).await?;
        assert_eq!(
            (answer.status, answer.body, answer.is_complete),
            (200, events(0), true),
            "{fault:?}"
        );
    }
    Ok(())
}

/// Both engines break off. What the caller has is a part, and must not look like the whole.
#[tokio::test]
async fn stream_that_nobody_finishes_looks_broken() -> Result<()> {
    let fleet = fleet(1).await?;
    set_fault(&fleet.engine_workers, WorkerFault::TruncatedStream(2));
    let answer = IngressCaller::once(fleet.daemons[0].caller, &digest("torn")).await?;
    assert!(!answer.is_complete);
    assert!(events(0).starts_with(&answer.body), "{}", answer.body);
    Ok(())
}

/// A shred order's answer is lost, another's comes from a process that answers somebody else. The
/// order may have run: it runs nowhere else, and the caller gets neither a success nor "not run".
#[tokio::test]
async fn order_without_its_answer_is_neither_repeated_nor_called_not_run() -> Result<()> {
    let fleet = fleet(1).await?;
    let caller = fleet.daemons[0].caller;
    for (fault, attempt) in [(WorkerFault::Foreign, "foreign"), (WorkerFault::Unsigned, "unsigned")]
    {
        set_fault(&fleet.plain_workers, fault);
        let answer = IngressCaller::once(caller, &IngressRequest::new("/shred/7", attempt)).await?;
        assert_eq!(answer.status, 502, "{fault:?}");
        assert_eq!(runs(&fleet.plain_workers, attempt), 1, "{fault:?}");
    }
    set_fault(&fleet.plain_workers, WorkerFault::Silent);
    let request = IngressRequest::new("/shred/7", "silent").field("x-deadline-ms", "500");
    let answer = IngressCaller::once(caller, &request).await?;
    assert_eq!((answer.status, runs(&fleet.plain_workers, "silent")), (504, 1));
    Ok(())
}

/// Every worker is full. The order has not run, and the caller is told so, and when to come back.
#[tokio::test]
async fn full_workers_make_an_honest_refusal() -> Result<()> {
    let fleet = fleet(1).await?;
    set_fault(&fleet.plain_workers, WorkerFault::Full);
    let request = IngressRequest::new("/shred/7", "full");
    let answer = IngressCaller::once(fleet.daemons[0].caller, &request).await?;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(runs(&fleet.plain_workers, "full"), 0);
    Ok(())
}

/// A worker gives notice, and another process takes over its address. Neither gets a request once
/// the news is in force, whoever the caller asks.
#[tokio::test]
async fn leaving_worker_gets_nothing() -> Result<()> {
    let fleet = fleet(2).await?;
    let leaving = &fleet.plain_workers[0];
    fleet.store.publish(leaving.id(), &leaving.entry("notify", "draining"));
    wait_for(SOON, "nothing reaches it any more", async || {
        let before = leaving.executed_requests().len();
        for daemon in &fleet.daemons {
            for _ in 0..5 {
                let request = IngressRequest::new("/ask/7", "probe");
                let _ = IngressCaller::once(daemon.caller, &request).await;
            }
        }
        leaving.executed_requests().len() == before
    })
    .await
}

/// A worker gives notice, ends, and starts again under its id: its own notice must not keep users'
/// requests from the process that is there now. Beside it, entries lie in the store that no worker
/// wrote; they cost nobody anything but one line each in the log.
#[tokio::test]
async fn worker_that_starts_again_is_used_and_foreign_entries_are_not() -> Result<()> {
    let fleet = fleet(1).await?;
    let (again, other) = (&fleet.plain_workers[0], &fleet.plain_workers[1]);
    fleet.store.publish(again.id(), &again.entry("notify", "draining"));
    fleet.store.publish("torn", &json!({ "service": "notify", "address": "127.0.0.1:9" }));
    fleet.store.publish("odd", &again.entry("notify", "resting"));
    let reached = async |worker: &WorkerStandIn| {
        let before = worker.executed_requests().len();
        for _ in 0..12 {
            let request = IngressRequest::new("/ask/7", "probe");
            let answer = IngressCaller::once(fleet.daemons[0].caller, &request).await;
            assert!(answer.is_ok_and(|answer| answer.status == 200));
        }
        worker.executed_requests().len() > before
    };
    wait_for(SOON, "nothing reaches it any more", async || !reached(again).await).await?;
    assert!(reached(other).await);
    let mut entry = again.entry("notify", "ready");
    entry["born"] = json!(1_764_700_000_000_u64);
    fleet.store.publish(again.id(), &entry);
    wait_for(SOON, "its next life is used", async || reached(again).await).await?;
    // The list may have been read for the first time with that life, and lines are written later.
    wait_for(SOON, "the log names both", async || {
        fleet.log(0).is_ok_and(|log| log.matches("store_item_unreadable").count() >= 2)
    })
    .await?;
    let log = fleet.log(0)?;
    let lines: Vec<&str> =
        log.lines().filter(|line| line.contains("store_item_unreadable")).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines.iter().any(|line| line.contains("servers/torn")), "{lines:?}");
    Ok(())
}

/// A key is taken away while one daemon can read the store and the others can't. The news reaches
/// them through it, and nobody goes back to the old version when the store is gone for all.
#[tokio::test]
async fn configuration_reaches_everybody_and_never_goes_back() -> Result<()> {
    let mut fleet = fleet(3).await?;
    let mut changed = fleet.configuration(5);
    changed["tenants"][0]["apiKeys"] = json!(["second"]);
    fleet.store.configure(&changed);
    let refused = async |fleet: &PublishedFleet| {
        let mut statuses = Vec::new();
        for daemon in fleet.daemons.iter().filter(|daemon| daemon.process.is_running()) {
            let request = IngressRequest::new("/ask/7", "old-key");
            let answer = IngressCaller::once(daemon.caller, &request).await;
            statuses.push(answer.map_or(0, |answer| answer.status));
        }
        statuses.iter().all(|status| *status == 401)
    };
    wait_for(SOON, "the key is refused everywhere", async || refused(&fleet).await).await?;
    fleet.store.set_mode(StoreMode::Down);
    fleet.daemons[0].process.kill();
    fleet.start_daemon(0)?;
    fleet.wait_ready().await?;
    assert!(refused(&fleet).await, "a fresh process has it from its peers");
    Ok(())
}

/// An operator's change can't be read. What was in force stays, and the log says what is wrong.
#[tokio::test]
async fn unreadable_configuration_changes_nothing() -> Result<()> {
    let fleet = fleet(1).await?;
    let mut wrong = fleet.configuration(9);
    wrong["routes"][0]["service"] = json!("nobody");
    fleet.store.configure(&wrong);
    wait_for(SOON, "the log names the error", async || {
        fleet.log(0).is_ok_and(|log| log.contains("configuration_rejected"))
    })
    .await?;
    let request = IngressRequest::new("/ask/7", "still");
    assert_eq!(IngressCaller::once(fleet.daemons[0].caller, &request).await?.status, 200);
    Ok(())
}

/// A daemon is told to end while callers still use it. It is not ready at once and in no address
/// answer, serves those who come all the same, cuts nobody off, and ends by itself.
#[tokio::test]
async fn draining_daemon_cuts_nobody_off() -> Result<()> {
    let mut fleet = fleet(2).await?;
    let leaving = fleet.daemons[0].caller;
    let mut kept = IngressCaller::connect(leaving).await?;
    assert_eq!(kept.send(&IngressRequest::new("/ask/7", "before")).await?.status, 200);
    fleet.daemons[0].process.signal("TERM")?;
    wait_for(SOON, "it is not ready", async || !fleet.daemons[0].is_ready().await).await?;
    wait_for(SOON, "nobody is sent there", async || {
        let others = fleet.daemons[1].addresses().await;
        !others.is_empty() && !others.contains(&leaving)
    })
    .await?;
    let answer = kept.send(&IngressRequest::new("/ask/7", "after")).await?;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["connection"], "close");
    assert_eq!(fleet.daemons[0].process.wait_exit(SOON).await?, Some(0));
    let log = fleet.log(0)?;
    for event in ["started", "draining", "drained", "stopped"] {
        assert!(log.contains(&format!("\"msg\":\"{event}\"")), "{event}: {log}");
    }
    Ok(())
}

/// The dispatcher of the pieces is killed while it has pieces of all daemons. Their callers see
/// nothing of it: the next daemon in rank takes the pieces.
#[tokio::test]
async fn pieces_outlive_their_dispatcher() -> Result<()> {
    // A daemon that has just started has saved up next to no retries; here all 72 pieces may need one.
    let (binary, directory) = (env!("CARGO_BIN_EXE_crocusdaled"), env!("CARGO_TARGET_TMPDIR"));
    let mut fleet = PublishedFleet::start_with_retries(binary, directory, 3, 100_000).await?;
    for victim in 0..3 {
        let mut calls = tokio::task::JoinSet::new();
        for index in 0..24 {
            let daemon = (victim + 1 + index % 2) % 3;
            let caller = fleet.daemons[daemon].caller;
            let request = digest(&format!("digest{victim}-{index}"));
            calls.spawn(async move { IngressCaller::once(caller, &request).await });
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
        fleet.daemons[victim].process.kill();
        let mut served = 0;
        while let Some(answer) = calls.join_next().await {
            let answer = answer??;
            assert!(answer.status == 503 || answer.body == events(0), "{answer:?}");
            served += usize::from(answer.status == 200);
        }
        assert!(served >= 20, "{served} of 24 were served");
        fleet.start_daemon(victim)?;
        fleet.wait_ready().await?;
    }
    Ok(())
}

/// The operator declares that callers may send more than the process is set to take. A scan of that
/// size must not be refused as too large, which no caller ever tries again.
#[tokio::test]
async fn callers_may_send_what_the_operator_declares() -> Result<()> {
    let fleet = fleet(1).await?;
    let caller = fleet.daemons[0].caller;
    let scan = IngressRequest::new("/ask/7", "scan").body(vec![b'x'; 6 << 20]);
    assert_eq!(IngressCaller::once(caller, &scan).await?.status, 413);
    let mut configuration = fleet.configuration(5);
    configuration["limits"] = json!({"maxBodyBytes": 8 << 20, "maxHeaderBytes": 40_000});
    fleet.store.configure(&configuration);
    let long = IngressRequest::new("/ask/7", "long").field("x-note", &"n".repeat(30_000));
    wait_for(SOON, "larger bodies are taken", async || {
        let answer = IngressCaller::once(caller, &scan).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await?;
    assert_eq!(IngressCaller::once(caller, &long).await?.status, 200);
    Ok(())
}

/// A user complains. The engineer on call has the request's id and the logs, and reads them with the
/// tools that read every other service's: each fact is a field of its own, and no line holds what
/// the user sent or was sent.
#[tokio::test]
async fn log_tells_a_request_by_fields() -> Result<()> {
    let fleet = fleet(1).await?;
    let answer = IngressCaller::once(fleet.daemons[0].caller, &digest("complaint")).await?;
    assert_eq!(answer.status, 200);
    let ended = || -> Option<serde_json::Value> {
        let log = fleet.log(0).ok()?;
        let mut lines = log.lines().filter_map(|line| serde_json::from_str(line).ok());
        lines.find(|line: &serde_json::Value| line["request"] == "complaint")
    };
    wait_for(SOON, "the log tells of the request", async || ended().is_some()).await?;
    let line = ended().expect("it was there");
    assert_eq!((&line["msg"], &line["outcome"]), (&json!("request_ended"), &json!("answered")));
    assert!(line["reason"].is_null() && line["revision"].is_u64(), "{line}");
    let stages = line["stages"].as_array().expect("a list");
    assert_eq!(stages.len(), 2, "{line}");
    assert!(stages.iter().all(|stage| stage["time_ms"].is_number()), "{line}");
    let log = fleet.log(0)?;
    assert!(log.contains("configuration_in_force") && !log.contains("\\\""), "{log}");
    assert!(!log.contains(" { ") && !log.contains("letter complaint"), "{log}");
    Ok(())
}

/// The store is away, and a worker that leaves can't write its notice there; it says so in its answers.
/// Another one turns requests away for some seconds. Neither gets anything after such an answer.
#[tokio::test]
async fn workers_that_say_so_themselves_get_nothing_more() -> Result<()> {
    let fleet = fleet(1).await?;
    let caller = fleet.daemons[0].caller;
    let ask = async |name: &str, count: usize| -> Result<()> {
        for index in 0..count {
            let request = IngressRequest::new("/ask/7", &format!("{name}{index}"));
            let answer = IngressCaller::once(caller, &request).await?;
            assert_eq!(answer.status, 200, "{name}{index}");
        }
        Ok(())
    };
    ask("earlier", 20).await?;
    fleet.store.set_mode(StoreMode::Silent);
    let seen = |index: usize| fleet.plain_workers[index].executed_requests().len();
    fleet.plain_workers[0].set_fault(WorkerFault::Leaving);
    wait_for(SOON, "the worker answers once more", async || {
        let before = seen(0);
        let _ = ask("once", 1).await;
        seen(0) > before
    })
    .await?;
    let before = seen(0);
    ask("after", 40).await?;
    assert_eq!(seen(0), before, "it has said that it leaves");
    fleet.plain_workers[1].set_fault(WorkerFault::Backoff);
    let refused = IngressCaller::once(caller, &IngressRequest::new("/ask/7", "refused")).await?;
    assert_eq!(refused.status, 503);
    fleet.plain_workers[1].set_fault(WorkerFault::None);
    let before = seen(1);
    for index in 0..10 {
        // With less time than the worker wants to be left alone for, it is refused at once.
        let short = IngressRequest::new("/ask/7", &format!("short{index}"));
        let short = short.field("x-deadline-ms", "1500");
        let answer = IngressCaller::once(caller, &short).await?;
        let after: f64 = answer.headers["retry-after"].to_str()?.parse()?;
        assert!(answer.status == 503 && after > 1.5, "{} {after}", answer.status);
    }
    assert_eq!(seen(1), before, "it wants nothing yet");
    let patient = IngressRequest::new("/ask/7", "patient");
    assert_eq!(IngressCaller::once(caller, &patient).await?.status, 200);
    assert_eq!(seen(1), before + 1, "it wants requests again");
    Ok(())
}
