//! What callers ask for.

use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::identity::{MonotonicTime, stable_hash};
use crocusdale_core::pipeline::{EngineDemand, PromptPart};
use rand::Rng as _;
use rand::rngs::SmallRng;
use rand_distr::{Exp, LogNormal, Zipf};

use super::model_load::{ModelKind, ModelLoad, SizeSpread};

/// Longest pause between two requests of a kind, in seconds: a kind whose rate is 0 has no other.
const LONGEST_PAUSE_S: f64 = 1e6;

/// One request of a caller, over all its tries.
#[derive(Clone, Debug)]
pub(super) struct ModelRequest {
    pub(super) kind: usize,
    pub(super) workspace: usize,
    pub(super) subject: usize,
    pub(super) arrived: MonotonicTime,
    pub(super) pieces: Vec<u32>,
    pub(super) demand: Arc<EngineDemand>,
    /// Tries so far.
    pub(super) tries: u32,
    /// Whether it came back after it was refused.
    pub(super) returned: bool,
    /// Seconds that batched upstreams worked for it.
    pub(super) worked: f64,
    /// When its first event came.
    pub(super) first: Option<MonotonicTime>,
}

impl ModelRequest {
    /// Prompt and answer, as users are billed: a generated token counts ten times.
    pub(super) fn size(&self) -> u64 {
        self.demand.prompt_tokens + 10 * self.demand.output_tokens
    }
}

/// Draws requests from one seed.
#[derive(Debug)]
pub(super) struct CallerSource {
    pub(super) random: SmallRng,
}

impl CallerSource {
    /// Time until the next requests of `kind` from `workspace`.
    pub(super) fn next_arrival(
        &mut self,
        load: &ModelLoad,
        kind: &ModelKind,
        workspace: usize,
        second: f64,
    ) -> Duration {
        let ranks: f64 = (1..=load.workspaces).map(|rank| 1.0 / rank as f64).sum();
        let share = 1.0 / (workspace + 1) as f64 / ranks;
        let rate = kind.rate * share * load.factor(second, kind, workspace) / load.clump;
        let pause = Exp::new(rate.max(f64::EPSILON)).map_or(f64::MAX, |each| self.sample(each));
        Duration::from_secs_f64(pause.min(LONGEST_PAUSE_S))
    }

    /// Requests that come together, `mean` on average.
    pub(super) fn clump_size(&mut self, mean: f64) -> usize {
        let most = (2.0 * mean - 1.0).max(1.0);
        self.random.random_range(1.0..=most).round() as usize
    }

    /// Draws a request of the kind at `kind` in `load`.
    pub(super) fn request(
        &mut self,
        load: &ModelLoad,
        kind: usize,
        workspace: usize,
        now: MonotonicTime,
    ) -> ModelRequest {
        let rules = load.kind(kind);
        let subjects = rules.subjects.0.max(1);
        let rank = Zipf::new(subjects as f64, rules.skew);
        let subject = rank.map_or(1.0, |each| self.sample(each)) as usize - 1;
        let part = |what: &str, number: usize, tokens| PromptPart {
            id: stable_hash(&[&rules.name, what, &number.to_string()]),
            tokens,
        };
        let prompt = self.size(rules.prompt);
        let own: u64 = self.random.random();
        let parts = vec![
            part("root", subject % rules.roots.0.max(1), rules.roots.1),
            part("subject", subject, rules.subjects.1),
            PromptPart { id: own, tokens: u32::try_from(prompt).unwrap_or(u32::MAX) },
        ];
        let prompt_tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
        let events = self.size(rules.events);
        let output_tokens = events * load.engines[0].event_tokens;
        let pieces = rules.steps.iter().map(|step| {
            let needed = self.random.random_bool(step.share.clamp(0.0, 1.0));
            let pieces = u32::try_from(self.size(step.pieces)).unwrap_or(u32::MAX);
            if needed { pieces } else { 0 }
        });
        let pieces = pieces.collect();
        let demand = Arc::new(EngineDemand { parts, prompt_tokens, output_tokens });
        ModelRequest {
            kind,
            workspace,
            subject,
            arrived: now,
            pieces,
            demand,
            tries: 0,
            returned: false,
            worked: 0.0,
            first: None,
        }
    }

    fn size(&mut self, size: SizeSpread) -> u64 {
        let log_mean = size.mean.ln() - size.spread * size.spread / 2.0;
        let drawn =
            LogNormal::new(log_mean, size.spread).map_or(size.mean, |each| self.sample(each));
        drawn.min(size.most).round().max(1.0) as u64
    }

    fn sample(&mut self, distribution: impl rand_distr::Distribution<f64>) -> f64 {
        distribution.sample(&mut self.random)
    }
}
