use std::collections::BTreeMap;
use std::time::Duration;

use super::work_rate::WorkRate;
use super::{AdmissionLimits, LevelWork, PoolReports};
use crate::batching::PoolStatus;
use crate::configuration::BatchRules;
use crate::identity::MonotonicTime;

/// Time span whose promised work is summed up. It is a tenth of a usual call.
const BUCKET_TIME: Duration = Duration::from_millis(20);
/// Latest time ahead at which promised work is entered. It bounds the number of buckets; steps
/// expected later count as expected then.
const MAX_PROMISE_TIME: Duration = Duration::from_secs(20);
/// Time after its expected arrival at which promised work must be part of a status: the time for
/// pieces to reach the dispatcher and for its status to reach the coordinator.
const ARRIVAL_GRACE: Duration = Duration::from_millis(20);
/// Time constant of the rates of promised work.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant of the on-time load that late requests are admitted beside. They wait for seconds,
/// so the gaps between bursts of some tenths of a second are no capacity for them.
const LATE_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Time constant of the demand, which must not follow the gaps between requests of a rare level.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Backlog of on-time work, as the time to work it off, above which late requests get their reserved
/// part of the capacity only. It is less than half of a usual call.
const MAX_SPARE_BACKLOG: Duration = Duration::from_millis(100);
/// Time within which requests that have become late against the forecast are to be served. Each may
/// wait so long at several pools before its deadline.
const OVERDUE_TIME: Duration = Duration::from_millis(500);
/// Largest part of the capacity that is kept for them. New requests get the other half.
const MAX_OVERDUE_SHARE: f64 = 0.5;
/// Smallest capacity that waits are computed with, in upstreams. It keeps them finite.
const MIN_CAPACITY: f64 = 0.01;
/// Load, as a fraction of the capacity, up to which calls are half full on average. Above it they
/// get fuller and take longer.
const HALF_FULL_LOAD: f64 = 0.5;

/// Work of one batched pool as an admission coordinator knows it: the capacity, the work that waits
/// at the dispatchers, and the work promised to admitted requests.
#[derive(Debug)]
pub struct PoolLedger {
    rules: BatchRules,
    limits: AdmissionLimits,
    reports: PoolReports,
    /// Promised work by the number of the [`BUCKET_TIME`] in which it is expected.
    promises: BTreeMap<u64, PromisedWork>,
    on_time_rate: WorkRate,
    late_rate: WorkRate,
    /// Rate of promised on-time work over the time in which late requests wait.
    on_time_load: WorkRate,
    /// Work of admitted late requests that their part of the capacity has not done yet, as of
    /// `late_queue_at`. The dispatchers may have done more, or less.
    late_queue: f64,
    late_queue_at: Option<MonotonicTime>,
    demand: WorkRate,
}

/// Work promised to admitted requests that is expected at about the same time.
#[derive(Clone, Copy, Debug, Default)]
struct PromisedWork {
    on_time: LevelWork,
    late: LevelWork,
}

impl PoolLedger {
    /// Creates a ledger without status and promises.
    #[must_use]
    pub fn new(rules: BatchRules, limits: AdmissionLimits) -> Self {
        Self {
            rules,
            limits,
            reports: PoolReports::default(),
            promises: BTreeMap::new(),
            on_time_rate: WorkRate::new(RATE_TIME_CONSTANT),
            late_rate: WorkRate::new(RATE_TIME_CONSTANT),
            on_time_load: WorkRate::new(LATE_TIME_CONSTANT),
            late_queue: 0.0,
            late_queue_at: None,
            demand: WorkRate::new(DEMAND_TIME_CONSTANT),
        }
    }

    /// Sets the declared call of the pool's upstreams.
    pub fn set_rules(&mut self, rules: BatchRules) {
        self.rules = rules;
    }

    /// Records a status of a dispatcher. Its waiting work replaces the promised work that should
    /// have arrived by now.
    pub fn record_status(&mut self, status: PoolStatus, now: MonotonicTime) {
        self.reports.record(status, now);
        let arrived_by = self.reports.complete_since(now).since_start();
        let kept_from = bucket_of(arrived_by.saturating_sub(ARRIVAL_GRACE));
        self.promises = self.promises.split_off(&kept_from);
    }

    /// Work of `pieces` pieces in full calls, in seconds of one upstream at its usual pace.
    #[must_use]
    pub fn work(&self, pieces: u32) -> f64 {
        let full_call = self.rules.expected(self.rules.pieces.max(1)).as_secs_f64();
        full_call * f64::from(pieces) / f64::from(self.rules.pieces.max(1))
    }

