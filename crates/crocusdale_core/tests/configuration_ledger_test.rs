//! Which revision is in force does not depend on the order in which daemons hear of them.

use crocusdale_core::configuration::{ConfigurationLedger, LedgerVerdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the proptests: CI gives the same verdict every time.
const SEED: u64 = 20_261_202;

fn text(content: u8) -> String {
    format!("[deployment]\nname = content-{content}\n")
}

/// Content 0 stands for declarations that are wrong.
fn offered(content: u8) -> String {
    if content == 0 { "[deployment]\nnome = wrong\n".to_owned() } else { text(content) }
}

// A service that was restored from a backup shows revision 3 after revision 5.
#[test]
fn older_revision_is_ignored() {
    let mut ledger = ConfigurationLedger::default();
    assert_eq!(ledger.offer(5, &text(1)), LedgerVerdict::Accepted);
    assert_eq!(ledger.offer(3, &text(2)), LedgerVerdict::Older);
    assert_eq!(ledger.position().0, 5);
}

#[test]
fn rejected_revision_leaves_the_last_accepted_one() {
    let mut ledger = ConfigurationLedger::default();
    ledger.offer(1, &text(1));
    assert!(matches!(ledger.offer(2, &offered(0)), LedgerVerdict::Rejected(_)));
    assert_eq!(ledger.offer(2, &offered(0)), LedgerVerdict::RejectedBefore);
    assert_eq!((ledger.position().0, ledger.rejected().map(|each| each.0)), (1, Some(2)));
    ledger.offer(3, &text(2));
    assert_eq!((ledger.position().0, ledger.rejected().map(|each| each.0)), (3, None));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Two operators race, so that one revision has several contents, and daemons hear of them in
    // different orders and more than once. All must end with the same one.
    #[test]
    fn daemons_agree_whatever_the_order(
        offers in proptest::collection::vec((1..4_u64, 0..4_u8), 1..12),
        order in any::<proptest::sample::Index>(),
    ) {
        let (mut first, mut second) = (ConfigurationLedger::default(), ConfigurationLedger::default());
        let mut before = 0;
        for (revision, content) in &offers {
            first.offer(*revision, &offered(*content));
            prop_assert!(first.position().0 >= before, "went back");
            before = first.position().0;
        }
        let start = order.index(offers.len());
        for (revision, content) in offers[start..].iter().chain(&offers[..start]).rev() {
            second.offer(*revision, &offered(*content));
        }
        prop_assert_eq!(first.position(), second.position());
    }
}
