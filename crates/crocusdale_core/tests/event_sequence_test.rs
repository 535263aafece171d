//! Event numbers of streams that another upstream resumes.

use crocusdale_core::pipeline::{EventSequence, EventVerdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed seed, so that each run of the property test draws the same cases.
const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against lost, repeated or reordered events. Upstreams may break off at any event, and
    /// the next one may resume too early, at the right event or too late.
    #[test]
    fn caller_sees_each_event_once_and_in_order(
        first_id in 0_u64..5,
        segments in proptest::collection::vec((-4_i64..4, 1_u64..12), 1..8),
    ) {
        let mut sequence = EventSequence::after(first_id.checked_sub(1));
        let mut seen = Vec::new();
        for (offset, length) in segments {
            let next = sequence.last().map_or(first_id, |last| last + 1);
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

/// Guards against a gap in the stream that the caller takes for a complete answer. A caller resumes
/// after its last event, and the upstream starts one event too late: the answer must count as
/// broken.
#[test]
fn event_after_a_gap_is_not_forwarded() {
    let mut sequence = EventSequence::after(Some(12));
    assert_eq!(sequence.take(Some(14)), EventVerdict::Missing);
    assert_eq!(sequence.take(Some(13)), EventVerdict::Pass);
}
