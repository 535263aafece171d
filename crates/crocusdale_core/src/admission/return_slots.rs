use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::identity::{MonotonicTime, RequestDigest};

use super::dropped_entries::DroppedEntries;
use super::pool_calendar::{CalendarEntry, PERIOD, PoolCalendar, next_period_start};

/// Maximum number of refused requests that are remembered. Further ones get no slot.
const MAX_SLOTS: usize = 4_096;
/// Callers wait for `Retry-After`, but at most this fraction of the time that they have left.
pub(super) const CALLER_WAIT_DIVISOR: u32 = 3;
/// Latest slot, for callers with very long deadlines. It bounds the search for a period.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Time after the expected return for which a slot is kept.
const SLOT_GRACE: Duration = Duration::from_millis(300);
/// Time before the expected return from which a claim counts as on time. `Retry-After` is rounded
/// on its way to the caller.
const EARLY_TOLERANCE: Duration = Duration::from_millis(10);
/// Part of a pool's capacity that the most urgent level may reserve. The rest stays for requests
/// that come for the first time. Under a lasting overload, all capacity would otherwise go to
/// callers that have lost a third of their time.
const RESERVABLE_PART: f64 = 0.5;
/// Part of the capacity that each less urgent level may not reserve, so that more urgent requests
/// that are refused later find earlier periods.
const LEVEL_PART: f64 = 0.03;
/// Part of the capacity by which each second since the first refusal makes up for the level.
const WAITED_PART_PER_SECOND: f64 = 0.1;

/// Weight of one slot in the part of callers that return.
const RETURN_WEIGHT: f64 = 0.02;

/// Capacity that is reserved for refused callers which come back on time.
///
/// Guards against callers that wait as they are told and are refused again, because others have
/// taken the capacity meanwhile.
#[derive(Debug)]
pub struct ReturnSlots {
    calendars: HashMap<String, PoolCalendar>,
    refusals: HashMap<RequestDigest, RefusalRecord>,
    /// Time at which each entry of `refusals` changes next.
    timers: BTreeSet<(MonotonicTime, RequestDigest)>,
    /// Recent part of the slots whose callers returned.
    return_part: f64,
    /// Number of expired slots that were not reported yet.
    unreported_expired: u64,
    dropped: DroppedEntries,
}

/// Request that was refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest<'a> {
    /// Digest that the request shares with its repeats.
    pub digest: RequestDigest,
    /// Priority level, 0 is the most urgent.
    pub level: u8,
    /// Time to the deadline.
    pub time_left: Duration,
    /// Time before which there is no slot, since waiting work has to be done first.
    pub not_before: Duration,
    /// Batched steps of the request.
    pub steps: &'a [StepDemand<'a>],
}

/// Work of one step of a refused request.
#[derive(Clone, Copy, Debug)]
pub struct StepDemand<'a> {
    /// Name of the pool.
    pub pool: &'a str,
    /// Upstream time of the step's pieces.
    pub work: Duration,
    /// Time from the start of the request to the arrival at the pool.
    pub delay: Duration,
    /// Capacity of the pool that the on-time load of more urgent levels leaves, in upstreams of
    /// usual speed. Less urgent callers would otherwise be given slots that others use up.
    pub capacity: f64,
}

/// Answer to a caller that has a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotClaim {
    /// The caller is on time. The request starts, and its slot is released.
    OnTime,
    /// The caller is early. It keeps its slot, and has to wait for the rest of the time.
    Early {
        /// Time until the slot.
        remaining: Duration,
    },
}

#[derive(Debug)]
struct RefusalRecord {
    first_refused_at: MonotonicTime,
    deadline: MonotonicTime,
    slot: Option<ReturnSlot>,
}

#[derive(Debug)]
struct ReturnSlot {
    expected_at: MonotonicTime,
    promises: Vec<(String, Vec<CalendarEntry>)>,
}

impl Default for ReturnSlots {
    fn default() -> Self {
        Self {
            calendars: HashMap::new(),
            refusals: HashMap::new(),
            timers: BTreeSet::new(),
            return_part: 1.0,
            unreported_expired: 0,
            dropped: DroppedEntries::default(),
        }
    }
}

impl ReturnSlots {
    /// Reserves capacity for a refused request and returns after which time its caller should come
    /// back. `None` if no period before the caller's return has enough capacity left. A caller that
    /// already has a slot gets the remaining time of that slot.
    pub fn reserve(
        &mut self,
        request: &RefusedRequest<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        self.expire(now);
        let record = self.refusals.get(&request.digest);
        if let Some(slot) = record.and_then(|record| record.slot.as_ref()) {
            return Some(slot.expected_at.since(now));
        }
        let is_known = record.is_some();
        if !is_known && self.refusals.len() >= MAX_SLOTS {
            self.dropped.record();
            return None;
        }
        let first_refused_at = record.map_or(now, |record| record.first_refused_at);
        let waited = now.since(first_refused_at);
        let slot = self.find_slot(request, reservable_part(request.level, waited), now);
        let expected_at = slot.as_ref().map(|slot| slot.expected_at);
        self.remove(request.digest);
        let record = RefusalRecord { first_refused_at, deadline: now + request.time_left, slot };
        self.insert(request.digest, record);
        expected_at.map(|at| at.since(now))
    }

