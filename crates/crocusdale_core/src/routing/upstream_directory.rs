use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cold_upstreams::{ColdUpstream, ColdUpstreams};
use super::directory_change::{ChangeRecord, ChangedUpstream, DirectoryChange};
use super::peer_directory::{PeerDirectory, PeerEntry, PeerRemoval};
use super::zone_evacuations::{ZoneEvacuation, ZoneEvacuations};
use crate::identity::{MonotonicTime, SoftwareVersion, StorePosition};

/// Time for which entries that are missing after a restore are kept. A store that was restored from
/// an older copy lacks the entries written since. Their processes write them again with their next
/// heartbeat, within two seconds at most.
pub(crate) const RESTORE_GRACE: Duration = Duration::from_millis(2_500);
/// Separator between the process ID and the start time in the name of an upstream. IDs contain no
/// spaces.
const START_SEPARATOR: &str = " born ";
/// String that sorts after all process IDs, which are ASCII.
const LAST_ID: &str = "\u{10ffff}";
/// Time for which a leaving notice is remembered. The process has ended long before.
const LEAVING_NOTICE_TTL: Duration = Duration::from_secs(600);

/// One process of an upstream, as the platform publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// ID of the process. A restarted process may use the same ID.
    pub id: String,
    /// Start time of the process, in milliseconds since the Unix epoch. Distinguishes the runs of a
    /// process that restarts under its ID. `None` if the platform doesn't publish it.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// Name of the stage pool that the process serves.
    pub pool: String,
    /// Address on which the process accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that the process serves concurrently.
    pub slots: u32,
    /// Whether the process has announced that it is leaving.
    pub leaving: bool,
    /// Version of the process's software. `None` if the list came from a daemon that does not tell
    /// it.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
}

impl DirectoryEntry {
    /// Name that is unique to this run of the process.
    ///
    /// Guards against taking a restarted process for the earlier one with the same ID. The new
    /// process shares no state with the old one, so that recorded open calls, free memory, latency,
    /// cached prompts, ejection and leaving notice don't apply to it.
    #[must_use]
    pub fn name(&self) -> String {
        match self.started_at_ms {
            Some(started_at_ms) => format!("{}{START_SEPARATOR}{started_at_ms}", self.id),
            None => self.id.clone(),
        }
    }
}

/// A published upstream, as the daemon last read it or received it from a peer.
#[derive(Clone, Debug)]
struct ListedUpstream {
    /// Store position of the entry's last write, including heartbeats.
    write_position: StorePosition,
    /// Store position of the last write that affects routing.
    change_position: StorePosition,
    entry: DirectoryEntry,
}

/// Published upstreams, as this daemon has read them or received them from peers.
///
/// Each entry keeps the store position of its last write, so that a delayed message from a peer
/// never overwrites a newer reading.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    /// Store position up to which all changes have been read.
    position: StorePosition,
    /// Store position of the first reading in the present era. Entries written up to here may be
    /// older than those known before the store was restored from a copy.
    restore_position: StorePosition,
    /// Store position of the first list in the present era. All changes since then are known.
    complete_since: StorePosition,
    /// Store position of the last change that affects routing.
    change_position: StorePosition,
    entries: BTreeMap<String, ListedUpstream>,
    /// Change position and process ID of each listed upstream, in the order of changes.
    changes: BTreeSet<(StorePosition, String)>,
    /// Removed upstreams by process ID, with the store position of the removal and the last known
    /// start time.
    removed: BTreeMap<String, (StorePosition, Option<u64>)>,
    /// Upstreams that are missing from the latest list, by process ID, with the time at which their
    /// entries are removed.
    missing: BTreeMap<String, MonotonicTime>,
    /// Whether a missing entry was removed after its time limit, since the last full list. A peer
    /// may know that the upstream is listed again.
    has_expired_missing: bool,
    /// Addresses of processes that have restarted since the last call of `take_restarted`.
    restarted: Vec<SocketAddr>,
    /// Names of processes that are leaving, by their own notice or by a peer's message, with the
    /// time at which this daemon received it.
    leaving_notices: HashMap<String, MonotonicTime>,
    evacuations: ZoneEvacuations,
    cold: ColdUpstreams,
    /// Changes since the last call of `take_change`.
    unrouted: ChangeRecord,
}

impl UpstreamDirectory {
    /// Store position up to which all changes have been read.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Store position of the last change that affects routing.
    #[must_use]
    pub fn change_position(&self) -> StorePosition {
        self.change_position
    }

