//! When to watch the configuration, and when to look again.

use std::time::Duration;

use super::fleet_state::FleetState;
use super::{Command, CounterName, TimerKey};
use crate::identity::MonotonicTime;

/// Time after which a daemon that heard no peer reads the configuration service itself.
const READ_BOUND: Duration = Duration::from_secs(5);
/// Pause of a daemon that is no reader before it looks again whether it must read.
const READER_CHECK: Duration = Duration::from_secs(2);
/// First pause after a failed read of the platform, and the longest one.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));

impl FleetState {
    /// Takes the end of a watch, and decides when to read next.
    ///
    /// A few readers of each zone keep watching; the others hear of revisions from peers. That
    /// keeps the reads of a large fleet far below what the service allows, also after an outage.
    pub fn watch_ended(&mut self, read: Option<u64>, now: MonotonicTime, out: &mut Vec<Command>) {
        self.is_watching = false;
        self.failed_watches = 0;
        if let Some(revision) = read {
            self.watched_revision = revision;
        }
        self.decide_watch(now, out);
    }

    /// Takes a failed read, and decides when to read next.
    pub fn watch_failed(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        out.push(Command::Count(CounterName::PlatformReadsFailed));
        self.is_watching = false;
        self.failed_watches += 1;
        let longest = BACK_OFF.0 * 2_u32.pow(self.failed_watches.min(8));
        let pause = self.with_jitter(longest.min(BACK_OFF.1));
        out.push(Command::SetTimer { timer: TimerKey::Configuration, at: now + pause });
    }

    /// Watches if this daemon is a reader or has heard of no peer for too long.
    ///
    /// A store is read whole at a pace of its own, see [`NewsPace`]. There a watch only has a change
    /// take effect within milliseconds.
    pub fn decide_watch(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        if self.is_watching {
            return;
        }
        let bound = MonotonicTime::from_start(now.since_start().saturating_sub(READ_BOUND));
        let none_yet = self.ledger.in_force().is_none();
        let watches = if self.needs_directory {
            !none_yet && self.directory_reader().is_none()
        } else {
            self.is_reader() || none_yet || !self.view.heard_since(bound)
        };
        if watches {
            self.is_watching = true;
            out.push(Command::WatchConfiguration { known: self.watched_revision });
        } else {
            let pause = self.with_jitter(READER_CHECK);
            out.push(Command::SetTimer { timer: TimerKey::Configuration, at: now + pause });
        }
    }
}
