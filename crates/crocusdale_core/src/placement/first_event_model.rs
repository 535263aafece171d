use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time constant of the samples. A pool's load changes within seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Fixed part before any sample, in milliseconds.
const DEFAULT_FIXED_MS: f64 = 40.0;
/// Time for one prompt token before any sample, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 0.04;
/// Weight of the default in the regression, in samples. With few samples of similar length, the
/// part per token is not determined by them.
const DEFAULT_WEIGHT: f64 = 0.5;
/// Prompt lengths at which the default enters the regression, in tokens.
const DEFAULT_LENGTHS: [f64; 2] = [0.0, 4_000.0];

/// Expected time to the first event of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventTime {
    /// Part that does not depend on the prompt.
    pub fixed: Duration,
    /// Part for each 1,000 prompt tokens.
    pub thousand_tokens: Duration,
}

impl FirstEventTime {
    /// Expected time with a prompt of `tokens` tokens.
    #[must_use]
    pub fn for_prompt(&self, tokens: u64) -> Duration {
        let tokens_time = self.thousand_tokens.as_secs_f64() * tokens as f64 / 1e3;
        let tokens_time = Duration::try_from_secs_f64(tokens_time).unwrap_or(Duration::MAX);
        self.fixed.saturating_add(tokens_time)
    }
}

/// Linear regression of the time to the first event over the number of prompt tokens. Samples lose
/// weight exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventModel {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_by_millis: f64,
    updated_at: MonotonicTime,
}

impl FirstEventModel {
    /// Records that the first event came after `millis` milliseconds, with `tokens` prompt tokens.
    pub fn record(&mut self, tokens: f64, millis: f64, now: MonotonicTime) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
        for (sum, sample) in [
            (&mut self.weight, 1.0),
            (&mut self.tokens, tokens),
            (&mut self.millis, millis),
            (&mut self.tokens_squared, tokens * tokens),
            (&mut self.tokens_by_millis, tokens * millis),
        ] {
            *sum = *sum * decay + sample;
        }
    }

    /// Fixed part and part per token, in milliseconds. Both are at least 0.
    #[must_use]
    pub fn parts_ms(&self) -> (f64, f64) {
        let mut sums = *self;
        for length in DEFAULT_LENGTHS {
            let millis = DEFAULT_FIXED_MS + length * DEFAULT_TOKEN_MS;
            sums.weight += DEFAULT_WEIGHT;
            sums.tokens += DEFAULT_WEIGHT * length;
            sums.millis += DEFAULT_WEIGHT * millis;
            sums.tokens_squared += DEFAULT_WEIGHT * length * length;
            sums.tokens_by_millis += DEFAULT_WEIGHT * length * millis;
        }
        let (mean_tokens, mean_millis) = (sums.tokens / sums.weight, sums.millis / sums.weight);
        let variance = sums.tokens_squared / sums.weight - mean_tokens * mean_tokens;
        let covariance = sums.tokens_by_millis / sums.weight - mean_tokens * mean_millis;
        let slope = if variance > f64::EPSILON { covariance / variance } else { 0.0 };
        let fixed = mean_millis - slope * mean_tokens;
        if slope <= 0.0 {
            (mean_millis, 0.0)
        } else if fixed < 0.0 {
            (0.0, mean_millis / mean_tokens)
        } else {
            (fixed, slope)
        }
    }

    /// Fixed part and part for each 1,000 tokens. `None` without samples.
    #[must_use]
    pub fn time(&self) -> Option<FirstEventTime> {
        if self.weight <= 0.0 {
            return None;
        }
        let (fixed_ms, token_ms) = self.parts_ms();
        Some(FirstEventTime {
            fixed: Duration::from_secs_f64(fixed_ms / 1e3),
            thousand_tokens: Duration::from_secs_f64(token_ms),
        })
    }
}
