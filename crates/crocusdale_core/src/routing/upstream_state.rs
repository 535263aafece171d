use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use super::{EngineLoad, ReportedPace};
use crate::identity::{MonotonicTime, stable_hash};

/// Number of consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection. Each further consecutive ejection lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Maximum number of times that the ejection duration is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Time for which an upstream gets no work after it declined an attempt because it was full. Long
/// enough for a slot to become free at a few tens of milliseconds per request, and short compared
/// to all deadlines.
const FULL_BACKOFF: Duration = Duration::from_millis(50);
/// Weight of the newest sample in the moving average of the answer time.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Relative cost that each consecutive failure adds to an upstream.
const FAILURE_PENALTY: f64 = 10.0;
/// Ratio of an answer's time to the shortest recent one above which the answer is assumed to have
/// waited in a queue of the upstream.
const CONGESTION_RATIO: f64 = 2.0;
/// Factor by which the shortest recent answer time grows with each answer, so that an outdated
/// minimum is replaced.
const MIN_ANSWER_TIME_GROWTH: f64 = 1.01;
/// Concurrency window before any answer was measured. It is small because queued work is better
/// kept in this daemon than sent ahead.
const INITIAL_WINDOW: f64 = 2.0;
/// Factor by which the concurrency window shrinks after an answer that was queued in the upstream.
const WINDOW_SHRINK_FACTOR: f64 = 0.8;

/// Outcome of an attempt, as seen from its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The upstream answered, in the given time.
    Answered(Duration),
    /// The upstream answered, but the time it took is unknown.
    Unmeasured,
    /// The attempt failed: the upstream reported an error, timed out or sent an invalid answer.
    Failed,
    /// The upstream declined the attempt because it was full.
    Declined,
    /// The attempt was cancelled for a reason unrelated to the upstream.
    Cancelled,
}

/// This daemon's view of one upstream: load, latency, failures and availability.
#[derive(Debug)]
pub struct UpstreamState {
    name: String,
    limit: u32,
    in_flight: u32,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<MonotonicTime>,
    mean_answer_time: Option<Duration>,
    /// Shortest recent answer time, which grows slowly with each answer.
    min_answer_time: Option<Duration>,
    /// Adaptive limit for concurrent attempts, between 1 and the declared limit.
    concurrency_window: f64,
    listed_leaving: bool,
    leaving_process: Option<String>,
    /// Time until which the upstream gets no work because it declined an attempt.
    full_until: Option<MonotonicTime>,
    /// Time until which the upstream has asked this daemon to send nothing.
    backoff_until: Option<MonotonicTime>,
    /// Time at which the process was added to a known pool. It may have started then. `None` if it
    /// was part of the pool from the start.
    added_at: Option<MonotonicTime>,
    /// Time of the last failed attempt, after which the process may have started again. `None` if
    /// there was none.
    failed_at: Option<MonotonicTime>,
    /// End of the cold start, as the upstream reported it.
    cold_until: Option<MonotonicTime>,
    /// Times of the recent requests to this upstream, recorded only if its pool has cold starts.
    recent_sends: VecDeque<MonotonicTime>,
    /// Pace that the upstream reported last.
    reported_pace: ReportedPace,
    /// Prompt cache and backlog, if the upstream is a model engine.
    pub(super) engine: Option<EngineLoad>,
}

/// Summary of one upstream in the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamSummary {
    /// Name of the upstream.
    pub name: String,
    /// Number of attempts of this daemon in flight at the upstream.
    pub in_flight: u32,
    /// Whether the upstream gets no new work because it is leaving.
    pub leaving: bool,
    /// Whether the upstream gets no new work because of its failures.
    pub ejected: bool,
    /// Whether the upstream is in its cold start, and gets few requests.
    pub cold: bool,
    /// Moving average of the answer time, in milliseconds. `None` before the first answer.
    #[serde(rename = "learned_ms")]
    pub mean_answer_time_ms: Option<f64>,
}

impl UpstreamState {
    /// State of an upstream without history, which accepts `limit` concurrent attempts.
    #[must_use]
    pub fn new(name: impl Into<String>, limit: u32) -> Self {
        Self {
            name: name.into(),
            limit,
            in_flight: 0,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
            mean_answer_time: None,
            min_answer_time: None,
            concurrency_window: INITIAL_WINDOW.min(f64::from(limit)),
            listed_leaving: false,
            leaving_process: None,
            full_until: None,
            backoff_until: None,
            added_at: None,
            failed_at: None,
            cold_until: None,
            recent_sends: VecDeque::new(),
            reported_pace: ReportedPace::default(),
            engine: None,
        }
    }

