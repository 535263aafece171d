use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use crocusdale_core::pipeline::{OutcomeKind, SubmittedRequest};
use serde::Deserialize;
use tokio::task::JoinSet;

use crate::{CallerAnswer, CallerClient, UpstreamStandIn};

/// Time for which a caller goes on asking what became of an order, beyond its deadline.
const RESOLVE_TIME: Duration = Duration::from_secs(6);
/// Pause of a caller before it asks or sends again.
const RETRY_PACE: Duration = Duration::from_millis(200);

/// One request of a trace.
#[derive(Clone, Debug, Deserialize)]
pub struct TraceLine {
    /// Time of its start, in milliseconds from the start of the trace.
    pub at_ms: f64,
    /// The request.
    pub request: SubmittedRequest,
    /// Text that its answer must hold.
    pub contains: String,
}

/// How one request ended for its caller.
#[derive(Debug)]
pub struct EndedRequest {
    /// The request.
    pub line: TraceLine,
    /// Its last final answer, if any came.
    pub answer: Option<CallerAnswer>,
    /// Whether that came within the deadline.
    pub in_time: bool,
}

/// What a replay counted.
#[derive(Clone, Debug, Default)]
pub struct ReplayTally {
    /// Answered whole.
    pub answered: u32,
    /// Answered whole within the deadline.
    pub attained: u32,
    /// Refused, not run.
    pub refused: u32,
    /// Failed, or repeatable and without any answer.
    pub failed: u32,
    /// Unknown.
    pub unknown: u32,
    /// Answered with what is not its own.
    pub wrong: u32,
    /// Orders that ran twice.
    pub doubled: u32,
    /// Orders said not to have run that ran.
    pub dishonest: u32,
    /// Orders of which nobody could say anything.
    pub lost: u32,
}

impl EndedRequest {
    /// Whether it was answered whole within its deadline.
    #[must_use]
    pub fn is_attained(&self) -> bool {
        let answer = self.answer.as_ref();
        self.in_time && answer.is_some_and(|answer| answer.kind() == OutcomeKind::Answered)
    }
}

impl ReplayTally {
    /// Number of requests.
    #[must_use]
    pub fn all(&self) -> u32 {
        self.answered + self.refused + self.failed + self.unknown + self.lost
    }
}

/// Reads a trace, to be replayed `speed` times as fast.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn read_trace(path: &Path, speed: f64) -> Result<Vec<TraceLine>> {
    let text = std::fs::read_to_string(path)?;
    let read = |line: &str| {
        let mut line: TraceLine = serde_json::from_str(line)?;
        line.at_ms /= speed;
        Ok(line)
    };
    text.lines().map(read).collect()
}

/// Replays `trace` in open loop against `daemons`, with callers that do as they are told: they ask
/// for addresses, send repeatable work again elsewhere, and ask what became of the rest. Keys end
/// in `name`.
pub async fn replay_trace(
    trace: &[TraceLine],
    daemons: Vec<SocketAddr>,
    name: &str,
) -> Vec<EndedRequest> {
    let (start, daemons) = (Instant::now(), Arc::new(daemons));
    let mut calls = JoinSet::new();
    for (number, line) in trace.iter().enumerate() {
        let mut line = line.clone();
        let key = format!("{}.{name}", line.request.key);
        line.contains = line.contains.replace(&line.request.key, &key);
        line.request.key = key;
        let due = start + Duration::from_secs_f64(line.at_ms / 1e3);
        tokio::time::sleep_until(due.into()).await;
        let daemons = Arc::clone(&daemons);
        calls.spawn(async move { one_caller(number, line, &daemons).await });
    }
    calls.join_all().await
}

