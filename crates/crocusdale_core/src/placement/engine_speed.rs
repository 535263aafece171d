use std::time::Duration;

use super::SampleMean;
use crate::identity::MonotonicTime;

/// Time constant of the lasting average. Engines that are slow for good stay so for minutes.
const LASTING_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Time constant of the recent average. It is shorter than slowdowns of about half a second.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Age of the latest sample up to which the recent average counts. After it, an engine that was
/// slow for a moment is tried again.
const RECENT_LIFETIME: Duration = Duration::from_millis(600);
/// Weight of the usual speed in the lasting average, in samples. An engine without any sample for
/// the better part of a minute counts as usual again.
const USUAL_WEIGHT: f64 = 0.2;
/// Weight of the lasting average in the recent one, in samples. A single sample is noisy.
const LASTING_WEIGHT: f64 = 0.5;
/// Range of a sample. A request that waited for something else than the engine is not evidence of
/// an engine that is a hundred times slower.
const SAMPLE_RANGE: (f64, f64) = (0.2, 6.0);

/// Speed of one engine as the ratio of observed to expected time: 1 is the mean of the pool, 2 is
/// half as fast.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    lasting: SampleMean,
    recent: SampleMean,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            lasting: SampleMean::new(LASTING_TIME_CONSTANT),
            recent: SampleMean::new(RECENT_TIME_CONSTANT),
        }
    }
}

impl EngineSpeed {
    /// Records a ratio of observed to expected time with the given weight.
    pub fn record(&mut self, ratio: f64, weight: f64, now: MonotonicTime) {
        let ratio = ratio.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        self.lasting.record(ratio, weight, now);
        self.recent.record(ratio, weight, now);
    }

    /// Expected ratio of a request that is sent at `now`.
    #[must_use]
    pub fn ratio(&self, now: MonotonicTime) -> f64 {
        let lasting = self.lasting_ratio(now);
        if self.recent.is_empty() || now.since(self.recent.updated_at()) >= RECENT_LIFETIME {
            return lasting;
        }
        self.recent.mean_with_prior(lasting, LASTING_WEIGHT, now)
    }

    /// The lasting average alone.
    #[must_use]
    pub fn lasting_ratio(&self, now: MonotonicTime) -> f64 {
        self.lasting.mean_with_prior(1.0, USUAL_WEIGHT, now)
    }
}
