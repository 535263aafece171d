use crate::identity::stable_hash;
use crate::membership::{MemberStatus, MemberView, VmRoster};

/// Chooses the daemon that dispatches the pieces of a pool.
#[derive(Debug)]
pub struct DispatcherChoice<'a> {
    roster: &'a VmRoster,
    view: &'a MemberView,
}

impl<'a> DispatcherChoice<'a> {
    /// Chooses among the entry VMs of `roster`, with what `view` believes of them.
    #[must_use]
    pub fn new(roster: &'a VmRoster, view: &'a MemberView) -> Self {
        Self { roster, view }
    }

    /// The dispatcher of `pool`, without those in `tried`: the live daemon of the highest rank.
    /// Daemons with the same view choose the same one. Without any other, it is this daemon.
    ///
    /// Only VMs with half of the capacity of the largest one or more are chosen: all pieces of a pool pass
    /// its dispatcher, and would fill a small link.
    ///
    /// Guards against the time after a start of the whole fleet, when each daemon has heard of
    /// another few that they serve: each would choose among those few, and a hundred dispatchers
    /// would call one pool. While more daemons start than live, those that start count too.
    #[must_use]
    pub fn dispatcher(&self, pool: &str, tried: &[String]) -> &str {
        let own = self.view.own().instance.vm.as_str();
        let entries = || self.roster.entries().map(|entry| entry.name.as_str());
        let count = |status| entries().filter(|vm| self.view.status(vm) == Some(status)).count();
        let all_start = count(MemberStatus::Starting) > count(MemberStatus::Alive);
        let usable = |vm: &&str| {
            let serves = match self.view.status(vm) {
                Some(MemberStatus::Alive) => true,
                Some(MemberStatus::Starting) => all_start,
                Some(MemberStatus::Suspect | MemberStatus::Unreachable) | None => false,
            };
            serves && !self.view.is_leaving(vm) && !tried.iter().any(|tried| tried == vm)
        };
        let capacity = |vm: &&str| self.view.capacity(vm);
        let largest = entries().filter(usable).filter_map(|vm| capacity(&vm)).max();
        let carries = |vm: &&str| {
            capacity(vm).zip(largest).is_none_or(|(capacity, largest)| capacity.carries(largest))
        };
        let able = entries().filter(usable).filter(carries);
        able.max_by_key(|vm| stable_hash(&[pool, vm])).unwrap_or(own)
    }
}
