use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::MonotonicTime;

/// Time for which it is remembered that a process said that it leaves. It is gone long before.
const TOLD_LIFE: Duration = Duration::from_secs(600);

/// One process of an upstream, as the platform publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Identity of the process. A process may start again under the one that it had.
    pub id: String,
    /// When the process started, in milliseconds since the Unix epoch, if the platform says it. Tells
    /// its lives apart.
    pub born: Option<u64>,
    /// Pool that it belongs to.
    pub pool: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it takes at one time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
}

impl DirectoryEntry {
    /// Name under which one life of the process is known, unlike that of any other.
    ///
    /// Guards against a process that starts again under its id: it holds nothing of what the one
    /// before it held, and whatever was learned or believed of that one (open calls, room, pace,
    /// cached prompts, ejection, leaving) would be taken for its own.
    #[must_use]
    pub fn name(&self) -> String {
        match self.born {
            Some(born) => format!("{} born {born}", self.id),
            None => self.id.clone(),
        }
    }
}

/// A list of published upstreams as another daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    /// Revision up to which everything has been read.
    pub revision: u64,
    /// The upstreams.
    pub entries: Vec<PeerEntry>,
}

/// An upstream of a [`PeerDirectory`].
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Revision of its last change.
    pub written: u64,
    /// What the platform publishes, or published.
    pub entry: DirectoryEntry,
    /// Time for which it is still waited for, if the platform has not listed it since it is back.
    pub lapses_in: Option<Duration>,
}

/// Upstreams that the platform publishes, as far as this daemon has read or heard.
///
/// Each entry keeps the revision of its last change, so that what a peer tells late never goes
/// before what was read since.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    /// Revision up to which everything has been read.
    revision: u64,
    /// Revision of the last change that matters to routing.
    changed: u64,
    entries: BTreeMap<String, (u64, DirectoryEntry)>,
    /// Removed upstreams with the revision of their removal and their last life.
    removed: BTreeMap<String, (u64, Option<u64>)>,
    /// Upstreams that are missing from the list since it is back, until when they are waited for.
    missing: BTreeMap<String, MonotonicTime>,
    /// Where processes listened that have started again since this was last asked.
    restarted: Vec<SocketAddr>,
    /// Names of processes that said themselves, or to a peer, that they leave, with the time of the news.
    told_leaving: HashMap<String, MonotonicTime>,
}

