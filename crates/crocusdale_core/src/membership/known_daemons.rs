use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time for which a daemon stays known after it disappeared from the member view: longer than a
/// network partition usually lasts.
const DAEMON_RETENTION: Duration = Duration::from_secs(600);

/// Names of the daemons in the member view now or in the last ten minutes, whether they are
/// reachable or not.
#[derive(Debug, Default)]
pub struct KnownDaemons {
    last_seen: BTreeMap<String, MonotonicTime>,
}

impl KnownDaemons {
    /// Records that the member view contains the daemons `names` at `now`, and removes daemons
    /// whose retention has expired. Returns whether the set of known daemons changed.
    pub fn update<'a>(&mut self, names: impl Iterator<Item = &'a str>, now: MonotonicTime) -> bool {
        let mut changed = false;
        for name in names {
            match self.last_seen.get_mut(name) {
                Some(last_seen) => *last_seen = now,
                None => {
                    self.last_seen.insert(name.to_owned(), now);
                    changed = true;
                }
            }
        }
        let previous_count = self.last_seen.len();
        self.last_seen.retain(|_, last_seen| now.since(*last_seen) < DAEMON_RETENTION);
        changed || self.last_seen.len() != previous_count
    }

    /// Names of the known daemons in alphabetical order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.last_seen.keys().map(String::as_str)
    }
}
