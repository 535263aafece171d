use std::time::Duration;

use crate::identity::MonotonicTime;

/// Mean of samples whose weight decays exponentially with their age.
#[derive(Clone, Copy, Debug)]
pub struct SampleMean {
    time_constant: Duration,
    weight: f64,
    weighted_sum: f64,
    updated_at: MonotonicTime,
}

impl SampleMean {
    /// Creates a mean without samples.
    #[must_use]
    pub fn new(time_constant: Duration) -> Self {
        let updated_at = MonotonicTime::default();
        Self { time_constant, weight: 0.0, weighted_sum: 0.0, updated_at }
    }

    /// Adds a sample with the given weight.
    pub fn record(&mut self, sample: f64, weight: f64, now: MonotonicTime) {
        let decay = self.decay(now);
        self.weight = self.weight * decay + weight;
        self.weighted_sum = self.weighted_sum * decay + sample * weight;
        self.updated_at = self.updated_at.max(now);
    }

    /// Mean of the samples and of `prior`, which counts like one sample of weight `prior_weight`.
    #[must_use]
    pub fn mean_with_prior(&self, prior: f64, prior_weight: f64, now: MonotonicTime) -> f64 {
        let decay = self.decay(now);
        let weight = self.weight * decay + prior_weight;
        if weight <= f64::EPSILON {
            return prior;
        }
        (self.weighted_sum * decay + prior * prior_weight) / weight
    }

    /// Time of the latest sample. Zero if there was none.
    #[must_use]
    pub fn updated_at(&self) -> MonotonicTime {
        self.updated_at
    }

    /// Whether no sample was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.weight <= 0.0
    }

    fn decay(&self, now: MonotonicTime) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
