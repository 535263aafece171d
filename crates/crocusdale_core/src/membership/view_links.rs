//! Links of the members in a member view.

use super::{MemberLinks, MemberView};

impl MemberView {
    /// Sets the pools that this daemon reaches over its own links.
    pub fn set_links(&mut self, links: MemberLinks) {
        self.own.links = Some(links);
        self.own.refutation += 1;
        self.version += 1;
        self.links_version += 1;
    }

    /// Links that the daemon on `vm` has announced. `None` if it has announced none, like daemons of
    /// older versions.
    #[must_use]
    pub fn links(&self, vm: &str) -> Option<&MemberLinks> {
        let own = (vm == self.own.instance.vm).then_some(&self.own);
        own.or_else(|| self.peers.get(vm)?.record.as_ref())?.links.as_ref()
    }

    /// Number of changes of the links of all members, including this daemon.
    #[must_use]
    pub fn links_version(&self) -> u64 {
        self.links_version
    }
}
