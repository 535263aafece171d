use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cold_upstreams::{ColdUpstream, ColdUpstreams};
use super::peer_directory::{PeerDirectory, PeerEntry, PeerRemoval};
use super::zone_evacuations::{ZoneEvacuation, ZoneEvacuations};
use crate::identity::{MonotonicTime, StorePosition};

/// Time for which an entry is waited for that a store lacks which came back from an older copy. Its process
/// writes it again with its next heartbeat, within two seconds at most.
pub(crate) const RESTORE_GRACE: Duration = Duration::from_millis(2_500);
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

/// A published upstream as it was last read or heard of.
#[derive(Clone, Debug)]
struct ListedUpstream {
    /// Position of its last change, its heartbeats included.
    written: StorePosition,
    /// Position of its last change that matters to routing.
    changed: StorePosition,
    entry: DirectoryEntry,
}

/// Upstreams that the platform publishes, as far as this daemon has read or heard.
///
/// Each entry keeps the position of its last change, so that what a peer tells late never goes
/// before what was read since.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    /// Position up to which everything has been read.
    position: StorePosition,
    /// Position at which the store was first read in its present era: what was written up to there may
    /// be older than what was known before.
    restored_at: StorePosition,
    /// Position of the first list, or of the first one in the present era: what changed since is known.
    complete_since: StorePosition,
    /// Position of the last change that matters to routing.
    changed: StorePosition,
    entries: BTreeMap<String, ListedUpstream>,
    /// Removed upstreams with the position of their removal and their last life.
    removed: BTreeMap<String, (StorePosition, Option<u64>)>,
    /// Upstreams that are missing from the list since it is back, until when they are waited for.
    missing: BTreeMap<String, MonotonicTime>,
    /// Whether any were given up since the last whole list: a peer may know that they are back.
    gave_up: bool,
    /// Where processes listened that have started again since this was last asked.
    restarted: Vec<SocketAddr>,
    /// Names of processes that said themselves, or to a peer, that they leave, with the time of the news.
    told_leaving: HashMap<String, MonotonicTime>,
    evacuations: ZoneEvacuations,
    cold: ColdUpstreams,
}

impl UpstreamDirectory {
    /// Position up to which everything has been read.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Position of the last change that matters to routing.
    #[must_use]
    pub fn changed(&self) -> StorePosition {
        self.changed
    }

