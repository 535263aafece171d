use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::PoolSection;
use crate::configuration::BatchRules;
use crate::identity::stable_hash;
use crate::routing::DirectoryEntry;

/// A batched pool with its available upstreams, from which sections are opened on demand.
#[derive(Debug)]
pub(super) struct PublishedPool {
    /// Declared capacity and call duration of the upstreams.
    pub(super) rules: BatchRules,
    /// Available upstreams by name, each with the hash of the name.
    upstreams: BTreeMap<String, (u64, DirectoryEntry)>,
}

impl PublishedPool {
    /// Creates a pool of the upstreams in `entries`.
    pub(super) fn new<'a>(
        rules: BatchRules,
        entries: impl Iterator<Item = &'a DirectoryEntry>,
    ) -> Self {
        let mut pool = Self { rules, upstreams: BTreeMap::new() };
        for entry in entries {
            pool.insert(entry.clone());
        }
        pool
    }

    /// Replaces the upstream `name` by `entry`, which has the same name. `None` removes it. Returns
    /// whether the pool contained it before or contains it now.
    pub(super) fn replace(&mut self, name: &str, entry: Option<&DirectoryEntry>) -> bool {
        let is_removed = self.upstreams.remove(name).is_some();
        if let Some(entry) = entry {
            self.insert(entry.clone());
        }
        is_removed || entry.is_some()
    }

    fn insert(&mut self, entry: DirectoryEntry) {
        let name = entry.name();
        let hash = stable_hash(&[&name]);
        self.upstreams.insert(name, (hash, entry));
    }

    /// Whether the pool lists the upstream `name`.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.upstreams.contains_key(name)
    }

    /// Number of upstreams.
    pub(super) fn size(&self) -> usize {
        self.upstreams.len()
    }

    /// Names and addresses of the upstreams.
    pub(super) fn targets(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.upstreams.iter().map(|(name, (_, entry))| (name.as_str(), entry.address))
    }

    /// Number of sections that the pool is divided into.
    pub(super) fn section_count(&self) -> usize {
        PoolSection::count(self.upstreams.len())
    }

    /// Upstreams that belong to `section`.
    pub(super) fn upstreams_in(
        &self,
        section: &PoolSection,
    ) -> impl Iterator<Item = &DirectoryEntry> {
        let upstreams = self.upstreams.values();
        upstreams.filter(|(hash, _)| section.contains_hash(*hash)).map(|(_, entry)| entry)
    }

    /// Section that the upstream `name` belongs to. `None` if the pool lacks the upstream.
    pub(super) fn section_of(&self, pool: &str, name: &str) -> Option<PoolSection> {
        let (hash, _) = self.upstreams.get(name)?;
        let count = self.section_count();
        Some(PoolSection::new(pool, *hash as usize % count, count))
    }
}
