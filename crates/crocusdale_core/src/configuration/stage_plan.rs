use std::time::Duration;

use super::label_set::is_word;

/// A pipeline's steps, each with the steps whose results it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagePlan {
    steps: Vec<PlanStep>,
}

/// One step of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanStep {
    /// Stage that serves it, which names a pool of upstreams.
    pub stage: String,
    /// Positions of the steps whose results it needs; all are smaller than its own.
    pub after: Vec<usize>,
    /// How its stage is called.
    pub work: StepWork,
}

/// How a stage is called for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepWork {
    /// One JSON call for each request, with the earlier answers as its inputs.
    Json,
    /// The request is cut into pieces, which share calls with pieces of other requests. The
    /// results stay at the upstream that made them; later steps name them by handle.
    Batched {
        /// Approximate size of one result, in bytes.
        result_bytes: u64,
    },
    /// The caller's own request is passed through, and its answer passed back.
    Forward,
}

impl StagePlan {
    /// Most stages of one pipeline.
    pub const MOST: usize = 16;

    /// Form that [`StagePlan::parse`] accepts, for error texts.
    pub const ACCEPTED: &'static str =
        "1 to 16 distinct stage names, steps separated by `,` and parallel branches by `|`";

    /// A plan of `steps`.
    ///
    /// # Errors
    ///
    /// Returns the position of a step that needs itself or a later one.
    pub fn new(steps: Vec<PlanStep>) -> Result<Self, usize> {
        let backward = |(position, step): &(usize, &PlanStep)| {
            step.after.iter().any(|earlier| earlier >= position)
        };
        match steps.iter().enumerate().find(backward) {
            Some((position, _)) => Err(position),
            None => Ok(Self { steps }),
        }
    }

    /// Reads groups of JSON stages separated by `,`, parallel stages within a group by `|`. Each
    /// stage needs the answers of the whole group before its own.
    ///
    /// # Errors
    ///
    /// Returns the part that can't be read or stands twice.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut steps: Vec<PlanStep> = Vec::new();
        let mut group = 0..0;
        for part in text.split(',') {
            let first = steps.len();
            for stage in part.split('|').map(str::trim) {
                let repeated = steps.iter().any(|step| step.stage == stage);
                if !is_word(stage) || repeated || steps.len() == Self::MOST {
                    return Err(stage.to_owned());
                }
                let after = group.clone().collect();
                steps.push(PlanStep { stage: stage.to_owned(), after, work: StepWork::Json });
            }
            group = first..steps.len();
        }
        Ok(Self { steps })
    }

    /// Steps; each stands behind those that it needs.
    #[must_use]
    pub fn steps(&self) -> &[PlanStep] {
        &self.steps
    }

    /// All stages in declared order.
    pub fn stages(&self) -> impl Iterator<Item = &str> {
        self.steps.iter().map(|step| step.stage.as_str())
    }

    /// Positions of the steps without a successor, among those that `include` holds for.
    pub fn ends(&self, include: impl Fn(&PlanStep) -> bool) -> impl Iterator<Item = usize> {
        let included: Vec<bool> = self.steps.iter().map(include).collect();
        let needed = |position: usize| {
            let mut later = self.steps.iter().zip(&included);
            later.any(|(step, included)| *included && step.after.contains(&position))
        };
        let ends = (0..self.steps.len()).filter(|each| included[*each] && !needed(*each));
        ends.collect::<Vec<_>>().into_iter()
    }

    /// Steps side by side: runs of steps that need the same ones.
    pub fn groups(&self) -> impl Iterator<Item = &[PlanStep]> {
        self.steps.chunk_by(|left, right| left.after == right.after)
    }

    /// The same plan with `pool` as the stage of its forwarded step.
    #[must_use]
    pub fn with_pool(mut self, pool: &str) -> Self {
        for step in self.steps.iter_mut().filter(|step| step.work == StepWork::Forward) {
            pool.clone_into(&mut step.stage);
        }
        self
    }

    /// Longest way through the steps, where each takes what `time` says.
    #[must_use]
    pub fn longest_way(&self, time: impl Fn(&PlanStep, usize) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (position, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().map(|earlier| ends[*earlier]).max().unwrap_or_default();
            ends.push(begin + time(step, position));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Longest way from the end of the step at `position` to the end of the plan.
    #[must_use]
    pub fn way_after(
        &self,
        position: usize,
        time: impl Fn(&PlanStep, usize) -> Duration,
    ) -> Duration {
        let mut ways = vec![Duration::ZERO; self.steps.len()];
        for index in (position + 1..self.steps.len()).rev() {
            let way = ways[index] + time(&self.steps[index], index);
            for earlier in &self.steps[index].after {
                ways[*earlier] = ways[*earlier].max(way);
            }
        }
        ways[position]
    }
}
