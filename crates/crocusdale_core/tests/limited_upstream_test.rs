//! Upstreams that name how many requests a second they take from all daemons together.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
#[path = "support/limited_upstream.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod limited_upstream;
mod support;

use std::time::Duration;

use crocusdale_core::daemon::NewsBounds;

use limited_upstream::{LimitedUpstream, allowed};

/// Guards against an upstream that names a rate and gets as many requests as before.
#[test]
fn limited_upstream_gets_what_it_takes_from_all_daemons_together() {
    for (size, per_second) in [(6, 1.0), (6, 4.0), (74, 1.0)] {
        let mut upstream = LimitedUpstream::new(size, 2, 1);
        upstream.load = 60.0;
        upstream.run(Duration::from_secs(2));
        upstream.name_rate(per_second);
        let bound_from = upstream.fleet.now + NewsBounds::default().contact;
        upstream.run(Duration::from_secs(15));
        let most = upstream.most_of_told(bound_from);
        assert!(
            most <= allowed(per_second),
            "{size} daemons, {per_second} a second: {most} requests in a window"
        );
    }
}
