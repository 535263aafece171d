//! Answers with neither a length nor chunks, which end with their connection, before a real daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Result;
use platform_stand_ins::{IngressAnswer, IngressCaller, IngressRequest, PublishedFleet};
use serde_json::json;
use stand_ins::wait_for;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);
/// Number of events in a whole stream.
const EVENTS: usize = 3;

/// How an engine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnframedAnswer {
    /// With all events, and then it closes the connection.
    Whole,
    /// With one event and a part of the next one, and then it closes the connection.
    InsideEvent,
    /// With one event, and then its process ends.
    Crash,
}

/// Engine that reads no more than the head of a request.
#[derive(Debug)]
struct RawEngine {
    id: String,
    address: SocketAddr,
    runs: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for RawEngine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawEngine {
    async fn start(id: &str, answer: UnframedAnswer) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, runs) = (listener.local_addr()?, Arc::new(AtomicUsize::new(0)));
        let (task_runs, task_id) = (Arc::clone(&runs), id.to_owned());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let is_over = serve(stream, &task_id, answer, &task_runs).await.unwrap_or(false);
                if is_over {
                    // The listener is closed with the process.
                    return;
                }
            }
        });
        Ok(Self { id: id.to_owned(), address, runs, task })
    }

    fn publish(&self, fleet: &PublishedFleet) {
        let entry = json!({
            "service": "reader", "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seqNo": 1
        });
        fleet.store.publish(&self.id, &entry);
    }

    fn run_count(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }
}

/// Answers one request. Returns whether the process ends with it.
async fn serve(
    mut stream: TcpStream,
    id: &str,
    answer: UnframedAnswer,
    runs: &AtomicUsize,
) -> Result<bool> {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut buffer = [0; 4_096];
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(false);
        }
        head.extend_from_slice(&buffer[..length]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let field = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| line.strip_prefix(&format!("{name}: "))).unwrap_or_default()
    };
    if field("x-expect-instance") != id {
        let refusal = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(refusal.as_bytes()).await?;
        return Ok(false);
    }
    runs.fetch_add(1, Ordering::Relaxed);
    let first = field("last-event-id").parse::<usize>().map_or(0, |last| last + 1);
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {}\r\nx-response-signature: {id}\r\n\
         content-type: text/event-stream\r\nconnection: close\r\n\r\n",
        field("x-attempt-id")
    );
    let event = |number: usize| format!("id: {number}\ndata: word {number}\n\n");
    match answer {
        UnframedAnswer::Whole => text.extend((first..EVENTS).map(event)),
        UnframedAnswer::InsideEvent => {
            text.push_str(&event(first));
            text.push_str("id: 1\ndata: wo");
        }
        UnframedAnswer::Crash => text.push_str(&event(first)),
    }
    stream.write_all(text.as_bytes()).await?;
    stream.shutdown().await?;
    Ok(answer == UnframedAnswer::Crash)
}

fn request(attempt: &str) -> IngressRequest {
    IngressRequest::new("/digest/7", attempt)
        .field("x-pieces", "0")
        .field("x-token-usage", "1000,50")
        .field("x-prefix-hash", &format!("bad:300,{attempt}:100"))
        .body(format!("body of {attempt}"))
}

/// A daemon whose only engines are `engines`.
async fn fleet(engines: &[&RawEngine]) -> Result<PublishedFleet> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let fleet = PublishedFleet::start(binary, env!("CARGO_TARGET_TMPDIR"), 1).await?;
    for worker in &fleet.engine_workers {
        fleet.store.remove(worker.id());
    }
    for engine in engines {
        engine.publish(&fleet);
    }
    // Not all engines of the fleet end with their first request.
    wait_for(SOON, "the daemon knows the engines", async || {
        let log = fleet.log(0).unwrap_or_default();
        let is_listed = |line: &&str| line.contains("directory_taken");
        let list = log.lines().rfind(is_listed).unwrap_or_default().to_owned();
        list.contains(&format!("\"upstreams\":{}", 4 + engines.len()))
    })
    .await?;
    Ok(fleet)
}

/// Sends a request until an engine of `engines` has run it, and returns its answer.
async fn send_until_run(
    fleet: &PublishedFleet,
    engines: &[&RawEngine],
    name: &str,
) -> Result<IngressAnswer> {
    let runs = || engines.iter().map(|engine| engine.run_count()).sum::<usize>();
    let (before, mut answers, mut tries) = (runs(), Vec::new(), 0);
    wait_for(SOON, "an engine runs the request", async || {
        tries += 1;
        let request = request(&format!("{name}{tries:x}"));
        answers.extend(IngressCaller::once(fleet.daemons[0].caller, &request).await);
        runs() > before
    })
    .await?;
    answers.pop().ok_or_else(|| anyhow::anyhow!("the daemon has not answered"))
}

#[tokio::test]
async fn whole_stream_that_ends_with_its_connection_is_complete() -> Result<()> {
    let engine = RawEngine::start("raw", UnframedAnswer::Whole).await?;
    let fleet = fleet(&[&engine]).await?;
    let answer = send_until_run(&fleet, &[&engine], "a").await?;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body.matches("data: word").count(), EVENTS);
    Ok(())
}

/// Guards against a part of an answer that looks like the whole.
#[tokio::test]
async fn stream_that_ends_inside_an_event_is_broken_off() -> Result<()> {
    let engine = RawEngine::start("raw", UnframedAnswer::InsideEvent).await?;
    let fleet = fleet(&[&engine]).await?;
    let answer = send_until_run(&fleet, &[&engine], "b").await?;
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert!(answer.body.ends_with("\n\n"), "a part of an event was passed on: {}", answer.body);
    Ok(())
}

/// Guards against a crash that is taken for the end of an answer: the caller would take a part for
/// the whole, and the answer would clear the prompt part that crashes engines.
#[tokio::test]
async fn crash_between_two_events_is_no_complete_answer() -> Result<()> {
    let mut engines = Vec::new();
    for index in 0..10 {
        engines.push(RawEngine::start(&format!("raw-{index}"), UnframedAnswer::Crash).await?);
    }
    let engines: Vec<&RawEngine> = engines.iter().collect();
    let fleet = fleet(&engines).await?;
    let is_quarantined =
        || fleet.log(0).is_ok_and(|log| log.contains("\"msg\":\"part_quarantined\""));
    for index in 0..3 {
        let answer = send_until_run(&fleet, &engines, &format!("c{index}")).await?;
        assert!(!answer.is_complete, "{} of {EVENTS} events look whole", answer.body);
        for engine in engines.iter().filter(|engine| engine.run_count() > 0) {
            fleet.store.remove(&engine.id);
        }
        if is_quarantined() {
            break;
        }
        // Crashes within a moment have a common cause.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    wait_for(SOON, "requests with the part are refused", async || is_quarantined()).await?;
    let runs = || engines.iter().map(|engine| engine.run_count()).sum::<usize>();
    let before = runs();
    let answer = IngressCaller::once(fleet.daemons[0].caller, &request("d1")).await?;
    assert_eq!((answer.status, runs()), (503, before), "no engine gets a request with the part");
    assert!(before < engines.len(), "all engines have ended");
    Ok(())
}
