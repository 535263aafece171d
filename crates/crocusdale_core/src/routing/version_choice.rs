//! Software versions of upstreams, which decide where a stream can go on.

use super::upstream_router::RoutedPool;
use super::{SlotRequest, UpstreamRouter};
use crate::identity::SoftwareVersion;
use crate::streams::AllowedVersion;
use crate::sync::lock;

impl UpstreamRouter {
    /// Software versions of the upstreams of `stage`, one for each upstream. `None` stands for an
    /// unknown version.
    #[must_use]
    pub fn versions(&self, stage: &str) -> Vec<Option<SoftwareVersion>> {
        let Some(routed) = self.pools.get(stage) else { return Vec::new() };
        self.versions_of(routed).map(<Option<&SoftwareVersion>>::cloned).collect()
    }

    /// Whether an upstream of `stage` has an allowed version.
    #[must_use]
    pub fn has_version(&self, stage: &str, allowed: &AllowedVersion) -> bool {
        let routed = self.pools.get(stage);
        routed.is_some_and(|routed| self.versions_of(routed).any(|version| allowed.allows(version)))
    }

    /// Removes and returns the queued attempts whose allowed version no upstream has.
    #[must_use]
    pub fn take_without_version(&self) -> Vec<SlotRequest> {
        let mut taken = Vec::new();
        for routed in self.pools.values() {
            let mut queue = lock(&routed.queue);
            if queue.waiting_count() == 0 {
                continue;
            }
            taken.extend(queue.take_matching(|request| {
                request.allowed_version.is_restricted()
                    && !self
                        .versions_of(routed)
                        .any(|version| request.allowed_version.allows(version))
            }));
        }
        taken
    }

    /// The request without its failed upstreams, if no other upstream has its version. It may be sent
    /// to them again: they may only have been full.
    pub(super) fn with_retriable_upstreams(
        &self,
        routed: &RoutedPool,
        mut request: SlotRequest,
    ) -> SlotRequest {
        if request.allowed_version.is_restricted() && !request.failed_upstreams.is_empty() {
            let mut positions = routed.same_zone.iter().chain(&routed.other_zones);
            let has_other = positions.any(|position| {
                self.allows_version(&request, *position)
                    && !request.failed_upstreams.contains(&self.upstreams[*position].rules.name)
            });
            if !has_other {
                request.failed_upstreams.clear();
            }
        }
        request
    }

    /// Whether the upstream at `position` has a version that the request allows.
    pub(super) fn allows_version(&self, request: &SlotRequest, position: usize) -> bool {
        request.allowed_version.allows(self.upstreams[position].rules.software_version.as_ref())
    }

    fn versions_of<'a>(
        &'a self,
        routed: &'a RoutedPool,
    ) -> impl Iterator<Item = Option<&'a SoftwareVersion>> {
        let positions = routed.same_zone.iter().chain(&routed.other_zones);
        positions.map(|position| self.upstreams[*position].rules.software_version.as_ref())
    }
}
