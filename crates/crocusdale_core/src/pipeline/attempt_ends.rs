//! How attempts of a request end without an answer, and which of them are retried.

use super::branch_run::{FailedAttempt, OpenAttempt};
use super::request_run::{REMAKES, count, set_timer};
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
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let index = self.branches.iter().position(|branch| branch.is_attempt(id))?;
        let silence = self.plan.stage(&self.branches[index].stage).silence;
        let progress = self.branches[index].open.as_ref()?.progress;
        if now.since(progress) < silence {
            steps.push(set_timer(TimerKey::Silence(id), progress + silence));
            return None;
        }
        steps.push(ShardStep::Command(Command::Cancel(id)));
        self.attempt_failed(index, FailedAttempt::Broken(BreakReason::Silent), now, steps)
    }

    pub(super) fn attempt_failed(
        &mut self,
        index: usize,
        failure: FailedAttempt,
        now: MonotonicTime,
        steps: &mut Vec<ShardStep>,
    ) -> Option<FinalAnswer> {
        let report = match failure {
            FailedAttempt::NotRun => AttemptReport::Declined,
            _ => AttemptReport::Failed,
        };
        self.release(index, report, steps);
        let may_repeat = self.may_repeat(index);
        let resumable =
            self.plan.forward().is_some_and(|each| each.repeat == RepeatRule::ResumableStream);
        let branch = &mut self.branches[index];
        let open = branch.open.take()?;
        branch.tried.push(open.upstream.clone());
        steps.push(count(failure.counter()));
        if let FailedAttempt::Broken(reason) = failure {
            steps.push(ShardStep::Command(Command::Note(StateChange::AttemptBroken {
                request: self.plan.request.key.clone(),
                digest: self.plan.digest,
                upstream: open.upstream.clone(),
                reason,
            })));
        }
        if let Some(address) = open.address.filter(|_| failure.is_suspicious()) {
            let (digest, upstream) = (self.plan.digest, open.upstream.clone());
            steps.push(ShardStep::Suspect { digest, upstream, address });
        }
        if failure.is_distrusted() {
            steps.push(ShardStep::Command(Command::Distrust(open.upstream)));
        }
        let unrun = matches!(failure, FailedAttempt::NotSent | FailedAttempt::NotRun);
        let may_go_on = (may_repeat || unrun) && (!self.forwarded || resumable);
        if may_go_on && now < self.plan.deadline {
            if self.freed && self.remakes < REMAKES {
                self.remake(now, steps);
                return None;
            }
            let request = self.slot_request(index);
            steps.push(ShardStep::Retry { request, reason: failure.reason() });
            return None;
        }
        Some(self.end(failure.reason(), now, steps))
    }

    pub(super) fn release(
        &mut self,
        index: usize,
        report: AttemptReport,
        steps: &mut Vec<ShardStep>,
    ) {
        let call = self.call;
        let open = self.branches[index].open.as_ref().filter(|open| open.has_slot());
        if let Some(open) = open {
            steps.push(ShardStep::Release { upstream: open.upstream.clone(), call, report });
        }
    }

    pub(super) fn close_branches(&mut self, steps: &mut Vec<ShardStep>) {
        for index in 0..self.branches.len() {
            if let Some(held) = self.branches[index].held.take() {
                steps.push(ShardStep::Command(Command::Cancel(held)));
            }
            if let Some(open) = self.branches[index].open.take() {
                self.close_attempt(index, open, steps);
            } else if self.branches[index].answer.is_none() {
                steps.push(ShardStep::Withdraw(self.slot_request(index)));
            }
        }
    }

    pub(super) fn close_attempt(
        &self,
        index: usize,
        open: OpenAttempt,
        steps: &mut Vec<ShardStep>,
    ) {
        if !open.has_slot() {
            let pool = self.branches[index].section.clone();
            steps.push(ShardStep::WithdrawPieces { attempt: open.id, pool });
            return;
        }
        let (call, report) = (self.call, AttemptReport::Cancelled);
        steps.push(ShardStep::Command(Command::Cancel(open.id)));
        steps.push(ShardStep::Release { upstream: open.upstream, call, report });
    }
}
