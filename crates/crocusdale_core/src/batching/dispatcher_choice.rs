use std::collections::HashMap;

use super::PoolSection;
use crate::identity::stable_hash;
use crate::membership::{MemberLinks, MemberStatus, MemberView, VmList};

/// Links to upstreams that a daemon needs to decide for others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RequiredLinks {
    /// Links to the upstreams of this pool.
    Pool(String),
    /// Links to the upstreams of all pools but one at most. A single pool is impaired most often
    /// because its upstreams have failed, and a new coordinator begins without what the one before
    /// knew.
    MostPools,
}

impl RequiredLinks {
    /// Whether a daemon with `links` has the required ones. A daemon that tells nothing of its links
    /// counts as one that has them.
    fn are_met_by(&self, links: Option<&MemberLinks>) -> bool {
        links.is_none_or(|links| match self {
            Self::Pool(pool) => links.reaches(pool),
            Self::MostPools => links.impaired_count() <= 1,
        })
    }
}

/// Chooses the daemon that dispatches a pool section, by rendezvous hashing over the members.
#[derive(Debug)]
pub struct DispatcherChoice<'a> {
    roster: &'a VmList,
    view: &'a MemberView,
}

impl<'a> DispatcherChoice<'a> {
    /// Creates a choice among the entry VMs of `roster`, by their status and capacity in `view`.
    #[must_use]
    pub fn new(roster: &'a VmList, view: &'a MemberView) -> Self {
        Self { roster, view }
    }

    /// VM name of the dispatcher of `pool`: the live daemon with the highest hash rank that is not
    /// in `tried`. Daemons with the same view choose the same one. If there is no candidate, it is
    /// the own VM.
    ///
    /// Only VMs with at least half of the largest capacity are candidates: all pieces of a pool
    /// pass through its dispatcher, and would saturate a slow link.
    ///
    /// While more daemons are starting than alive, starting ones are candidates too. Guards against
    /// the time after a restart of the whole fleet, when each daemon knows only a few live ones:
    /// each would choose among those few, and a hundred dispatchers would call one pool.
    ///
    /// Daemons that can't connect to the pool's upstreams are no candidates, unless none can.
    #[must_use]
    pub fn dispatcher(&self, pool: &str, tried: &[String]) -> &'a str {
        let own_vm = self.view.own().instance.vm.as_str();
        let links = RequiredLinks::Pool(PoolSection::from_name(pool).pool);
        highest_ranked(pool, self.candidates(tried, Some(&links)).into_iter())
            .or_else(|| highest_ranked(pool, self.candidates(tried, None).into_iter()))
            .unwrap_or(own_vm)
    }

    /// VM names of the daemons that may dispatch pools and have the required links, except those in
    /// `tried`.
    fn candidates(&self, tried: &[String], links: Option<&RequiredLinks>) -> Vec<&'a str> {
        let vms = || self.roster.entries().map(|entry| entry.name.as_str());
        let count = |status| vms().filter(|vm| self.view.status(vm) == Some(status)).count();
        let is_fleet_starting = count(MemberStatus::Starting) > count(MemberStatus::Alive);
        let is_usable = |vm: &&str| {
            let is_serving = match self.view.status(vm) {
                Some(MemberStatus::Alive) => true,
                Some(MemberStatus::Starting) => is_fleet_starting,
                Some(MemberStatus::Suspect | MemberStatus::Unreachable) | None => false,
            };
            is_serving
                && !self.view.is_leaving(vm)
                && !tried.iter().any(|tried| tried == vm)
                && links.is_none_or(|links| links.are_met_by(self.view.links(vm)))
        };
        let capacity = |vm: &&str| self.view.capacity(vm);
        let largest = vms().filter(is_usable).filter_map(|vm| capacity(&vm)).max();
        let has_enough_capacity = |vm: &&str| {
            capacity(vm)
                .zip(largest)
                .is_none_or(|(capacity, largest)| capacity.is_at_least_half_of(largest))
        };
        vms().filter(is_usable).filter(has_enough_capacity).collect()
    }
}

/// Daemons that may dispatch pools, as of one version of the member view.
///
/// Guards against a choice that walks over all daemons for each order of pieces.
#[derive(Debug, Default)]
pub struct DispatcherCandidates {
    /// Versions of the VM list and of the member view. `None` before the first choice.
    versions: Option<(u64, u64)>,
    /// Candidates if links don't matter.
    vms: Vec<String>,
    /// Whether some member has announced that it can't reach a pool.
    has_lost_links: bool,
    /// Candidates with the required links. Empty while no member has lost any.
    linked: HashMap<RequiredLinks, Vec<String>>,
}

impl DispatcherCandidates {
    /// VM name of the dispatcher of `pool`, as [`DispatcherChoice::dispatcher`] chooses it. The
    /// candidates are only determined again after a change of `roster` or `view`.
    pub fn dispatcher(
        &mut self,
        roster: &VmList,
        view: &MemberView,
        pool: &str,
        tried: &[String],
    ) -> String {
        let links = || RequiredLinks::Pool(PoolSection::from_name(pool).pool);
        let untried = self.linked_vms(roster, view, links);
        let untried = untried.iter().filter(|vm| !tried.contains(vm)).map(String::as_str);
        let chosen = highest_ranked(pool, untried);
        let choice = DispatcherChoice::new(roster, view);
        // If all large VMs have been tried, smaller ones become candidates.
        chosen.unwrap_or_else(|| choice.dispatcher(pool, tried)).to_owned()
    }

    /// VM name of the daemon that coordinates the section with the name `name`. Daemons that can't
    /// connect to most pools are only chosen if there are no others.
    pub fn coordinator(&mut self, roster: &VmList, view: &MemberView, name: &str) -> String {
        let vms = self.linked_vms(roster, view, || RequiredLinks::MostPools).iter();
        let chosen = highest_ranked(name, vms.map(String::as_str));
        chosen.unwrap_or(view.own().instance.vm.as_str()).to_owned()
    }

    /// Whether some member has announced that it can't reach a pool.
    pub fn has_lost_links(&mut self, roster: &VmList, view: &MemberView) -> bool {
        self.refresh(roster, view);
        self.has_lost_links
    }

    /// Candidates with the required links, or all candidates if none has them.
    fn linked_vms(
        &mut self,
        roster: &VmList,
        view: &MemberView,
        links: impl FnOnce() -> RequiredLinks,
    ) -> &[String] {
        self.refresh(roster, view);
        if !self.has_lost_links {
            return &self.vms;
        }
        let (links, choice) = (links(), DispatcherChoice::new(roster, view));
        let linked = self.linked.entry(links).or_insert_with_key(|links| {
            choice.candidates(&[], Some(links)).into_iter().map(str::to_owned).collect()
        });
        if linked.is_empty() { &self.vms } else { linked }
    }

    fn refresh(&mut self, roster: &VmList, view: &MemberView) {
        let versions = Some((roster.revision, view.version()));
        if self.versions == versions {
            return;
        }
        self.versions = versions;
        self.linked.clear();
        let choice = DispatcherChoice::new(roster, view);
        self.vms = choice.candidates(&[], None).into_iter().map(str::to_owned).collect();
        let has_lost = |vm: &str| view.links(vm).is_some_and(|links| !links.is_complete());
        self.has_lost_links = roster.entries().any(|entry| has_lost(&entry.name));
    }
}

fn highest_ranked<'a>(pool: &str, vms: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    vms.max_by_key(|vm| stable_hash(&[pool, vm]))
}