impl UpstreamDirectory {
    /// Revision up to which everything has been read.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the last change that matters to routing.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Whether the list was ever read or heard.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Published upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values().map(|(_, entry)| entry)
    }

    /// Takes the news that the process named `name` leaves, from itself or a peer. Returns whether that
    /// matters to routing.
    ///
    /// Guards against calls of a process that has said in an answer that it leaves while the platform,
    /// which knows nothing of it yet, lists it as one that stays: it shows as requests that reach a
    /// leaving upstream for as long as the platform is away. The news holds for each list of before and
    /// after, and outlives the entry, which may lapse and come back; a later life has another name.
    pub fn note_leaving(&mut self, name: &str, now: MonotonicTime) -> bool {
        self.told_leaving.retain(|_, told| now.since(*told) < TOLD_LIFE);
        self.told_leaving.insert(name.to_owned(), now);
        let mut entries = self.entries.values_mut().map(|(_, entry)| entry);
        let Some(entry) = entries.find(|entry| entry.name() == name) else { return false };
        !std::mem::replace(&mut entry.leaving, true)
    }

    /// Whether the upstream named `name` has given notice.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.entries().any(|entry| entry.leaving && entry.name() == name)
    }

    /// Takes a whole list, read at `revision`. With `grace`, it is the first one after a time in which
    /// none could be read, and entries may have lapsed meanwhile: what is missing from it is waited
    /// for until then. Returns whether anything changed that matters to routing.
    pub fn replace(
        &mut self,
        revision: u64,
        entries: Vec<(u64, DirectoryEntry)>,
        grace: Option<MonotonicTime>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed: HashSet<&str> = entries.iter().map(|(_, entry)| entry.id.as_str()).collect();
        let unlisted = self.entries.keys().filter(|id| !listed.contains(id.as_str()));
        let unlisted: Vec<String> = unlisted.cloned().collect();
        let mut changed = false;
        for id in unlisted {
            changed |= self.lose(&id, revision, grace);
        }
        for (written, entry) in entries {
            changed |= self.put(written, entry);
        }
        self.revision = revision;
        changed
    }

    /// Takes the list of a peer. Returns whether anything changed that matters to routing.
    ///
    /// Guards against a gone upstream that is passed on as a listed one: a peer that waits for entries
    /// which may have lapsed has them in its list, and drops them later by itself, at no revision of
    /// its own. Daemons that rely on its reading sent requests to such an upstream 2.4 s after it
    /// had left. What the peer waits for is waited for here, and no longer than there.
    pub fn merge(&mut self, list: PeerDirectory, now: MonotonicTime) -> bool {
        let lapsing = list.entries.iter();
        let lapsing = lapsing.filter_map(|each| Some((each.entry.id.clone(), each.lapses_in?)));
        let lapsing: Vec<_> = lapsing
            .map(|(id, left)| {
                let until = now + left;
                let known = self.missing.get(&id).copied();
                (id, known.map_or(until, |known| known.min(until)))
            })
            .collect();
        let entries = list.entries.into_iter().map(|each| (each.written, each.entry)).collect();
        let revision = list.revision;
        let changed = self.replace(revision, entries, None);
        if revision == self.revision {
            let held = |id: &String| self.entries.contains_key(id);
            let lapsing: Vec<_> = lapsing.into_iter().filter(|(id, _)| held(id)).collect();
            self.missing.extend(lapsing);
        }
        changed
    }

    /// Drops upstreams that were waited for long enough. Returns whether there were any.
    pub fn drop_missing(&mut self, now: MonotonicTime) -> bool {
        let over = self.missing.iter().filter(|(_, until)| now >= **until);
        let over: Vec<String> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.missing.remove(id);
            let revision = self.revision;
            self.remove(id, revision);
        }
        !over.is_empty()
    }

    /// Where processes listened that have started again since the last call: connections that are
    /// left to them are broken, or silent if their VM lost its power.
    #[must_use]
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.restarted)
    }

    /// All that is known, for a peer that lacks it.
    #[must_use]
    pub fn snapshot(&self, now: MonotonicTime) -> PeerDirectory {
        let entries = self.entries.iter().map(|(id, (written, entry))| PeerEntry {
            written: *written,
            entry: entry.clone(),
            lapses_in: self.missing.get(id).map(|until| until.since(now)),
        });
        PeerDirectory { revision: self.revision, entries: entries.collect() }
    }

    fn put(&mut self, written: u64, entry: DirectoryEntry) -> bool {
        if self.removed.get(&entry.id).is_some_and(|(removed, _)| *removed > written) {
            return false;
        }
        let known = self.entries.get(&entry.id);
        if known.is_some_and(|(revision, _)| *revision > written) {
            return false;
        }
        // What an earlier life wrote may reach the platform behind what a later one wrote.
        let last_life = known.map(|(_, known)| known.born);
        let last_life = last_life.max(self.removed.get(&entry.id).map(|(_, born)| *born));
        if last_life.is_some_and(|last| entry.born < last) {
            return false;
        }
        self.missing.remove(&entry.id);
        let known = self.entries.get(&entry.id);
        if let Some((_, ended)) = known.filter(|(_, known)| known.born < entry.born) {
            self.restarted.push(ended.address);
        }
        // A process that leaves never stays after all: news from before its notice came late.
        let leaves = known.is_some_and(|(_, known)| known.leaving && known.born == entry.born);
        let leaves = leaves || self.told_leaving.contains_key(&entry.name());
        let late = leaves && !entry.leaving;
        let changed = !late && known.is_none_or(|(_, known)| *known != entry);
        if changed {
            self.changed = self.changed.max(written);
        }
        let entry = DirectoryEntry { leaving: entry.leaving || leaves, ..entry };
        self.entries.insert(entry.id.clone(), (written, entry));
        changed
    }

    /// An upstream is no longer published. One that had given notice is gone for good.
    fn lose(&mut self, id: &str, revision: u64, grace: Option<MonotonicTime>) -> bool {
        let leaving = self.entries.get(id).is_some_and(|(_, entry)| entry.leaving);
        match grace.filter(|_| !leaving) {
            Some(until) => {
                if self.entries.contains_key(id) {
                    self.missing.entry(id.to_owned()).or_insert(until);
                }
                false
            }
            None if self.missing.contains_key(id) => false,
            None => self.remove(id, revision),
        }
    }

    fn remove(&mut self, id: &str, revision: u64) -> bool {
        let born = self.entries.get(id).and_then(|(_, entry)| entry.born);
        let last = self.removed.get(id).and_then(|(_, born)| *born);
        self.removed.insert(id.to_owned(), (revision, born.max(last)));
        let known = self.entries.get(id).is_some_and(|(written, _)| *written <= revision);
        if known {
            self.entries.remove(id);
            self.missing.remove(id);
            self.changed = self.changed.max(revision);
        }
        known
    }
}
