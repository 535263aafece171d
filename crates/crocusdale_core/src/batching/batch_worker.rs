use std::net::SocketAddr;
use std::time::Duration;

use super::room_account::RoomAccount;
use crate::configuration::BatchRules;
use crate::identity::MonotonicTime;
use crate::routing::DirectoryEntry;

/// Weight of the newest call in the learned pace.
const LEARNING_WEIGHT: f64 = 0.4;
/// Time in which a learned pace loses most of what sets it apart from that of its pool: a slow
/// upstream that gets no calls could not show that it has recovered.
const UNLEARNING_TIME: f64 = 6.0;
/// Multiple of its expected time after which a call counts as lost.
const PATIENCE: f64 = 3.0;
/// Shortest time beyond the expected one after which a call counts as lost. A tenth of the usual
/// deadlines of some seconds, and more than any queue at an upstream that only one daemon calls.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(600);
/// Pause of an upstream that failed a call; each further failure in a row doubles it.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Doublings of the pause at most.
const PAUSE_DOUBLINGS: u32 = 4;
/// Pause of an upstream that had no room for a call. Somebody else's call is in its place, and
/// those take some tenths of a second.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Part of a call's pieces that may fail before its upstream counts as failing. One piece in some
/// hundreds fails on a sound upstream.
const FAILED_SHARE: f64 = 0.2;
/// Pause of an address at which another process listens, until the published list says so.
const WRONG_PROCESS_PAUSE: Duration = Duration::from_secs(3);

/// One upstream of a batched pool, as its dispatcher knows it.
#[derive(Debug)]
pub(super) struct BatchWorker {
    /// Identity that its process answers to.
    pub(super) process: String,
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    /// Whether it gets new calls.
    pub(super) staying: bool,
    /// Calls that it works on.
    pub(super) open: u32,
    /// When the last of them should end.
    pub(super) free_at: MonotonicTime,
    /// Time of its calls against the declared one.
    pace: f64,
    learned_at: MonotonicTime,
    failures: u32,
    paused_until: MonotonicTime,
    /// Time until which it wants nothing, by its own word.
    away_until: MonotonicTime,
    /// What it takes, if it names a rate.
    pub(super) limit: Option<CallLimit>,
    /// Its memory for results.
    pub(super) room: RoomAccount,
}

/// Calls that an upstream takes which names a rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallLimit {
    /// When it may get the next one.
    pub(super) from: MonotonicTime,
    /// Time between two.
    pub(super) interval: Duration,
}

impl BatchWorker {
    pub(super) fn new(entry: &DirectoryEntry, now: MonotonicTime) -> Self {
        Self {
            process: entry.id.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            staying: !entry.leaving,
            open: 0,
            free_at: now,
            pace: 1.0,
            learned_at: now,
            failures: 0,
            paused_until: now,
            away_until: now,
            limit: None,
            room: RoomAccount::default(),
        }
    }

    /// Whether it can take a call now.
    pub(super) fn is_free(&self, rules: &BatchRules, now: MonotonicTime) -> bool {
        let idle = self.open < rules.slots.max(1) && now >= self.paused_until;
        // One that names a rate is not asked for its room.
        let ready = match self.limit {
            Some(limit) => now >= limit.from,
            None => !self.room.awaits_answer(now),
        };
        self.staying && idle && ready
    }

    /// Time that a call with `pieces` pieces should take here.
    pub(super) fn expected(&self, rules: &BatchRules, pieces: u32, now: MonotonicTime) -> Duration {
        rules.expected(pieces).mul_f64(self.pace_at(now))
    }

    /// When a call with `pieces` pieces should end that is given to it as soon as it can take one.
    pub(super) fn end_of_next(
        &self,
        rules: &BatchRules,
        pieces: u32,
        now: MonotonicTime,
    ) -> MonotonicTime {
        now + self.free_in(rules, now) + self.expected(rules, pieces, now)
    }

    /// Time until it can take a call.
    pub(super) fn free_in(&self, rules: &BatchRules, now: MonotonicTime) -> Duration {
        let busy = if self.open < rules.slots.max(1) { now } else { self.free_at };
        let limited = self.limit.map_or(now, |limit| limit.from);
        busy.max(self.paused_until).max(limited).since(now)
    }

