use std::net::SocketAddr;
use std::time::Duration;

use super::result_memory::ResultMemory;
use crate::configuration::BatchRules;
use crate::identity::MonotonicTime;
use crate::routing::{DirectoryEntry, ReportedPace, brittle_backoff};

/// Weight of the newest call in the moving average of the slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.4;
/// Time constant, in seconds, with which the slowdown of an upstream returns to 1. Without the
/// decay, a slow upstream would get no calls and could not show that it has recovered.
const SLOWDOWN_DECAY_SECONDS: f64 = 6.0;
/// Multiple of its expected duration after which a call counts as lost.
const LOST_CALL_FACTOR: f64 = 3.0;
/// Minimum time beyond its expected duration after which a call counts as lost. It is a tenth of
/// the usual deadlines of several seconds, and longer than any queue at an upstream that only one
/// daemon calls.
const MIN_LOST_CALL_SLACK: Duration = Duration::from_millis(600);
/// Pause after a failed call. Each further consecutive failure doubles it.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of times that the failure pause is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Pause of an upstream that had no capacity for a call, or no memory for its results. A call of
/// another daemon probably occupies it, which takes some tenths of a second.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(100);
/// Share of the pieces of a call that may fail before the upstream is paused. At a healthy
/// upstream, one piece in several hundred fails.
const MAX_FAILED_SHARE: f64 = 0.2;
/// Number of daemons that may call an upstream at the same time, while they disagree on its
/// dispatcher.
const MAX_CALLERS: usize = 2;
/// Time for which an announced limit on rejections counts. The upstream repeats it in each answer.
const BRITTLE_TTL: Duration = Duration::from_secs(3);
/// Pause of an upstream whose address belongs to another process. By its end, the published
/// upstream list should reflect the change.
const WRONG_PROCESS_PAUSE: Duration = Duration::from_secs(3);

/// Load, health and speed of one upstream of a batched pool, as tracked by the dispatcher.
#[derive(Debug)]
pub(super) struct BatchWorker {
    /// Identifier by which the upstream's process is addressed.
    pub(super) process_id: String,
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    /// Whether the upstream may get new calls: it is listed and not leaving.
    pub(super) accepts_calls: bool,
    /// Number of calls in flight to the upstream.
    pub(super) open_calls: u32,
    /// Expected end of the most recently started call.
    pub(super) free_at: MonotonicTime,
    /// Ratio of the observed to the declared duration of calls, as of `measured_at`. Values above 1
    /// mean a slow upstream.
    slowdown: f64,
    /// Time of the last update of the slowdown.
    measured_at: MonotonicTime,
    /// Pace that the upstream reported last.
    pub(super) reported_pace: ReportedPace,
    consecutive_failures: u32,
    /// Time until which no calls are sent, after failures or at the upstream's request.
    paused_until: MonotonicTime,
    /// Time until which the upstream has asked not to be called.
    backoff_until: MonotonicTime,
    /// Time that the upstream gets no calls after it has rejected one, and the end of that rule.
    /// `None` if it has announced no limit on its rejections.
    brittle_pause: Option<(Duration, MonotonicTime)>,
    /// Times at which calls are allowed, if the upstream has a rate limit.
    pub(super) rate_limit: Option<CallLimit>,
    /// Memory of the upstream that stores results.
    pub(super) result_memory: ResultMemory,
}

/// Schedule of the calls to an upstream with a rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallLimit {
    /// Earliest time of the next call.
    pub(super) next_call_at: MonotonicTime,
    /// Minimum time between two calls.
    pub(super) interval: Duration,
}

impl BatchWorker {
    pub(super) fn new(entry: &DirectoryEntry, now: MonotonicTime) -> Self {
        Self {
            process_id: entry.id.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            accepts_calls: !entry.leaving,
            open_calls: 0,
            free_at: now,
            slowdown: 1.0,
            measured_at: now,
            reported_pace: ReportedPace::default(),
            consecutive_failures: 0,
            paused_until: now,
            backoff_until: now,
            brittle_pause: None,
            rate_limit: None,
            result_memory: ResultMemory::default(),
        }
    }

    /// Whether a call may be sent to the upstream now.
    pub(super) fn can_take_call(&self, rules: &BatchRules, now: MonotonicTime) -> bool {
        let is_available = self.open_calls < rules.slots.max(1) && now >= self.paused_until;
        // An upstream with a rate limit is not queried for its free memory.
        let is_ready = match self.rate_limit {
            Some(limit) => now >= limit.next_call_at,
            None => !self.result_memory.is_awaiting_answer(now),
        };
        self.accepts_calls && is_available && is_ready
    }

    /// Expected duration of a call with `pieces` pieces.
    pub(super) fn expected_time(
        &self,
        rules: &BatchRules,
        pieces: u32,
        now: MonotonicTime,
    ) -> Duration {
        let slowdown = self.slowdown_at(now) * self.reported_pace.factor(now);
        rules.expected(pieces).mul_f64(slowdown)
    }

    /// Expected end of a call with `pieces` pieces that is sent as soon as the upstream can take
    /// one.
    pub(super) fn next_call_end(
        &self,
        rules: &BatchRules,
        pieces: u32,
        now: MonotonicTime,
    ) -> MonotonicTime {
        now + self.time_until_free(rules, now) + self.expected_time(rules, pieces, now)
    }

    /// Time until the upstream can take a call.
    pub(super) fn time_until_free(&self, rules: &BatchRules, now: MonotonicTime) -> Duration {
        let slot_free_at = if self.open_calls < rules.slots.max(1) { now } else { self.free_at };
        let rate_allows_at = self.rate_limit.map_or(now, |limit| limit.next_call_at);
        slot_free_at.max(self.paused_until).max(rate_allows_at).since(now)
    }

