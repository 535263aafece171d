//! How attempts of a request end without an answer, and which of them are retried.

use super::request_run::{REMAKES, count, set_timer};
use super::step_run::{AttemptFailure, InFlightAttempt};
use super::{BreakReason, FinalAnswer, RequestRun, ShardStep};
use crate::configuration::RepeatRule;
use crate::daemon::{Command, StateChange, TimerKey};
use crate::identity::{AttemptId, MonotonicTime};
use crate::routing::AttemptReport;

impl RequestRun {
    /// Cancels an attempt whose upstream has sent no data for the stage's silence timeout.
    ///
    /// Guards against connections that stay silent for good while their hosts accept new ones:
    /// progress is expected of the attempt itself, not of the host.
    pub fn silence_check(
        &mut self,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let index = self.step_runs.iter().position(|step_run| step_run.is_attempt(id))?;
        let silence = self.plan.stage(&self.step_runs[index].stage).silence;
        let progress = self.step_runs[index].in_flight.as_ref()?.progress;
        if now.since(progress) < silence {
            actions.push(set_timer(TimerKey::Silence(id), progress + silence));
            return None;
        }
        actions.push(ShardStep::Command(Command::Cancel(id)));
        self.attempt_failed(index, AttemptFailure::Broken(BreakReason::Silent), now, actions)
    }

    pub(super) fn attempt_failed(
        &mut self,
        index: usize,
        failure: AttemptFailure,
        now: MonotonicTime,
        actions: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let report = match failure {
            AttemptFailure::NotRun => AttemptReport::Declined,
            _ => AttemptReport::Failed,
        };
        self.release(index, report, actions);
        let may_repeat = self.may_repeat(index);
        let resumable =
            self.plan.forward().is_some_and(|each| each.repeat == RepeatRule::ResumableStream);
        let step_run = &mut self.step_runs[index];
        let in_flight = step_run.in_flight.take()?;
        step_run.tried.push(in_flight.upstream.clone());
        actions.push(count(failure.counter()));
        if let AttemptFailure::Broken(reason) = failure {
            actions.push(ShardStep::Command(Command::Note(StateChange::AttemptBroken {
                request: self.plan.request.key.clone(),
                digest: self.plan.digest,
                upstream: in_flight.upstream.clone(),
                reason,
            })));
        }
        if let Some(address) = in_flight.address.filter(|_| failure.is_suspicious()) {
            let (digest, upstream) = (self.plan.digest, in_flight.upstream.clone());
            actions.push(ShardStep::Suspect { digest, upstream, address });
        }
        if failure.is_distrusted() {
            actions.push(ShardStep::Command(Command::Distrust(in_flight.upstream)));
        }
        let unrun = matches!(failure, AttemptFailure::NotSent | AttemptFailure::NotRun);
        let may_go_on = (may_repeat || unrun) && (!self.forwarded || resumable);
        if may_go_on && now < self.plan.deadline {
            if self.freed && self.remakes < REMAKES {
                self.remake(now, actions);
                return None;
            }
            let request = self.slot_request(index);
            actions.push(ShardStep::Retry { request, reason: failure.reason() });
            return None;
        }
        Some(self.end(failure.reason(), now, actions))
    }

    pub(super) fn release(
        &mut self,
        index: usize,
        report: AttemptReport,
        actions: &mut Vec<ShardStep>,
    ) {
        let call = self.call;
        let in_flight =
            self.step_runs[index].in_flight.as_ref().filter(|in_flight| in_flight.has_slot());
        if let Some(in_flight) = in_flight {
            actions.push(ShardStep::Release { upstream: in_flight.upstream.clone(), call, report });
        }
    }

    pub(super) fn close_step_runs(&mut self, actions: &mut Vec<ShardStep>) {
        for index in 0..self.step_runs.len() {
            if let Some(held) = self.step_runs[index].held.take() {
                actions.push(ShardStep::Command(Command::Cancel(held)));
            }
            if let Some(in_flight) = self.step_runs[index].in_flight.take() {
                self.close_attempt(index, in_flight, actions);
            } else if self.step_runs[index].answer.is_none() {
                actions.push(ShardStep::Withdraw(self.slot_request(index)));
            }
        }
    }

    pub(super) fn close_attempt(
        &self,
        index: usize,
        in_flight: InFlightAttempt,
        actions: &mut Vec<ShardStep>,
    ) {
        if !in_flight.has_slot() {
            let pool = self.step_runs[index].section.clone();
            actions.push(ShardStep::WithdrawPieces { attempt: in_flight.id, pool });
            return;
        }
        let (call, report) = (self.call, AttemptReport::Cancelled);
        actions.push(ShardStep::Command(Command::Cancel(in_flight.id)));
        actions.push(ShardStep::Release { upstream: in_flight.upstream, call, report });
    }
}
