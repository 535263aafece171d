use crate::identity::stable_hash;

/// One daemon's share of a number of requests that all daemons together may send to an upstream.
///
/// If there are at least as many requests as daemons, each daemon has an equal share. Otherwise,
/// rendezvous hashing selects for each upstream the daemons that may send one request each. A
/// daemon that knows only some of the others could rank itself too high, so that a daemon that has
/// just started has no share until it knows them.
#[derive(Clone, Debug, Default)]
pub struct RateShare {
    own_hash: u64,
    other_hashes: Vec<u64>,
    /// Whether this daemon has no share for now, because it and the other daemons may not know each
    /// other yet.
    withheld: bool,
}

impl RateShare {
    /// Share of the daemon on the VM `own`. The names of the VMs of all current and recent daemons
    /// are in `others`.
    #[must_use]
    pub fn new<'a>(own: &str, others: impl Iterator<Item = &'a str>) -> Self {
        let other_hashes = others.filter(|vm| *vm != own).map(daemon_hash).collect();
        Self { own_hash: daemon_hash(own), other_hashes, withheld: false }
    }

    /// Sets whether the share is withheld, because this daemon and the others may not know each
    /// other yet. A withheld share is zero.
    #[must_use]
    pub fn withheld(self, withheld: bool) -> Self {
        Self { withheld, ..self }
    }

    /// Number of daemons that share the requests, including this one.
    #[must_use]
    pub fn daemons(&self) -> usize {
        self.other_hashes.len() + 1
    }

    /// Number of requests that this daemon may send, of `limit` from all daemons, to an upstream
    /// whose name has the hash `hash`.
    #[must_use]
    pub fn request_share(&self, hash: u64, limit: u32) -> u32 {
        if self.withheld {
            return 0;
        }
        let share_count = limit as usize;
        if self.daemons() <= share_count {
            return limit / u32::try_from(self.daemons()).unwrap_or(u32::MAX);
        }
        let rank = mix_hashes(self.own_hash, hash);
        let ahead =
            self.other_hashes.iter().filter(|other| mix_hashes(**other, hash) < rank).count();
        u32::from(ahead < share_count)
    }
}

fn daemon_hash(vm: &str) -> u64 {
    stable_hash(&[vm])
}

/// Mixes two hashes with the finalizer of splitmix64.
fn mix_hashes(daemon: u64, upstream: u64) -> u64 {
    let mut mixed = daemon ^ upstream.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
