//! A daemon that could not read the published upstreams for some time, and reads them again.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use crocusdale_core::daemon::DaemonEvent;

use forward_daemon::Daemon;

fn plain_upstreams(daemon: &Daemon) -> Vec<String> {
    let known = daemon.core.published_upstreams(daemon.now).entries.into_iter();
    let plain = known.filter(|each| each.entry.pool == "notify" && !each.entry.leaving);
    plain.map(|each| each.entry.id).collect()
}

/// The store is away for a second, and comes back without one upstream, whose entry lapsed; half a
/// second later another one is missing, which has left. Users' requests must go to the first for two
/// seconds, in which it may come back, and to the second no longer.
#[test]
fn only_what_lapsed_before_the_return_is_waited_for() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2", "n3"], &[]);
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    daemon.advance(1_000);
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    daemon.advance(100);
    daemon.publish(&["n1", "n2"], &[]);
    assert_eq!(plain_upstreams(&daemon), ["n1", "n2", "n3"], "n3 may have lapsed");
    daemon.advance(500);
    daemon.publish(&["n1"], &[]);
    assert_eq!(plain_upstreams(&daemon), ["n1", "n3"], "n2 has left");
    daemon.advance(1_700);
    assert_eq!(plain_upstreams(&daemon), ["n1"], "n3 has not come back");
}
