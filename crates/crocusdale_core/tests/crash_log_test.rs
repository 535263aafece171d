//! Tests of `CrashLog`, in which daemons share which requests have crashed upstreams.

use std::time::Duration;

use crocusdale_core::identity::{MonotonicTime, RequestDigest};
use crocusdale_core::quarantine::{CrashLog, CrashRecord, QUARANTINE_DURATION, UpstreamCrash};
use proptest::prelude::*;

const NOW: MonotonicTime = MonotonicTime::from_millis(5_000);

fn digest(request_number: u32) -> RequestDigest {
    RequestDigest::of(&[&request_number.to_le_bytes()])
}

fn record(request_number: u32, upstreams: &[u64], cleared: bool) -> CrashRecord {
    let age = Duration::from_millis(700);
    let crash = |upstream: &u64| UpstreamCrash { upstream: *upstream, age };
    CrashRecord {
        subject: digest(request_number),
        crashes: upstreams.iter().map(crash).collect(),
        cleared: cleared.then_some(age / 2),
    }
}

fn records() -> impl Strategy<Value = Vec<CrashRecord>> {
    let record_strategy =
        (0_u32..4, prop::collection::vec(0_u64..14, 0..6), prop::bool::weighted(0.1));
    let record_strategy = record_strategy.prop_map(|(request_number, upstreams, cleared)| {
        record(request_number, &upstreams, cleared)
    });
    prop::collection::vec(record_strategy, 0..20)
}

proptest! {
    /// Guards against daemons that exchange crash records without end. Logs that merge the same
    /// records in another order, or twice, agree and have no news for each other.
    #[test]
    fn logs_with_the_same_records_agree(
        (records, shuffled) in records().prop_flat_map(|records| {
            (Just(records.clone()), Just(records).prop_shuffle())
        }),
    ) {
        let (mut log, mut other_log) = (CrashLog::default(), CrashLog::default());
        for record in &records {
            log.merge(record, NOW);
        }
        for record in shuffled.iter().chain(&shuffled) {
            other_log.merge(record, NOW);
        }
        prop_assert_eq!(log.summary(), other_log.summary());
        prop_assert_eq!(log.quarantined(NOW).len(), other_log.quarantined(NOW).len());
        let shared_records = log.records(NOW);
        prop_assert!(!shared_records.iter().any(|record| other_log.merge(record, NOW)));
    }
}

/// Guards against a quarantine after fewer than three crashes, and against one that lasts too long.
/// A crash counts once, however many daemons report it. Crashes keep their age even if they are
/// older than this process.
#[test]
fn third_crash_quarantines_and_crashes_keep_their_age() {
    let mut log = CrashLog::default();
    for _ in 0..5 {
        log.merge(&record(1, &[10, 11], false), NOW);
    }
    assert_eq!(log.quarantine_left(digest(1), NOW), None);
    let age = Duration::from_secs(400);
    let old_record = CrashRecord {
        crashes: vec![UpstreamCrash { upstream: 12, age }; 2],
        ..record(2, &[], false)
    };
    log.merge(&old_record, NOW);
    log.record_crash(digest(1), 12, NOW);
    assert_eq!(log.quarantine_left(digest(1), NOW), Some(QUARANTINE_DURATION));
    assert_eq!(log.quarantine_left(digest(2), NOW), None);
    let shared_records = log.records(NOW);
    let shared_records = shared_records
        .iter()
        .find(|record| record.subject == digest(2))
        .expect("the log holds the record of request 2");
    assert_eq!(shared_records.crashes[0].age, age);
    assert!(
        log.remove_expired(NOW),
        "a record without a third crash within two minutes must expire"
    );
    assert_eq!(log.crash_count(digest(2)), 0);
    assert_eq!(log.crash_count(digest(1)), 3);
}

/// Guards against a log that grows without limit or loses a quarantine, when many upstreams crash
/// under requests that are never repeated. The log must keep the requests with the most crashes.
#[test]
fn many_new_records_evict_no_quarantine() {
    let mut log = CrashLog::default();
    log.merge(&record(0, &[1, 2, 3], false), NOW);
    for request_number in 1..5_000 {
        log.record_crash(digest(request_number), u64::from(request_number % 7), NOW);
    }
    assert!(log.records(NOW).len() <= 512);
    assert!(log.quarantine_left(digest(0), NOW).is_some());
}
