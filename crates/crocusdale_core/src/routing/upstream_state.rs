use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use super::EngineLoad;
use crate::identity::{MonotonicTime, stable_hash};

/// Failures in a row after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// First ejection; each further one in a row lasts twice as long.
const EJECTION_BASE: Duration = Duration::from_millis(500);
/// Doublings of an ejection at most.
const EJECTION_DOUBLINGS: u32 = 6;
/// Time for which an upstream that had no room gets no work. Long enough for a place to come free
/// at a few tens of milliseconds a request, short against every deadline.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Weight of the newest answer in the learned time.
const LEARNING_WEIGHT: f64 = 0.2;

/// What each failure in a row adds to the cost of an upstream.
const FAILURE_PENALTY: f64 = 10.0;
/// Answer that has waited in a queue, in multiples of the fastest one.
const CONGESTION: f64 = 2.0;
/// By how much the fastest answer of late drifts up with each answer, so that it can be unlearned.
const FASTEST_DRIFT: f64 = 1.01;
/// Window before anything was learned: work that waits is better kept here than sent ahead.
const FIRST_WINDOW: f64 = 2.0;
/// What is left of the window after an answer that has waited.
const WINDOW_CUT: f64 = 0.8;

/// How an attempt ended, as far as its upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// It answered in that time.
    Answered(Duration),
    /// It answered, in a time that can't be told.
    Unmeasured,
    /// It failed, was silent, or answered wrongly.
    Failed,
    /// The upstream had no room for it, and said so.
    Declined,
    /// It was given up for no fault of the upstream's.
    Cancelled,
}

/// What one daemon knows of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    name: String,
    limit: u32,
    in_flight: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<MonotonicTime>,
    learned: Option<Duration>,
    /// Shortest answer of late.
    fastest: Option<Duration>,
    /// Attempts that may be open at one time, as learned; never above `limit`.
    window: f64,
    listed_leaving: bool,
    leaving_life: Option<String>,
    /// Time until which it gets no work because it had no room.
    full_until: Option<MonotonicTime>,
    /// Time until which it wants nothing from this daemon, by its own word.
    away_until: Option<MonotonicTime>,
    /// When it may have started, for all that is known here: it came among the upstreams of a pool that was
    /// known before, or failed.
    may_have_started: Option<MonotonicTime>,
    /// End of its cold start, by its own word.
    cold_until: Option<MonotonicTime>,
    /// Requests of late that it was chosen for, if its pool has cold starts.
    sends: VecDeque<MonotonicTime>,
    /// What is known of its prompt memory, if it is a model engine.
    pub(super) engine: Option<EngineLoad>,
}

/// What the state dump shows of one upstream.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamSummary {
    /// Name of the upstream.
    pub name: String,
    /// Attempts that this daemon has open there.
    pub in_flight: u32,
    /// Whether it gets no new work because it is leaving.
    pub leaving: bool,
    /// Whether it gets no new work because it failed.
    pub ejected: bool,
    /// Whether it is cold, and gets few requests.
    pub cold: bool,
    /// Learned time of an answer, in milliseconds.
    pub learned_ms: Option<f64>,
}

impl UpstreamState {
    /// An upstream of which nothing is known yet.
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

