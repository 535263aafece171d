use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom as _;

use crate::identity::MonotonicTime;
use crate::membership::{MemberStatus, MemberView, VmList};

/// Time for which a daemon that had no capacity for a request in transit gets no other.
const BUSY_BACKOFF: Duration = Duration::from_millis(200);
/// Time for which a daemon that did not answer gets no request in transit.
const LOST_BACKOFF: Duration = Duration::from_secs(1);
/// Number of usable daemons of which the one with the least load is chosen.
const SAMPLE_SIZE: usize = 2;
/// Number of random draws by which usable daemons are looked for.
const DRAW_COUNT: usize = 6;

/// Upstream that a request in transit is meant for.
#[derive(Clone, Copy, Debug)]
pub struct TransitGoal<'a> {
    /// Pool of the upstream.
    pub pool: &'a str,
    /// Availability zone of the upstream. `None` if it is not known.
    pub zone: Option<&'a str>,
    /// Daemons that have not taken the request.
    pub tried: &'a [String],
}

/// How a request in transit ended at the daemon that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransitEnd {
    /// The daemon has taken the request, or refused it for a reason of the request itself.
    Done,
    /// The daemon had no capacity.
    Busy,
    /// The daemon did not answer.
    Lost,
}

/// Chooses the daemon through which a request is sent to an upstream that this daemon can't connect
/// to.
#[derive(Debug, Default)]
pub struct TransitTable {
    /// Versions of the VM list and of the member view that `candidates` belongs to.
    versions: Option<(u64, u64)>,
    /// Daemons that reach a pool, by pool.
    candidates: HashMap<String, TransitCandidates>,
    /// Number of open requests in transit, by VM.
    open: HashMap<String, u32>,
    /// Time until which a daemon gets no request in transit, by VM.
    backoffs: HashMap<String, MonotonicTime>,
}

#[derive(Debug, Default)]
struct TransitCandidates {
    /// Daemons in the own availability zone.
    same_zone: Vec<String>,
    /// Daemons in other availability zones.
    other_zones: Vec<String>,
    /// Daemons that reach less than half of the pool, with their availability zones.
    partial: Vec<(String, String)>,
}

impl TransitTable {
    /// VM name of the daemon to send a request for `goal` through, and counts the request there.
    /// Daemons in the own availability zone come first, of those the less loaded of two. Daemons
    /// that reach only a part of the pool are chosen in the zone of the upstream alone. `None` if no
    /// daemon is known to reach the pool.
    pub fn choose(
        &mut self,
        goal: TransitGoal<'_>,
        (roster, view): (&VmList, &MemberView),
        random: &mut impl Rng,
        now: MonotonicTime,
    ) -> Option<String> {
        self.refresh(roster, view);
        self.backoffs.retain(|_, until| *until > now);
        let candidates = self
            .candidates
            .entry(goal.pool.to_owned())
            .or_insert_with(|| TransitCandidates::new(goal.pool, roster, view));
        let choice = LoadChoice { goal, open: &self.open, backoffs: &self.backoffs, view };
        let in_zone = || {
            let partial = candidates.partial.iter();
            partial.filter(|(_, zone)| Some(&**zone) == goal.zone).map(|(vm, _)| vm.clone())
        };
        let chosen = choice
            .least_loaded(&candidates.same_zone, random)
            .or_else(|| choice.least_loaded(&candidates.other_zones, random))
            .or_else(|| choice.least_loaded(&in_zone().collect::<Vec<_>>(), random))?;
        *self.open.entry(chosen.clone()).or_default() += 1;
        Some(chosen)
    }

    /// Whether any other daemon is known to reach an upstream of `pool`.
    pub fn has_candidates(&mut self, pool: &str, roster: &VmList, view: &MemberView) -> bool {
        self.refresh(roster, view);
        let candidates = self
            .candidates
            .entry(pool.to_owned())
            .or_insert_with(|| TransitCandidates::new(pool, roster, view));
        !candidates.same_zone.is_empty()
            || !candidates.other_zones.is_empty()
            || !candidates.partial.is_empty()
    }

    /// Records that a request that was sent through `vm` has ended there.
    pub fn finish(&mut self, vm: &str, end: TransitEnd, now: MonotonicTime) {
        if let Some(open) = self.open.get_mut(vm) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(vm);
            }
        }
        let backoff = match end {
            TransitEnd::Done => return,
            TransitEnd::Busy => BUSY_BACKOFF,
            TransitEnd::Lost => LOST_BACKOFF,
        };
        self.backoffs.insert(vm.to_owned(), now + backoff);
    }

    fn refresh(&mut self, roster: &VmList, view: &MemberView) {
        let versions = Some((roster.revision, view.version()));
        if self.versions != versions {
            self.versions = versions;
            self.candidates.clear();
        }
    }
}

/// Chooses a daemon with little load.
struct LoadChoice<'a> {
    goal: TransitGoal<'a>,
    open: &'a HashMap<String, u32>,
    backoffs: &'a HashMap<String, MonotonicTime>,
    view: &'a MemberView,
}

impl LoadChoice<'_> {
    /// The less loaded of two usable daemons that are drawn at random, so that the choice does not
    /// walk over all of them. They are only searched if no draw finds a usable one.
    fn least_loaded(&self, vms: &[String], random: &mut impl Rng) -> Option<String> {
        let drawn: Vec<&String> = (0..DRAW_COUNT).filter_map(|_| vms.choose(random)).collect();
        let usable = drawn.into_iter().filter(|vm| self.is_usable(vm)).take(SAMPLE_SIZE);
        let chosen = usable.min_by_key(|vm| self.load(vm));
        chosen.or_else(|| vms.iter().find(|vm| self.is_usable(vm))).cloned()
    }

    fn is_usable(&self, vm: &String) -> bool {
        !self.goal.tried.contains(vm) && !self.backoffs.contains_key(vm)
    }

    /// Open requests in transit in relation to the capacity of the daemon.
    fn load(&self, vm: &str) -> u64 {
        let open = self.open.get(vm).copied().unwrap_or_default();
        let capacity = self.view.capacity(vm).map_or(1, |capacity| capacity.0.max(1));
        (u64::from(open) << 20) / u64::from(capacity)
    }
}

impl TransitCandidates {
    /// Daemons other than the own one that are alive, not leaving, announce their links and reach
    /// upstreams of `pool`. Daemons of older versions announce no links and take no requests in
    /// transit.
    fn new(pool: &str, roster: &VmList, view: &MemberView) -> Self {
        let own_vm = &view.own().instance.vm;
        let own_zone = roster.get(own_vm).map(|entry| &entry.zone);
        let mut candidates = Self::default();
        for entry in roster.entries() {
            let (vm, zone) = (&entry.name, &entry.zone);
            let is_usable = vm != own_vm
                && view.status(vm) == Some(MemberStatus::Alive)
                && !view.is_leaving(vm);
            let Some(links) = view.links(vm).filter(|_| is_usable) else { continue };
            if !links.reaches(pool) {
                if links.reaches_any(pool) {
                    candidates.partial.push((vm.clone(), zone.clone()));
                }
            } else if Some(zone) == own_zone {
                candidates.same_zone.push(vm.clone());
            } else {
                candidates.other_zones.push(vm.clone());
            }
        }
        candidates
    }
}
