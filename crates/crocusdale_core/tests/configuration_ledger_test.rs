//! Tests that the accepted configuration revision does not depend on the order in which a daemon
//! receives the revisions.

use crocusdale_core::configuration::{ConfigurationLedger, LedgerVerdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed seed of the property tests, so that every CI run checks the same cases.
const SEED: u64 = 20_261_202;

fn valid_text(content: u8) -> String {
    format!("[deployment]\nname = content-{content}\n")
}

/// Returns the declarations with the number `content`. Content 0 is an invalid declaration.
fn declarations_text(content: u8) -> String {
    if content == 0 { "[deployment]\nnome = wrong\n".to_owned() } else { valid_text(content) }
}

// Guards against a rollback to an older configuration. A configuration store that was restored from
// a backup offers revision 3 after revision 5.
#[test]
fn revision_older_than_the_accepted_one_is_ignored() {
    let mut ledger = ConfigurationLedger::default();
    assert_eq!(ledger.offer(5, &valid_text(1)), LedgerVerdict::Accepted);
    assert_eq!(ledger.offer(3, &valid_text(2)), LedgerVerdict::Older);
    assert_eq!(ledger.position().0, 5);
}

#[test]
fn rejected_revision_keeps_the_last_accepted_one() {
    let mut ledger = ConfigurationLedger::default();
    ledger.offer(1, &valid_text(1));
    assert!(matches!(ledger.offer(2, &declarations_text(0)), LedgerVerdict::Rejected(_)));
    assert_eq!(ledger.offer(2, &declarations_text(0)), LedgerVerdict::RejectedBefore);
    assert_eq!((ledger.position().0, ledger.rejected().map(|each| each.0)), (1, Some(2)));
    ledger.offer(3, &valid_text(2));
    assert_eq!((ledger.position().0, ledger.rejected().map(|each| each.0)), (3, None));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against daemons that keep different configurations. If two operators publish at the
    // same time, one revision has several contents. Daemons receive them in different orders and
    // more than once, and must all accept the same one.
    #[test]
    fn daemons_agree_for_any_order_of_offers(
        offers in proptest::collection::vec((1..4_u64, 0..4_u8), 1..12),
        order in any::<proptest::sample::Index>(),
    ) {
        let (mut first, mut second) = (ConfigurationLedger::default(), ConfigurationLedger::default());
        let mut last_revision = 0;
        for (revision, content) in &offers {
            first.offer(*revision, &declarations_text(*content));
            prop_assert!(first.position().0 >= last_revision, "below revision {last_revision}");
            last_revision = first.position().0;
        }
        let rotation = order.index(offers.len());
        for (revision, content) in offers[rotation..].iter().chain(&offers[..rotation]).rev() {
            second.offer(*revision, &declarations_text(*content));
        }
        prop_assert_eq!(first.position(), second.position());
    }
}