    /// Claims the slot of a request. `None` if it has no slot.
    pub fn claim(&mut self, digest: RequestDigest, now: MonotonicTime) -> Option<SlotClaim> {
        self.expire(now);
        let slot = self.refusals.get(&digest)?.slot.as_ref()?;
        let remaining = slot.expected_at.since(now);
        if remaining > EARLY_TOLERANCE {
            return Some(SlotClaim::Early { remaining });
        }
        self.remove(digest);
        self.return_part += (1.0 - self.return_part) * RETURN_WEIGHT;
        Some(SlotClaim::OnTime)
    }

    /// Work of `pool` that is promised to callers which are expected back between `from` and `to`.
    #[must_use]
    pub fn promised_work(&self, pool: &str, from: MonotonicTime, to: MonotonicTime) -> Duration {
        self.calendars
            .get(pool)
            .map_or(Duration::ZERO, |calendar| calendar.promised(u8::MAX, from, to))
    }

    /// Work of `pool` that is expected between `from` and `to` before other work of `level`: the
    /// promised work of that level and of more urgent ones, by the part of callers that return.
    ///
    /// Guards against new requests that are refused for the sake of callers that never return, and
    /// against urgent requests that wait for less urgent callers.
    #[must_use]
    pub fn expected_work(
        &self,
        pool: &str,
        level: u8,
        from: MonotonicTime,
        to: MonotonicTime,
    ) -> Duration {
        let Some(calendar) = self.calendars.get(pool) else { return Duration::ZERO };
        calendar.promised(level, from, to).mul_f64(self.return_part)
    }

    /// Releases the slots whose callers did not come, and removes requests after their deadline.
    /// Returns the number of released slots.
    pub fn expire(&mut self, now: MonotonicTime) -> usize {
        let mut expired = 0;
        while let Some((_, digest)) = self.timers.first().copied().filter(|(at, _)| *at < now) {
            let Some(mut record) = self.remove(digest) else { continue };
            if record.slot.take().is_some() {
                expired += 1;
                self.return_part -= self.return_part * RETURN_WEIGHT;
            }
            if record.deadline >= now {
                self.insert(digest, record);
            }
        }
        self.unreported_expired += expired as u64;
        expired
    }

    /// Number of slots that expired since the last call, whichever function released them.
    pub fn take_expired(&mut self, now: MonotonicTime) -> u64 {
        self.expire(now);
        std::mem::take(&mut self.unreported_expired)
    }

    /// Number of refusals that got no slot because there are too many. `None` if there is nothing
    /// to log, or if the last log line is less than a second old.
    pub fn take_dropped(&mut self, now: MonotonicTime) -> Option<u64> {
        self.dropped.take_report(now)
    }

    /// Number of refused requests that are remembered, with or without a slot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.refusals.len()
    }

    /// Whether no refused request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.refusals.is_empty()
    }

    /// Promises the work of all steps from the first period in which all of them fit.
    fn find_slot(
        &mut self,
        request: &RefusedRequest<'_>,
        part: f64,
        now: MonotonicTime,
    ) -> Option<ReturnSlot> {
        let latest = now + (request.time_left / CALLER_WAIT_DIVISOR).min(MAX_WAIT);
        let mut expected_at = next_period_start(now + request.not_before.max(EARLY_TOLERANCE));
        while expected_at <= latest {
            if let Some(promises) = self.promise_steps(request, part, expected_at) {
                return Some(ReturnSlot { expected_at, promises });
            }
            expected_at = expected_at + PERIOD;
        }
        None
    }

    fn promise_steps(
        &mut self,
        request: &RefusedRequest<'_>,
        part: f64,
        start: MonotonicTime,
    ) -> Option<Vec<(String, Vec<CalendarEntry>)>> {
        let mut promises = Vec::with_capacity(request.steps.len());
        for step in request.steps {
            let limit = period_limit(step.capacity * part);
            let calendar = self.calendars.entry(step.pool.to_owned()).or_default();
            match calendar.promise(request.level, step.work, start + step.delay, limit) {
                Some(entries) => promises.push((step.pool.to_owned(), entries)),
                None => {
                    self.release(&promises);
                    return None;
                }
            }
        }
        Some(promises)
    }

    fn release(&mut self, promises: &[(String, Vec<CalendarEntry>)]) {
        for (pool, entries) in promises {
            if let Some(calendar) = self.calendars.get_mut(pool) {
                calendar.release(entries);
            }
        }
        self.calendars.retain(|_, calendar| !calendar.is_empty());
    }

    fn insert(&mut self, digest: RequestDigest, record: RefusalRecord) {
        self.timers.insert((record.next_change(), digest));
        self.refusals.insert(digest, record);
    }

    fn remove(&mut self, digest: RequestDigest) -> Option<RefusalRecord> {
        let record = self.refusals.remove(&digest)?;
        self.timers.remove(&(record.next_change(), digest));
        if let Some(slot) = &record.slot {
            self.release(&slot.promises);
        }
        Some(record)
    }
}

impl RefusalRecord {
    fn next_change(&self) -> MonotonicTime {
        self.slot.as_ref().map_or(self.deadline, |slot| slot.expected_at + SLOT_GRACE)
    }
}

/// Part of a pool's capacity that a request may fill.
fn reservable_part(level: u8, waited: Duration) -> f64 {
    let part = RESERVABLE_PART - LEVEL_PART * f64::from(level)
        + WAITED_PART_PER_SECOND * waited.as_secs_f64();
    part.clamp(0.0, RESERVABLE_PART)
}

/// Upstream time that `upstreams` upstreams have in a period. Zero if the number is invalid.
fn period_limit(upstreams: f64) -> Duration {
    Duration::try_from_secs_f64(PERIOD.as_secs_f64() * upstreams).unwrap_or_default()
}
