use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{Rng as _, SeedableRng as _};

use super::{
    ExchangeMessage, LeavingUpstream, MemberCapacity, MemberPlace, MemberRecord, MemberStatus,
    VmEntry, VmList, VmRole, VmState,
};
use crate::identity::{InstanceId, MonotonicTime};

/// Number of partners that a daemon exchanges messages with in each heartbeat period. The second
/// number applies for a short time after an exchange has failed.
const PARTNERS_PER_PERIOD: (usize, usize) = (1, 2);
/// Time after a failed exchange for which each period has the higher number of partners.
const EXTRA_PARTNERS_TIME: Duration = Duration::from_millis(2_500);
/// Number of messages in which a daemon repeats an update, per bit of the fleet size. The number of
/// messages that gossip needs to reach all members grows with the logarithm of the fleet size.
const SENDS_PER_SIZE_BIT: u32 = 3;
/// Time after which an unreachable member is removed in a deployment without a VM list. A VM that
/// was off for longer rejoins through the seed addresses.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(30);
/// Time for which a leaving upstream is remembered. The upstream has stopped, and the last message
/// about it has arrived, long before this time.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);
/// Average number of an unreachable member's turns as a partner per exchange with it.
const UNREACHABLE_TURNS_PER_EXCHANGE: u64 = 4;

/// One daemon's view of the members of the fleet.
///
/// Views of different daemons may differ, so correctness must not depend on them. They serve to
/// choose addresses for callers and gossip partners.
#[derive(Debug)]
pub struct MemberView {
    pub(super) own: MemberRecord,
    pub(super) own_leaving: bool,
    /// Whether messages request all member records that this daemon lacks.
    pub(super) requests_full_sync: bool,
    pub(super) period: Duration,
    pub(super) suspicion: Duration,
    pub(super) peers: BTreeMap<String, PeerState>,
    /// Number of changes of the members and their locations so far.
    places_version: u64,
    /// Number of changes of the members, their locations, their statuses and their links so far.
    pub(super) version: u64,
    /// Number of changes of the members' links so far.
    pub(super) links_version: u64,
    /// Peers whose record still has to be sent, those with the most remaining sends first.
    pub(super) unsent: BTreeSet<(Reverse<u32>, String)>,
    /// Names of the peers that are suspected or unreachable.
    pub(super) failed: BTreeSet<String>,
    /// Names of all peers, for a random choice. Empty after the set of peers has changed.
    names: Vec<String>,
    /// Number of alive peers, with the version of the view that it was counted in.
    alive: Option<(u64, usize)>,
    pub(super) leaving: BTreeMap<InstanceId, RemainingSends>,
    pub(super) leaving_upstreams: HashMap<String, LeavingNotice>,
    pub(super) period_count: u64,
    pub(super) partner_order: Vec<String>,
    pub(super) last_tick: Option<MonotonicTime>,
    /// Time of the last failed exchange with a member that was not suspected before.
    pub(super) last_failure: Option<MonotonicTime>,
    pub(super) random: SmallRng,
}

#[derive(Debug)]
pub(super) struct PeerState {
    pub(super) record: Option<MemberRecord>,
    /// Time at which `record` or its status last changed.
    pub(super) changed_at: MonotonicTime,
    pub(super) last_heard: Option<MonotonicTime>,
    /// Whether a message from the peer has arrived, or an exchange with it has failed, at least
    /// once.
    pub(super) is_contacted: bool,
    /// Whether the last message of the peer came from another process on its VM than the one in
    /// `record`, although `record` supersedes the record in that message.
    pub(super) is_disputed: bool,
    pub(super) remaining_sends: RemainingSends,
}

/// Gossip state of an upstream that is leaving.
#[derive(Debug)]
pub(super) struct LeavingNotice {
    pub(super) process: String,
    /// Time at which this daemon learned of it.
    pub(super) learned_at: MonotonicTime,
    pub(super) remaining_sends: RemainingSends,
}

/// Number of further messages that will carry an update.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RemainingSends(pub(super) u32);

/// Builds a [`MemberView`].
#[derive(Debug)]
pub struct MemberViewBuilder {
    own: InstanceId,
    place: Option<MemberPlace>,
    period: Duration,
    suspicion: Duration,
    seed: u64,
}

