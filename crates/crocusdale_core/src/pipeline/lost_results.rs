//! Results that were lost before all steps had read them, and the steps that compute them again.

use std::collections::BTreeSet;

use super::rebuild_stage::RebuildStage;
use super::request_run::count;
use super::step_run::{StepOutput, StepRun};
use super::{FinalAnswer, RequestRun, ShardAction};
use crate::configuration::{PlanStep, PoolKind, StepWork};
use crate::daemon::CounterName;
use crate::identity::MonotonicTime;

impl RequestRun {
    /// Whether lost results may be computed again.
    ///
    /// An upstream does not name the result that it could not fetch, so the first try may compute
    /// the wrong ones again. The second one computes all.
    pub(super) fn can_rebuild(&self) -> bool {
        self.rebuild_stage != RebuildStage::AllSteps
    }

    /// Whether an input of the step at `position` is being computed.
    pub(super) fn is_awaiting_inputs(&self, position: usize) -> bool {
        self.input_steps(position).into_iter().any(|input| !self.is_done(input))
    }

    /// Starts the steps again whose results the step at `reader` could not read, and those that
    /// they need. The step itself follows once they have ended.
    pub(super) fn rebuild_inputs(
        &mut self,
        reader: usize,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let lost_steps = self.lost_steps(reader, now);
        let is_batched = |run: &&StepRun| matches!(run.work, StepWork::Batched { .. });
        let is_lost = |run: &StepRun| lost_steps.contains(&run.step) || run.step == reader;
        let computes_all = self.rebuild_stage == RebuildStage::LostSteps
            || self.step_runs.iter().filter(is_batched).all(is_lost);
        self.rebuild_stage =
            if computes_all { RebuildStage::AllSteps } else { RebuildStage::LostSteps };
        self.has_freed_results = false;
        actions.push(count(CounterName::StepsRemade));
        let (dropped_runs, kept_runs) =
            self.step_runs.drain(..).partition(|run| computes_all || is_lost(run));
        self.step_runs = dropped_runs;
        self.close_step_runs(actions);
        self.free_all_results(actions);
        self.has_freed_results = false;
        let mut dropped_runs = std::mem::replace(&mut self.step_runs, kept_runs).into_iter();
        if let Some(forward_run) = dropped_runs.find(|run| run.work == StepWork::Forward) {
            self.forward_history = Some((forward_run.attempts, forward_run.failed_targets));
        }
        self.start_ready_steps(now, actions)
    }

    /// Drops the run of a step that needs an input which is being computed again. The step starts
    /// again once that has ended.
    pub(super) fn await_inputs(&mut self, index: usize, actions: &mut Vec<ShardAction>) {
        self.step_runs.remove(index);
        actions.push(count(CounterName::StepsRemade));
    }

    /// Positions of the steps to run again for the step at `reader`: those whose results are lost,
    /// and those that these need and whose results are lost too. If no result is known to be lost,
    /// all that `reader` reads count as lost.
    fn lost_steps(&self, reader: usize, now: MonotonicTime) -> BTreeSet<usize> {
        let inputs = self.input_steps(reader);
        let known_lost = inputs.iter().copied().filter(|input| self.is_lost(*input, now));
        let mut unvisited: Vec<usize> = known_lost.collect();
        if unvisited.is_empty() {
            unvisited = inputs;
        }
        let mut lost_steps = BTreeSet::new();
        while let Some(position) = unvisited.pop() {
            if lost_steps.insert(position) {
                let inputs = self.input_steps(position).into_iter();
                unvisited.extend(inputs.filter(|input| self.is_lost(*input, now)));
            }
        }
        lost_steps
    }

    /// Steps whose results the step at `position` reads. A forwarded step reads those of the
    /// batched steps that no other batched step reads.
    fn input_steps(&self, position: usize) -> Vec<usize> {
        let plan = &self.plan.pipeline.plan;
        let step = &plan.steps()[position];
        match step.work {
            StepWork::Forward => {
                plan.ends(|step: &PlanStep| matches!(step.work, StepWork::Batched { .. })).collect()
            }
            StepWork::Batched { .. } | StepWork::Json => step.after.clone(),
        }
    }

    /// Whether the step at `position` has ended and its results are surely gone: they were freed,
    /// or the upstream keeps no result for so long.
    fn is_lost(&self, position: usize, now: MonotonicTime) -> bool {
        let step_run = self.step_runs.iter().find(|step_run| step_run.step == position);
        let Some(StepRun { output: Some(StepOutput::Results(results)), ended_at, .. }) = step_run
        else {
            return false;
        };
        let step = &self.plan.pipeline.plan.steps()[position];
        let PoolKind::Batch(rules) = self.plan.stage(&step.stage).kind else { return false };
        let is_expired = ended_at.is_some_and(|at| now.since(at) >= rules.result_lifetime);
        self.plan.pieces(position) > 0 && (results.is_empty() || is_expired)
    }
}
