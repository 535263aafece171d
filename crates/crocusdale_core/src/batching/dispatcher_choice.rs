use crate::identity::stable_hash;
use crate::membership::{MemberStatus, MemberView, VmList};

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
    #[must_use]
    pub fn dispatcher(&self, pool: &str, tried: &[String]) -> &'a str {
        let own_vm = self.view.own().instance.vm.as_str();
        highest_ranked(pool, self.candidates(tried).into_iter()).unwrap_or(own_vm)
    }

    /// VM names of the daemons that may dispatch pools, except those in `tried`.
    fn candidates(&self, tried: &[String]) -> Vec<&'a str> {
        let vms = || self.roster.entries().map(|entry| entry.name.as_str());
        let count = |status| vms().filter(|vm| self.view.status(vm) == Some(status)).count();
        let is_fleet_starting = count(MemberStatus::Starting) > count(MemberStatus::Alive);
        let is_usable = |vm: &&str| {
            let is_serving = match self.view.status(vm) {
                Some(MemberStatus::Alive) => true,
                Some(MemberStatus::Starting) => is_fleet_starting,
                Some(MemberStatus::Suspect | MemberStatus::Unreachable) | None => false,
            };
            is_serving && !self.view.is_leaving(vm) && !tried.iter().any(|tried| tried == vm)
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
    vms: Vec<String>,
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
        let choice = DispatcherChoice::new(roster, view);
        let versions = Some((roster.revision, view.version()));
        if self.versions != versions {
            self.versions = versions;
            self.vms = choice.candidates(&[]).into_iter().map(str::to_owned).collect();
        }
        let untried = self.vms.iter().filter(|vm| !tried.contains(vm)).map(String::as_str);
        let chosen = highest_ranked(pool, untried);
        // If all large VMs have been tried, smaller ones become candidates.
        chosen.unwrap_or_else(|| choice.dispatcher(pool, tried)).to_owned()
    }
}

fn highest_ranked<'a>(pool: &str, vms: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    vms.max_by_key(|vm| stable_hash(&[pool, vm]))
}
