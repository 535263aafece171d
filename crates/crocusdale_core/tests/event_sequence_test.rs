//! Streams that another upstream takes up again.

use crocusdale_core::pipeline::{EventSequence, EventVerdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Upstreams break off at any event, and the next one begins anywhere: too early, right, or too
    /// late. The caller must see each event once and in order, whatever they do.
    #[test]
    fn caller_sees_each_event_once_and_in_order(
        begins in 0_u64..5,
        pieces in proptest::collection::vec((-4_i64..4, 1_u64..12), 1..8),
    ) {
        let mut sequence = EventSequence::after(begins.checked_sub(1));
        let mut seen = Vec::new();
        for (offset, length) in pieces {
            let next = sequence.last().map_or(begins, |last| last + 1);
            let from = next.saturating_add_signed(offset);
            for id in from..from + length {
                match sequence.take(Some(id)) {
                    EventVerdict::Pass => seen.push(id),
                    EventVerdict::Repeated => {}
                    EventVerdict::Missing => break,
                }
            }
        }
        for pair in seen.windows(2) {
            prop_assert_eq!(pair[0] + 1, pair[1]);
        }
    }
}

/// A caller comes back with the last event that it has, and the upstream begins one event too far.
/// The gap must show as a broken answer, not pass as a whole one.
#[test]
fn event_behind_a_gap_is_not_passed_on() {
    let mut sequence = EventSequence::after(Some(12));
    assert_eq!(sequence.take(Some(14)), EventVerdict::Missing);
    assert_eq!(sequence.take(Some(13)), EventVerdict::Pass);
}
