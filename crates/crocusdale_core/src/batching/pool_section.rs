use std::fmt;

/// Approximate maximum number of upstreams per section: as many as one daemon with a small share of
/// a core can call.
const MAX_SECTION_UPSTREAMS: usize = 48;
/// Separator between the pool name and the section index in a section name.
const SECTION_SEPARATOR: char = '#';
/// Separator between the section index and the section count in a section name.
const COUNT_SEPARATOR: char = '/';

/// A shard of a batched pool, with its own dispatcher and upstreams.
///
/// Guards against a pool whose dispatcher cannot form calls as fast as the upstreams process them.
/// The name of a section contains its index and the section count. So daemons that temporarily know
/// a different number of upstreams still agree on which upstreams belong to a section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSection {
    /// Name of the pool.
    pub pool: String,
    index: usize,
    count: usize,
}

impl PoolSection {
    /// Number of sections of a pool with `upstreams` upstreams. It is a power of two, so that it
    /// seldom changes.
    #[must_use]
    pub fn count(upstreams: usize) -> usize {
        upstreams.div_ceil(MAX_SECTION_UPSTREAMS).max(1).next_power_of_two()
    }

    /// Creates the section at `index` of `count`. The index wraps around.
    #[must_use]
    pub fn new(pool: &str, index: usize, count: usize) -> Self {
        Self { pool: pool.to_owned(), index: index % count.max(1), count: count.max(1) }
    }

    /// All `count` sections of `pool`.
    pub fn all(pool: &str, count: usize) -> impl Iterator<Item = Self> {
        (0..count).map(move |index| Self::new(pool, index, count))
    }

    /// Parses a section name. A name without index and count denotes a whole pool.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let parts = name.rsplit_once(SECTION_SEPARATOR).and_then(|(pool, rest)| {
            let (index, count) = rest.split_once(COUNT_SEPARATOR)?;
            Some((pool, index.parse().ok()?, count.parse().ok()?))
        });
        let (pool, index, count) = parts.unwrap_or((name, 0, 1));
        Self::new(pool, index, count)
    }

    /// Whether an upstream belongs to the section, by the `hash` of its name.
    #[must_use]
    pub fn contains_hash(&self, hash: u64) -> bool {
        hash % self.count as u64 == self.index as u64
    }

    /// Whether the pool of this section is divided into `count` sections.
    #[must_use]
    pub fn has_section_count(&self, count: usize) -> bool {
        self.count == count
    }

    /// Number of sections that the pool of this section is divided into.
    #[must_use]
    pub fn section_count(&self) -> usize {
        self.count
    }

    /// The two candidate sections for a request with `hash`, out of the `count` sections of `pool`.
    /// The caller sends the request to the one with the shorter wait.
    #[must_use]
    pub fn candidates(pool: &str, count: usize, hash: u64) -> [Self; 2] {
        let count = count.max(1);
        let first = hash as usize % count;
        let offset = 1 + (hash >> 32) as usize % (count - 1).max(1);
        [Self::new(pool, first, count), Self::new(pool, first + offset, count)]
    }
}

impl fmt::Display for PoolSection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.count == 1 {
            return formatter.write_str(&self.pool);
        }
        let Self { pool, index, count } = self;
        write!(formatter, "{pool}{SECTION_SEPARATOR}{index}{COUNT_SEPARATOR}{count}")
    }
}
