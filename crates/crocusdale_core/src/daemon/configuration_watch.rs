//! Schedule of the configuration watch and of its retries.

use std::time::Duration;

use super::fleet_state::FleetState;
use super::{Command, CounterName, TimerKey};
use crate::identity::MonotonicTime;

/// Time without a heartbeat from any peer after which a daemon watches the configuration service
/// itself.
const PEER_SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Interval at which a daemon that does not watch checks whether it has to.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Initial and longest backoff after a failed read of the configuration. The first retry already
/// waits twice the initial one.
const WATCH_BACKOFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));

impl FleetState {
    /// Records the end of a watch, which returned `read_revision` or no new one, and schedules the
    /// next watch.
    ///
    /// Only a few daemons in each availability zone keep a watch open. The others learn of new
    /// revisions from peers. This keeps the load of a large fleet far below the rate limit of the
    /// configuration service, even when all daemons retry after an outage.
    pub fn finish_watch(
        &mut self,
        read_revision: Option<u64>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        self.is_watching = false;
        self.failed_watches = 0;
        if let Some(revision) = read_revision {
            self.watched_revision = revision;
        }
        self.start_due_watch(now, out);
    }

    /// Records a failed watch and schedules the next one after a backoff.
    pub fn record_watch_failure(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        out.push(Command::Count(CounterName::PlatformReadsFailed));
        self.is_watching = false;
        self.failed_watches += 1;
        let backoff = WATCH_BACKOFF.0 * 2_u32.pow(self.failed_watches.min(8));
        let delay = self.with_jitter(backoff.min(WATCH_BACKOFF.1));
        out.push(Command::SetTimer { timer: TimerKey::Configuration, at: now + delay });
    }

    /// Starts a watch if this daemon is a watcher of its availability zone, has no configuration,
    /// or has heard from no peer for too long. Otherwise schedules the next check.
    ///
    /// Where a store publishes both the configuration and the upstreams, the configuration is read
    /// together with the list, at the intervals in [`RefreshIntervals`]. There, only the daemons
    /// that read the store also watch it, so that a new configuration applies within milliseconds.
    pub fn start_due_watch(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        if self.is_watching {
            return;
        }
        let heard_after =
            MonotonicTime::from_start(now.since_start().saturating_sub(PEER_SILENCE_LIMIT));
        let has_no_configuration = self.ledger.in_force().is_none();
        let is_watch_due = if self.needs_directory {
            !has_no_configuration && self.directory_reader().is_none()
        } else {
            self.is_configuration_watcher()
                || has_no_configuration
                || !self.view.heard_since(heard_after)
        };
        if is_watch_due {
            self.is_watching = true;
            out.push(Command::WatchConfiguration { known: self.watched_revision });
        } else {
            let delay = self.with_jitter(WATCHER_CHECK_INTERVAL);
            out.push(Command::SetTimer { timer: TimerKey::Configuration, at: now + delay });
        }
    }
}
