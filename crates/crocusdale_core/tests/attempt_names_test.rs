//! Attempts of different processes at one dispatcher.
//!
//! What was seen: on a day of 195 VMs a request got the results of another one, after a first step of
//! 40 ms where a call takes 200 ms. How it came: nearly all processes started in one millisecond, and two
//! of them numbered their lives alike, and with them their calls. Cause: an attempt was named by the
//! number of a life, which only tells the lives of one VM apart.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use crocusdale_core::daemon::StalenessBounds;
use forward_daemon::Daemon;

#[test]
fn attempts_of_two_processes_with_the_same_number_differ() {
    let attempts = ["entry-a1", "entry-b7"].map(|vm| {
        let mut daemon = Daemon::named(vm, StalenessBounds::default());
        daemon.submit("/ask/it");
        daemon.last_relay().attempt
    });
    assert_ne!(attempts[0], attempts[1]);
}
