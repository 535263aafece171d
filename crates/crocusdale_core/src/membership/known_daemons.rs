use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time for which a daemon is remembered that nobody has heard of: longer than parts of the fleet lose each
/// other for.
const MEMORY: Duration = Duration::from_secs(600);

/// Daemons that are known or were known of late, whether they can be reached or not.
#[derive(Debug, Default)]
pub struct KnownDaemons {
    seen: BTreeMap<String, MonotonicTime>,
}

impl KnownDaemons {
    /// Takes the daemons that the member view names at `now`. Returns whether others are known than before.
    pub fn note<'a>(&mut self, names: impl Iterator<Item = &'a str>, now: MonotonicTime) -> bool {
        let mut changed = false;
        for name in names {
            match self.seen.get_mut(name) {
                Some(seen) => *seen = now,
                None => {
                    self.seen.insert(name.to_owned(), now);
                    changed = true;
                }
            }
        }
        let before = self.seen.len();
        self.seen.retain(|_, seen| now.since(*seen) < MEMORY);
        changed || self.seen.len() != before
    }

    /// Names of the daemons, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.seen.keys().map(String::as_str)
    }
}