    /// Whether the list was ever read or heard.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.position.is_none()
    }

    /// Published upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values().map(|listed| &listed.entry)
    }

    /// Published upstreams that may get new work: those that neither leave nor stand in an evacuated
    /// availability zone.
    pub fn staying(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries().filter(|entry| !entry.leaving && !self.evacuations.contains(&entry.zone))
    }

    /// Names of the evacuated availability zones, in order.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        self.evacuations.names()
    }

    /// Takes the upstreams that are cold, as published by `now`. Returns whether that matters to routing.
    pub fn note_cold(&mut self, cold: Vec<ColdUpstream>, now: MonotonicTime) -> bool {
        let mut is_news = false;
        for each in cold {
            is_news |= self.cold.note(each, now);
        }
        if is_news {
            self.changed = self.changed.max(self.position);
        }
        is_news
    }

    /// End of the cold start of the upstream named `name`, if it is known to be cold.
    #[must_use]
    pub fn cold_until(&self, name: &str) -> Option<MonotonicTime> {
        self.cold.end(name)
    }

    /// Takes the evacuated availability zones that a reading at `position` names, before its upstreams.
    /// With `grace`, it is the first one after the store came back from an older copy, and a zone that it
    /// lacks stays evacuated until then. Returns whether that matters to routing.
    pub fn replace_evacuations(
        &mut self,
        position: impl Into<StorePosition>,
        listed: Vec<ZoneEvacuation>,
        grace: Option<MonotonicTime>,
    ) -> bool {
        let position = position.into();
        if position < self.position {
            return false;
        }
        let changed = self.evacuations.replace(listed, grace);
        if changed {
            self.changed = self.changed.max(position);
        }
        changed
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
        let mut entries = self.entries.values_mut().map(|listed| &mut listed.entry);
        let Some(entry) = entries.find(|entry| entry.name() == name) else { return false };
        !std::mem::replace(&mut entry.leaving, true)
    }

    /// Number of upstreams that are missing from the list and waited for.
    #[must_use]
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Whether the upstream named `name` has given notice.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.entries().any(|entry| entry.leaving && entry.name() == name)
    }

    /// Takes a whole list, read at `position`, with the revision of each entry's last change. With
    /// `grace`, it is the first one after a time in which none could be read, and entries may have lapsed
    /// meanwhile, or the first one after the store came back from an older copy, which may lack entries:
    /// what is missing from it is waited for until then. Returns whether anything changed that matters to
    /// routing.
    pub fn replace(
        &mut self,
        position: impl Into<StorePosition>,
        entries: Vec<(u64, DirectoryEntry)>,
        grace: Option<MonotonicTime>,
    ) -> bool {
        let position: StorePosition = position.into();
        let placed = |(revision, entry)| (StorePosition { era: position.era, revision }, entry);
        self.replace_placed(position, entries.into_iter().map(placed).collect(), grace)
    }

    fn replace_placed(
        &mut self,
        position: StorePosition,
        entries: Vec<(StorePosition, DirectoryEntry)>,
        grace: Option<MonotonicTime>,
    ) -> bool {
        if position < self.position {
            return false;
        }
        self.gave_up = false;
        if self.is_known() && position.era > self.position.era {
            self.restored_at = position;
        }
        if position.era > self.complete_since.era || self.complete_since.is_none() {
            self.complete_since = position;
        }
        let listed: HashSet<&str> = entries.iter().map(|(_, entry)| entry.id.as_str()).collect();
        let unlisted = self.entries.keys().filter(|id| !listed.contains(id.as_str()));
        let unlisted: Vec<String> = unlisted.cloned().collect();
        let mut changed = false;
        for id in unlisted {
            changed |= self.lose(&id, position, grace);
        }
        for (written, entry) in entries {
            changed |= self.put(written, entry);
        }
        self.position = position;
        changed
    }

    /// Takes the list of a peer. Returns whether anything changed that matters to routing.
    ///
    /// Guards against a gone upstream that is passed on as a listed one: a peer that waits for entries
    /// which may have lapsed has them in its list, and drops them later by itself, at no revision of
    /// its own. Daemons that rely on its reading sent requests to such an upstream 2.4 s after it
    /// had left. What the peer waits for is waited for here, and no longer than there.
    pub fn merge(&mut self, list: PeerDirectory, now: MonotonicTime) -> bool {
        // Changes say nothing of what a reading has found missing since they were asked for.
        let is_useless = list.removed.is_some() && !self.knows_all();
        if list.position < self.position || is_useless {
            return false;
        }
        // The peer may never have heard of what was read here before the store came back from a copy.
        let is_restored = self.is_known() && list.position.era > self.position.era;
        let grace = is_restored.then_some(now + RESTORE_GRACE);
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
        let (position, cold) = (list.position, list.cold);
        let mut changed = self.replace_evacuations(position, list.evacuations, grace);
        changed |= match list.removed {
            None => self.replace_placed(position, entries, grace),
            Some(removed) => self.take_changes(position, entries, removed),
        };
        if position == self.position {
            let held = |id: &String| self.entries.contains_key(id);
            let lapsing: Vec<_> = lapsing.into_iter().filter(|(id, _)| held(id)).collect();
            self.missing.extend(lapsing);
            changed |= self.note_cold(cold, now);
        }
        changed
    }

    /// Takes what changed since the position up to which everything is known here.
    fn take_changes(
        &mut self,
        position: StorePosition,
        entries: Vec<(StorePosition, DirectoryEntry)>,
        removed: Vec<PeerRemoval>,
    ) -> bool {
        let mut changed = false;
        for removal in removed {
            changed |= self.remove(&removal.id, removal.position);
        }
        for (written, entry) in entries {
            changed |= self.put(written, entry);
        }
        self.position = position;
        changed
    }

    /// Drops upstreams and evacuations that were waited for long enough. Returns whether there were any.
    pub fn drop_missing(&mut self, now: MonotonicTime) -> bool {
        let over = self.missing.iter().filter(|(_, until)| now >= **until);
        let over: Vec<String> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.missing.remove(id);
            let position = self.position;
            self.remove(id, position);
        }
        self.gave_up |= !over.is_empty();
        let opened = self.evacuations.drop_lapsed(now);
        if opened {
            self.changed = self.changed.max(self.position);
        }
        opened || !over.is_empty()
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
        let entries = self.entries.iter().map(|(id, listed)| self.told(id, listed, now)).collect();
        PeerDirectory {
            position: self.position,
            entries,
            removed: None,
            evacuations: self.evacuations.snapshot(),
            cold: self.cold.snapshot(now),
            age: None,
        }
    }

    /// What a peer lacks that knows everything up to `known`.
    ///
    /// Guards against fleets whose links are full of lists: each daemon fetches the list whenever one
    /// upstream of thousands has changed.
    #[must_use]
    pub fn changes_since(&self, known: StorePosition, now: MonotonicTime) -> PeerDirectory {
        if known < self.complete_since || known.era != self.position.era {
            return self.snapshot(now);
        }
        let entries = self.entries.iter();
        let news =
            entries.filter(|(id, each)| each.changed > known || self.missing.contains_key(*id));
        let removed = self.removed.iter().filter(|(_, (position, _))| *position > known);
        let removed =
            removed.map(|(id, (position, _))| PeerRemoval { position: *position, id: id.clone() });
        PeerDirectory {
            position: self.position,
            entries: news.map(|(id, listed)| self.told(id, listed, now)).collect(),
            removed: Some(removed.collect()),
            evacuations: self.evacuations.snapshot(),
            cold: self.cold.snapshot(now),
            age: None,
        }
    }

    /// Position up to which a peer need not tell anything.
    #[must_use]
    pub fn known_to_peers(&self) -> StorePosition {
        if self.knows_all() { self.position } else { StorePosition::default() }
    }

    /// Whether everything up to the position is known. An entry that is waited for, or was given up, may be
    /// back without a change that a peer would tell.
    fn knows_all(&self) -> bool {
        self.missing.is_empty() && !self.gave_up
    }

    fn told(&self, id: &str, listed: &ListedUpstream, now: MonotonicTime) -> PeerEntry {
        PeerEntry {
            written: listed.written,
            entry: listed.entry.clone(),
            lapses_in: self.missing.get(id).map(|until| until.since(now)),
        }
    }

    fn put(&mut self, written: StorePosition, entry: DirectoryEntry) -> bool {
        if self.removed.get(&entry.id).is_some_and(|(removed, _)| *removed > written) {
            return false;
        }
        if self.is_resurrected(written, &entry) {
            return false;
        }
        let known = self.entries.get(&entry.id);
        if known.is_some_and(|known| known.written > written) {
            return false;
        }
        // What an earlier life wrote may reach the platform behind what a later one wrote.
        let last_life = known.map(|known| known.entry.born);
        let last_life = last_life.max(self.removed.get(&entry.id).map(|(_, born)| *born));
        if last_life.is_some_and(|last| entry.born < last) {
            return false;
        }
        self.missing.remove(&entry.id);
        let known = self.entries.get(&entry.id);
        if let Some(ended) = known.filter(|known| known.entry.born < entry.born) {
            self.restarted.push(ended.entry.address);
        }
        // A process that leaves never stays after all: news from before its notice came late.
        let leaves =
            known.is_some_and(|known| known.entry.leaving && known.entry.born == entry.born);
        let leaves = leaves || self.told_leaving.contains_key(&entry.name());
        let late = leaves && !entry.leaving;
        let changed = !late && known.is_none_or(|known| known.entry != entry);
        let last_change = known.map_or(written, |known| known.changed);
        if changed {
            self.changed = self.changed.max(written);
        }
        let entry = DirectoryEntry { leaving: entry.leaving || leaves, ..entry };
        let last_change = if changed { written } else { last_change };
        let listed = ListedUpstream { written, changed: last_change, entry };
        self.entries.insert(listed.entry.id.clone(), listed);
        changed
    }

    /// An upstream is no longer published. One that had given notice is gone for good.
    fn lose(&mut self, id: &str, position: StorePosition, grace: Option<MonotonicTime>) -> bool {
        let leaving = self.entries.get(id).is_some_and(|listed| listed.entry.leaving);
        match grace.filter(|_| !leaving) {
            Some(until) => {
                if self.entries.contains_key(id) {
                    self.missing.entry(id.to_owned()).or_insert(until);
                }
                false
            }
            None if self.missing.contains_key(id) => false,
            None => self.remove(id, position),
        }
    }

    /// Whether an entry is of a process that was gone before the store came back from an older copy,
    /// and only stands in that copy.
    ///
    /// Guards against calls of processes that have left or crashed within the seconds that the store
    /// lost: it lists them as they were, for as long as their leases last. One that lives after all
    /// renews its entry, which is written after the copy.
    fn is_resurrected(&self, written: StorePosition, entry: &DirectoryEntry) -> bool {
        self.removed.get(&entry.id).is_some_and(|(removed, born)| {
            removed.era < written.era && written <= self.restored_at && entry.born <= *born
        })
    }

    fn remove(&mut self, id: &str, position: StorePosition) -> bool {
        let born = self.entries.get(id).and_then(|listed| listed.entry.born);
        let last = self.removed.get(id).and_then(|(_, born)| *born);
        self.removed.insert(id.to_owned(), (position, born.max(last)));
        let known = self.entries.get(id).is_some_and(|listed| listed.written <= position);
        if known {
            self.entries.remove(id);
            self.missing.remove(id);
            self.changed = self.changed.max(position);
        }
        known
    }
}
