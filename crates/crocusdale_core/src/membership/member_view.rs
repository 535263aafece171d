use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{Rng as _, SeedableRng as _};

use super::{
    ExchangeMessage, LeavingUpstream, MemberCapacity, MemberPlace, MemberRecord, MemberStatus,
    VmEntry, VmRole, VmRoster, VmState,
};
use crate::identity::{InstanceId, MonotonicTime};

/// Partners of one period, and those of one shortly after a partner was silent.
const PARTNERS: (usize, usize) = (1, 2);
/// Time after the silence of a partner for which more partners are asked.
const ALARM: Duration = Duration::from_millis(2_500);
/// Messages that carry each piece of news, times the logarithm of the fleet's size.
const SPREAD_FACTOR: u32 = 3;
/// Time after which an unreachable member that no VM list names is forgotten. A VM that was off for
/// longer is found again through the seeds.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Time for which it is remembered that an upstream leaves: it and all messages about it are gone long
/// before.
const LEAVING_LIFE: Duration = Duration::from_secs(600);
/// Periods between two attempts to reach an unreachable member.
const UNREACHABLE_PACE: u64 = 4;

/// What one daemon believes of the fleet.
///
/// No promise rests on two views being equal; addresses and the spread of news use them.
#[derive(Debug)]
pub struct MemberView {
    pub(super) own: MemberRecord,
    pub(super) own_leaving: bool,
    /// Whether this daemon asks its partners for all records that it lacks.
    pub(super) asks_for_all: bool,
    pub(super) period: Duration,
    pub(super) suspicion: Duration,
    pub(super) peers: BTreeMap<String, PeerState>,
    pub(super) leaving: BTreeMap<InstanceId, Gossip>,
    pub(super) leaving_upstreams: HashMap<String, LeavingNews>,
    pub(super) rounds: u64,
    pub(super) order: Vec<String>,
    pub(super) last_tick: Option<MonotonicTime>,
    /// When a partner that was believed to live was last silent.
    pub(super) last_silence: Option<MonotonicTime>,
    pub(super) random: SmallRng,
}

#[derive(Debug)]
pub(super) struct PeerState {
    pub(super) record: Option<MemberRecord>,
    pub(super) since: MonotonicTime,
    pub(super) heard: Option<MonotonicTime>,
    /// Whether it was heard or failed to answer, at least once.
    pub(super) asked: bool,
    /// Whether another life of the VM speaks than the one of the record, with an older record.
    pub(super) contested: bool,
    pub(super) gossip: Gossip,
}

/// News of an upstream that leaves.
#[derive(Debug)]
pub(super) struct LeavingNews {
    pub(super) life: String,
    pub(super) since: MonotonicTime,
    pub(super) gossip: Gossip,
}

/// How many more messages carry a piece of news.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Gossip(pub(super) u32);

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
    /// Begins a view of `own`.
    #[must_use]
    pub fn new(own: InstanceId) -> Self {
        let (period, suspicion) = (Duration::from_millis(500), Duration::from_secs(2));
        Self { own, place: None, period, suspicion, seed: 0 }
    }

    /// Sets where this daemon is. Without a VM list, members tell each other where they are.
    #[must_use]
    pub fn place(mut self, place: MemberPlace) -> Self {
        self.place = Some(place);
        self
    }

    /// Sets the pause between two heartbeats.
    #[must_use]
    pub fn period(mut self, period: Duration) -> Self {
        self.period = period;
        self
    }

    /// Sets how long a suspected member may refute.
    #[must_use]
    pub fn suspicion(mut self, suspicion: Duration) -> Self {
        self.suspicion = suspicion;
        self
    }

    /// Seeds the choice of partners.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the view.
    #[must_use]
    pub fn build(self) -> MemberView {
        MemberView {
            own: MemberRecord::new(self.own, self.place),
            own_leaving: false,
            asks_for_all: false,
            period: self.period,
            suspicion: self.suspicion,
            peers: BTreeMap::new(),
            leaving: BTreeMap::new(),
            leaving_upstreams: HashMap::new(),
            rounds: 0,
            order: Vec::new(),
            last_tick: None,
            last_silence: None,
            random: SmallRng::seed_from_u64(self.seed),
        }
    }
}

impl MemberView {
    /// The daemon that has this view.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Pause between two heartbeats.
    #[must_use]
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Takes the VM list: the only source of newcomers.
    pub fn take_roster(&mut self, roster: &VmRoster, now: MonotonicTime) {
        let own = &self.own.instance.vm;
        self.peers.retain(|vm, _| roster.get(vm).is_some());
        for vm in roster.entries().filter(|vm| vm.name != *own && vm.peer.is_some()) {
            self.peers.entry(vm.name.clone()).or_insert_with(|| PeerState::unknown(now));
        }
        self.leaving.retain(|instance, _| roster.get(&instance.vm).is_some());
        self.order.clear();
    }

