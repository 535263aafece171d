//! Crowds of clients that send large, slow or endless requests to one daemon and stay connected.
//! The daemon keeps within the memory and the descriptors of its VM, and serves other callers.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use common::Upstreams;
use crocusdale_core::pipeline::OutcomeKind;
use platform_stand_ins::{IngressCaller, IngressRequest, PublishedFleet, VmSize, WorkerFault};
use stand_ins::{
    CallerClient, ClientCrowd, CrowdBody, DeclarationText, ProcessWatch, RequestBuilder,
    ResourcePeaks, send_raw, wait_for,
};
use tokio::sync::Mutex;

/// The smallest VM of the deployments.
const SMALLEST_VM: VmSize = VmSize { memory_mb: 120, descriptors: 3_075 };
/// Largest body that the deployments allow, in bytes.
const BODY_LIMIT: u64 = 4 << 20;
/// Number of clients whose largest bodies together exceed the memory of the smallest VM.
const CROWD: usize = 60;
/// Size of an ordinary request body, in bytes.
const ORDINARY_BYTES: usize = 18_000;
/// Time for which a test waits for a crowd to have written, and for one answer.
const PATIENCE: Duration = Duration::from_secs(60);
/// Pause before an ordinary caller comes back.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Held by the running test, as the memory of one daemon is measured at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

async fn fleet(vm: VmSize, replaced: &[(&str, usize)]) -> Result<PublishedFleet> {
    let limits = vm.limits_section(replaced)?;
    let (binary, directory) = (env!("CARGO_BIN_EXE_crocusdaled"), env!("CARGO_TARGET_TMPDIR"));
    PublishedFleet::start_scheduled(binary, directory, 1, 52, |_| limits.clone()).await
}

fn watch(fleet: &PublishedFleet) -> Result<ProcessWatch> {
    watch_daemon(fleet, 0)
}

fn watch_daemon(fleet: &PublishedFleet, index: usize) -> Result<ProcessWatch> {
    let daemon = &fleet.daemons[index];
    let addresses = [daemon.caller, daemon.addresses, daemon.readiness, daemon.operator];
    Ok(ProcessWatch::start(daemon.process.id()?, &addresses))
}

/// Heads of `count` requests, without their last line.
fn heads(count: usize) -> Vec<String> {
    let head = |index| {
        format!(
            "POST /ask/7 HTTP/1.1\r\nhost: mail.example\r\nx-attempt-id: crowd{index}\r\n\
             x-deadline-ms: 8000\r\nx-api-key: secret\r\n"
        )
    };
    (0..count).map(head).collect()
}

