//! Batched steps, whose pieces share upstream calls with those of other requests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rebuild_stage::RebuildStage;
use super::request_run::count;
use super::step_run::{AttemptFailure, AttemptKind, InFlightAttempt, StepOutput};
use super::{
    FinalAnswer, PieceFault, PieceOrder, PieceSource, PlacedResult, RefusalReason, RequestRun,
    ResultHandle, ShardAction, StepForecast, StepProgress,
};
use crate::configuration::{PoolKind, StepWork};
use crate::daemon::{Command, CounterName, StateChange};
use crate::identity::{AttemptId, MonotonicTime};

/// Maximum number of dispatchers that are tried for one batched step.
const MAX_DISPATCHERS: usize = 3;
/// Maximum number of times that pieces which were in no call are handed to another dispatcher.
/// A pool changes its dispatcher once for each daemon that joins or leaves. More changes than this
/// within a second mean that the daemons do not agree on their membership.
const MAX_DISPATCHER_CHANGES: u32 = 5;
/// Fraction (one part in this many) of an upstream's result memory below which the inputs of a step
/// are kept until the step has ended. Freeing such small inputs as soon as they are fetched gains
/// almost no memory, and a piece that then fails at random would make its request compute them
/// again.
const EARLY_FREE_DIVISOR: u64 = 50;
/// Fetched bytes from which on a step runs in the availability zone of its inputs, instead of the
/// zone that will read its results. A smaller fetch from another zone costs almost nothing.
const LARGE_TRANSFER_BYTES: u64 = 200_000;

impl RequestRun {
    /// Submits the pieces of the step run at `index`. Ends the request instead if the rest of its
    /// path can't end before the deadline.
    pub(super) fn submit_pieces(
        &mut self,
        index: usize,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let position = self.step_runs[index].step;
        if self.is_awaiting_inputs(position) {
            self.await_inputs(index, actions);
            return None;
        }
        let needed_time = self.plan.queued_time_from(position);
        if now + needed_time > self.plan.first_event_deadline {
            return Some(self.refuse_step(position, needed_time, now, actions));
        }
        let id = self.next_attempt_id();
        let input_steps = &self.plan.pipeline.plan.steps()[position].after;
        let head = self.plan.request.forward_head();
        let source = if input_steps.is_empty() {
            PieceSource::Caller(head.map(|head| head.piece_source.clone()).unwrap_or_default())
        } else {
            PieceSource::Results(self.result_handles(input_steps))
        };
        let order = PieceOrder {
            attempt: id,
            request: self.plan.request.key.key.clone(),
            digest: Some(self.plan.digest),
            pool: self.step_runs[index].stage.clone(),
            step: u32::try_from(position).unwrap_or(u32::MAX),
            pieces: self.plan.pieces(position),
            result_bytes: self.result_bytes(position),
            source,
            inputs_pool: self.early_free_pool(position),
            zone: self.input_zone(position),
            level: self.plan.level,
            is_flood: self.plan.is_flood,
            admission: self.plan.admission,
            target_end: self.due(index, now),
            expires: self.plan.latest_end(position),
            is_resubmission: !self.step_runs[index].failed_targets.is_empty()
                || self.rebuild_stage != RebuildStage::None,
        };
        let step_run = &mut self.step_runs[index];
        step_run.attempts += 1;
        let (upstream, kind) = (String::new(), AttemptKind::Pieces);
        step_run.in_flight = Some(InFlightAttempt {
            id,
            upstream,
            address: None,
            software_version: None,
            sent_at: now,
            last_progress: now,
            kind,
        });
        let failed_dispatchers = step_run.failed_targets.clone();
        let target =
            self.forward_slot_request().filter(|_| self.has_large_results(position)).map(Box::new);
        actions.push(ShardAction::SubmitPieces {
            order: Box::new(order),
            tried: failed_dispatchers,
            target,
        });
        None
    }

