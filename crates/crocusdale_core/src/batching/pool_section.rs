use std::fmt;

/// Upstreams of a section at most, about: what one daemon on a small share of a core can call.
const SECTION_UPSTREAMS: usize = 48;
/// Stands between a pool's name and the number of its section.
const SECTION_MARK: char = '#';
/// Stands between the number of a section and that of all.
const COUNT_MARK: char = '/';

/// A part of a batched pool that has its own dispatcher.
///
/// Guards against a pool whose dispatcher can't form calls as fast as its upstreams work on them. Its name
/// says which part of how many it is, so that daemons which count another number of upstreams for a
/// moment still agree on what belongs to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSection {
    /// The pool.
    pub pool: String,
    index: usize,
    count: usize,
}

impl PoolSection {
    /// Number of sections of a pool with `upstreams` upstreams: a power of two, so that it seldom changes.
    #[must_use]
    pub fn count(upstreams: usize) -> usize {
        upstreams.div_ceil(SECTION_UPSTREAMS).max(1).next_power_of_two()
    }

    /// The section at `index` of `count`.
    #[must_use]
    pub fn new(pool: &str, index: usize, count: usize) -> Self {
        Self { pool: pool.to_owned(), index: index % count.max(1), count: count.max(1) }
    }

    /// All `count` sections of `pool`.
    pub fn all(pool: &str, count: usize) -> impl Iterator<Item = Self> {
        (0..count).map(move |index| Self::new(pool, index, count))
    }

    /// The section that is called `name`; a name without a number is a whole pool.
    #[must_use]
    pub fn named(name: &str) -> Self {
        let parts = name.rsplit_once(SECTION_MARK).and_then(|(pool, rest)| {
            let (index, count) = rest.split_once(COUNT_MARK)?;
            Some((pool, index.parse().ok()?, count.parse().ok()?))
        });
        let (pool, index, count) = parts.unwrap_or((name, 0, 1));
        Self::new(pool, index, count)
    }

    /// Whether the upstream whose name has `hash` belongs to it.
    #[must_use]
    pub fn holds(&self, hash: u64) -> bool {
        hash % self.count as u64 == self.index as u64
    }

    /// Whether it is one of the sections of a pool that has `count`.
    #[must_use]
    pub fn is_one_of(&self, count: usize) -> bool {
        self.count == count
    }

    /// Two sections of `count` of which a request with `hash` takes the better one.
    #[must_use]
    pub fn candidates(pool: &str, count: usize, hash: u64) -> [Self; 2] {
        let count = count.max(1);
        let first = hash as usize % count;
        let step = 1 + (hash >> 32) as usize % (count - 1).max(1);
        [Self::new(pool, first, count), Self::new(pool, first + step, count)]
    }
}

impl fmt::Display for PoolSection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.count == 1 {
            return formatter.write_str(&self.pool);
        }
        let Self { pool, index, count } = self;
        write!(formatter, "{pool}{SECTION_MARK}{index}{COUNT_MARK}{count}")
    }
}
