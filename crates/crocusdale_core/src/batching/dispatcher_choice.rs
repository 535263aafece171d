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
    #[must_use]
    pub fn dispatcher(&self, pool: &str, tried: &[String]) -> &str {
        let own = self.view.own().instance.vm.as_str();
        let usable = |vm: &&str| {
            let alive = self.view.status(vm) == Some(MemberStatus::Alive);
            alive && !self.view.is_leaving(vm) && !tried.iter().any(|tried| tried == vm)
        };
        let entries = self.roster.entries().map(|entry| entry.name.as_str());
        let ranked = entries.filter(usable).max_by_key(|vm| stable_hash(&[pool, vm]));
        ranked.unwrap_or(own)
    }
}