/// Sends an ordinary request, and again after each refusal.
async fn ordinary_request(address: SocketAddr, attempt: &str) -> Result<()> {
    let until = Instant::now() + PATIENCE;
    for number in 0.. {
        let request = IngressRequest::new("/ask/7", &format!("{attempt}-{number}"));
        let answer = IngressCaller::once(address, &request.body(vec![b'x'; ORDINARY_BYTES])).await;
        if answer.is_ok_and(|answer| answer.status == 200 && answer.is_complete) {
            break;
        }
        ensure!(Instant::now() < until, "the ordinary request {attempt} got no answer");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

/// Lets a crowd send `body` to a daemon on the smallest VM, with and without the crowd checks that
/// an ordinary request is answered, and checks the memory and the descriptors.
async fn check_crowd(clients: usize, body: CrowdBody, replaced: &[(&str, usize)]) -> Result<()> {
    let _alone = ALONE.lock().await;
    let fleet = fleet(SMALLEST_VM, replaced).await?;
    let caller = fleet.daemons[0].caller;
    let watch = watch(&fleet)?;
    let crowd = ClientCrowd::connect(caller, heads(clients), body);
    wait_for(PATIENCE, "the crowd has written", async || crowd.has_written()).await?;
    ordinary_request(caller, "beside").await?;
    drop(crowd);
    ordinary_request(caller, "after").await?;
    wait_until_nothing_is_held(fleet.daemons[0].operator).await?;
    check_peaks(watch.finish()?, SMALLEST_VM);
    Ok(())
}

/// Waits until all memory for bodies and answers was given back.
async fn wait_until_nothing_is_held(operator: SocketAddr) -> Result<()> {
    wait_for(PATIENCE, "nothing is held for callers", async || {
        let metrics = CallerClient::new().get(operator, "/metrics").await;
        metrics.is_ok_and(|(_, text)| text.contains("\ncrocusdale_held_bytes 0\n"))
    })
    .await
}

fn check_peaks(peaks: ResourcePeaks, vm: VmSize) {
    println!("{peaks:?}");
    assert!(peaks.memory_bytes <= vm.memory_bytes(), "{peaks:?} on {vm:?}");
    assert!(peaks.descriptors <= vm.descriptors, "{peaks:?} on {vm:?}");
}

/// Time limits that are longer than a test, so that a crowd stays for as long as it likes.
const NO_TIMEOUTS: &[(&str, usize)] = &[("head_ms", 600_000), ("body_ms", 600_000)];

/// Guards against bodies that stop before their last byte and together exceed the memory.
#[tokio::test]
async fn large_bodies_that_stop_short_leave_memory() -> Result<()> {
    let (announced, sent) = (BODY_LIMIT, BODY_LIMIT - 1);
    let body = CrowdBody::Announced { announced, sent, piece: 1 << 20 };
    check_crowd(CROWD, body, NO_TIMEOUTS).await
}

/// Guards against bodies that arrive in small pieces, stop before their last byte and together
/// exceed the memory.
#[tokio::test]
async fn large_bodies_in_pieces_leave_memory() -> Result<()> {
    let (announced, sent) = (BODY_LIMIT, BODY_LIMIT - 1);
    let body = CrowdBody::Announced { announced, sent, piece: 1_000 };
    check_crowd(CROWD, body, NO_TIMEOUTS).await
}

/// Guards against whole bodies of legal size that together exceed the memory.
#[tokio::test]
async fn whole_large_bodies_leave_memory() -> Result<()> {
    let body = CrowdBody::Announced { announced: BODY_LIMIT, sent: BODY_LIMIT, piece: 1 << 20 };
    check_crowd(CROWD, body, NO_TIMEOUTS).await
}

/// Guards against bodies in large chunks that never end and together exceed the memory.
#[tokio::test]
async fn large_chunks_without_an_end_leave_memory() -> Result<()> {
    let body = CrowdBody::Chunked { chunk: 256 << 10, sent: BODY_LIMIT, ends: false };
    check_crowd(CROWD, body, NO_TIMEOUTS).await
}

/// Guards against whole bodies in large chunks that together exceed the memory.
#[tokio::test]
async fn whole_bodies_in_large_chunks_leave_memory() -> Result<()> {
    let body = CrowdBody::Chunked { chunk: 256 << 10, sent: BODY_LIMIT, ends: true };
    check_crowd(CROWD, body, NO_TIMEOUTS).await
}

/// Guards against chunks of one byte that take many times their size.
#[tokio::test]
async fn chunks_of_one_byte_leave_memory() -> Result<()> {
    let body = CrowdBody::Chunked { chunk: 1, sent: 1 << 20, ends: false };
    check_crowd(8, body, NO_TIMEOUTS).await
}

/// Guards against one legal body in chunks of one byte that takes all the memory.
#[tokio::test]
async fn one_body_in_chunks_of_one_byte_is_served() -> Result<()> {
    let _alone = ALONE.lock().await;
    let fleet = fleet(SMALLEST_VM, NO_TIMEOUTS).await?;
    let (caller, watch) = (fleet.daemons[0].caller, watch(&fleet)?);
    let body = CrowdBody::Chunked { chunk: 1, sent: BODY_LIMIT, ends: true };
    let answer =
        tokio::task::spawn_blocking(move || send_raw(caller, &heads(1)[0], body, PATIENCE));
    let status = answer.await??;
    assert!(status.starts_with("HTTP/1.1 200"), "{status}");
    check_peaks(watch.finish()?, SMALLEST_VM);
    Ok(())
}

/// Guards against a limit that a single body of the largest size meets.
#[tokio::test]
async fn one_body_of_the_largest_size_is_served() -> Result<()> {
    let _alone = ALONE.lock().await;
    let fleet = fleet(SMALLEST_VM, NO_TIMEOUTS).await?;
    let (caller, watch) = (fleet.daemons[0].caller, watch(&fleet)?);
    let bodies = [
        CrowdBody::Announced { announced: BODY_LIMIT, sent: BODY_LIMIT, piece: 1 << 20 },
        CrowdBody::Chunked { chunk: 1 << 20, sent: BODY_LIMIT, ends: true },
        CrowdBody::Announced { announced: BODY_LIMIT, sent: BODY_LIMIT, piece: 700 },
    ];
    for body in bodies {
        let answer =
            tokio::task::spawn_blocking(move || send_raw(caller, &heads(1)[0], body, PATIENCE));
        let status = answer.await??;
        assert!(status.starts_with("HTTP/1.1 200"), "{status} for {body:?}");
    }
    check_peaks(watch.finish()?, SMALLEST_VM);
    Ok(())
}

/// Guards against bodies far over the limit that are read up to the limit before they are refused.
#[tokio::test]
async fn announced_bodies_over_the_limit_leave_memory() -> Result<()> {
    let body = CrowdBody::Announced { announced: 8 << 30, sent: 64 << 20, piece: 1 << 20 };
    check_crowd(CROWD, body, NO_TIMEOUTS).await
}

/// Guards against chunked bodies that go on far beyond the limit.
#[tokio::test]
async fn chunked_bodies_over_the_limit_leave_memory() -> Result<()> {
    let body = CrowdBody::Chunked { chunk: 256 << 10, sent: 64 << 20, ends: false };
    check_crowd(CROWD, body, NO_TIMEOUTS).await
}

/// Guards against small bodies that never end and hold all places for callers.
#[tokio::test]
async fn small_bodies_that_stop_short_leave_places() -> Result<()> {
    let announced = ORDINARY_BYTES as u64;
    let body = CrowdBody::Announced { announced, sent: announced - 1, piece: ORDINARY_BYTES };
    let limits = [NO_TIMEOUTS, &[("connections", 100)]].concat();
    check_crowd(150, body, &limits).await
}

/// Guards against requests whose heads never end and hold all places for callers.
#[tokio::test]
async fn heads_that_never_end_leave_places() -> Result<()> {
    let limits = [NO_TIMEOUTS, &[("connections", 100)]].concat();
    check_crowd(150, CrowdBody::UnfinishedHead, &limits).await
}

/// Guards against a stream that is closed for others while its upstream sends nothing.
#[tokio::test]
async fn streams_between_two_events_keep_their_places() -> Result<()> {
    let _alone = ALONE.lock().await;
    let limits = [NO_TIMEOUTS, &[("connections", 20), ("stall_ms", 100)]].concat();
    let fleet = fleet(SMALLEST_VM, &limits).await?;
    let caller = fleet.daemons[0].caller;
    for worker in &fleet.engine_workers {
        worker.set_event_pause(Duration::from_secs(1));
    }
    let request = IngressRequest::new("/digest/7", "stream")
        .field("x-pieces", "1")
        .field("x-piece-key", "7c1e")
        .field("x-token-usage", "1000,50");
    let stream = tokio::spawn(async move { IngressCaller::once(caller, &request).await });
    let runs = || fleet.engine_workers.iter().map(|each| each.executed_requests().len()).sum();
    wait_for(PATIENCE, "the stream has begun", async || {
        let count: usize = runs();
        count > 0
    })
    .await?;
    for _ in 0..5 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        drop(ClientCrowd::connect(caller, heads(40), CrowdBody::UnfinishedHead));
    }
    let answer = stream.await??;
    assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
    Ok(())
}

/// Guards against callers that read no answers, which the daemon holds for them.
#[tokio::test]
async fn answers_that_nobody_reads_leave_memory() -> Result<()> {
    let _alone = ALONE.lock().await;
    let fleet = fleet(SMALLEST_VM, NO_TIMEOUTS).await?;
    let caller = fleet.daemons[0].caller;
    let set_fault = |fault| fleet.plain_workers.iter().for_each(|worker| worker.set_fault(fault));
    let watch = watch(&fleet)?;
    set_fault(WorkerFault::LargeAnswer(8 << 20));
    let crowd = ClientCrowd::connect(caller, heads(30), CrowdBody::Empty);
    let runs = async || fleet.plain_workers.iter().map(|w| w.executed_requests().len()).sum();
    wait_for(PATIENCE, "half of the answers were made", async || {
        let count: usize = runs().await;
        crowd.has_written() && count >= 15
    })
    .await?;
    set_fault(WorkerFault::None);
    ordinary_request(caller, "beside").await?;
    drop(crowd);
    ordinary_request(caller, "after").await?;
    wait_until_nothing_is_held(fleet.daemons[0].operator).await?;
    check_peaks(watch.finish()?, SMALLEST_VM);
    Ok(())
}

/// Guards against clients of all listeners that take every descriptor, so that the daemon can't
/// connect to the store and to upstreams.
#[tokio::test]
async fn connections_to_all_listeners_leave_descriptors() -> Result<()> {
    const DESCRIPTORS: usize = 400;
    let _alone = ALONE.lock().await;
    let vm = VmSize { descriptors: DESCRIPTORS, ..SMALLEST_VM };
    let fleet = fleet(vm, NO_TIMEOUTS).await?;
    let daemon = &fleet.daemons[0];
    let watch = watch(&fleet)?;
    let listeners = [daemon.caller, daemon.addresses, daemon.readiness, daemon.operator];
    let crowds = listeners
        .map(|address| ClientCrowd::connect(address, heads(150), CrowdBody::UnfinishedHead));
    wait_for(PATIENCE, "the crowds have written", async || {
        crowds.iter().all(ClientCrowd::has_written)
    })
    .await?;
    ordinary_request(daemon.caller, "beside").await?;
    drop(crowds);
    ordinary_request(daemon.caller, "after").await?;
    check_peaks(watch.finish()?, vm);
    Ok(())
}

/// Guards against large bodies that take the memory of two daemons, as one sends them through the
/// other.
#[tokio::test]
async fn large_bodies_in_transit_leave_memory() -> Result<()> {
    const TRANSIT_BYTES: u64 = 3 << 20;
    let _alone = ALONE.lock().await;
    let limits = SMALLEST_VM.limits_section(NO_TIMEOUTS)?;
    let (binary, directory) = (env!("CARGO_BIN_EXE_crocusdaled"), env!("CARGO_TARGET_TMPDIR"));
    let fleet =
        PublishedFleet::start_cut_off_with(binary, directory, 2, |_| limits.clone()).await?;
    let caller = fleet.daemons[0].caller;
    ordinary_request(caller, "before").await?;
    let watches = [watch_daemon(&fleet, 0)?, watch_daemon(&fleet, 1)?];
    let body =
        CrowdBody::Announced { announced: TRANSIT_BYTES, sent: TRANSIT_BYTES, piece: 1 << 20 };
    for worker in &fleet.plain_workers {
        worker.set_fault(WorkerFault::Pause(Duration::from_secs(1)));
    }
    let crowd = ClientCrowd::connect(caller, heads(CROWD), body);
    let runs = || fleet.plain_workers.iter().map(|each| each.executed_requests().len()).sum();
    wait_for(PATIENCE, "bodies of the crowd have arrived at the workers", async || {
        let count: usize = runs();
        crowd.has_written() && count >= 8
    })
    .await?;
    ordinary_request(caller, "beside").await?;
    drop(crowd);
    ordinary_request(caller, "after").await?;
    for watch in watches {
        check_peaks(watch.finish()?, SMALLEST_VM);
    }
    Ok(())
}

/// Guards against large bodies of JSON requests that stop before their last byte and together exceed
/// the memory.
#[tokio::test]
async fn large_json_bodies_leave_memory() -> Result<()> {
    let _alone = ALONE.lock().await;
    let upstreams = Upstreams::start()?;
    let text = upstreams.declare(DeclarationText::default()).build();
    let limits = SMALLEST_VM.limits_section(NO_TIMEOUTS)?;
    let limits = limits.trim_start_matches("[limits]");
    let fleet = common::fleet(1).limits(limits).configuration(text).start().await?;
    let daemon = &fleet.daemons[0];
    let watch = ProcessWatch::start(daemon.id()?, &[daemon.caller, daemon.operator]);
    let head = "POST /v1/requests HTTP/1.1\r\nhost: a\r\n".to_owned();
    let (announced, sent) = (BODY_LIMIT, BODY_LIMIT - 1);
    let body = CrowdBody::Announced { announced, sent, piece: 1 << 20 };
    let crowd = ClientCrowd::connect(daemon.caller, vec![head; CROWD], body);
    wait_for(PATIENCE, "the crowd has written", async || crowd.has_written()).await?;
    for key in ["beside", "after"] {
        let request = RequestBuilder::new(key, "read");
        let answer = CallerClient::new().submit(daemon.caller, &request).await?;
        assert_eq!(answer.kind(), OutcomeKind::Answered, "{answer:?}");
    }
    drop(crowd);
    check_peaks(watch.finish()?, SMALLEST_VM);
    Ok(())
}
