//! Quarantine of prompt parts that crash engines: shared counts, refusal.

use std::time::Duration;

use super::core_state::CoreState;
use super::crash_flow::UPSTREAM_RECORD_DELAY;
use super::{Command, CounterName, StateChange, TimerKey};
use crate::identity::{MonotonicTime, PartId};
use crate::pipeline::RequestPlan;
use crate::quarantine::{PartRecord, PartVerdict};
use crate::sync::lock;

impl CoreState {
    /// Remaining quarantine of a request with the prompt `parts`, or `None` if it may be dispatched.
    pub(super) fn part_quarantine(&self, parts: &[PartId], now: MonotonicTime) -> Option<Duration> {
        lock(&self.part_detector).quarantine_left(parts, now)
    }

    /// Merges the records of prompt parts that the daemon on `vm` sent.
    pub(super) fn merge_part_records(
        &self,
        records: &[PartRecord],
        vm: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if !records.is_empty() {
            let verdict = lock(&self.part_detector).merge(records, now);
            self.update_part_summary();
            self.apply_part_verdict(&verdict, Some(vm), now, out);
        }
    }

    /// Drops records of prompt parts that have expired.
    pub(super) fn expire_part_records(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let (verdict, has_removed) = lock(&self.part_detector).remove_expired(now);
        if has_removed {
            self.update_part_summary();
        }
        self.apply_part_verdict(&verdict, None, now, out);
    }

    /// Logs new and lifted quarantines, refuses the queued requests they apply to, and schedules the
    /// message to peers. `peer` is the daemon that reported the crash, if another one did.
    pub(super) fn apply_part_verdict(
        &self,
        verdict: &PartVerdict,
        peer: Option<&str>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if *verdict == PartVerdict::default() {
            return;
        }
        self.update_part_summary();
        if verdict.has_news {
            let (timer, at) = (TimerKey::UpstreamRecords, now + UPSTREAM_RECORD_DELAY);
            out.push(Command::SetTimer { timer, at });
        }
        for part in verdict.lifted.iter().copied() {
            out.push(Command::LogStateChange(StateChange::PartQuarantineLifted { part }));
        }
        for part in verdict.quarantined.iter().copied() {
            let (ends, companions) = {
                let detector = lock(&self.part_detector);
                (detector.crash_count(part), detector.companions(part))
            };
            out.push(Command::Count(CounterName::PartsQuarantined));
            out.push(Command::LogStateChange(StateChange::PartQuarantined {
                part,
                ends,
                companions,
                peer: peer.map(str::to_owned),
            }));
        }
        if !verdict.quarantined.is_empty() {
            self.refuse_requests_with_parts(now, out);
        }
    }

    /// Refuses all queued requests whose parts are quarantined.
    fn refuse_requests_with_parts(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let mut actions = Vec::new();
        let quarantined = lock(&self.part_detector).quarantined();
        for part in quarantined {
            let companions = lock(&self.part_detector).companions(part);
            let blamed: Vec<PartId> = companions.into_iter().chain([part]).collect();
            let Some(remaining) = self.part_quarantine(&blamed, now) else { continue };
            let is_quarantined = |plan: &RequestPlan| {
                let parts = plan.crash_parts();
                blamed.iter().all(|part| parts.contains(part))
            };
            self.refuse_matching_requests(is_quarantined, remaining, now, &mut actions);
        }
        self.run_actions(actions, now, out);
    }

    /// Copies the summary of the records to the state that heartbeats are built from.
    fn update_part_summary(&self) {
        let summary = lock(&self.part_detector).summary();
        lock(&self.fleet).part_summary = summary;
    }
}
