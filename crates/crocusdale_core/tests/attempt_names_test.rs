//! Tests that attempt ids of different daemon processes differ.
//!
//! Guards against a request that receives the results of another request. Processes that start in
//! the same millisecond can have the same incarnation number, and then number their calls alike.
//! The number only distinguishes processes on one VM, so an attempt id must depend on the VM too.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use crocusdale_core::daemon::StalenessBounds;
use forward_daemon::Daemon;

#[test]
fn attempt_ids_of_processes_with_equal_incarnations_differ() {
    let attempt_ids = ["entry-a1", "entry-b7"].map(|vm| {
        let mut daemon = Daemon::named(vm, StalenessBounds::default());
        daemon.submit("/ask/it");
        daemon.last_relay().attempt
    });
    assert_ne!(attempt_ids[0], attempt_ids[1]);
}
