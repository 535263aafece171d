use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use super::EngineLoad;
use crate::identity::{MonotonicTime, stable_hash};

/// Number of consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection. Each further consecutive ejection lasts twice as long.
const EJECTION_BASE: Duration = Duration::from_millis(500);
/// Maximum number of times that the ejection duration is doubled.
const EJECTION_DOUBLINGS: u32 = 6;
/// Time for which an upstream gets no work after it declined an attempt because it was full. Long
/// enough for a slot to become free at a few tens of milliseconds per request, and short compared
/// to all deadlines.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Weight of the newest sample in the moving average of the answer time.
const LEARNING_WEIGHT: f64 = 0.2;

/// Relative cost that each consecutive failure adds to an upstream.
const FAILURE_PENALTY: f64 = 10.0;
/// Ratio of an answer's time to the shortest recent one above which the answer is assumed to have
/// waited in a queue of the upstream.
const CONGESTION: f64 = 2.0;
/// Factor by which the shortest recent answer time grows with each answer, so that an outdated
/// minimum is replaced.
const FASTEST_DRIFT: f64 = 1.01;
/// Concurrency window before any answer was measured. It is small because queued work is better
/// kept in this daemon than sent ahead.
const FIRST_WINDOW: f64 = 2.0;
/// Factor by which the concurrency window shrinks after an answer that was queued in the upstream.
const WINDOW_CUT: f64 = 0.8;

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
    failures: u32,
    ejections: u32,
    ejected_until: Option<MonotonicTime>,
    learned: Option<Duration>,
    /// Shortest recent answer time, which grows slowly with each answer.
    fastest: Option<Duration>,
    /// Adaptive limit for concurrent attempts, between 1 and the declared limit.
    window: f64,
    listed_leaving: bool,
    leaving_life: Option<String>,
    /// Time until which the upstream gets no work because it declined an attempt.
    full_until: Option<MonotonicTime>,
    /// Time until which the upstream has asked this daemon to send nothing.
    away_until: Option<MonotonicTime>,
    /// Latest time at which the process may have started: when it was added to a known pool, or
    /// when an attempt last failed. `None` if there was neither.
    may_have_started: Option<MonotonicTime>,
    /// End of the cold start, as the upstream reported it.
    cold_until: Option<MonotonicTime>,
    /// Times of the recent requests to this upstream, recorded only if its pool has cold starts.
    sends: VecDeque<MonotonicTime>,
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
    pub learned_ms: Option<f64>,
}

impl UpstreamState {
    /// State of an upstream without history, which accepts `limit` concurrent attempts.
    #[must_use]
    pub fn new(name: impl Into<String>, limit: u32) -> Self {
        Self {
            name: name.into(),
            limit,
            in_flight: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            learned: None,
            fastest: None,
            window: FIRST_WINDOW.min(f64::from(limit)),
            listed_leaving: false,
            leaving_life: None,
            full_until: None,
            away_until: None,
            may_have_started: None,
            cold_until: None,
            sends: VecDeque::new(),
            engine: None,
        }
    }

