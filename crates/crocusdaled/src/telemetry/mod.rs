//! Logs and metrics.

mod log_setup;
mod metric_set;

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

    /// Counts a final answer.
    pub fn count_outcome(&self, answer: &FinalAnswer) {
        self.metrics.count_outcome(answer);
    }

    /// Logs a change of state.
    pub fn note(&self, change: &StateChange) {
        let name: &'static str = change.into();
        info!(self.log, "{}", name; "change" => format!("{change:?}"));
    }
}