impl MemberViewBuilder {
    /// Starts a builder for the view of the daemon `own`, with a heartbeat period of 500 ms and a
    /// suspicion timeout of 2 s.
    #[must_use]
    pub fn new(own: InstanceId) -> Self {
        let (period, suspicion) = (Duration::from_millis(500), Duration::from_secs(2));
        Self { own, place: None, period, suspicion, seed: 0 }
    }

    /// Sets the location of this daemon. Members exchange their locations if there is no VM list.
    #[must_use]
    pub fn place(mut self, place: MemberPlace) -> Self {
        self.place = Some(place);
        self
    }

    /// Sets the time between two heartbeats.
    #[must_use]
    pub fn period(mut self, period: Duration) -> Self {
        self.period = period;
        self
    }

    /// Sets the time after which a suspected member that does not refute becomes unreachable.
    #[must_use]
    pub fn suspicion(mut self, suspicion: Duration) -> Self {
        self.suspicion = suspicion;
        self
    }

    /// Sets the seed of the random choice of partners and records.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds a view in which this daemon is starting and knows no peers.
    #[must_use]
    pub fn build(self) -> MemberView {
        MemberView {
            own: MemberRecord::new(self.own, self.place),
            own_leaving: false,
            requests_full_sync: false,
            period: self.period,
            suspicion: self.suspicion,
            peers: BTreeMap::new(),
            places_version: 0,
            version: 0,
            links_version: 0,
            unsent: BTreeSet::new(),
            failed: BTreeSet::new(),
            names: Vec::new(),
            alive: None,
            leaving: BTreeMap::new(),
            leaving_upstreams: HashMap::new(),
            period_count: 0,
            partner_order: Vec::new(),
            last_tick: None,
            last_failure: None,
            random: SmallRng::seed_from_u64(self.seed),
        }
    }
}

impl MemberView {
    /// Record of the daemon that owns this view.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Time between two heartbeats.
    #[must_use]
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Adds peers that are new in the VM list `vm_list`, and removes those that are no longer in
    /// it. In a deployment with a VM list, gossip adds no peers.
    pub fn update_peers(&mut self, vm_list: &VmList, now: MonotonicTime) {
        let own = &self.own.instance.vm;
        let listed: HashSet<&str> = vm_list.vms.iter().map(|vm| vm.name.as_str()).collect();
        self.peers.retain(|vm, _| listed.contains(vm.as_str()));
        for vm in vm_list.entries().filter(|vm| vm.name != *own && vm.peer.is_some()) {
            self.peers.entry(vm.name.clone()).or_insert_with(|| PeerState::without_record(now));
        }
        self.leaving.retain(|instance, _| listed.contains(instance.vm.as_str()));
        self.partner_order.clear();
        self.names.clear();
        self.version += 1;
    }

    /// Marks this daemon as able to serve callers, if it was starting.
    pub fn become_ready(&mut self) {
        if self.own.status == MemberStatus::Starting {
            self.own.status = MemberStatus::Alive;
            self.own.refutation += 1;
            self.version += 1;
        }
    }

    /// Marks this daemon as leaving, until its process ends.
    pub fn leave(&mut self) {
        self.own_leaving = true;
        self.version += 1;
    }

    /// Whether this daemon is leaving.
    #[must_use]
    pub fn is_own_leaving(&self) -> bool {
        self.own_leaving
    }

