//! Upstreams of batched pools by which the links of this daemon are tested, and the effect of failed
//! links on them.

use rand::Rng;
use rand::seq::IteratorRandom as _;

use super::published_pool::PublishedPool;
use super::{BatchDispatcher, PoolSection};
use crate::identity::MonotonicTime;
use crate::reachability::LinkTarget;

impl BatchDispatcher {
    /// Batched pool that lists the upstream `name`.
    #[must_use]
    pub fn pool_of(&self, name: &str) -> Option<&str> {
        let mut pools = self.published.iter();
        pools.find(|(_, pool)| pool.contains(name)).map(|(pool, _)| pool.as_str())
    }

    /// Number of upstreams in `pool`, 0 if it is unknown.
    #[must_use]
    pub fn pool_size(&self, pool: &str) -> usize {
        self.published.get(pool).map_or(0, PublishedPool::size)
    }

    /// Up to `count` randomly chosen upstreams of `pool` whose names `is_wanted` accepts.
    pub fn sample_pool(
        &self,
        pool: &str,
        is_wanted: impl Fn(&str) -> bool,
        count: usize,
        random: &mut impl Rng,
    ) -> Vec<LinkTarget> {
        let Some(published) = self.published.get(pool) else { return Vec::new() };
        let others = published.targets().filter(|(name, _)| is_wanted(name));
        let chosen = others.choose_multiple(random, count).into_iter();
        chosen.map(|(name, address)| LinkTarget { upstream: name.to_owned(), address }).collect()
    }

    /// Forgets the failed calls to all upstreams of `pool`.
    pub fn forget_failures(&mut self, pool: &str, now: MonotonicTime) {
        for (section, open) in &mut self.pools {
            if PoolSection::from_name(section).pool == pool {
                open.forget_failures(now);
            }
        }
    }
}
