//! Capacity that is reserved for refused callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crocusdale_core::admission::{RefusedRequest, ReturnSlots, SlotClaim, StepDemand};
use crocusdale_core::identity::{MonotonicTime, RequestDigest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Upstreams of the pool.
const CAPACITY: f64 = 6.0;
/// Upstream time of a request in milliseconds.
const WORK_MS: u64 = 100;
/// Time to the deadline at the first arrival, in milliseconds.
const DEADLINE_MS: u64 = 6_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallerKind {
    /// Returns after `Retry-After`, or after a third of its time.
    Obeys,
    /// Returns every 50 ms.
    Early,
    /// Never returns.
    Leaves,
}

/// Requests of one kind of caller.
#[derive(Debug, Default)]
struct CallerStats {
    refused: u32,
    refused_again: u32,
    /// Refused again although they had a slot.
    slot_missed: u32,
    served: u32,
    waited_ms: u64,
}

fn digest(number: u64) -> RequestDigest {
    RequestDigest::of(&[&number.to_le_bytes()])
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn reserve(slots: &mut ReturnSlots, number: u64, level: u8, now_ms: u64) -> Option<Duration> {
    let work = Duration::from_millis(WORK_MS);
    let step = StepDemand { pool: "scan", work, delay: Duration::ZERO, capacity: CAPACITY };
    let request = RefusedRequest {
        digest: digest(number),
        level,
        time_left: Duration::from_millis(DEADLINE_MS),
        not_before: Duration::ZERO,
        steps: &[step],
    };
    slots.reserve(&request, at(now_ms))
}

/// Runs a coordinator that starts requests as long as the work before them takes at most 300 ms,
/// and gives slots to the others. Every second second brings `burst` times the capacity, the other
/// one 0.3 times. A caller that waits for 2 s returns in the next burst.
fn run_bursts(burst: f64) -> BTreeMap<CallerKind, CallerStats> {
    let kinds = [CallerKind::Obeys, CallerKind::Early, CallerKind::Leaves];
    let (mut slots, mut random) = (ReturnSlots::default(), SmallRng::seed_from_u64(3));
    let mut arrivals: BTreeMap<(u64, u64), (CallerKind, u64)> = BTreeMap::new();
    for millis in 0..60_000 {
        let load = if millis % 2_000 < 1_000 { burst } else { 0.3 };
        if random.random::<f64>() < load * CAPACITY / WORK_MS as f64 {
            arrivals.insert((millis, millis), (kinds[random.random_range(0..3)], millis));
        }
    }
    let mut stats: BTreeMap<CallerKind, CallerStats> = BTreeMap::new();
    let mut with_slot = BTreeSet::new();
    let (mut backlog, mut last_ms) = (0.0_f64, 0);
    while let Some(((now_ms, number), (kind, first_ms))) = arrivals.pop_first() {
        backlog = (backlog - (now_ms - last_ms) as f64 * CAPACITY).max(0.0);
        last_ms = now_ms;
        let entry = stats.entry(kind).or_default();
        let promised = slots.promised_work("scan", at(now_ms), at(now_ms + 300));
        let has_capacity = backlog + promised.as_millis() as f64 <= 300.0 * CAPACITY;
        let retry_after = match slots.claim(digest(number), at(now_ms)) {
            Some(SlotClaim::Early { remaining }) => Some(remaining),
            Some(SlotClaim::OnTime) => None,
            None if has_capacity => None,
            None => {
                let retry_after = reserve(&mut slots, number, 0, now_ms);
                entry.slot_missed += u32::from(with_slot.contains(&number));
                with_slot.extend(retry_after.map(|_| number));
                Some(retry_after.unwrap_or(Duration::MAX))
            }
        };
        let Some(retry_after) = retry_after else {
            backlog += WORK_MS as f64;
            entry.served += 1;
            entry.waited_ms += now_ms - first_ms;
            continue;
        };
        let is_first = now_ms == first_ms;
        entry.refused += u32::from(is_first);
        entry.refused_again += u32::from(!is_first);
        let third = Duration::from_millis((first_ms + DEADLINE_MS - now_ms) / 3);
        let wait_ms = retry_after.min(third).as_millis() as u64;
        match kind {
            CallerKind::Obeys if is_first => {
                arrivals.insert((now_ms + wait_ms, number), (kind, first_ms))
            }
            CallerKind::Early if now_ms + 50 < first_ms + DEADLINE_MS => {
                arrivals.insert((now_ms + 50, number), (kind, first_ms))
            }
            _ => None,
        };
    }
    assert!(backlog < 1_000.0 * CAPACITY, "more was started than the pool can do");
    stats
}

/// Guards against callers that wait as they are told and are refused again. Under 5 in 100 of them
/// are, beside callers that come early and often and callers that never return. Callers that come
/// early are not served sooner. Under the last load, more comes than the pool can do on average, so
/// that not every caller can have a slot. There, those with a slot count.
#[test]
fn callers_that_obey_are_not_refused_twice() {
    for (burst, is_lasting) in [(1.4, false), (1.6, false), (1.8, false), (2.2, true)] {
        let stats = run_bursts(burst);
        let obeying = &stats[&CallerKind::Obeys];
        let again = if is_lasting { obeying.slot_missed } else { obeying.refused_again };
        assert!(obeying.refused > 100 && again * 100 < obeying.refused * 5, "{burst}: {stats:?}");
        let early = &stats[&CallerKind::Early];
        let mean_wait = |kind: &CallerStats| kind.waited_ms as f64 / f64::from(kind.served);
        assert!(mean_wait(early) > 0.8 * mean_wait(obeying), "{burst}: {stats:?}");
    }
}

/// Guards against callers that return all at once: no period has more than half of the pool's
/// capacity promised, and every caller that has a slot returns within a third of its time.
#[test]
fn returns_are_spread() {
    let mut slots = ReturnSlots::default();
    let waits: Vec<_> = (0..100).map(|number| reserve(&mut slots, number, 0, 5)).collect();
    let given = waits.iter().flatten().count();
    assert!(waits.iter().flatten().all(|wait| *wait <= Duration::from_millis(DEADLINE_MS / 3)));
    assert!(given > 50 && given < 65, "{given} slots in 2 s of half a pool of {CAPACITY}");
    for period in 0..40 {
        let (from, to) = (at(period * 100), at(period * 100 + 100));
        let promised = slots.promised_work("scan", from, to);
        assert!(promised <= Duration::from_millis(300), "{promised:?} in period {period}");
    }
}

/// Guards against urgent callers, or callers that have waited longer, that find all near periods
/// taken by others.
#[test]
fn urgent_and_long_waiting_requests_get_earlier_periods() {
    let mut slots = ReturnSlots::default();
    let last = (0..100).filter_map(|number| reserve(&mut slots, number, 9, 5)).max();
    let urgent = reserve(&mut slots, 200, 0, 5);
    assert!(urgent.is_some() && urgent < last, "{urgent:?} {last:?}");
    // Number 99 got no slot, and has waited for 4 s when it returns.
    for number in 300..400 {
        reserve(&mut slots, number, 9, 4_005);
    }
    assert_eq!(reserve(&mut slots, 400, 9, 4_006), None);
    assert!(reserve(&mut slots, 99, 9, 4_006).is_some());
}

/// Guards against capacity that stays reserved for a caller which never returns, and against a
/// better position for a caller that returns early.
#[test]
fn slot_is_kept_until_300_ms_after_the_expected_return() {
    let mut slots = ReturnSlots::default();
    let wait = reserve(&mut slots, 1, 0, 5).expect("the pool is free");
    let expected_ms = 5 + wait.as_millis() as u64;
    let early = slots.claim(digest(1), at(expected_ms - 50));
    assert_eq!(early, Some(SlotClaim::Early { remaining: Duration::from_millis(50) }));
    assert_eq!(reserve(&mut slots, 1, 0, expected_ms - 50), Some(Duration::from_millis(50)));
    let promised = |slots: &ReturnSlots| slots.promised_work("scan", at(0), at(10_000));
    assert_eq!(promised(&slots), Duration::from_millis(WORK_MS));
    assert_eq!(slots.expire(at(expected_ms + 300)), 0);
    assert_eq!(slots.expire(at(expected_ms + 301)), 1);
    assert_eq!(promised(&slots), Duration::ZERO);
    assert_eq!(slots.claim(digest(1), at(expected_ms + 301)), None);
    slots.expire(at(10_000));
    assert!(slots.is_empty());
}

/// Guards against new requests that are refused for the sake of callers that never return, and
/// against urgent requests that wait for less urgent callers.
#[test]
fn only_callers_that_return_count_before_new_requests() {
    let mut slots = ReturnSlots::default();
    let expected = |slots: &ReturnSlots, level, from_ms| {
        slots.expected_work("scan", level, at(from_ms), at(from_ms + 2_000))
    };
    reserve(&mut slots, 0, 2, 5);
    let work = Duration::from_millis(WORK_MS);
    assert_eq!((expected(&slots, 1, 5), expected(&slots, 2, 5)), (Duration::ZERO, work));
    let mut now_ms = 10_000;
    for number in 1..200 {
        reserve(&mut slots, number, 2, now_ms);
        now_ms += 2_000;
    }
    reserve(&mut slots, 200, 2, now_ms);
    let without_returns = expected(&slots, 2, now_ms);
    assert!(without_returns < work / 10, "{without_returns:?}");
    for number in 201..400 {
        let wait = reserve(&mut slots, number, 2, now_ms).expect("the pool is free");
        now_ms += wait.as_millis() as u64;
        assert_eq!(slots.claim(digest(number), at(now_ms)), Some(SlotClaim::OnTime));
    }
    reserve(&mut slots, 400, 2, now_ms);
    let with_returns = expected(&slots, 2, now_ms);
    assert!(with_returns > work.mul_f64(0.9), "{with_returns:?}");
}

/// Guards against a state that grows with the number of refused requests, and against a log line
/// for each of them.
#[test]
fn number_of_slots_is_bounded() {
    let mut slots = ReturnSlots::default();
    for number in 0..5_000 {
        reserve(&mut slots, number, 0, 5);
    }
    assert_eq!(slots.len(), 4_096);
    assert_eq!((slots.take_dropped(at(5)), slots.take_dropped(at(900))), (Some(904), None));
}