/// Sends a request and, if no final answer comes, does what callers are told to do.
async fn one_caller(number: usize, line: TraceLine, daemons: &[SocketAddr]) -> EndedRequest {
    let client = CallerClient::new();
    let start = Instant::now();
    let deadline = Duration::from_millis(line.request.deadline_ms);
    let mut answer = None;
    for attempt in 0.. {
        let age = start.elapsed();
        let left = deadline.saturating_sub(age);
        let address = address(&client, number + attempt, daemons).await;
        let once = !line.request.repeatable;
        let over = if once { age > deadline + RESOLVE_TIME } else { left.is_zero() };
        if over {
            break;
        }
        let mut request = line.request.clone();
        request.deadline_ms = u64::try_from(left.as_millis()).unwrap_or(1).max(1);
        request.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let reply = if once && left.is_zero() {
            ask(&client, address, &request).await
        } else {
            send(&client, address, &request, left).await
        };
        let final_answer = reply.ok();
        let again = match &final_answer {
            None => true,
            Some(reply) => reply.kind() == OutcomeKind::Unknown || is_busy(reply),
        };
        answer = final_answer.or(answer);
        if !again {
            break;
        }
        tokio::time::sleep(RETRY_PACE).await;
    }
    EndedRequest { line, answer, in_time: start.elapsed() <= deadline }
}

/// Whether a refusal says that the same request may be sent again.
fn is_busy(reply: &CallerAnswer) -> bool {
    reply.kind() == OutcomeKind::Refused && reply.outcome.same_key == Some(true)
}

/// Asks the daemons in turn for an address, starting with another one each time.
async fn address(client: &CallerClient, number: usize, daemons: &[SocketAddr]) -> SocketAddr {
    for step in 0..daemons.len() {
        let daemon = daemons[(number + step) % daemons.len()];
        let path = format!("/v1/addresses?caller=c{number}");
        let asked = client.get(daemon, &path);
        let asked = tokio::time::timeout(RETRY_PACE, asked).await;
        if let Ok(Ok((200, body))) = asked
            && let Ok(reply) = serde_json::from_str::<serde_json::Value>(&body)
            && let Some(first) = reply["addresses"][0].as_str().and_then(|text| text.parse().ok())
        {
            return first;
        }
    }
    daemons[number % daemons.len()]
}

async fn send(
    client: &CallerClient,
    address: SocketAddr,
    request: &SubmittedRequest,
    left: Duration,
) -> Result<CallerAnswer> {
    let call = client.post(address, serde_json::to_string(request)?);
    tokio::time::timeout(left.max(RETRY_PACE), call).await?
}

async fn ask(
    client: &CallerClient,
    address: SocketAddr,
    request: &SubmittedRequest,
) -> Result<CallerAnswer> {
    let (workspace, key, age) = (&request.workspace, &request.key, request.age_ms);
    let path = format!("/v1/outcomes?workspace={workspace}&key={key}&age_ms={age}");
    let (status, body) =
        tokio::time::timeout(Duration::from_secs(3), client.get(address, &path)).await??;
    Ok(CallerAnswer { status, pieces: Vec::new(), outcome: serde_json::from_str(&body)? })
}

/// Holds what callers got against what `upstreams` ran.
#[must_use]
pub fn judge_replay(ended: &[EndedRequest], upstreams: &[&UpstreamStandIn]) -> ReplayTally {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for (key, count) in upstreams.iter().flat_map(|upstream| upstream.all_runs()) {
        *runs.entry(key).or_default() += count;
    }
    let mut tally = ReplayTally::default();
    for each in ended {
        let request = &each.line.request;
        let ran = runs.get(&format!("{}/{}", request.workspace, request.key)).copied();
        let ran = ran.unwrap_or_default();
        let once = !request.repeatable;
        tally.doubled += u32::from(once && ran > 1);
        let Some(answer) = &each.answer else {
            tally.lost += u32::from(once);
            tally.failed += u32::from(!once);
            continue;
        };
        match answer.kind() {
            OutcomeKind::Answered => {
                tally.answered += 1;
                tally.attained += u32::from(each.in_time);
                tally.wrong += u32::from(!answer.text().contains(&each.line.contains));
            }
            OutcomeKind::Refused => {
                tally.refused += 1;
                // A repeatable request may have run for an earlier try of its caller.
                tally.dishonest += u32::from(once && ran > 0);
            }
            OutcomeKind::Failed => tally.failed += 1,
            OutcomeKind::Unknown => tally.unknown += 1,
        }
    }
    tally
}
