//! Hashes that all daemons of a fleet must agree on.

use crocusdale_core::identity::stable_hash;
use xxhash_rust::xxh3::Xxh3;

/// Guards against daemons that rank upstreams or other daemons differently because one hashes an
/// input in one piece and another in several.
#[test]
fn hash_does_not_depend_on_the_length_of_its_input() {
    for length in 0..600 {
        let text = "x".repeat(length);
        let mut hasher = Xxh3::new();
        for part in ["prefix", &text] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        assert_eq!(stable_hash(&["prefix", &text]), hasher.digest(), "{length} bytes");
    }
}