    /// Ends the request, because the step at `position` and those after it need `needed_time`, which
    /// is not left. The caller should come back after the longest queueing delay in the plan.
    fn refuse_step(
        &mut self,
        position: usize,
        needed_time: Duration,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> FinalAnswer {
        let since_start = self.step_runs.iter().map(|run| run.started_at).min();
        actions.push(count(CounterName::StepsNotBegun));
        actions.push(ShardAction::Command(Command::LogStateChange(StateChange::StepNotBegun {
            request: self.plan.request.key.clone(),
            stage: self.plan.pipeline.plan.steps()[position].stage.clone(),
            needed_ms: whole_millis(needed_time),
            left_ms: whole_millis(self.plan.first_event_deadline.since(now)),
            delays_age_ms: since_start.map_or(0, |at| whole_millis(now.since(at))),
        })));
        self.retry_after = self.plan.queueing_delays.iter().copied().max().max(self.retry_after);
        self.finish_unanswered(RefusalReason::Overload, now, actions)
    }

    /// Time by which the pieces of the step run at `index`, which are submitted at `now`, are due.
    fn due(&self, index: usize, now: MonotonicTime) -> MonotonicTime {
        let position = self.step_runs[index].step;
        if self.plan.aligns_parallel_steps {
            self.forecast(index, now).due(&self.plan, position)
        } else {
            self.plan.target_end(position)
        }
    }

    /// Expected ends of all steps, if the step run at `index` starts at `now`.
    fn forecast(&self, index: usize, now: MonotonicTime) -> StepForecast {
        let progress = |position| {
            let found = self.step_runs.iter().enumerate().find(|(_, run)| run.step == position);
            match found {
                None => StepProgress::Waiting,
                Some((_, run)) if run.output.is_some() => StepProgress::Done,
                Some((found_index, _)) if found_index == index => StepProgress::Started(now),
                Some((_, run)) => StepProgress::Started(run.started_at),
            }
        };
        StepForecast::new(&self.plan, progress, now)
    }

    /// Pool section that holds the inputs of the step at `position`, if these inputs can be freed
    /// before the step has ended. They must come from one step, be read by no other step, and take
    /// up enough of an upstream's result memory.
    fn early_free_pool(&self, position: usize) -> Option<String> {
        let steps = self.plan.pipeline.plan.steps();
        let [input_step] = steps[position].after[..] else { return None };
        let reader_count = steps.iter().filter(|step| step.after.contains(&input_step)).count();
        let bytes = self.result_bytes(input_step) * u64::from(self.plan.pieces(input_step));
        let PoolKind::Batch(rules) = self.plan.stage(&steps[input_step].stage).kind else {
            return None;
        };
        let is_large = bytes.saturating_mul(EARLY_FREE_DIVISOR) >= rules.result_bytes;
        let producer = self.step_runs.iter().find(|step_run| step_run.step == input_step)?;
        (reader_count == 1 && is_large).then(|| producer.pool_section.clone())
    }

    /// Records that `section` of the pool runs the pieces of the attempt `id`.
    pub fn record_section(&mut self, id: AttemptId, section: &str) {
        if let Some(step_run) = self.step_runs.iter_mut().find(|step_run| step_run.is_attempt(id)) {
            section.clone_into(&mut step_run.pool_section);
        }
    }

    /// Availability zone that holds most input bytes of the step at `position`, if they are large.
    fn input_zone(&self, position: usize) -> Option<String> {
        let (zone, fetched_bytes) = self.input_location(position)?;
        (fetched_bytes >= LARGE_TRANSFER_BYTES).then(|| zone.to_owned())
    }

    /// Availability zone that holds most input bytes of the step at `position`, with the bytes that
    /// the step fetches from there. Each piece of the step fetches all inputs.
    pub(super) fn input_location(&self, position: usize) -> Option<(&str, u64)> {
        let input_steps = &self.plan.pipeline.plan.steps()[position].after;
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for step_run in
            self.step_runs.iter().filter(|step_run| input_steps.contains(&step_run.step))
        {
            let Some(StepOutput::Results(placed_results)) = &step_run.output else { continue };
            for result in placed_results {
                *zones.entry(&result.zone).or_default() += self.result_bytes(step_run.step);
            }
        }
        let (zone, bytes) = zones.into_iter().max_by_key(|(_, bytes)| *bytes)?;
        Some((zone, bytes * u64::from(self.plan.pieces(position))))
    }

    /// Whether the results of the step at `position` are large and read only by forwarded steps.
    fn has_large_results(&self, position: usize) -> bool {
        let plan = self.plan.pipeline.plan.steps();
        let mut reader_steps = plan.iter().filter(|step| step.after.contains(&position));
        let bytes = self.result_bytes(position) * u64::from(self.plan.pieces(position));
        reader_steps.all(|step| step.work == StepWork::Forward) && bytes >= LARGE_TRANSFER_BYTES
    }

    fn result_bytes(&self, position: usize) -> u64 {
        match self.plan.pipeline.plan.steps()[position].work {
            StepWork::Batched { result_bytes } => result_bytes,
            StepWork::Json | StepWork::Forward => 0,
        }
    }

    fn result_handles(&self, input_steps: &[usize]) -> Vec<ResultHandle> {
        let mut handles = Vec::new();
        for step_run in
            self.step_runs.iter().filter(|step_run| input_steps.contains(&step_run.step))
        {
            if let Some(StepOutput::Results(placed_results)) = &step_run.output {
                handles.extend(placed_results.iter().map(|result| result.handle.clone()));
            }
        }
        handles
    }

    pub(super) fn handle_piece_failure(
        &mut self,
        index: usize,
        fault: PieceFault,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let counter = match fault {
            PieceFault::Moved => CounterName::PiecesMoved,
            _ => CounterName::PiecesFailed,
        };
        actions.push(count(counter));
        self.step_runs[index].in_flight = None;
        let is_in_time = now < self.plan.deadline;
        let position = self.step_runs[index].step;
        match fault {
            PieceFault::Moved
                if is_in_time
                    && self.step_runs[index].dispatcher_changes < MAX_DISPATCHER_CHANGES =>
            {
                self.step_runs[index].dispatcher_changes += 1;
                self.submit_pieces(index, now, actions)
            }
            PieceFault::InputGone if is_in_time && self.is_awaiting_inputs(position) => {
                self.await_inputs(index, actions);
                None
            }
            PieceFault::InputGone if is_in_time && self.can_rebuild() => {
                self.rebuild_inputs(position, now, actions)
            }
            _ => Some(self.finish_unanswered(
                AttemptFailure::Pieces(fault).refusal_reason(),
                now,
                actions,
            )),
        }
    }

    /// Submits the pieces of a lost dispatcher to the dispatcher that ranks next.
    pub(super) fn handle_lost_dispatcher(
        &mut self,
        index: usize,
        vm: String,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let step_run = &mut self.step_runs[index];
        step_run.in_flight = None;
        step_run.failed_targets.push(vm);
        if step_run.failed_targets.len() >= MAX_DISPATCHERS || now >= self.plan.deadline {
            return Some(self.finish_unanswered(RefusalReason::NoUpstream, now, actions));
        }
        actions.push(count(CounterName::DispatchersLost));
        self.submit_pieces(index, now, actions)
    }

    /// Frees every result. Either the results that were needed have been fetched, or no step will
    /// fetch them any more.
    pub(super) fn free_all_results(&mut self, actions: &mut Vec<ShardAction>) {
        for index in 0..self.step_runs.len() {
            self.has_freed_results |= self.free_results(index, actions);
        }
    }

    /// Frees the inputs of the step at `position` that no unfinished step needs. An upstream's
    /// result memory holds only the results of a few seconds, and each result that stays keeps out
    /// pieces of another request.
    pub(super) fn free_unneeded_inputs(&mut self, position: usize, actions: &mut Vec<ShardAction>) {
        for input_step in self.plan.pipeline.plan.steps()[position].after.clone() {
            let plan = self.plan.pipeline.plan.steps();
            let mut reader_steps =
                plan.iter().enumerate().filter(|(_, step)| step.after.contains(&input_step));
            if reader_steps.all(|(step, _)| self.is_done(step))
                && let Some(index) =
                    self.step_runs.iter().position(|step_run| step_run.step == input_step)
            {
                self.free_results(index, actions);
            }
        }
    }

    fn free_results(&mut self, index: usize, actions: &mut Vec<ShardAction>) -> bool {
        let step_run = &mut self.step_runs[index];
        let Some(StepOutput::Results(placed_results)) = &mut step_run.output else { return false };
        if placed_results.is_empty() {
            return false;
        }
        actions.push(free_results(&step_run.pool_section, std::mem::take(placed_results)));
        true
    }
}

fn free_results(pool: &str, results: Vec<PlacedResult>) -> ShardAction {
    let results = results.into_iter().map(|result| result.handle).collect();
    ShardAction::FreeResults { pool: pool.to_owned(), results }
}

/// Whole milliseconds of `duration`.
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