    /// Sets the number of concurrent attempts that the upstream accepts.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.concurrency_window = self.concurrency_window.clamp(1.0, f64::from(limit));
    }

    /// Sets whether the VM list shows the upstream's VM as leaving. Only the VM list can revoke
    /// that.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        // The VM list showed the VM as leaving and now shows it as live: another process runs
        // there.
        if self.listed_leaving && !leaving {
            self.leaving_process = None;
        }
        self.listed_leaving = leaving;
    }

    /// Records that the process `process` is leaving. Returns whether that was unknown.
    pub fn record_leaving(&mut self, process: &str) -> bool {
        let is_new = self.leaving_process.as_deref() != Some(process);
        self.leaving_process = Some(process.to_owned());
        is_new
    }

    /// Records that the process `process` serves the upstream and is not leaving. If another process
    /// was leaving, this one has replaced it.
    pub fn confirm_running(&mut self, process: &str) {
        if self.leaving_process.as_deref().is_some_and(|leaving| leaving != process) {
            self.leaving_process = None;
        }
    }

    /// Whether the upstream gets no new work because it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving_process.is_some()
    }

    /// Whether the upstream gets no new work because of its failures.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the upstream has a free slot for one more attempt.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        match &self.engine {
            // An engine processes all its requests concurrently, and its answers are streams of any
            // length. Their times don't indicate a queue, so that the adaptive window is not used.
            Some(_) => self.in_flight < self.limit,
            None => f64::from(self.in_flight) < self.concurrency_window.floor(),
        }
    }

    /// Whether the upstream recently declined an attempt because it was full.
    #[must_use]
    pub fn is_full(&self, now: MonotonicTime) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Excludes the upstream from new requests of this daemon until `until`, as the upstream asked.
    pub fn back_off(&mut self, until: MonotonicTime) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Remaining time for which the upstream wants no requests from this daemon. Unlike
    /// [`Self::is_full`], this is the upstream's own request and not an estimate, so that it also
    /// holds if no other upstream is left.
    #[must_use]
    pub fn backoff_left(&self, now: MonotonicTime) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Marks the upstream as possibly started at `now`, because it was added to a known pool.
    pub fn set_possible_start(&mut self, now: MonotonicTime) {
        self.added_at = Some(now);
    }

    /// Sets the end of the cold start that the upstream reported, or `None`.
    pub fn set_cold_until(&mut self, until: Option<MonotonicTime>) {
        self.cold_until = until;
    }

    /// Whether the upstream is or may be in its cold start, which lasts for `lasts` in its pool.
    /// The platform may publish a start late, and a restarted process may keep its ID and address.
    /// A process that was added or failed recently is therefore treated as cold.
    #[must_use]
    pub fn may_be_cold(&self, lasts: Duration, now: MonotonicTime) -> bool {
        let possible_start = self.added_at.max(self.failed_at);
        let is_new = possible_start.is_some_and(|start| now.since(start) < lasts);
        is_new || self.cold_until.is_some_and(|until| now < until)
    }

    /// Stable hash of the upstream's name.
    #[must_use]
    pub fn hash(&self) -> u64 {
        stable_hash(&[&self.name])
    }

    /// Records a request at `now`, and drops those that are older than `window`.
    pub fn record_send(&mut self, now: MonotonicTime, window: Duration) {
        while self.recent_sends.front().is_some_and(|sent| now.since(*sent) > window) {
            self.recent_sends.pop_front();
        }
        self.recent_sends.push_back(now);
    }

    /// Number of recorded requests within the last `window`.
    #[must_use]
    pub fn recent_send_count(&self, now: MonotonicTime, window: Duration) -> usize {
        self.recent_sends.iter().rev().take_while(|sent| now.since(**sent) <= window).count()
    }

    /// Number of attempts of this daemon in flight at the upstream.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Shortest recent answer time. Zero if no answer was measured.
    #[must_use]
    pub fn min_answer_time(&self) -> Duration {
        self.min_answer_time.unwrap_or_default()
    }

    /// Relative cost of one more attempt, for comparing the upstreams of a pool: the expected wait
    /// in seconds, increased by consecutive failures. After a failure, an upstream is chosen only
    /// if no better one is found. Work that must not be repeated has only one attempt, and each
    /// daemon would lose several such attempts before it ejects the upstream. A pace that the
    /// upstream reported recently counts too.
    #[must_use]
    pub fn cost(&self, now: MonotonicTime) -> f64 {
        let mean = self.mean_answer_time.map_or(0.001, |mean| mean.as_secs_f64());
        f64::from(self.in_flight + 1)
            * mean
            * (1.0 + FAILURE_PENALTY * f64::from(self.consecutive_failures))
            * self.reported_pace.factor(now)
    }

    /// Records that the upstream reported `pace`, in percent of the usual time, at `now`.
    pub fn record_pace(&mut self, pace: u32, now: MonotonicTime) {
        self.reported_pace.record(pace, now);
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of an attempt.
    pub fn end_attempt(&mut self, report: AttemptReport, now: MonotonicTime) {
        debug_assert!(self.in_flight > 0, "an attempt ends once");
        self.in_flight = self.in_flight.saturating_sub(1);
        match report {
            AttemptReport::Answered(time) => {
                self.clear_failures();
                self.record_answer(time);
            }
            AttemptReport::Unmeasured => self.clear_failures(),
            AttemptReport::Failed => self.record_failure(now),
            AttemptReport::Declined => {
                self.adjust_window(true);
                self.full_until = Some(now + FULL_BACKOFF);
            }
            AttemptReport::Cancelled => {}
        }
    }

    /// Summary for the state dump.
    #[must_use]
    pub fn summary(&self, now: MonotonicTime) -> UpstreamSummary {
        UpstreamSummary {
            name: self.name.clone(),
            in_flight: self.in_flight,
            leaving: self.is_leaving(),
            ejected: self.is_ejected(now),
            cold: self.cold_until.is_some_and(|until| now < until),
            mean_answer_time_ms: self.mean_answer_time.map(|mean| mean.as_secs_f64() * 1e3),
        }
    }

    /// Forgets all failed attempts, because the links of this daemon have failed and not the
    /// upstream.
    pub fn forget_failures(&mut self) {
        self.clear_failures();
        self.failed_at = None;
    }

    /// Clears all failures after an answer.
    fn clear_failures(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.ejected_until = None;
    }

    fn record_answer(&mut self, time: Duration) {
        let mean = self.mean_answer_time.unwrap_or(time).as_secs_f64();
        let updated = mean + SAMPLE_WEIGHT * (time.as_secs_f64() - mean);
        self.mean_answer_time = Some(Duration::from_secs_f64(updated));
        let shortest = self
            .min_answer_time
            .map_or(time, |shortest| shortest.mul_f64(MIN_ANSWER_TIME_GROWTH).min(time));
        self.min_answer_time = Some(shortest);
        self.adjust_window(time > shortest.mul_f64(CONGESTION_RATIO));
    }

    /// Shrinks the concurrency window after congestion, and grows it otherwise.
    ///
    /// Guards against queues inside the upstream, which ignore priorities and deadlines: short work
    /// would wait behind long work that has already missed its deadline. An answer that took much
    /// longer than the shortest one has waited in such a queue.
    fn adjust_window(&mut self, is_congested: bool) {
        let window = if is_congested {
            self.concurrency_window * WINDOW_SHRINK_FACTOR
        } else {
            self.concurrency_window + 1.0 / self.concurrency_window
        };
        self.concurrency_window = window.clamp(1.0, f64::from(self.limit));
    }

    /// Records a failure, and ejects the upstream after several consecutive ones.
    ///
    /// Guards against an upstream that fails fast: it always has free slots, and would attract the
    /// work of its whole pool.
    fn record_failure(&mut self, now: MonotonicTime) {
        self.failed_at = Some(now);
        self.adjust_window(true);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECTION_FAILURES {
            let duration =
                FIRST_EJECTION * 2_u32.pow(self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS));
            self.ejected_until = Some(now + duration);
            self.consecutive_ejections += 1;
            // One more failure after the ejection ends is enough to eject the upstream again.
            self.consecutive_failures = EJECTION_FAILURES - 1;
        }
    }
}
