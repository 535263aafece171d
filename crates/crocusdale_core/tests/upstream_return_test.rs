//! A daemon that reads the published upstreams again after reads have failed for some time.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use crocusdale_core::daemon::DaemonEvent;

use forward_daemon::Daemon;

fn plain_upstreams(daemon: &Daemon) -> Vec<String> {
    let listed = daemon.core.published_upstreams(daemon.now).entries.into_iter();
    let plain = listed.filter(|each| each.entry.pool == "notify" && !each.entry.leaving);
    plain.map(|each| each.entry.id).collect()
}

/// Guards against requests to an upstream that left after an outage of the store. The store is away
/// for a second and returns without one upstream, whose entry has expired; half a second later
/// another upstream is missing, which has left. The first must stay in use for two seconds, in
/// which its entry may return, the second must be dropped at once.
#[test]
fn only_entries_that_expired_in_the_outage_are_kept() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2", "n3"], &[]);
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    daemon.advance(1_000);
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    daemon.advance(100);
    daemon.publish(&["n1", "n2"], &[]);
    assert_eq!(
        plain_upstreams(&daemon),
        ["n1", "n2", "n3"],
        "n3 must be kept: its entry may have expired in the outage"
    );
    daemon.advance(500);
    daemon.publish(&["n1"], &[]);
    assert_eq!(
        plain_upstreams(&daemon),
        ["n1", "n3"],
        "n2 must be removed: it was listed after the outage and has left"
    );
    daemon.advance(1_700);
    assert_eq!(
        plain_upstreams(&daemon),
        ["n1"],
        "n3 must be removed: its entry did not return in two seconds"
    );
}