    /// Sets the number of concurrent attempts that the upstream accepts.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.window = self.window.clamp(1.0, f64::from(limit));
    }

    /// Sets whether the VM list shows the upstream's VM as leaving. Only the VM list can revoke
    /// that.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        // The VM list showed the VM as leaving and now shows it as live: another process runs
        // there.
        if self.listed_leaving && !leaving {
            self.leaving_life = None;
        }
        self.listed_leaving = leaving;
    }

    /// Records that the process `life` is leaving. Returns whether that was unknown.
    pub fn leave(&mut self, life: &str) -> bool {
        let new = self.leaving_life.as_deref() != Some(life);
        self.leaving_life = Some(life.to_owned());
        new
    }

    /// Records that the process `life` serves the upstream and is not leaving. If another process
    /// was leaving, this one has replaced it.
    pub fn greet(&mut self, life: &str) {
        if self.leaving_life.as_deref().is_some_and(|leaving| leaving != life) {
            self.leaving_life = None;
        }
    }

    /// Whether the upstream gets no new work because it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving_life.is_some()
    }

    /// Whether the upstream gets no new work because of its failures.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the upstream has a free slot for one more attempt.
    #[must_use]
    pub fn has_room(&self) -> bool {
        match &self.engine {
            // An engine processes all its requests concurrently, and its answers are streams of any
            // length. Their times don't indicate a queue, so that the adaptive window is not used.
            Some(_) => self.in_flight < self.limit,
            None => f64::from(self.in_flight) < self.window.floor(),
        }
    }

    /// Whether the upstream recently declined an attempt because it was full.
    #[must_use]
    pub fn is_full(&self, now: MonotonicTime) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Excludes the upstream from new requests of this daemon until `until`, as the upstream asked.
    pub fn stay_away(&mut self, until: MonotonicTime) {
        self.away_until = self.away_until.max(Some(until));
    }

    /// Remaining time for which the upstream wants no requests from this daemon. Unlike
    /// [`Self::is_full`], this is the upstream's own request and not an estimate, so that it also
    /// holds if no other upstream is left.
    #[must_use]
    pub fn away_for(&self, now: MonotonicTime) -> Duration {
        self.away_until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Marks the upstream as possibly started at `now`, because it was added to a known pool.
    pub fn set_added(&mut self, now: MonotonicTime) {
        self.may_have_started = Some(now);
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
        let is_new = self.may_have_started.is_some_and(|at| now.since(at) < lasts);
        is_new || self.cold_until.is_some_and(|until| now < until)
    }

    /// Stable hash of the upstream's name.
    #[must_use]
    pub fn hash(&self) -> u64 {
        stable_hash(&[&self.name])
    }

    /// Records a request at `now`, and drops those that are older than `window`.
    pub fn note_send(&mut self, now: MonotonicTime, window: Duration) {
        while self.sends.front().is_some_and(|sent| now.since(*sent) > window) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Number of recorded requests within the last `window`.
    #[must_use]
    pub fn sent_since(&self, now: MonotonicTime, window: Duration) -> usize {
        self.sends.iter().rev().take_while(|sent| now.since(**sent) <= window).count()
    }

    /// Number of attempts of this daemon in flight at the upstream.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Shortest recent answer time. Zero if no answer was measured.
    #[must_use]
    pub fn fastest(&self) -> Duration {
        self.fastest.unwrap_or_default()
    }

    /// Relative cost of one more attempt, for comparing the upstreams of a pool: the expected wait
    /// in seconds, increased by consecutive failures. After a failure, an upstream is chosen only
    /// if no better one is found. Work that must not be repeated has only one attempt, and each
    /// daemon would lose several such attempts before it ejects the upstream.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let learned = self.learned.map_or(0.001, |learned| learned.as_secs_f64());
        f64::from(self.in_flight + 1) * learned * (1.0 + FAILURE_PENALTY * f64::from(self.failures))
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, report: AttemptReport, now: MonotonicTime) {
        debug_assert!(self.in_flight > 0, "an attempt ends once");
        self.in_flight = self.in_flight.saturating_sub(1);
        match report {
            AttemptReport::Answered(time) => {
                self.recover();
                self.learn(time);
            }
            AttemptReport::Unmeasured => self.recover(),
            AttemptReport::Failed => self.fail(now),
            AttemptReport::Declined => {
                self.adapt(true);
                self.full_until = Some(now + FULL_PAUSE);
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
            learned_ms: self.learned.map(|learned| learned.as_secs_f64() * 1e3),
        }
    }

    /// Clears all failures after an answer.
    fn recover(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    fn learn(&mut self, time: Duration) {
        let learned = self.learned.unwrap_or(time).as_secs_f64();
        let mixed = learned + LEARNING_WEIGHT * (time.as_secs_f64() - learned);
        self.learned = Some(Duration::from_secs_f64(mixed));
        let fastest = self.fastest.map_or(time, |fastest| fastest.mul_f64(FASTEST_DRIFT).min(time));
        self.fastest = Some(fastest);
        self.adapt(time > fastest.mul_f64(CONGESTION));
    }

    /// Shrinks the concurrency window after congestion, and grows it otherwise.
    ///
    /// Guards against queues inside the upstream, which ignore priorities and deadlines: short work
    /// would wait behind long work that has already missed its deadline. An answer that took much
    /// longer than the shortest one has waited in such a queue.
    fn adapt(&mut self, congested: bool) {
        let window =
            if congested { self.window * WINDOW_CUT } else { self.window + 1.0 / self.window };
        self.window = window.clamp(1.0, f64::from(self.limit));
    }

    /// Records a failure, and ejects the upstream after several consecutive ones.
    ///
    /// Guards against an upstream that fails fast: it always has free slots, and would attract the
    /// work of its whole pool.
    fn fail(&mut self, now: MonotonicTime) {
        self.may_have_started = Some(now);
        self.adapt(true);
        self.failures += 1;
        if self.failures >= EJECTION_FAILURES {
            let length = EJECTION_BASE * 2_u32.pow(self.ejections.min(EJECTION_DOUBLINGS));
            self.ejected_until = Some(now + length);
            self.ejections += 1;
            // One more failure after the ejection ends is enough to eject the upstream again.
            self.failures = EJECTION_FAILURES - 1;
        }
    }
}
