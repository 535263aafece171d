//! Choice of daemons that work for others, and announcements of the own links.

use super::Command;
use super::fleet_state::{ANNOUNCEMENT_FANOUT, FleetState};
use crate::identity::MonotonicTime;
use crate::membership::MemberLinks;
use crate::reachability::TransitGoal;
use crate::streams::StreamKey;

impl FleetState {
    /// VM name of the daemon that dispatches the pool section `pool`, except those in `tried`.
    pub(super) fn dispatcher(&mut self, pool: &str, tried: &[String]) -> String {
        let roster = self.history.current();
        self.dispatcher_candidates.dispatcher(roster, &self.view, pool, tried)
    }

    /// VM name of the coordinator with the name `name`.
    pub(super) fn coordinator(&mut self, name: &str) -> String {
        let roster = self.history.current();
        self.dispatcher_candidates.coordinator(roster, &self.view, name)
    }

    /// VMs of the daemons that keep the record of the stream `key`.
    pub(super) fn record_keepers(&mut self, key: StreamKey) -> Vec<String> {
        self.stream_keepers.keepers(key.section(), self.history.current(), &self.view)
    }

    /// VMs of the daemons that may know where the stream `key` began.
    pub(super) fn asked_keepers(&mut self, key: StreamKey) -> Vec<String> {
        self.stream_keepers.asked(key.section(), self.history.current(), &self.view)
    }

    /// Whether the links of a member have changed since the last call.
    pub(super) fn take_links_change(&mut self) -> bool {
        let version = self.view.links_version();
        std::mem::replace(&mut self.seen_links_version, version) != version
    }

    /// VM name of the daemon to send a request for `goal` through.
    pub(super) fn choose_transit(
        &mut self,
        goal: TransitGoal<'_>,
        now: MonotonicTime,
    ) -> Option<String> {
        let members = (self.history.current().as_ref(), &self.view);
        self.transits.choose(goal, members, &mut self.random, now)
    }

    /// Whether any other daemon is known to reach an upstream of `pool`.
    pub(super) fn has_transit_to(&mut self, pool: &str) -> bool {
        self.transits.has_candidates(pool, self.history.current(), &self.view)
    }

    /// Announces the pools that this daemon reaches over its own links.
    pub(super) fn announce_links(
        &mut self,
        links: MemberLinks,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        self.view.set_links(links);
        let partners = self.view.random_partners(ANNOUNCEMENT_FANOUT);
        self.send_heartbeats_to(partners, now, out);
    }
}
