/// Share of a retry that each first attempt earns.
const EARNED: f64 = 0.1;
/// Retries that may be saved up.
const SAVED: f64 = 10.0;

/// Bounds retries by the number of first attempts.
///
/// Guards against retries that amplify an outage: a fixed count of retries multiplies the load on
/// a pool just when all of its attempts fail. Here at most one attempt in ten is a retry, apart
/// from a small reserve, whatever fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED);
    }

    /// Takes the right to one retry, if there is any.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let affordable = self.saved >= 1.0;
        if affordable {
            self.saved -= 1.0;
        }
        affordable
    }
}