    /// Part of its time that it can work, by the rate that it names.
    pub(super) fn capacity(&self, rules: &BatchRules, now: MonotonicTime) -> f64 {
        let call = self.expected(rules, rules.pieces, now).as_secs_f64();
        self.limit.map_or(1.0, |limit| (call / limit.interval.as_secs_f64()).min(1.0))
    }

    /// Time after which a call with `pieces` pieces counts as lost.
    pub(super) fn patience(&self, rules: &BatchRules, pieces: u32, now: MonotonicTime) -> Duration {
        let expected = self.expected(rules, pieces, now);
        expected.mul_f64(PATIENCE).max(expected + SHORTEST_PATIENCE)
    }

    pub(super) fn begin(&mut self, rules: &BatchRules, pieces: u32, now: MonotonicTime) {
        self.free_at = now + self.expected(rules, pieces, now);
        self.open += 1;
    }

    /// A call with `pieces` pieces was answered after `time`, if that can be told.
    pub(super) fn answered(
        &mut self,
        rules: &BatchRules,
        pieces: u32,
        time: Option<Duration>,
        now: MonotonicTime,
    ) {
        if let Some(time) = time {
            let seen = time.as_secs_f64() / rules.expected(pieces).as_secs_f64().max(0.001);
            let pace = self.pace_at(now);
            self.pace = pace + LEARNING_WEIGHT * (seen - pace);
            self.learned_at = now;
        }
        self.failures = 0;
        self.open = self.open.saturating_sub(1);
    }

    /// A call with `pieces` pieces failed after `time`, if that can be told.
    ///
    /// Guards against an upstream that fails at once: it is free first each time, and would
    /// attract every call of the pool.
    pub(super) fn failed(
        &mut self,
        rules: &BatchRules,
        pieces: u32,
        time: Option<Duration>,
        now: MonotonicTime,
    ) {
        if let Some(time) = time {
            let seen = time.as_secs_f64() / rules.expected(pieces).as_secs_f64().max(0.001);
            self.pace = self.pace_at(now).max(seen);
            self.learned_at = now;
        }
        self.open = self.open.saturating_sub(1);
        let doublings = self.failures.min(PAUSE_DOUBLINGS);
        self.failures += 1;
        self.pause(FAILURE_PAUSE * 2_u32.pow(doublings), now);
    }

    /// Takes note of how many pieces of a call that was answered failed.
    ///
    /// Guards against an upstream that answers in time and fails much of its work: by its pace
    /// alone it would look sound.
    pub(super) fn note_failed(&mut self, failed: u32, pieces: u32, now: MonotonicTime) {
        if f64::from(failed) > (f64::from(pieces) * FAILED_SHARE).max(1.0) {
            self.pause(FAILURE_PAUSE, now);
        }
    }

    /// It had no room for a call.
    pub(super) fn declined(&mut self, now: MonotonicTime) {
        self.open = self.open.saturating_sub(1);
        self.pause(FULL_PAUSE, now);
    }

    /// It wants nothing until `until`.
    pub(super) fn stay_away(&mut self, until: MonotonicTime) {
        self.away_until = self.away_until.max(until);
        self.paused_until = self.paused_until.max(until);
    }

    /// Whether it wants anything.
    pub(super) fn is_away(&self, now: MonotonicTime) -> bool {
        now < self.away_until
    }

    /// Another process listens at its address.
    pub(super) fn displaced(&mut self, now: MonotonicTime) {
        self.open = self.open.saturating_sub(1);
        self.pause(WRONG_PROCESS_PAUSE, now);
    }

    /// Its memory for results is full, against what was counted.
    pub(super) fn overloaded(&mut self, now: MonotonicTime) {
        self.pause(FULL_PAUSE, now);
    }

    fn pause(&mut self, pause: Duration, now: MonotonicTime) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    fn pace_at(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.learned_at).as_secs_f64();
        1.0 + (self.pace - 1.0) * (-age / UNLEARNING_TIME).exp()
    }
}
