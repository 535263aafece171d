//! What daemons remember together of upstreams that ended under requests.

use std::time::Duration;

use crocusdale_core::identity::{MonotonicTime, RequestDigest};
use crocusdale_core::quarantine::{CrashLog, CrashRecord, QUARANTINE_DURATION, UpstreamCrash};
use proptest::prelude::*;

const NOW: MonotonicTime = MonotonicTime::from_millis(5_000);

fn digest(number: u32) -> RequestDigest {
    RequestDigest::of(&[&number.to_le_bytes()])
}

fn record(number: u32, upstreams: &[u64], cleared: bool) -> CrashRecord {
    let age = Duration::from_millis(700);
    let crash = |upstream: &u64| UpstreamCrash { upstream: *upstream, age };
    CrashRecord {
        digest: digest(number),
        crashes: upstreams.iter().map(crash).collect(),
        cleared: cleared.then_some(age / 2),
    }
}

fn records() -> impl Strategy<Value = Vec<CrashRecord>> {
    let one = (0_u32..4, prop::collection::vec(0_u64..14, 0..6), prop::bool::weighted(0.1));
    let one = one.prop_map(|(number, upstreams, cleared)| record(number, &upstreams, cleared));
    prop::collection::vec(one, 0..20)
}

proptest! {
    /// Daemons that hear the same in another order, and twice, agree, and have nothing more to tell each
    /// other.
    #[test]
    fn books_with_the_same_records_agree(
        (records, shuffled) in records().prop_flat_map(|records| {
            (Just(records.clone()), Just(records).prop_shuffle())
        }),
    ) {
        let (mut book, mut other) = (CrashLog::default(), CrashLog::default());
        for record in &records {
            book.merge(record, NOW);
        }
        for record in shuffled.iter().chain(&shuffled) {
            other.merge(record, NOW);
        }
        prop_assert_eq!(book.summary(), other.summary());
        prop_assert_eq!(book.quarantined(NOW).len(), other.quarantined(NOW).len());
        let told = book.records(NOW);
        prop_assert!(!told.iter().any(|record| other.merge(record, NOW)));
    }
}

/// Each end counts once, whoever tells it; the third one stops the request, and ages from before the start
/// of this process are kept.
#[test]
fn third_end_quarantines_for_the_time_that_is_left() {
    let mut book = CrashLog::default();
    for _ in 0..5 {
        book.merge(&record(1, &[10, 11], false), NOW);
    }
    assert_eq!(book.quarantine_left(digest(1), NOW), None);
    let age = Duration::from_secs(400);
    let old = CrashRecord {
        crashes: vec![UpstreamCrash { upstream: 12, age }; 2],
        ..record(2, &[], false)
    };
    book.merge(&old, NOW);
    book.record_crash(digest(1), 12, NOW);
    assert_eq!(book.quarantine_left(digest(1), NOW), Some(QUARANTINE_DURATION));
    assert_eq!(book.quarantine_left(digest(2), NOW), None);
    let told = book.records(NOW);
    let told = told.iter().find(|record| record.digest == digest(2)).expect("it is remembered");
    assert_eq!(told.crashes[0].age, age);
    assert!(book.remove_expired(NOW), "two minutes without a third end");
    assert_eq!(book.crash_count(digest(2)), 0);
    assert_eq!(book.crash_count(digest(1)), 3);
}

/// Upstreams end by the dozen under requests that come once: the book stays small, and what has ended
/// most upstreams stays in it.
#[test]
fn flood_of_new_requests_displaces_no_quarantine() {
    let mut book = CrashLog::default();
    book.merge(&record(0, &[1, 2, 3], false), NOW);
    for number in 1..5_000 {
        book.record_crash(digest(number), u64::from(number % 7), NOW);
    }
    assert!(book.records(NOW).len() <= 512);
    assert!(book.quarantine_left(digest(0), NOW).is_some());
}