    /// Marks this daemon as able to serve callers.
    pub fn become_ready(&mut self) {
        if self.own.status == MemberStatus::Starting {
            self.own.status = MemberStatus::Alive;
            self.own.refutation += 1;
        }
    }

    /// Marks this daemon as leaving, for the rest of its life.
    pub fn leave(&mut self) {
        self.own_leaving = true;
    }

    /// Whether this daemon is leaving.
    #[must_use]
    pub fn is_own_leaving(&self) -> bool {
        self.own_leaving
    }

    /// Runs one period: returns the partners to exchange with.
    ///
    /// After a pause of this process the silence of others proves nothing, so suspicions begin
    /// again rather than end.
    ///
    /// Guards against callers that are sent to ended daemons for long after many have ended at one time:
    /// half of the partners are silent then, and news of the others spread at half the pace.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<String> {
        let paused = self.last_tick.is_some_and(|last| now.since(last) > self.period * 3);
        self.last_tick = Some(now);
        self.rounds += 1;
        for peer in self.peers.values_mut() {
            peer.age(now, self.suspicion, paused);
        }
        let alarmed = self.last_silence.is_some_and(|silence| now.since(silence) < ALARM);
        self.choose_partners(if alarmed { PARTNERS.1 } else { PARTNERS.0 })
    }

    /// Chooses `count` random reachable partners, to spread news at once.
    pub fn random_partners(&mut self, count: usize) -> Vec<String> {
        let reachable: Vec<&String> =
            self.peers.iter().filter(|(_, peer)| peer.is_reachable()).map(|(vm, _)| vm).collect();
        reachable.choose_multiple(&mut self.random, count).map(|vm| (*vm).clone()).collect()
    }

    /// Takes a partner's half. Returns upstreams that are newly known to leave.
    pub fn take_message(
        &mut self,
        message: &ExchangeMessage,
        now: MonotonicTime,
    ) -> Vec<LeavingUpstream> {
        self.take_record(&message.sender, now);
        if let Some(peer) = self.peers.get_mut(&message.sender.instance.vm) {
            peer.heard = Some(now);
            peer.asked = true;
            let believed = peer.record.as_ref().map(|record| &record.instance);
            peer.contested = believed.is_some_and(|life| *life != message.sender.instance);
        }
        for record in &message.records {
            self.take_record(record, now);
        }
        if message.sender_leaving {
            self.take_leaving(&message.sender.instance);
        }
        for instance in &message.leaving {
            self.take_leaving(instance);
        }
        let news = message.leaving_upstreams.iter();
        news.filter(|each| self.take_leaving_upstream(each, now)).cloned().collect()
    }

    /// Takes the news that an exchange with `vm` failed.
    pub fn exchange_failed(&mut self, vm: &str, now: MonotonicTime) {
        let spread = self.spread();
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.asked = true;
        match &mut peer.record {
            Some(record) if !record.is_doubt() => {
                record.status = MemberStatus::Suspect;
                peer.since = now;
                peer.gossip = spread;
                self.last_silence = Some(now);
            }
            _ => {}
        }
    }

    /// Takes the news that an upstream is leaving; returns whether it was new.
    pub fn take_leaving_upstream(&mut self, leaving: &LeavingUpstream, now: MonotonicTime) -> bool {
        let known = self.leaving_upstreams.get(&leaving.upstream);
        if known.is_some_and(|news| news.life == leaving.life) {
            return false;
        }
        // Published upstreams have another name in each life, so that names add up.
        self.leaving_upstreams.retain(|_, news| now.since(news.since) < LEAVING_LIFE);
        let (life, gossip) = (leaving.life.clone(), self.spread());
        let news = LeavingNews { life, since: now, gossip };
        self.leaving_upstreams.insert(leaving.upstream.clone(), news);
        true
    }

    /// Whether `vm` is known to drain in its current life.
    #[must_use]
    pub fn is_leaving(&self, vm: &str) -> bool {
        if vm == self.own.instance.vm {
            return self.own_leaving;
        }
        let instance = self.peers.get(vm).and_then(|peer| peer.record.as_ref());
        instance.is_some_and(|record| self.leaving.contains_key(&record.instance))
    }

    /// Status of `vm`; a VM never heard of has none.
    #[must_use]
    pub fn status(&self, vm: &str) -> Option<MemberStatus> {
        if vm == self.own.instance.vm {
            return Some(self.own.status);
        }
        self.peers.get(vm)?.record.as_ref().map(|record| record.status)
    }

    /// What `vm` can carry, if it told.
    #[must_use]
    pub fn capacity(&self, vm: &str) -> Option<MemberCapacity> {
        let own = (vm == self.own.instance.vm).then_some(&self.own);
        let record = own.or_else(|| self.peers.get(vm)?.record.as_ref())?;
        record.place.as_ref().map(|place| place.capacity)
    }

    /// Records of all peers that were ever heard of.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.values().filter_map(|peer| peer.record.as_ref())
    }

    /// Number of peers in the VM list.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Members that told where they are, this daemon among them, as a VM list would show them.
    #[must_use]
    pub fn places(&self) -> Vec<VmEntry> {
        let told = |record: &MemberRecord| {
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
        let mut places: Vec<VmEntry> = self.records().chain([&self.own]).filter_map(told).collect();
        places.sort_by(|left, right| left.name.cmp(&right.name));
        places
    }

    /// Forgets members that have been unreachable for long, if no VM list names them.
    pub fn forget_lost(&mut self, now: MonotonicTime) {
        if self.own.place.is_none() {
            return;
        }
        let lost = |peer: &PeerState| {
            let unreachable = peer.record.as_ref().map(|record| record.status);
            unreachable == Some(MemberStatus::Unreachable) && now.since(peer.since) > FORGET_AFTER
        };
        self.peers.retain(|_, peer| !lost(peer));
    }

    /// Number of peers that are believed to live.
    #[must_use]
    pub fn alive_count(&self) -> usize {
        let alive = |record: &&MemberRecord| record.status == MemberStatus::Alive;
        self.records().filter(alive).count()
    }

    /// Whether any peer was heard since `since`.
    #[must_use]
    pub fn heard_since(&self, since: MonotonicTime) -> bool {
        self.peers.values().any(|peer| peer.heard.is_some_and(|heard| heard >= since))
    }

    /// Whether every peer has answered, or failed to, at least once, or `enough` of them have
    /// answered.
    #[must_use]
    pub fn has_asked(&self, enough: usize) -> bool {
        let heard = self.peers.values().filter(|peer| peer.heard.is_some()).count();
        heard >= enough || self.peers.values().all(|peer| peer.asked)
    }

    fn take_record(&mut self, record: &MemberRecord, now: MonotonicTime) {
        if record.instance.vm == self.own.instance.vm {
            self.refute(record);
            return;
        }
        let spread = self.spread();
        let newcomer = self.own.place.is_some() && record.place.is_some();
        let forgotten = record.status == MemberStatus::Unreachable;
        if newcomer && !forgotten && !self.peers.contains_key(&record.instance.vm) {
            self.peers.insert(record.instance.vm.clone(), PeerState::unknown(now));
            self.order.clear();
        }
        let Some(peer) = self.peers.get_mut(&record.instance.vm) else { return };
        if peer.record.as_ref().is_none_or(|known| record.is_newer_than(known)) {
            peer.record = Some(record.clone());
            peer.since = now;
            peer.gossip = spread;
        }
    }

    /// Guards against being left out while alive. A paused daemon shows as unreachable to its
    /// peers; a higher refutation goes before any suspicion of this life. One that started after
    /// the time of day jumped back shows as its own earlier life, which may have been lost or have
    /// drained; a higher generation goes before all that is said of that life.
    fn refute(&mut self, record: &MemberRecord) {
        if record.instance != self.own.instance {
            if record.generation >= self.own.generation {
                self.own.generation = record.generation + 1;
            }
        } else if record.is_doubt() {
            self.own.refutation = self.own.refutation.max(record.refutation + 1);
        }
    }

    fn take_leaving(&mut self, instance: &InstanceId) {
        if *instance != self.own.instance && !self.leaving.contains_key(instance) {
            let spread = self.spread();
            self.leaving.insert(instance.clone(), spread);
        }
    }

    fn choose_partners(&mut self, count: usize) -> Vec<String> {
        let mut partners = Vec::new();
        while partners.len() < count.min(self.peers.len()) {
            if self.order.is_empty() {
                self.order = self.peers.keys().cloned().collect();
                self.order.shuffle(&mut self.random);
            }
            let Some(vm) = self.order.pop() else { break };
            let unreachable = self.status(&vm) == Some(MemberStatus::Unreachable);
            let skipped = unreachable && !self.random.random_ratio(1, UNREACHABLE_PACE as u32);
            if partners.contains(&vm) || (skipped && !self.order.is_empty()) {
                continue;
            }
            partners.push(vm);
        }
        partners
    }

    fn spread(&self) -> Gossip {
        let size = u32::try_from(self.peers.len() + 2).unwrap_or(u32::MAX);
        Gossip(SPREAD_FACTOR * (size.ilog2() + 1))
    }
}

impl PeerState {
    fn unknown(now: MonotonicTime) -> Self {
        Self {
            record: None,
            since: now,
            heard: None,
            asked: false,
            contested: false,
            gossip: Gossip(0),
        }
    }

    fn is_reachable(&self) -> bool {
        self.record.as_ref().is_none_or(|record| record.status != MemberStatus::Unreachable)
    }

    fn age(&mut self, now: MonotonicTime, suspicion: Duration, paused: bool) {
        let Some(record) = &mut self.record else { return };
        if record.status != MemberStatus::Suspect {
            return;
        }
        if paused {
            self.since = now;
        } else if now.since(self.since) >= suspicion {
            record.status = MemberStatus::Unreachable;
            self.since = now;
        }
    }
}

impl Gossip {
    pub(super) fn spend(&mut self) -> bool {
        let left = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        left
    }
}
