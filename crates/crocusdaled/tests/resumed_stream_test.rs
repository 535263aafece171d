//! Streams that go on after they broke off, before real daemons and engines of two software versions.

use std::collections::BTreeSet;
use std::time::Duration;

use anyhow::{Context as _, Result};
use platform_stand_ins::{
    IngressAnswer, IngressCaller, IngressRequest, PublishedFleet, WorkerFault, WorkerStandIn,
};
use stand_ins::wait_for;
use tokio::task::JoinSet;

/// Time within which something that is due within seconds must have happened on a busy machine.
const SOON: Duration = Duration::from_secs(15);
/// Time within which a stream that can't go on must be refused, on a busy machine.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Number of engines of each version.
const ENGINES_PER_VERSION: usize = 2;
/// Software versions that serve side by side.
const VERSIONS: [&str; 2] = ["v2", "v3"];
/// Maximum number of tries that a caller makes for one stream.
const MAX_TRIES: usize = 5;
/// Pause of a caller between two tries of one stream.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What one caller got for one stream, over all its tries.
#[derive(Debug, Default)]
struct StreamReport {
    /// Software versions whose events the caller has.
    versions: BTreeSet<String>,
    /// Ids of the events in the order of their arrival.
    events: Vec<u64>,
    is_complete: bool,
    /// Number of later tries that a daemon answered, and of those that brought an event or the end.
    resumptions: (usize, usize),
}

impl StreamReport {
    fn add(&mut self, answer: &IngressAnswer) {
        for event in answer.body.split_terminator("\n\n") {
            let id = event.strip_prefix("id: ").and_then(|rest| rest.split('\n').next());
            self.events.extend(id.and_then(|id| id.parse::<u64>().ok()));
            let version = event.rsplit_once(" of ").map(|(_, version)| version.to_owned());
            self.versions.extend(version);
        }
        self.is_complete = answer.status == 200 && answer.is_complete;
    }

    fn is_gapless(&self) -> bool {
        self.events.iter().enumerate().all(|(index, id)| index as u64 == *id)
    }
}

/// A request for a stream. The prompt of `subject` decides which engine is preferred.
fn digest(attempt: &str, subject: usize) -> IngressRequest {
    IngressRequest::new("/digest/7", attempt)
        .field("x-pieces", "1")
        .field("x-piece-key", "7c1e")
        .field("x-token-usage", "1000,50")
        .field("x-prefix-hash", &format!("{subject:x}:900,ff{subject:x}:100"))
}

fn resumption(
    (attempt, subject): (&str, usize),
    first_attempt: &str,
    last_event: u64,
) -> IngressRequest {
    digest(attempt, subject)
        .field("resumes", first_attempt)
        .field("last-event-id", &last_event.to_string())
}

/// Starts daemons before engines of two software versions, and waits until all daemons know them.
async fn fleet(size: usize) -> Result<PublishedFleet> {
    let binary = env!("CARGO_BIN_EXE_crocusdaled");
    let mut fleet =
        PublishedFleet::start_with_retries(binary, env!("CARGO_TARGET_TMPDIR"), size, 2_000)
            .await?;
    for old in fleet.engine_workers.drain(..) {
        fleet.store.remove(old.id());
    }
    for version in VERSIONS {
        for index in 0..ENGINES_PER_VERSION {
            let engine =
                WorkerStandIn::start_at_version(&format!("engine-{version}-{index}"), version)?;
            fleet.store.publish(engine.id(), &engine.entry("reader", "ready"));
            fleet.engine_workers.push(engine);
        }
    }
    wait_for(SOON, "every daemon sends streams to engines of both versions", async || {
        let mut versions = BTreeSet::new();
        for (index, daemon) in fleet.daemons.iter().enumerate() {
            let mut report = StreamReport::default();
            for number in 0..12 {
                let request = digest(&format!("first-{index}-{number}"), number);
                if let Ok(answer) = IngressCaller::once(daemon.caller, &request).await {
                    report.add(&answer);
                }
            }
            versions.extend(report.versions.into_iter().map(|version| (index, version)));
        }
        versions.len() == fleet.daemons.len() * VERSIONS.len()
    })
    .await?;
    Ok(fleet)
}

