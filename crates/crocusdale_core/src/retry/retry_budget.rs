use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::identity::MonotonicTime;

/// Default number of retries that each first attempt adds to the budget.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Default maximum number of retries in the budget.
const DEFAULT_MAX_RETRIES: f64 = 10.0;
/// Fraction of the limits that the daemons use. The rest covers delayed knowledge of the number of
/// daemons, and budgets that were lost when a daemon restarted.
const USED_FRACTION: f64 = 0.8;

/// Share of a daemon's part of the reserve that may be saved up, and the share of a part below two
/// retries, of which half would never make up a retry.
const SAVED_SHARES: (f64, f64) = (0.5, 0.8);

/// Limits for the retries of all daemons together in one pool.
///
/// They apply to a sliding window: each window allows `ratio` retries per first attempt, plus
/// `reserve` retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Number of retries per first attempt.
    pub ratio: f64,
    /// Number of retries per window that need no first attempts, for all daemons together. Infinite
    /// if the reserve is not limited.
    pub reserve: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: DEFAULT_RETRY_RATIO / USED_FRACTION,
            reserve: f64::INFINITY,
            window: Duration::from_secs(10),
        }
    }
}

impl RetryLimits {
    /// Budget of one daemon among `daemons`.
    #[must_use]
    pub fn budget(self, daemons: usize) -> RetryBudget {
        let mut budget = RetryBudget { limits: self, ..RetryBudget::default() };
        budget.set_daemons(daemons);
        if self.reserve.is_finite() {
            // An earlier process of this daemon may have spent the window's reserve just before it
            // ended.
            budget.available = 0.0;
        }
        budget
    }
}

/// Limits the number of retries in proportion to the number of first attempts.
///
/// Guards against retries that amplify an outage. With a fixed number of retries per request, the
/// load on a pool would multiply just when all its attempts fail. With the budget, retries are
/// limited to a fraction of the attempts, plus a small reserve. Each daemon has a fixed part of the
/// reserve, so that the limit holds for all daemons without communication.
///
/// Guards against large fleets without any retries: there, a daemon's part is less than one retry.
/// It then stakes the available fraction on a whole retry, with the fraction as probability, so that
/// all daemons together take as many retries as they have parts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    available: f64,
    /// Maximum number of retries in the budget.
    max_available: f64,
    /// Number of retries that the reserve adds per second.
    refill_per_s: f64,
    last_refill: Option<MonotonicTime>,
    random: SmallRng,
}

impl Default for RetryBudget {
    fn default() -> Self {
        let limits = RetryLimits::default();
        Self {
            limits,
            available: DEFAULT_MAX_RETRIES,
            max_available: DEFAULT_MAX_RETRIES,
            refill_per_s: 0.0,
            last_refill: None,
            random: SmallRng::seed_from_u64(0),
        }
    }
}

impl RetryBudget {
    /// Sets the seed of the random choice between a retry and none. It must differ between daemons.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.random = SmallRng::seed_from_u64(seed);
        self
    }

    /// Divides the reserve among `daemons` daemons. A share of a daemon's part may be saved up, and
    /// the rest is added over one window, so that no window gets more than the whole part.
    pub fn set_daemons(&mut self, daemons: usize) {
        if self.limits.reserve.is_finite() {
            let reserve = self.limits.reserve * USED_FRACTION / daemons.max(1) as f64;
            let (usual_share, small_share) = SAVED_SHARES;
            self.max_available = (reserve * usual_share).max((reserve * small_share).min(1.0));
            self.refill_per_s = (reserve - self.max_available) / self.limits.window.as_secs_f64();
            self.available = self.available.min(self.max_available);
        }
    }

    /// Adds the retries that a first attempt earns.
    pub fn record_first_attempt(&mut self, now: MonotonicTime) {
        self.refill(now);
        self.available =
            (self.available + self.limits.ratio * USED_FRACTION).min(self.max_available);
    }

    /// Takes one retry from the budget. Returns `false` if less than one is left, or, in a budget
    /// that never holds a whole one, with the probability of the missing fraction.
    #[must_use]
    pub fn take_retry(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        if self.max_available < 1.0 {
            let fraction = std::mem::take(&mut self.available);
            return self.random.random_bool(fraction.clamp(0.0, 1.0));
        }
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }

    fn refill(&mut self, now: MonotonicTime) {
        // Nothing was spent before the first call, so that the budget has grown since the process
        // started.
        let elapsed = self.last_refill.map_or(now.since_start(), |last| now.since(last));
        self.last_refill = Some(now);
        self.available =
            (self.available + self.refill_per_s * elapsed.as_secs_f64()).min(self.max_available);
    }
}
