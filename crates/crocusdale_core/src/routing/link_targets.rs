//! Upstreams by which the links of this daemon are tested.

use rand::Rng;
use rand::seq::IteratorRandom as _;

use super::UpstreamRouter;
use crate::configuration::UpstreamRules;
use crate::reachability::LinkTarget;

impl UpstreamRouter {
    /// First pool of the upstream `name`. `None` if it is unknown or only in batched pools.
    #[must_use]
    pub fn pool_of(&self, name: &str) -> Option<&str> {
        self.upstream(name)?.pools.first().map(String::as_str)
    }

    /// Number of upstreams in `pool`. `None` if the pool is unknown or batched.
    #[must_use]
    pub fn pool_size(&self, pool: &str) -> Option<usize> {
        let routed = self.pools.get(pool)?;
        Some(routed.same_zone.len() + routed.other_zones.len())
    }

    /// Up to `count` randomly chosen upstreams of `pool` whose names `is_wanted` accepts. `None` if
    /// the pool is unknown or batched.
    pub fn sample_pool(
        &self,
        pool: &str,
        is_wanted: impl Fn(&str) -> bool,
        count: usize,
        random: &mut impl Rng,
    ) -> Option<Vec<LinkTarget>> {
        let routed = self.pools.get(pool)?;
        let positions = routed.same_zone.iter().chain(&routed.other_zones);
        let rules = positions.map(|position| &self.upstreams[*position].rules);
        let others = rules.filter(|rules| is_wanted(&rules.name));
        let chosen = others.choose_multiple(random, count).into_iter();
        let to_target = |rules: &UpstreamRules| LinkTarget {
            upstream: rules.name.clone(),
            address: rules.address,
        };
        Some(chosen.map(to_target).collect())
    }
}
