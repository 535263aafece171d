//! How attempts of a request end without an answer, and which of them are retried.

use super::request_run::{count, set_timer};
use super::step_run::{AttemptFailure, InFlightAttempt};
use super::{BreakReason, FinalAnswer, RequestRun, ShardAction};
use crate::configuration::{RepeatRule, StepWork};
use crate::daemon::{Command, StateChange, TimerKey};
use crate::identity::{AttemptId, MonotonicTime, PartId};
use crate::routing::AttemptReport;

impl RequestRun {
    /// Cancels an attempt whose upstream has sent no data for the stage's silence timeout.
    ///
    /// Guards against connections that stay silent for good while their hosts accept new ones:
    /// progress is expected of the attempt itself, not of the host.
    pub fn check_silence(
        &mut self,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let index = self.step_runs.iter().position(|step_run| step_run.is_attempt(id))?;
        let silence_timeout = self.plan.stage(&self.step_runs[index].stage).silence;
        let last_progress = self.step_runs[index].in_flight.as_ref()?.last_progress;
        if now.since(last_progress) < silence_timeout {
            actions.push(set_timer(TimerKey::IdleTimeout(id), last_progress + silence_timeout));
            return None;
        }
        actions.push(ShardAction::Command(Command::Cancel(id)));
        self.handle_attempt_failure(
            index,
            AttemptFailure::Broken(BreakReason::Silent),
            now,
            actions,
        )
    }

    pub(super) fn handle_attempt_failure(
        &mut self,
        index: usize,
        failure: AttemptFailure,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) -> Option<FinalAnswer> {
        let report = match failure {
            AttemptFailure::NotRun => AttemptReport::Declined,
            _ => AttemptReport::Failed,
        };
        self.release_slot(index, report, actions);
        let can_repeat = self.can_repeat(index);
        let is_resumable = self
            .plan
            .forward_rules()
            .is_some_and(|rules| rules.repeat == RepeatRule::ResumableStream);
        let parts = self.crash_parts(index);
        let step_run = &mut self.step_runs[index];
        let in_flight = step_run.in_flight.take()?;
        step_run.failed_targets.push(in_flight.upstream.clone());
        actions.push(count(failure.counter()));
        if let AttemptFailure::Broken(reason) = failure {
            actions.push(ShardAction::Command(Command::LogStateChange(
                StateChange::AttemptBroken {
                    request: self.plan.request.key.clone(),
                    digest: self.plan.digest,
                    upstream: in_flight.upstream.clone(),
                    parts: parts.clone(),
                    reason,
                },
            )));
        }
        if let Some(address) = in_flight.address.filter(|_| failure.is_possible_crash()) {
            let (digest, upstream) = (self.plan.digest, in_flight.upstream.clone());
            actions.push(ShardAction::CheckCrash { digest, parts, upstream, address });
        }
        if failure.is_broken_response() {
            actions.push(ShardAction::Command(Command::CloseIdleConnections(in_flight.upstream)));
        }
        let has_not_run = matches!(failure, AttemptFailure::NotSent | AttemptFailure::NotRun);
        let can_retry = (can_repeat || has_not_run) && (!self.has_sent_response || is_resumable);
        if can_retry && now < self.plan.deadline {
            if self.has_freed_results && self.can_rebuild() {
                return self.rebuild_inputs(self.step_runs[index].step, now, actions);
            }
            let request = self.slot_request(index);
            actions
                .push(ShardAction::AcquireRetrySlot { request, reason: failure.refusal_reason() });
            return None;
        }
        Some(self.finish_unanswered(failure.refusal_reason(), now, actions))
    }

    /// Prompt parts under which a crash at the step run at `index` counts. Empty unless the step
    /// forwards the prompt to an engine.
    pub(super) fn crash_parts(&self, index: usize) -> Vec<PartId> {
        let is_forward = self.step_runs[index].work == StepWork::Forward;
        if is_forward { self.plan.crash_parts() } else { Vec::new() }
    }

    pub(super) fn release_slot(
        &mut self,
        index: usize,
        report: AttemptReport,
        actions: &mut Vec<ShardAction>,
    ) {
        let call = self.call;
        let in_flight =
            self.step_runs[index].in_flight.as_ref().filter(|in_flight| in_flight.has_slot());
        if let Some(in_flight) = in_flight {
            actions.push(ShardAction::ReleaseSlot {
                upstream: in_flight.upstream.clone(),
                call,
                report,
            });
        }
    }

    pub(super) fn close_step_runs(&mut self, actions: &mut Vec<ShardAction>) {
        for index in 0..self.step_runs.len() {
            if let Some(held_attempt) = self.step_runs[index].held_attempt.take() {
                actions.push(ShardAction::Command(Command::Cancel(held_attempt)));
            }
            if let Some(in_flight) = self.step_runs[index].in_flight.take() {
                self.close_attempt(index, in_flight, actions);
            } else if self.step_runs[index].output.is_none() {
                actions.push(ShardAction::CancelSlotRequest(self.slot_request(index)));
            }
        }
    }

    pub(super) fn close_attempt(
        &self,
        index: usize,
        in_flight: InFlightAttempt,
        actions: &mut Vec<ShardAction>,
    ) {
        if !in_flight.has_slot() {
            let pool = self.step_runs[index].pool_section.clone();
            actions.push(ShardAction::CancelPieces { attempt: in_flight.id, pool });
            return;
        }
        let (call, report) = (self.call, AttemptReport::Cancelled);
        actions.push(ShardAction::Command(Command::Cancel(in_flight.id)));
        actions.push(ShardAction::ReleaseSlot { upstream: in_flight.upstream, call, report });
    }
}
