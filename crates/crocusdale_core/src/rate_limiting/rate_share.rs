use crate::identity::stable_hash;

/// One daemon's share of the requests that a cold upstream may get from all daemons in one second.
///
/// With few daemons each has an equal part. With more daemons than requests, each upstream has a subset of
/// them that may send one each, by rendezvous hashing. A daemon that knows fewer others than there are
/// would rank too high, so that one which has just started has no share until it knows them.
#[derive(Clone, Debug, Default)]
pub struct RateShare {
    own: u64,
    others: Vec<u64>,
    withheld: bool,
}

impl RateShare {
    /// Share of the daemon on the VM `own` among `others`, which it knows or has known of late.
    #[must_use]
    pub fn new<'a>(own: &str, others: impl Iterator<Item = &'a str>) -> Self {
        let others = others.filter(|vm| *vm != own).map(daemon_hash).collect();
        Self { own: daemon_hash(own), others, withheld: false }
    }

    /// Withholds the share, because others may not know this daemon, or it them.
    #[must_use]
    pub fn withheld(self, withheld: bool) -> Self {
        Self { withheld, ..self }
    }

    /// Number of daemons that share, this one among them.
    #[must_use]
    pub fn daemons(&self) -> usize {
        self.others.len() + 1
    }

    /// Requests that this daemon may send within a second to an upstream with `hash` that takes `limit`.
    #[must_use]
    pub fn of(&self, hash: u64, limit: u32) -> u32 {
        if self.withheld {
            return 0;
        }
        let seats = limit as usize;
        if self.daemons() <= seats {
            return limit / u32::try_from(self.daemons()).unwrap_or(u32::MAX);
        }
        let rank = pair_hash(self.own, hash);
        let before = self.others.iter().filter(|other| pair_hash(**other, hash) < rank).count();
        u32::from(before < seats)
    }
}

fn daemon_hash(vm: &str) -> u64 {
    stable_hash(&[vm])
}

/// Mixes two hashes (the finalizer of splitmix64).
fn pair_hash(daemon: u64, upstream: u64) -> u64 {
    let mut mixed = daemon ^ upstream.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
