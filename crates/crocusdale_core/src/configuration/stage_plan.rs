use std::time::Duration;

use super::label_set::is_word;

/// Steps of a pipeline and the dependencies between them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagePlan {
    steps: Vec<PlanStep>,
}

/// Step of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanStep {
    /// Name of the stage that runs the step, and of its pool of upstreams.
    pub stage: String,
    /// Positions of the steps that this step depends on. All are lower than its own position.
    pub after: Vec<usize>,
    /// Kind of call that runs the step.
    pub work: StepWork,
}

/// Kind of call that runs a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepWork {
    /// One JSON call per request, with the answers of earlier steps as its input.
    Json,
    /// The request is split into pieces, which are batched with pieces of other requests. The
    /// results stay in the memory of the upstream that computed them, and later steps refer to them
    /// by handle.
    Batched {
        /// Approximate size of one result, in bytes.
        result_bytes: u64,
    },
    /// The original request is forwarded, and the answer is returned to the caller.
    Forward,
}

impl StagePlan {
    /// Maximum number of stages in a pipeline that [`StagePlan::parse`] accepts.
    pub const MAX_STAGES: usize = 16;

    /// Description of the syntax that [`StagePlan::parse`] accepts, for error messages.
    pub const ACCEPTED: &'static str =
        "1 to 16 distinct stage names, steps separated by `,` and parallel branches by `|`";

    /// Creates a plan from `steps`.
    ///
    /// # Errors
    ///
    /// Returns the position of the first step that depends on itself or on a later step.
    pub fn new(steps: Vec<PlanStep>) -> Result<Self, usize> {
        let has_forward_dependency = |(position, step): &(usize, &PlanStep)| {
            step.after.iter().any(|earlier| earlier >= position)
        };
        match steps.iter().enumerate().find(has_forward_dependency) {
            Some((position, _)) => Err(position),
            None => Ok(Self { steps }),
        }
    }

    /// Parses groups of JSON stages. Commas separate the groups, and `|` separates parallel stages
    /// within a group. Each stage depends on all stages of the previous group.
    ///
    /// # Errors
    ///
    /// Returns the first stage name that is invalid, repeated, or beyond [`StagePlan::MAX_STAGES`].
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut steps: Vec<PlanStep> = Vec::new();
        let mut group = 0..0;
        for part in text.split(',') {
            let first = steps.len();
            for stage in part.split('|').map(str::trim) {
                let repeated = steps.iter().any(|step| step.stage == stage);
                if !is_word(stage) || repeated || steps.len() == Self::MAX_STAGES {
                    return Err(stage.to_owned());
                }
                let after = group.clone().collect();
                steps.push(PlanStep { stage: stage.to_owned(), after, work: StepWork::Json });
            }
            group = first..steps.len();
        }
        Ok(Self { steps })
    }

    /// Steps in topological order: each comes after the steps that it depends on.
    #[must_use]
    pub fn steps(&self) -> &[PlanStep] {
        &self.steps
    }

    /// Stage names of all steps, in the order of the steps.
    pub fn stages(&self) -> impl Iterator<Item = &str> {
        self.steps.iter().map(|step| step.stage.as_str())
    }

    /// Positions of the last steps in the subset of steps for which `include` returns `true`: no
    /// other step of the subset depends on them directly.
    pub fn ends(&self, include: impl Fn(&PlanStep) -> bool) -> impl Iterator<Item = usize> {
        let included: Vec<bool> = self.steps.iter().map(include).collect();
        let is_needed = |position: usize| {
            let mut later = self.steps.iter().zip(&included);
            later.any(|(step, included)| *included && step.after.contains(&position))
        };
        let ends =
            (0..self.steps.len()).filter(|position| included[*position] && !is_needed(*position));
        ends.collect::<Vec<_>>().into_iter()
    }

    /// Groups of consecutive steps with the same dependencies, which can run in parallel.
    pub fn groups(&self) -> impl Iterator<Item = &[PlanStep]> {
        self.steps.chunk_by(|left, right| left.after == right.after)
    }

    /// Returns the plan with `pool` as the stage of the forwarding step.
    #[must_use]
    pub fn with_pool(mut self, pool: &str) -> Self {
        for step in self.steps.iter_mut().filter(|step| step.work == StepWork::Forward) {
            pool.clone_into(&mut step.stage);
        }
        self
    }

    /// Duration of the critical path through all steps. `time` returns the duration of a step,
    /// given the step and its position.
    #[must_use]
    pub fn critical_path_time(&self, time: impl Fn(&PlanStep, usize) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (position, step) in self.steps.iter().enumerate() {
            let start = step.after.iter().map(|earlier| ends[*earlier]).max().unwrap_or_default();
            ends.push(start + time(step, position));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Duration of the critical path from the end of the step at `position` to the end of the plan.
    /// `time` returns the duration of a step, given the step and its position.
    #[must_use]
    pub fn critical_path_time_after(
        &self,
        position: usize,
        time: impl Fn(&PlanStep, usize) -> Duration,
    ) -> Duration {
        let mut times_after = vec![Duration::ZERO; self.steps.len()];
        for index in (position + 1..self.steps.len()).rev() {
            let time_through = times_after[index] + time(&self.steps[index], index);
            for earlier in &self.steps[index].after {
                times_after[*earlier] = times_after[*earlier].max(time_through);
            }
        }
        times_after[position]
    }
}