    /// Sets how many attempts it takes at one time.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.window = self.window.clamp(1.0, f64::from(limit));
    }

    /// Sets what the VM list says; the list alone may also take it back.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        // A VM that the list showed as leaving and shows as live again runs another process now.
        if self.listed_leaving && !leaving {
            self.leaving_life = None;
        }
        self.listed_leaving = leaving;
    }

    /// Takes the news that the process `life` is leaving. Returns whether it was new.
    pub fn leave(&mut self, life: &str) -> bool {
        let new = self.leaving_life.as_deref() != Some(life);
        self.leaving_life = Some(life.to_owned());
        new
    }

    /// Takes the news that the process `life` answers and isn't leaving: a later process than the
    /// one that left may have its place.
    pub fn greet(&mut self, life: &str) {
        if self.leaving_life.as_deref().is_some_and(|leaving| leaving != life) {
            self.leaving_life = None;
        }
    }

    /// Whether it gets no new work because it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving_life.is_some()
    }

    /// Whether it gets no new work because it failed.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it has room for one more attempt.
    #[must_use]
    pub fn has_room(&self) -> bool {
        match &self.engine {
            // An engine works on all of its requests at one time, and its answers are streams of
            // any length: their times say nothing of a queue.
            Some(_) => self.in_flight < self.limit,
            None => f64::from(self.in_flight) < self.window.floor(),
        }
    }

    /// Whether it said of late that it had no room.
    #[must_use]
    pub fn is_full(&self, now: MonotonicTime) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// It wants nothing from this daemon until `until`.
    pub fn stay_away(&mut self, until: MonotonicTime) {
        self.away_until = self.away_until.max(Some(until));
    }

    /// Time for which it still wants nothing from this daemon. Unlike [`Self::is_full`] that is no guess,
    /// and holds also where no other upstream is left.
    #[must_use]
    pub fn away_for(&self, now: MonotonicTime) -> Duration {
        self.away_until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// It came among the upstreams of a pool at `now`, and the pool was known before.
    pub fn set_added(&mut self, now: MonotonicTime) {
        self.may_have_started = Some(now);
    }

    /// Sets the end of its cold start, if it told one.
    pub fn set_cold_until(&mut self, until: Option<MonotonicTime>) {
        self.cold_until = until;
    }

    /// Whether it is cold, or may be, if a cold start lasts for `lasts`. That it has started may be published
    /// later than it is seen, and a process that starts again may have its id and address of before.
    #[must_use]
    pub fn may_be_cold(&self, lasts: Duration, now: MonotonicTime) -> bool {
        let is_new = self.may_have_started.is_some_and(|at| now.since(at) < lasts);
        is_new || self.cold_until.is_some_and(|until| now < until)
    }

    /// Hash of its name.
    #[must_use]
    pub fn hash(&self) -> u64 {
        stable_hash(&[&self.name])
    }

    /// Counts a request that it was chosen for, among those of the last `window`.
    pub fn note_send(&mut self, now: MonotonicTime, window: Duration) {
        while self.sends.front().is_some_and(|sent| now.since(*sent) > window) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Requests that it was chosen for within the last `window`.
    #[must_use]
    pub fn sent_since(&self, now: MonotonicTime, window: Duration) -> usize {
        self.sends.iter().rev().take_while(|sent| now.since(**sent) <= window).count()
    }

    /// Attempts that this daemon has open there.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Shortest time in which it has answered of late.
    #[must_use]
    pub fn fastest(&self) -> Duration {
        self.fastest.unwrap_or_default()
    }

    /// Expected wait for a new attempt, for comparison with other upstreams of a pool. One that
    /// failed last time is taken only where nothing better was found: work that must not repeat
    /// has one attempt, and each daemon would spend several of them before it ejects an upstream.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let learned = self.learned.map_or(0.001, |learned| learned.as_secs_f64());
        f64::from(self.in_flight + 1) * learned * (1.0 + FAILURE_PENALTY * f64::from(self.failures))
    }

    /// Counts an attempt as open.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts an attempt as ended.
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

    /// What the state dump shows.
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

    /// It is sound, whatever it did before.
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

    /// Guards against queues inside upstreams: there priorities and deadlines count for nothing,
    /// and quick work stands behind long work that is already too late. An answer that took much
    /// longer than the fastest one has waited there, so fewer attempts are kept open.
    fn adapt(&mut self, congested: bool) {
        let window =
            if congested { self.window * WINDOW_CUT } else { self.window + 1.0 / self.window };
        self.window = window.clamp(1.0, f64::from(self.limit));
    }

    /// Guards against an upstream that fails fast: it always has room and would attract the work
    /// of its whole pool.
    fn fail(&mut self, now: MonotonicTime) {
        self.may_have_started = Some(now);
        self.adapt(true);
        self.failures += 1;
        if self.failures >= EJECTION_FAILURES {
            let length = EJECTION_BASE * 2_u32.pow(self.ejections.min(EJECTION_DOUBLINGS));
            self.ejected_until = Some(now + length);
            self.ejections += 1;
            // One failure is enough to eject it again when it comes back.
            self.failures = EJECTION_FAILURES - 1;
        }
    }
}
