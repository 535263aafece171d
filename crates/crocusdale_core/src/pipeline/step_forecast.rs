use std::time::Duration;

use super::RequestPlan;
use crate::identity::MonotonicTime;

/// Expected ends of the steps of a request, as of one moment.
#[derive(Clone, Debug)]
pub struct StepForecast {
    /// Expected end of each step, by position.
    ends: Vec<MonotonicTime>,
}

/// State of a step from which its expected end follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepProgress {
    /// The step starts as soon as the steps that it needs have ended.
    Waiting,
    /// The step started at the given time.
    Started(MonotonicTime),
    /// The step has ended.
    Done,
}

impl StepForecast {
    /// Forecast at `now` of the steps of `plan`, from the progress of each step by its position.
    #[must_use]
    pub fn new(
        plan: &RequestPlan,
        progress: impl Fn(usize) -> StepProgress,
        now: MonotonicTime,
    ) -> Self {
        let steps = plan.pipeline.plan.steps();
        let mut ends: Vec<MonotonicTime> = Vec::with_capacity(steps.len());
        for (position, step) in steps.iter().enumerate() {
            let inputs_end = step.after.iter().map(|input| ends[*input]).max().unwrap_or(now);
            let time = plan.queued_step_time(position, step);
            ends.push(match progress(position) {
                StepProgress::Waiting => inputs_end + time,
                StepProgress::Started(started_at) => now.max(started_at + time),
                StepProgress::Done => now,
            });
        }
        Self { ends }
    }

    /// Expected end of the whole request.
    #[must_use]
    pub fn request_end(&self) -> MonotonicTime {
        self.ends.iter().copied().max().unwrap_or_default()
    }

    /// Time by which the step of `plan` at `position` is due, if parallel steps are due together.
    ///
    /// A step off the critical path is due when the critical path is expected to reach the step
    /// that joins both. Guards against a side step that is scheduled by the latest time at which
    /// it may end, and then ends after all others. If the request is late, the join is expected
    /// after the objective allows, and the side step is not ordered behind all other work.
    ///
    /// A step on the critical path keeps [`RequestPlan::target_end`], also in a late request: due
    /// at their expected end, its steps would count as on time and displace those of requests
    /// that can be.
    #[must_use]
    pub fn due(&self, plan: &RequestPlan, position: usize) -> MonotonicTime {
        let request_end = self.request_end().since_start();
        let needed_since_start = request_end.saturating_sub(plan.queued_time_after(position));
        let needed_at = MonotonicTime::from_start(needed_since_start);
        if self.has_slack(plan, position, needed_at) {
            needed_at
        } else {
            plan.target_end(position)
        }
    }

    /// Whether the step at `position` may end later than expected without delaying the request,
    /// which needs its result at `needed_at`. Less than half of the step's time does not count: it
    /// is within the usual variation of calls, and the step would often miss such a due time.
    fn has_slack(&self, plan: &RequestPlan, position: usize, needed_at: MonotonicTime) -> bool {
        let step = &plan.pipeline.plan.steps()[position];
        let min_slack: Duration = plan.queued_step_time(position, step) / 2;
        needed_at > self.ends[position] + min_slack
    }
}
