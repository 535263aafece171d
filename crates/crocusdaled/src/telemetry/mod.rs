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

    /// Counts a final answer, and logs how its request came to it: by the stages that it went
    /// through, with upstream, time and attempts each, and the stage at which it ended.
    pub fn request_ended(&self, answer: &FinalAnswer) {
        self.metrics.count_outcome(answer);
        let reason = answer.reason.map(|reason| reason.to_string()).unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.body);
        info!(self.log, "request_ended";
            "outcome" => answer.kind.to_string(), "reason" => reason, "request" => text.as_ref());
    }

    /// Logs a change of state.
    pub fn note(&self, change: &StateChange) {
        let name: &'static str = change.into();
        info!(self.log, "{}", name; "change" => format!("{change:?}"));
    }
}