    /// Age of the oldest status that is in use. `None` without any status.
    #[must_use]
    pub fn status_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.reports.oldest_age(now)
    }

    /// Capacity that this coordinator owns, in upstreams. `None` without any status.
    #[must_use]
    pub fn capacity(&self) -> Option<f64> {
        let capacity = self.reports.capacity()?;
        let owned = capacity * self.limits.capacity_share * self.limits.call_fill;
        Some(owned.max(MIN_CAPACITY))
    }

    /// Records that a request asked for `work` of `level`, whatever became of it.
    pub fn record_demand(&mut self, level: u8, work: f64, now: MonotonicTime) {
        self.demand.record(level, work, now);
    }

    /// Enters work of a request that should be on time and reaches the pool at `arrival`.
    pub fn promise_on_time(
        &mut self,
        level: u8,
        work: f64,
        arrival: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.on_time_rate.record(level, work, now);
        self.on_time_load.record(level, work, now);
        self.promise_at(arrival, now).on_time.add(level, work);
    }

    /// Enters work of a late request that reaches the pool at `arrival`.
    pub fn promise_late(
        &mut self,
        level: u8,
        work: f64,
        arrival: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.late_rate.record(level, work, now);
        self.late_queue = self.late_queue(now) + work;
        self.late_queue_at = Some(now);
        self.promise_at(arrival, now).late.add(level, work);
    }

    /// Expected wait of pieces of `level` that reach the pool at `arrival` and can be on time.
    ///
    /// It is the shorter of two waits: behind all work that is as urgent or more urgent, and behind
    /// the work of its own level in the part of the capacity that is the level's in any case.
    #[must_use]
    pub fn on_time_wait(&self, level: u8, arrival: MonotonicTime, now: MonotonicTime) -> Duration {
        let Some(capacity) = self.capacity() else { return Duration::ZERO };
        let rates = self.on_time_rate.per_second(now);
        let floors = self.level_floors(capacity, now);
        let waiting_late = self.reports.waiting(now).late.total() * self.limits.capacity_share;
        let late = self.late_rate.per_second(now).total().max(waiting_late);
        let late = late.min(capacity * self.limits.late_share) + self.overdue_rate(capacity, now);
        let reserved = floors.levels().zip(rates.levels());
        let reserved = reserved.filter(|((other, _), _)| *other > level);
        let reserved: f64 = reserved.map(|((_, floor), (_, rate))| floor.min(rate)).sum();
        let usable = (capacity - late - reserved).max(capacity * self.limits.late_share);
        let floor = floors.at(level).max(MIN_CAPACITY);
        let shared = self.backlog(arrival, now, usable, |work| work.up_to(level))
            / (usable - rates.below(level)).max(floor);
        let own = self.backlog(arrival, now, floor, |work| work.at(level)) / floor;
        let wait = if rates.below(level) > 0.0 { shared.min(own) } else { shared };
        Duration::from_secs_f64(wait)
    }

    /// Expected delay of a step that takes `step_time` in a half full call, if its call starts
    /// after `wait`: under load calls are full, and no upstream is free at once.
    #[must_use]
    pub fn call_delay(&self, step_time: Duration, wait: Duration, now: MonotonicTime) -> Duration {
        let Some(capacity) = self.capacity() else { return Duration::ZERO };
        let rate = self.on_time_rate.per_second(now).total();
        let load = if wait.is_zero() { (rate / capacity).min(1.0) } else { 1.0 };
        let call_time = self.reports.call_time().unwrap_or_default();
        let fullness = ((load - HALF_FULL_LOAD) / (1.0 - HALF_FULL_LOAD)).max(0.0);
        let busy_wait = call_time.mul_f64(load * load / (1.0 + capacity));
        call_time.saturating_sub(step_time).mul_f64(fullness) + busy_wait
    }

    /// Time until the admitted late work is worked off by the capacity that the on-time load leaves.
    #[must_use]
    pub fn late_wait(&self, now: MonotonicTime) -> Duration {
        let Some(capacity) = self.capacity() else { return Duration::ZERO };
        let waiting = self.reports.waiting(now).late.total() * self.limits.capacity_share;
        let queued = self.late_queue(now).max(waiting);
        Duration::from_secs_f64(queued / self.late_capacity(capacity, now))
    }

    /// Expected wait of `work` of a late request at the pool, behind the late work that waits there.
    #[must_use]
    pub fn late_step_wait(&self, work: f64, now: MonotonicTime) -> Duration {
        let Some(capacity) = self.capacity() else { return Duration::ZERO };
        let waiting = self.reports.waiting(now).late.total() * self.limits.capacity_share;
        Duration::from_secs_f64((waiting + work) / self.late_capacity(capacity, now))
    }

    /// Capacity that the on-time load leaves to late requests, in upstreams. `None` without any
    /// status.
    #[must_use]
    pub fn spare_capacity(&self, now: MonotonicTime) -> Option<f64> {
        self.capacity().map(|capacity| self.late_capacity(capacity, now))
    }

    /// Capacity that the on-time load leaves to late requests.
    fn late_capacity(&self, capacity: f64, now: MonotonicTime) -> f64 {
        let reserved = capacity * self.limits.late_share;
        // On-time work that waits will take all that is left. The average rate does not show that
        // at the start of a burst, or at a new coordinator.
        let waiting = self.backlog(now, now, capacity, LevelWork::total);
        if waiting > capacity * MAX_SPARE_BACKLOG.as_secs_f64() {
            return reserved;
        }
        let on_time_rate = self.on_time_load.per_second(now).total();
        (capacity - on_time_rate).max(reserved)
    }

    /// Late work that is left at `now`. It is worked off at the pace of the late capacity, even if
    /// the dispatchers are faster.
    ///
    /// Guards against late requests that displace on-time ones: the faster they are served, the
    /// more of them would be admitted.
    fn late_queue(&self, now: MonotonicTime) -> f64 {
        let age = self.late_queue_at.map_or(Duration::ZERO, |at| now.since(at));
        let capacity = self.capacity().unwrap_or(f64::INFINITY);
        let worked_off = self.late_capacity(capacity, now) * age.as_secs_f64();
        (self.late_queue - worked_off).max(0.0)
    }

    /// Capacity that is kept for admitted requests which have become late against the forecast, in
    /// upstreams.
    ///
    /// Guards against requests that wait in the part of the late ones until they expire, because new
    /// requests are admitted to all of the rest, however many have become late.
    fn overdue_rate(&self, capacity: f64, now: MonotonicTime) -> f64 {
        let overdue = self.reports.waiting(now).overdue.mul_f64(self.limits.capacity_share);
        let rate = overdue.as_secs_f64() / OVERDUE_TIME.as_secs_f64();
        rate.min(capacity * MAX_OVERDUE_SHARE)
    }

    /// Capacity that each level gets at least, whatever the more urgent levels ask for.
    fn level_floors(&self, capacity: f64, now: MonotonicTime) -> LevelWork {
        let demand = self.demand.per_second(now);
        demand * (capacity * self.limits.level_floor / demand.total().max(MIN_CAPACITY))
    }

    /// On-time work that is left at `arrival`, as selected by `select`, if `capacity` works on it.
    fn backlog(
        &self,
        arrival: MonotonicTime,
        now: MonotonicTime,
        capacity: f64,
        select: impl Fn(&LevelWork) -> f64,
    ) -> f64 {
        let waiting = self.reports.waiting(now);
        let mut at = waiting.since.since_start();
        let mut backlog = select(&waiting.on_time) * self.limits.capacity_share;
        let arrival_bucket = bucket_of(arrival.since_start());
        let arrival = arrival.since_start();
        for (bucket, promise) in self.promises.range(..=arrival_bucket) {
            let expected = time_of(*bucket).max(at).min(arrival);
            let worked_off = capacity * expected.saturating_sub(at).as_secs_f64();
            backlog = (backlog - worked_off).max(0.0) + select(&promise.on_time);
            at = at.max(expected);
        }
        (backlog - capacity * arrival.saturating_sub(at).as_secs_f64()).max(0.0)
    }

    fn promise_at(&mut self, arrival: MonotonicTime, now: MonotonicTime) -> &mut PromisedWork {
        let latest = now + MAX_PROMISE_TIME;
        // Promises that no status has replaced are removed, so that a silent dispatcher does not
        // make the ledger grow.
        let oldest = bucket_of(now.since_start().saturating_sub(PoolReports::MAX_AGE));
        if self.promises.first_key_value().is_some_and(|(bucket, _)| *bucket < oldest) {
            self.promises = self.promises.split_off(&oldest);
        }
        let bucket = bucket_of(arrival.max(now).min(latest).since_start());
        self.promises.entry(bucket).or_default()
    }
}

fn bucket_of(since_start: Duration) -> u64 {
    u64::try_from(since_start.as_nanos() / BUCKET_TIME.as_nanos()).unwrap_or(u64::MAX)
}

fn time_of(bucket: u64) -> Duration {
    Duration::from_millis(bucket * BUCKET_TIME.as_millis() as u64)
}