/// Reads one stream to its end, with up to [`MAX_TRIES`] tries at the daemons that `daemon_of` names
/// for each try.
async fn read_stream(
    callers: Vec<std::net::SocketAddr>,
    subject: usize,
    daemon_of: impl Fn(usize) -> usize + Send,
) -> StreamReport {
    let first_attempt = format!("stream-{subject}-0");
    let mut report = StreamReport::default();
    for number in 0..MAX_TRIES {
        let request = match report.events.last() {
            Some(last) => {
                let attempt = format!("stream-{subject}-{number}");
                resumption((&attempt, subject), &first_attempt, *last)
            }
            None if number == 0 => digest(&first_attempt, subject),
            // The stream begins with the try that brings its first event, so that a caller without
            // one has nothing to take up.
            None => break,
        };
        let events_before = report.events.len();
        let caller = callers[daemon_of(number) % callers.len()];
        if let Ok(answer) = IngressCaller::once(caller, &request).await {
            report.add(&answer);
            if number > 0 {
                report.resumptions.0 += 1;
                let goes_on = report.is_complete || report.events.len() > events_before;
                report.resumptions.1 += usize::from(goes_on);
            }
        }
        if report.is_complete {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    report
}

/// Reads `count` streams, `parallel` at a time, each try at another daemon.
async fn read_streams(fleet: &PublishedFleet, count: usize, parallel: usize) -> Vec<StreamReport> {
    let callers: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.caller).collect();
    let (mut reports, mut open) = (Vec::new(), JoinSet::new());
    for index in 0..count {
        if open.len() >= parallel {
            reports.extend(open.join_next().await.and_then(Result::ok));
        }
        let callers = callers.clone();
        open.spawn(read_stream(callers, index, move |number| index + number));
    }
    while let Some(report) = open.join_next().await {
        reports.extend(report.ok());
    }
    reports
}

fn assert_one_version(reports: &[StreamReport]) {
    let mixed = reports.iter().filter(|report| report.versions.len() > 1).count();
    assert_eq!(mixed, 0, "of {} streams, {mixed} hold events of two versions", reports.len());
    let torn = reports.iter().filter(|report| !report.is_gapless()).count();
    assert_eq!(torn, 0, "of {} streams, {torn} have missing or repeated events", reports.len());
}

/// Share of the tries that take up a stream which go on with it.
fn resumed_share(reports: &[StreamReport]) -> f64 {
    let tries: usize = reports.iter().map(|report| report.resumptions.0).sum();
    let resumed: usize = reports.iter().map(|report| report.resumptions.1).sum();
    assert!(tries >= 12, "only {tries} tries took up a stream");
    resumed as f64 / tries as f64
}

/// Guards against a daemon that lets a stream of its own go on at an engine with other software.
#[tokio::test]
async fn stream_of_one_answer_stays_at_its_software_version() -> Result<()> {
    let fleet = fleet(1).await?;
    for engine in &fleet.engine_workers {
        engine.set_fault(WorkerFault::SomeTruncatedStreams(4));
    }
    let caller = fleet.daemons[0].caller;
    let mut reports = Vec::new();
    for index in 0..100 {
        let mut report = StreamReport::default();
        report.add(&IngressCaller::once(caller, &digest(&format!("stream-{index}"), index)).await?);
        reports.push(report);
    }
    assert_one_version(&reports);
    let complete = reports.iter().filter(|report| report.is_complete).count();
    assert!(complete >= 75, "only {complete} of 100 streams are complete");
    Ok(())
}

/// Guards against streams that callers take up at other daemons, and that go on at an engine with
/// other software than the one that began them.
#[tokio::test]
async fn stream_of_several_tries_stays_at_its_software_version() -> Result<()> {
    let fleet = fleet(3).await?;
    for engine in &fleet.engine_workers {
        engine.set_fault(WorkerFault::SomeTruncatedStreams(2));
    }
    let reports = read_streams(&fleet, 240, 12).await;
    assert_one_version(&reports);
    let share = resumed_share(&reports);
    assert!(share >= 0.5, "only {share:.2} of the tries that take up a stream go on with it");
    let repeated = reports.iter().filter(|report| report.resumptions.1 >= 2).count();
    assert!(repeated > 0, "no stream was taken up twice");
    Ok(())
}

/// Guards against streams that are lost, or go on at an engine with other software, because the
/// daemon that began them was killed: one at a time, and then two.
#[tokio::test]
async fn streams_of_killed_daemons_go_on_at_their_software_version() -> Result<()> {
    let mut fleet = fleet(4).await?;
    for engine in &fleet.engine_workers {
        engine.set_event_pause(Duration::from_millis(60));
    }
    let callers: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.caller).collect();
    let mut open = JoinSet::new();
    for (round, killed) in [vec![0], vec![1], vec![2, 3], vec![0, 1]].iter().enumerate() {
        for index in (0..24).map(|index| 24 * round + index) {
            let callers = callers.clone();
            open.spawn(read_stream(callers, index, move |number| index + number));
        }
        // Streams are under way.
        tokio::time::sleep(Duration::from_millis(200)).await;
        for index in killed {
            fleet.daemons[*index].process.kill();
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        for index in killed {
            fleet.start_daemon(*index)?;
        }
        fleet.wait_ready().await?;
    }
    let mut reports = Vec::new();
    while let Some(report) = open.join_next().await {
        reports.extend(report.ok());
    }
    assert_one_version(&reports);
    let share = resumed_share(&reports);
    assert!(share >= 0.5, "only {share:.2} of the tries that take up a stream go on with it");
    Ok(())
}

/// Guards against a guess where nobody knows where a stream began, and against a request that waits
/// for an engine which will not come.
#[tokio::test]
async fn stream_that_can_not_go_on_is_refused_at_once() -> Result<()> {
    let fleet = fleet(3).await?;
    for engine in &fleet.engine_workers {
        engine.set_fault(WorkerFault::TruncatedStream(2));
    }
    let mut report = StreamReport::default();
    report.add(&IngressCaller::once(fleet.daemons[0].caller, &digest("first", 7)).await?);
    assert!(!report.is_complete && !report.events.is_empty());
    for engine in &fleet.engine_workers {
        engine.set_fault(WorkerFault::None);
    }
    let refused_at_once = async |name: &str, request: IngressRequest| -> Result<()> {
        for (index, daemon) in fleet.daemons.iter().enumerate() {
            let request = request.clone().field("x-attempt-id", &format!("{name}-{index}"));
            let answer =
                tokio::time::timeout(AT_ONCE, IngressCaller::once(daemon.caller, &request));
            let answer = answer.await.context("the stream was not refused at once")??;
            assert_eq!(answer.status, 503, "{name}");
            assert!(answer.headers.contains_key("retry-after"), "{name}");
        }
        let mut ran = fleet.engine_workers.iter().flat_map(WorkerStandIn::executed_requests);
        assert!(!ran.any(|seen| seen.attempt.starts_with(name)), "{name} was sent to an engine");
        Ok(())
    };
    refused_at_once("unknown", resumption(("-", 7), "nobody", 1)).await?;
    refused_at_once("missing", digest("-", 7).field("last-event-id", "1")).await?;
    refused_at_once("empty", resumption(("-", 7), " ", 1)).await?;
    let version = report.versions.first().cloned().unwrap_or_default();
    let is_old = |engine: &&WorkerStandIn| engine.id().contains(&version);
    for engine in fleet.engine_workers.iter().filter(is_old) {
        fleet.store.remove(engine.id());
    }
    // Until they know the new list, daemons may send it to an engine that has not left yet.
    wait_for(SOON, "all daemons know that the engines have gone", async || {
        let mut refusals = 0;
        for daemon in &fleet.daemons {
            let request = resumption(("probe", 7), "first", 1);
            let answer = IngressCaller::once(daemon.caller, &request).await;
            refusals += usize::from(answer.is_ok_and(|answer| answer.status == 503));
        }
        refusals == fleet.daemons.len()
    })
    .await?;
    refused_at_once("gone", resumption(("-", 7), "first", 1)).await
}
