use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::{ReplayReport, ReplayResult, ReplayTarget, TraceFile};

/// Time before the first request, so that it starts on time too.
const LEAD: Duration = Duration::from_millis(20);

/// One replay of a trace.
pub(crate) struct ReplayRun {
    trace: TraceFile,
    target: Arc<ReplayTarget>,
}

impl ReplayRun {
    pub(crate) fn new(trace: TraceFile, target: ReplayTarget) -> Self {
        Self { trace, target: Arc::new(target) }
    }

    /// Starts each request at its time, whether or not earlier ones have ended; latencies count
    /// from that time, so that a stall shows in every request that it delays.
    pub(crate) async fn run(self) -> ReplayReport {
        let start = Instant::now() + LEAD;
        let mut tasks = JoinSet::new();
        let mut lines = self.trace.lines;
        lines.sort_by(|left, right| left.at_ms.total_cmp(&right.at_ms));
        for (number, line) in lines.into_iter().enumerate() {
            let due = start + Duration::from_secs_f64(line.at_ms / 1e3);
            tokio::time::sleep_until(due.into()).await;
            let target = Arc::clone(&self.target);
            tasks.spawn(async move {
                let outcome = target.send(number, &line.request).await;
                ReplayResult { line, outcome, latency: due.elapsed() }
            });
        }
        let results = tasks.join_all().await;
        ReplayReport::new(results, start.elapsed())
    }
}