    /// Share of its time that the upstream can work, from 0 to 1. It is below 1 only if a rate
    /// limit is the bottleneck.
    pub(super) fn usable_share(&self, rules: &BatchRules, now: MonotonicTime) -> f64 {
        let full_call = self.expected_time(rules, rules.pieces, now).as_secs_f64();
        self.rate_limit.map_or(1.0, |limit| (full_call / limit.interval.as_secs_f64()).min(1.0))
    }

    /// Timeout after which a call with `pieces` pieces counts as lost.
    pub(super) fn loss_timeout(
        &self,
        rules: &BatchRules,
        pieces: u32,
        now: MonotonicTime,
    ) -> Duration {
        let expected = self.expected_time(rules, pieces, now);
        expected.mul_f64(LOST_CALL_FACTOR).max(expected + MIN_LOST_CALL_SLACK)
    }

    pub(super) fn start_call(&mut self, rules: &BatchRules, pieces: u32, now: MonotonicTime) {
        self.free_at = now + self.expected_time(rules, pieces, now);
        self.open_calls += 1;
    }

    /// Records that a call with `pieces` pieces was answered after `call_time`. The time is `None`
    /// if it could not be measured.
    pub(super) fn record_answer(
        &mut self,
        rules: &BatchRules,
        pieces: u32,
        call_time: Option<Duration>,
        now: MonotonicTime,
    ) {
        if let Some(call_time) = call_time {
            let observed =
                call_time.as_secs_f64() / rules.expected(pieces).as_secs_f64().max(0.001);
            let slowdown = self.slowdown_at(now);
            self.slowdown = slowdown + SLOWDOWN_SMOOTHING * (observed - slowdown);
            self.measured_at = now;
        }
        self.consecutive_failures = 0;
        self.open_calls = self.open_calls.saturating_sub(1);
    }

    /// Records that a call with `pieces` pieces failed after `call_time`. The time is `None` if it
    /// could not be measured.
    ///
    /// Guards against an upstream that fails immediately: it would always be the first free one,
    /// and attract all calls of the pool.
    pub(super) fn record_failure(
        &mut self,
        rules: &BatchRules,
        pieces: u32,
        call_time: Option<Duration>,
        now: MonotonicTime,
    ) {
        if let Some(call_time) = call_time {
            let observed =
                call_time.as_secs_f64() / rules.expected(pieces).as_secs_f64().max(0.001);
            self.slowdown = self.slowdown_at(now).max(observed);
            self.measured_at = now;
        }
        self.open_calls = self.open_calls.saturating_sub(1);
        let doublings = self.consecutive_failures.min(MAX_PAUSE_DOUBLINGS);
        self.consecutive_failures += 1;
        self.pause(FAILURE_PAUSE * 2_u32.pow(doublings), now);
    }

    /// Forgets all failed calls, because the links of this daemon have failed and not the upstream.
    pub(super) fn forget_failures(&mut self, now: MonotonicTime) {
        self.consecutive_failures = 0;
        self.paused_until = self.backoff_until;
        (self.slowdown, self.measured_at) = (1.0, now);
    }

    /// Pauses the upstream if too many of the `pieces` pieces of an answered call `failed`.
    ///
    /// Guards against an upstream that answers in time but fails much of its work: judged by its
    /// speed alone, it would look healthy.
    pub(super) fn record_failed_pieces(&mut self, failed: u32, pieces: u32, now: MonotonicTime) {
        if f64::from(failed) > (f64::from(pieces) * MAX_FAILED_SHARE).max(1.0) {
            self.pause(FAILURE_PAUSE, now);
        }
    }

    /// Records that the upstream had no capacity for a call.
    pub(super) fn record_declined(&mut self, now: MonotonicTime) {
        self.open_calls = self.open_calls.saturating_sub(1);
        let brittle_pause = self.brittle_pause.filter(|(_, until)| now < *until);
        self.pause(brittle_pause.map_or(NO_CAPACITY_PAUSE, |(pause, _)| pause), now);
    }

    /// Records that the upstream announced at `now` that it fails if it has to reject more than
    /// `max_rejections` calls in a second. Few daemons call it at the same time.
    pub(super) fn record_brittle(&mut self, max_rejections: u32, now: MonotonicTime) {
        let pause = brittle_backoff(MAX_CALLERS, max_rejections);
        self.brittle_pause = Some((pause, now + BRITTLE_TTL));
    }

    /// Sends nothing to the upstream until `until`, as it has requested.
    pub(super) fn back_off(&mut self, until: MonotonicTime) {
        self.backoff_until = self.backoff_until.max(until);
        self.paused_until = self.paused_until.max(until);
    }

    /// Whether the upstream has asked not to be called now.
    pub(super) fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.backoff_until
    }

    /// Records that another process listens at the upstream's address.
    pub(super) fn record_wrong_process(&mut self, now: MonotonicTime) {
        self.open_calls = self.open_calls.saturating_sub(1);
        self.pause(WRONG_PROCESS_PAUSE, now);
    }

    /// Records that the upstream ran out of memory for results, although it should have had enough
    /// by the dispatcher's accounting.
    pub(super) fn record_memory_full(&mut self, now: MonotonicTime) {
        self.pause(NO_CAPACITY_PAUSE, now);
    }

    fn pause(&mut self, duration: Duration, now: MonotonicTime) {
        self.paused_until = self.paused_until.max(now + duration);
    }

    /// Whether calls are paused, after failures or at the upstream's request.
    pub(super) fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Ratio of the observed to the declared duration of calls.
    pub(super) fn slowdown_at(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.measured_at).as_secs_f64();
        1.0 + (self.slowdown - 1.0) * (-age / SLOWDOWN_DECAY_SECONDS).exp()
    }
}