    /// Starts a heartbeat period: updates expired suspicions and returns the partners for this
    /// period.
    ///
    /// After a pause of this process, missing refutations prove nothing. The suspicion timeouts
    /// then restart instead of expiring.
    ///
    /// Guards against callers that are sent to crashed daemons long after many have crashed at
    /// once: if half of the partners don't reply, gossip spreads at half the speed. The number of
    /// partners is therefore higher after a failed exchange.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<String> {
        let was_paused = self.last_tick.is_some_and(|last| now.since(last) > self.period * 3);
        self.last_tick = Some(now);
        self.period_count += 1;
        for vm in &self.failed {
            let Some(peer) = self.peers.get_mut(vm) else { continue };
            if peer.expire_suspicion(now, self.suspicion, was_paused) {
                self.version += 1;
            }
        }
        let has_recent_failure =
            self.last_failure.is_some_and(|failure| now.since(failure) < EXTRA_PARTNERS_TIME);
        self.choose_partners(if has_recent_failure {
            PARTNERS_PER_PERIOD.1
        } else {
            PARTNERS_PER_PERIOD.0
        })
    }

    /// Chooses up to `count` random reachable peers, to spread an update without waiting for the
    /// next period.
    pub fn random_partners(&mut self, count: usize) -> Vec<String> {
        let reachable: Vec<&String> =
            self.peers.iter().filter(|(_, peer)| peer.is_reachable()).map(|(vm, _)| vm).collect();
        reachable.choose_multiple(&mut self.random, count).map(|vm| (*vm).clone()).collect()
    }

    /// Merges a message of a peer into the view. Returns the leaving upstreams that were not known
    /// before.
    pub fn merge_message(
        &mut self,
        message: &ExchangeMessage,
        now: MonotonicTime,
    ) -> Vec<LeavingUpstream> {
        self.merge_record(&message.sender, now);
        if let Some(peer) = self.peers.get_mut(&message.sender.instance.vm) {
            peer.last_heard = Some(now);
            peer.is_contacted = true;
            let known_instance = peer.record.as_ref().map(|record| &record.instance);
            peer.is_disputed =
                known_instance.is_some_and(|instance| *instance != message.sender.instance);
        }
        for record in &message.records {
            self.merge_record(record, now);
        }
        if message.sender_leaving {
            self.add_leaving_member(&message.sender.instance);
        }
        for instance in &message.leaving {
            self.add_leaving_member(instance);
        }
        let notices = message.leaving_upstreams.iter();
        notices.filter(|upstream| self.add_leaving_upstream(upstream, now)).cloned().collect()
    }

    /// Handles a failed exchange with `vm`: the member becomes suspected, unless it already was.
    pub fn handle_failed_exchange(&mut self, vm: &str, now: MonotonicTime) {
        let sends = self.initial_sends();
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.is_contacted = true;
        match &mut peer.record {
            Some(record) if !record.is_failure_report() => {
                record.status = MemberStatus::Suspect;
                self.version += 1;
                self.failed.insert(vm.to_owned());
                peer.changed_at = now;
                self.unsent.remove(&(Reverse(peer.remaining_sends.0), vm.to_owned()));
                self.unsent.insert((Reverse(sends.0), vm.to_owned()));
                peer.remaining_sends = sends;
                self.last_failure = Some(now);
            }
            _ => {}
        }
    }

    /// Records that an upstream is leaving. Returns whether this was not known before.
    pub fn add_leaving_upstream(&mut self, leaving: &LeavingUpstream, now: MonotonicTime) -> bool {
        let known = self.leaving_upstreams.get(&leaving.upstream);
        if known.is_some_and(|notice| notice.process == leaving.process) {
            return false;
        }
        // Each process of a published upstream has its own name, so the map would grow forever.
        self.leaving_upstreams.retain(|_, notice| now.since(notice.learned_at) < LEAVING_RETENTION);
        let (process, remaining_sends) = (leaving.process.clone(), self.initial_sends());
        let notice = LeavingNotice { process, learned_at: now, remaining_sends };
        self.leaving_upstreams.insert(leaving.upstream.clone(), notice);
        true
    }

    /// Whether the current process on `vm` is known to be draining.
    #[must_use]
    pub fn is_leaving(&self, vm: &str) -> bool {
        if vm == self.own.instance.vm {
            return self.own_leaving;
        }
        let instance = self.peers.get(vm).and_then(|peer| peer.record.as_ref());
        instance.is_some_and(|record| self.leaving.contains_key(&record.instance))
    }

    /// Status of the daemon on `vm`, or `None` if no record about it has arrived.
    #[must_use]
    pub fn status(&self, vm: &str) -> Option<MemberStatus> {
        if vm == self.own.instance.vm {
            return Some(self.own.status);
        }
        self.peers.get(vm)?.record.as_ref().map(|record| record.status)
    }

    /// Capacity of `vm`, or `None` if the daemon on it has not announced one.
    #[must_use]
    pub fn capacity(&self, vm: &str) -> Option<MemberCapacity> {
        let own = (vm == self.own.instance.vm).then_some(&self.own);
        let record = own.or_else(|| self.peers.get(vm)?.record.as_ref())?;
        record.place.as_ref().map(|place| place.capacity)
    }

    /// Records of all peers for which a record has arrived.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.values().filter_map(|peer| peer.record.as_ref())
    }

    /// Number of peers, including those for which no record has arrived.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Number that changes whenever a member, its location, its status or its links change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number that changes with each change of [`Self::places`].
    #[must_use]
    pub fn places_version(&self) -> u64 {
        self.places_version
    }

    /// Members that have announced their location, including this daemon, in the format of a VM
    /// list and sorted by name.
    #[must_use]
    pub fn places(&self) -> Vec<VmEntry> {
        let to_entry = |record: &MemberRecord| {
            let place = record.place.as_ref()?;
            Some(VmEntry {
                name: record.instance.vm.clone(),
                zone: place.zone.clone(),
                role: VmRole::Entry,
                state: VmState::Live,
                peer: Some(place.peer),
                caller: Some(place.caller),
                operator: None,
            })
        };
        let mut places: Vec<VmEntry> =
            self.records().chain([&self.own]).filter_map(to_entry).collect();
        places.sort_by(|left, right| left.name.cmp(&right.name));
        places
    }

    /// Removes members that have been unreachable for more than 30 s. Does nothing in a deployment
    /// with a VM list.
    pub fn remove_unreachable(&mut self, now: MonotonicTime) {
        if self.own.place.is_none() {
            return;
        }
        let is_lost = |peer: &PeerState| {
            let status = peer.record.as_ref().map(|record| record.status);
            status == Some(MemberStatus::Unreachable)
                && now.since(peer.changed_at) > UNREACHABLE_RETENTION
        };
        let is_kept = |vm: &String| self.peers.get(vm).is_some_and(|peer| !is_lost(peer));
        let lost: Vec<String> = self.failed.iter().filter(|vm| !is_kept(vm)).cloned().collect();
        for vm in &lost {
            self.failed.remove(vm);
            if self.peers.remove(vm).is_some() {
                self.names.clear();
                self.places_version += 1;
                self.version += 1;
            }
        }
    }

    /// Number of peers with the status [`MemberStatus::Alive`].
    pub fn alive_count(&mut self) -> usize {
        if let Some((_, count)) = self.alive.filter(|(version, _)| *version == self.version) {
            return count;
        }
        let alive = |record: &&MemberRecord| record.status == MemberStatus::Alive;
        let count = self.records().filter(alive).count();
        self.alive = Some((self.version, count));
        count
    }

    /// Chooses up to `count` random peers, whether they are reachable or not.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<String> {
        if self.names.is_empty() {
            self.names = self.peers.keys().cloned().collect();
        }
        self.names.choose_multiple(&mut self.random, count).cloned().collect()
    }

    /// Whether a message from any peer has arrived at or after `since`.
    #[must_use]
    pub fn heard_since(&self, since: MonotonicTime) -> bool {
        self.peers
            .values()
            .any(|peer| peer.last_heard.is_some_and(|last_heard| last_heard >= since))
    }

    /// Whether messages from at least `enough` peers have arrived, or every peer has sent a message
    /// or failed to reply at least once.
    #[must_use]
    pub fn has_contacted_peers(&self, enough: usize) -> bool {
        let heard_count = self.peers.values().filter(|peer| peer.last_heard.is_some()).count();
        heard_count >= enough || self.peers.values().all(|peer| peer.is_contacted)
    }

    fn merge_record(&mut self, record: &MemberRecord, now: MonotonicTime) {
        if record.instance.vm == self.own.instance.vm {
            self.refute(record);
            return;
        }
        let sends = self.initial_sends();
        let is_new = self.own.place.is_some() && record.place.is_some();
        let is_unreachable = record.status == MemberStatus::Unreachable;
        if is_new && !is_unreachable && !self.peers.contains_key(&record.instance.vm) {
            self.peers.insert(record.instance.vm.clone(), PeerState::without_record(now));
            self.partner_order.clear();
            self.names.clear();
        }
        let Some(peer) = self.peers.get_mut(&record.instance.vm) else { return };
        if peer.record.as_ref().is_none_or(|known| record.is_newer_than(known)) {
            let known_place = peer.record.as_ref().map(|known| &known.place);
            if known_place != Some(&record.place) {
                self.places_version += 1;
            }
            let known_links = peer.record.as_ref().and_then(|known| known.links.as_ref());
            if known_links != record.links.as_ref() {
                self.links_version += 1;
            }
            self.version += 1;
            peer.record = Some(record.clone());
            peer.changed_at = now;
            let vm = &record.instance.vm;
            self.unsent.remove(&(Reverse(peer.remaining_sends.0), vm.clone()));
            self.unsent.insert((Reverse(sends.0), vm.clone()));
            peer.remaining_sends = sends;
            if record.is_failure_report() {
                self.failed.insert(record.instance.vm.clone());
            } else {
                self.failed.remove(&record.instance.vm);
            }
        }
    }

    /// Guards against the exclusion of this daemon while it is alive. Peers consider a paused
    /// daemon unreachable; a higher refutation counter supersedes any suspicion of this process. If
    /// the wall clock was set back before this process started, peers take the previous process on
    /// this VM for the current one, which may have crashed or drained; a higher generation
    /// supersedes all records about the previous process.
    fn refute(&mut self, record: &MemberRecord) {
        if record.instance != self.own.instance {
            if record.generation >= self.own.generation {
                self.own.generation = record.generation + 1;
            }
        } else if record.is_failure_report() {
            self.own.refutation = self.own.refutation.max(record.refutation + 1);
        }
    }

    fn add_leaving_member(&mut self, instance: &InstanceId) {
        if *instance != self.own.instance && !self.leaving.contains_key(instance) {
            let sends = self.initial_sends();
            self.leaving.insert(instance.clone(), sends);
            self.version += 1;
        }
    }

    fn choose_partners(&mut self, count: usize) -> Vec<String> {
        let mut partners = Vec::new();
        while partners.len() < count.min(self.peers.len()) {
            if self.partner_order.is_empty() {
                self.partner_order = self.peers.keys().cloned().collect();
                self.partner_order.shuffle(&mut self.random);
            }
            let Some(vm) = self.partner_order.pop() else { break };
            let is_unreachable = self.status(&vm) == Some(MemberStatus::Unreachable);
            let is_skipped = is_unreachable
                && !self.random.random_ratio(1, UNREACHABLE_TURNS_PER_EXCHANGE as u32);
            if partners.contains(&vm) || (is_skipped && !self.partner_order.is_empty()) {
                continue;
            }
            partners.push(vm);
        }
        partners
    }

    fn initial_sends(&self) -> RemainingSends {
        let size = u32::try_from(self.peers.len() + 2).unwrap_or(u32::MAX);
        RemainingSends(SENDS_PER_SIZE_BIT * (size.ilog2() + 1))
    }
}

impl PeerState {
    fn without_record(now: MonotonicTime) -> Self {
        Self {
            record: None,
            changed_at: now,
            last_heard: None,
            is_contacted: false,
            is_disputed: false,
            remaining_sends: RemainingSends(0),
        }
    }

    fn is_reachable(&self) -> bool {
        self.record.as_ref().is_none_or(|record| record.status != MemberStatus::Unreachable)
    }

    /// Makes a member unreachable that has been suspected for the time `suspicion`. Returns whether
    /// it did.
    fn expire_suspicion(
        &mut self,
        now: MonotonicTime,
        suspicion: Duration,
        was_paused: bool,
    ) -> bool {
        let Some(record) = &mut self.record else { return false };
        if record.status != MemberStatus::Suspect {
            return false;
        }
        if was_paused {
            self.changed_at = now;
            return false;
        }
        let is_expired = now.since(self.changed_at) >= suspicion;
        if is_expired {
            record.status = MemberStatus::Unreachable;
            self.changed_at = now;
        }
        is_expired
    }
}

impl RemainingSends {
    pub(super) fn use_send(&mut self) -> bool {
        let has_send = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        has_send
    }
}