    /// Whether a list has been read or received from a peer.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.position.is_none()
    }

    /// All published upstreams, including those that get no new work.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values().map(|listed| &listed.entry)
    }

    /// Published upstreams that may get new work: those that are not leaving and not in an
    /// evacuated availability zone.
    pub fn available_entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries().filter(|entry| self.is_available(entry))
    }

    fn is_available(&self, entry: &DirectoryEntry) -> bool {
        !entry.leaving && !self.evacuations.contains(&entry.zone)
    }

    /// Entry of the upstream `name`. `None` if it isn't listed, or if another run of its process
    /// is.
    fn entry(&self, name: &str) -> Option<&DirectoryEntry> {
        let listed = self.entries.get(process_id(name))?;
        Some(&listed.entry).filter(|entry| entry.name() == name)
    }

    fn entry_mut(&mut self, name: &str) -> Option<&mut DirectoryEntry> {
        let listed = self.entries.get_mut(process_id(name))?;
        Some(&mut listed.entry).filter(|entry| entry.name() == name)
    }

    /// Names of the evacuated availability zones, in ascending order.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        self.evacuations.names()
    }

    /// Records the cold starts that upstreams reported by `now`. Returns whether the change affects
    /// routing.
    pub fn record_cold(&mut self, cold: Vec<ColdUpstream>, now: MonotonicTime) -> bool {
        let mut has_changed = false;
        for upstream in cold {
            let name = upstream.name.clone();
            if self.cold.record(upstream, now) {
                self.unrouted.record(name);
                has_changed = true;
            }
        }
        if has_changed {
            self.change_position = self.change_position.max(self.position);
        }
        has_changed
    }

    /// End of the cold start of the upstream `name`, or `None` if no cold start was reported.
    #[must_use]
    pub fn cold_until(&self, name: &str) -> Option<MonotonicTime> {
        self.cold.end_time(name)
    }

    /// Replaces the evacuated availability zones with those of a reading at `position`, before its
    /// upstreams are replaced. A `grace` time is given for the first reading after the store was
    /// restored from an older copy: zones that it lacks stay evacuated until that time. Returns
    /// whether the change affects routing.
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
            self.unrouted.record_all();
            self.change_position = self.change_position.max(position);
        }
        changed
    }

    /// Records that the process `name` is leaving, by its own notice or by a peer's message.
    /// Returns whether the change affects routing.
    ///
    /// Guards against requests to a process that has announced in an answer that it is leaving,
    /// while the platform still lists it as serving. Without the record, it would get requests for
    /// as long as the platform is unreachable. The notice overrides all older and newer lists, and
    /// is kept when the entry expires and returns. A later run of the process has another name, so
    /// that the notice doesn't apply to it.
    pub fn record_leaving(&mut self, name: &str, now: MonotonicTime) -> bool {
        self.leaving_notices.retain(|_, received| now.since(*received) < LEAVING_NOTICE_TTL);
        self.leaving_notices.insert(name.to_owned(), now);
        let Some(entry) = self.entry_mut(name) else { return false };
        let has_changed = !std::mem::replace(&mut entry.leaving, true);
        if has_changed {
            self.unrouted.record(name.to_owned());
        }
        has_changed
    }

    /// Number of upstreams that are missing from the list and still kept.
    #[must_use]
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Whether the list contains the upstream `name` as a process that is about to shut down.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.entry(name).is_some_and(|entry| entry.leaving)
    }

    /// Returns what has changed since the last call, for an update of routing, and clears it.
    #[must_use]
    pub fn take_change(&mut self) -> DirectoryChange {
        let Some(names) = self.unrouted.take() else { return DirectoryChange::All };
        let to_change = |name: String| ChangedUpstream {
            entry: self.entry(&name).filter(|entry| self.is_available(entry)).cloned(),
            cold_until: self.cold_until(&name),
            name,
        };
        DirectoryChange::Upstreams(names.into_iter().map(to_change).collect())
    }

    /// Replaces the list with a full one, read at `position`, with the revision of each entry's
    /// last write. A `grace` time is given for the first list after a period in which none could be
    /// read, when entries may have expired, and for the first list after the store was restored
    /// from an older copy, which may lack entries. Missing entries are then kept until that time.
    /// Returns whether the change affects routing.
    pub fn replace(
        &mut self,
        position: impl Into<StorePosition>,
        entries: Vec<(u64, DirectoryEntry)>,
        grace: Option<MonotonicTime>,
    ) -> bool {
        let position: StorePosition = position.into();
        let with_position =
            |(revision, entry)| (StorePosition { era: position.era, revision }, entry);
        self.replace_positioned(position, entries.into_iter().map(with_position).collect(), grace)
    }

    fn replace_positioned(
        &mut self,
        position: StorePosition,
        entries: Vec<(StorePosition, DirectoryEntry)>,
        grace: Option<MonotonicTime>,
    ) -> bool {
        if position < self.position {
            return false;
        }
        self.has_expired_missing = false;
        if self.is_known() && position.era > self.position.era {
            self.restore_position = position;
        }
        if position.era > self.complete_since.era || self.complete_since.is_none() {
            self.complete_since = position;
        }
        let listed: HashSet<&str> = entries.iter().map(|(_, entry)| entry.id.as_str()).collect();
        let unlisted = self.entries.keys().filter(|id| !listed.contains(id.as_str()));
        let unlisted: Vec<String> = unlisted.cloned().collect();
        let mut changed = false;
        for id in unlisted {
            changed |= self.handle_unlisted(&id, position, grace);
        }
        for (write_position, entry) in entries {
            changed |= self.upsert(write_position, entry);
        }
        self.position = position;
        changed
    }

    /// Applies the changes up to `position` that were read from the store since an earlier
    /// [`Self::sync_position`], with the revision of each write and removal. Returns whether they
    /// affect routing, or `None` if a whole list is needed instead.
    pub fn apply_store_changes(
        &mut self,
        position: StorePosition,
        written: Vec<(u64, DirectoryEntry)>,
        removed: Vec<(u64, String)>,
    ) -> Option<bool> {
        if !self.is_complete() || position.era != self.position.era {
            return None;
        }
        let at = |revision| StorePosition { era: position.era, revision };
        let removed = removed.into_iter();
        let removed = removed.map(|(revision, id)| PeerRemoval { position: at(revision), id });
        let written = written.into_iter().map(|(revision, entry)| (at(revision), entry));
        // A peer's changes may have been merged since.
        let position = position.max(self.position);
        Some(self.apply_changes(position, written.collect(), removed.collect()))
    }

    /// Merges a list from a peer. Returns whether the change affects routing.
    ///
    /// Guards against a missing upstream that a peer passes on as a listed one. A peer keeps such
    /// an entry in its list for a limited time and then removes it without a new store revision.
    /// Daemons that relied on the peer's list sent requests to an upstream 2.4 s after it had left.
    /// This daemon therefore keeps the entry no longer than the peer does.
    pub fn merge(&mut self, list: PeerDirectory, now: MonotonicTime) -> bool {
        // A list of changes doesn't cover the entries that a reading has found missing since the
        // list was requested.
        let is_unusable_delta = list.removed.is_some() && !self.is_complete();
        if list.position < self.position || is_unusable_delta {
            return false;
        }
        // After a restore, the peer may never have received entries that this daemon read before.
        let is_restored = self.is_known() && list.position.era > self.position.era;
        let grace = is_restored.then_some(now + RESTORE_GRACE);
        let expiring = list.entries.iter();
        let expiring =
            expiring.filter_map(|entry| Some((entry.entry.id.clone(), entry.expires_in?)));
        let expiring: Vec<_> = expiring
            .map(|(id, expires_in)| {
                let expires_at = now + expires_in;
                let own_expiry = self.missing.get(&id).copied();
                (id, own_expiry.map_or(expires_at, |own_expiry| own_expiry.min(expires_at)))
            })
            .collect();
        let entries =
            list.entries.into_iter().map(|listed| (listed.write_position, listed.entry)).collect();
        let (position, cold) = (list.position, list.cold);
        let mut changed = self.replace_evacuations(position, list.evacuations, grace);
        changed |= match list.removed {
            None => self.replace_positioned(position, entries, grace),
            Some(removed) => self.apply_changes(position, entries, removed),
        };
        if position == self.position {
            let is_listed = |id: &String| self.entries.contains_key(id);
            let expiring: Vec<_> = expiring.into_iter().filter(|(id, _)| is_listed(id)).collect();
            self.missing.extend(expiring);
            changed |= self.record_cold(cold, now);
        }
        changed
    }

    /// Applies the changes since the position up to which this daemon has read all changes.
    fn apply_changes(
        &mut self,
        position: StorePosition,
        entries: Vec<(StorePosition, DirectoryEntry)>,
        removed: Vec<PeerRemoval>,
    ) -> bool {
        let mut changed = false;
        for removal in removed {
            changed |= self.remove(&removal.id, removal.position);
        }
        for (write_position, entry) in entries {
            changed |= self.upsert(write_position, entry);
        }
        self.position = position;
        changed
    }

    /// Removes missing upstreams and evacuations whose time limit has passed. Returns whether any
    /// were removed.
    pub fn remove_expired(&mut self, now: MonotonicTime) -> bool {
        let expired = self.missing.iter().filter(|(_, expires_at)| now >= **expires_at);
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.missing.remove(id);
            let position = self.position;
            self.remove(id, position);
        }
        self.has_expired_missing |= !expired.is_empty();
        let has_ended_evacuations = self.evacuations.remove_expired(now);
        if has_ended_evacuations {
            self.unrouted.record_all();
            self.change_position = self.change_position.max(self.position);
        }
        has_ended_evacuations || !expired.is_empty()
    }

    /// Returns the addresses of processes that have restarted since the last call, and clears them.
    /// Remaining connections to these addresses are broken, or silent if the VM lost power.
    #[must_use]
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.restarted)
    }

    /// The full list, for a peer that has none or an outdated one.
    #[must_use]
    pub fn snapshot(&self, now: MonotonicTime) -> PeerDirectory {
        let entries =
            self.entries.iter().map(|(id, listed)| self.to_peer_entry(id, listed, now)).collect();
        PeerDirectory {
            position: self.position,
            entries,
            removed: None,
            evacuations: self.evacuations.snapshot(),
            cold: self.cold.snapshot(now),
            age: None,
        }
    }

    /// Changes since `since`, the position up to which the peer has read all changes. The
    /// full list if this daemon doesn't know all changes since then.
    ///
    /// Guards against full network links: if every change of one upstream among thousands caused
    /// each daemon to fetch the full list, the lists would fill the links.
    #[must_use]
    pub fn changes_since(&self, since: StorePosition, now: MonotonicTime) -> PeerDirectory {
        if since < self.complete_since || since.era != self.position.era {
            return self.snapshot(now);
        }
        let after_since = (Bound::Excluded((since, String::from(LAST_ID))), Bound::Unbounded);
        let changed = self.changes.range(after_since).map(|(_, id)| id);
        let changed = changed.filter(|id| !self.missing.contains_key(*id));
        let recent = changed.chain(self.missing.keys());
        let recent = recent.filter_map(|id| self.entries.get_key_value(id));
        let removed = self.removed.iter().filter(|(_, (position, _))| *position > since);
        let removed =
            removed.map(|(id, (position, _))| PeerRemoval { position: *position, id: id.clone() });
        PeerDirectory {
            position: self.position,
            entries: recent.map(|(id, listed)| self.to_peer_entry(id, listed, now)).collect(),
            removed: Some(removed.collect()),
            evacuations: self.evacuations.snapshot(),
            cold: self.cold.snapshot(now),
            age: None,
        }
    }

    /// Store position up to which a peer may omit changes. Zero if a full list is needed.
    #[must_use]
    pub fn sync_position(&self) -> StorePosition {
        if self.is_complete() { self.position } else { StorePosition::default() }
    }

    /// Whether the list is complete up to its position. While an entry is missing, or after one was
    /// removed because its time limit passed, the entry may return without a change that a peer
    /// would send.
    fn is_complete(&self) -> bool {
        self.missing.is_empty() && !self.has_expired_missing
    }

    fn to_peer_entry(&self, id: &str, listed: &ListedUpstream, now: MonotonicTime) -> PeerEntry {
        PeerEntry {
            write_position: listed.write_position,
            entry: listed.entry.clone(),
            expires_in: self.missing.get(id).map(|expires_at| expires_at.since(now)),
        }
    }

    fn upsert(&mut self, write_position: StorePosition, entry: DirectoryEntry) -> bool {
        if self.removed.get(&entry.id).is_some_and(|(removed, _)| *removed > write_position) {
            return false;
        }
        if self.is_restored_after_removal(write_position, &entry) {
            return false;
        }
        let recorded = self.entries.get(&entry.id);
        if recorded.is_some_and(|recorded| recorded.write_position > write_position) {
            return false;
        }
        // A write from an earlier run of the process may reach the platform after one from a later
        // run.
        let last_start = recorded.map(|recorded| recorded.entry.started_at_ms);
        let last_start =
            last_start.max(self.removed.get(&entry.id).map(|(_, started_at_ms)| *started_at_ms));
        if last_start.is_some_and(|last| entry.started_at_ms < last) {
            return false;
        }
        self.missing.remove(&entry.id);
        let recorded = self.entries.get(&entry.id);
        // A process keeps its version, also if it is listed by a daemon that does not tell versions.
        let known_version = recorded
            .filter(|recorded| recorded.entry.started_at_ms == entry.started_at_ms)
            .and_then(|recorded| recorded.entry.software_version.clone());
        let entry =
            DirectoryEntry { software_version: entry.software_version.or(known_version), ..entry };
        if let Some(ended) =
            recorded.filter(|recorded| recorded.entry.started_at_ms < entry.started_at_ms)
        {
            self.restarted.push(ended.entry.address);
        }
        // A process that has announced that it is leaving never returns to service. An entry that
        // lists it as serving was therefore written before the announcement.
        let is_leaving = recorded.is_some_and(|recorded| {
            recorded.entry.leaving && recorded.entry.started_at_ms == entry.started_at_ms
        });
        let is_leaving = is_leaving || self.leaving_notices.contains_key(&entry.name());
        let is_outdated = is_leaving && !entry.leaving;
        let changed = !is_outdated && recorded.is_none_or(|recorded| recorded.entry != entry);
        let last_change = recorded.map_or(write_position, |recorded| recorded.change_position);
        if changed {
            self.change_position = self.change_position.max(write_position);
            self.unrouted.record(entry.name());
            if let Some(recorded) =
                recorded.filter(|recorded| recorded.entry.name() != entry.name())
            {
                self.unrouted.record(recorded.entry.name());
            }
        }
        let entry = DirectoryEntry { leaving: entry.leaving || is_leaving, ..entry };
        if changed {
            self.changes.remove(&(last_change, entry.id.clone()));
            self.changes.insert((write_position, entry.id.clone()));
        }
        let last_change = if changed { write_position } else { last_change };
        let listed = ListedUpstream { write_position, change_position: last_change, entry };
        self.entries.insert(listed.entry.id.clone(), listed);
        changed
    }

    /// Handles an upstream that the latest list lacks. With a `grace` time, its entry is kept until
    /// then, unless the process had announced that it was leaving.
    fn handle_unlisted(
        &mut self,
        id: &str,
        position: StorePosition,
        grace: Option<MonotonicTime>,
    ) -> bool {
        let was_leaving = self.entries.get(id).is_some_and(|listed| listed.entry.leaving);
        match grace.filter(|_| !was_leaving) {
            Some(expires_at) => {
                if self.entries.contains_key(id) {
                    self.missing.entry(id.to_owned()).or_insert(expires_at);
                }
                false
            }
            None if self.missing.contains_key(id) => false,
            None => self.remove(id, position),
        }
    }

    /// Whether an entry belongs to a process that had ended before the store was restored, and
    /// appears only because the restored copy is older.
    ///
    /// Guards against requests to processes that left or crashed in the seconds that the store
    /// lost. The restored store lists them until their leases expire. A process that is still
    /// running renews its entry with a heartbeat, which is written after the restore.
    fn is_restored_after_removal(
        &self,
        write_position: StorePosition,
        entry: &DirectoryEntry,
    ) -> bool {
        self.removed.get(&entry.id).is_some_and(|(removed, started_at_ms)| {
            removed.era < write_position.era
                && write_position <= self.restore_position
                && entry.started_at_ms <= *started_at_ms
        })
    }

    fn remove(&mut self, id: &str, position: StorePosition) -> bool {
        let started_at_ms = self.entries.get(id).and_then(|listed| listed.entry.started_at_ms);
        let last = self.removed.get(id).and_then(|(_, started_at_ms)| *started_at_ms);
        self.removed.insert(id.to_owned(), (position, started_at_ms.max(last)));
        let is_removed =
            self.entries.get(id).is_some_and(|listed| listed.write_position <= position);
        if is_removed {
            if let Some(listed) = self.entries.remove(id) {
                self.changes.remove(&(listed.change_position, id.to_owned()));
                self.unrouted.record(listed.entry.name());
            }
            self.missing.remove(id);
            self.change_position = self.change_position.max(position);
        }
        is_removed
    }
}

/// Process ID in the name of an upstream.
fn process_id(name: &str) -> &str {
    name.split_once(START_SEPARATOR).map_or(name, |(id, _)| id)
}
