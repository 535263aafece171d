//! Logs and metrics.

mod log_setup;
mod metric_set;

use std::time::Duration;

use crocusdale_core::batching::{BatchOrder, BatchOutcome, ItemOutcome};
use crocusdale_core::daemon::{CounterName, StateChange};
use crocusdale_core::pipeline::FinalAnswer;
use slog::{Logger, info};

pub use log_setup::start_log;
pub use metric_set::MetricSet;

/// Logs and metrics of one process.
#[derive(Debug)]
pub struct Telemetry {
    /// Where lines go.
    pub log: Logger,
    /// What is counted.
    pub metrics: MetricSet,
}

impl Telemetry {
    /// Counts from zero and logs to `log`.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self { log, metrics: MetricSet::new() }
    }

    /// Raises `counter` by one.
    pub fn count(&self, counter: CounterName) {
        self.metrics.count(counter);
    }

    /// Counts a final answer, and logs how its request came to it: by the stages that it went
    /// through, with upstream, time and attempts each, the stage at which it ended, and the revision
    /// in force at its end.
    pub fn request_ended(&self, answer: &FinalAnswer, revision: u64) {
        self.metrics.count_outcome(answer);
        let reason = answer.reason.map(|reason| reason.to_string()).unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.body);
        info!(self.log, "request_ended";
            "outcome" => answer.kind.to_string(), "reason" => reason, "revision" => revision,
            "took_ms" => answer.took.map(|took| took.as_millis() as u64),
            "request" => text.as_ref());
    }

    /// Logs what became of a call of a batched upstream.
    pub fn batch_ended(&self, order: &BatchOrder, outcome: &BatchOutcome, time: Duration) {
        let made = match outcome {
            BatchOutcome::Answered(items) => {
                items.iter().filter(|item| matches!(item, ItemOutcome::Made(_))).count()
            }
            _ => 0,
        };
        let unmade = match outcome {
            BatchOutcome::Answered(items) => {
                let first = items.iter().find(|item| !matches!(item, ItemOutcome::Made(_)));
                first.map(ToString::to_string).unwrap_or_default()
            }
            other => other.to_string(),
        };
        info!(self.log, "batch_ended";
            "upstream" => &order.upstream, "pieces" => order.items.len(), "made" => made,
            "unmade" => unmade, "time_ms" => u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }

    /// Logs a change of state.
    pub fn note(&self, change: &StateChange) {
        let name: &'static str = change.into();
        info!(self.log, "{}", name; "change" => format!("{change:?}"));
    }
}
