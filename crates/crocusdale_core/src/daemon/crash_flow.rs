//! Quarantine of requests that crash upstreams: detection by probes, shared counts, refusal.

use std::net::SocketAddr;
use std::time::Duration;

use super::core_state::CoreState;
use super::upstream_records::UpstreamRecords;
use super::{Command, CounterName, StateChange, TimerKey};
use crate::identity::{MonotonicTime, PartId, RequestDigest};
use crate::pipeline::{RequestPlan, ShardAction};
use crate::quarantine::{CrashRecord, CrashVerdict};
use crate::routing::SlotRequest;
use crate::sync::lock;

/// Time for which crash records and rate limits are collected into one message to peers. All
/// attempts that a crashed upstream breaks off do so within a few milliseconds.
pub(super) const UPSTREAM_RECORD_DELAY: Duration = Duration::from_millis(20);

impl CoreState {
    /// Probes the upstream of an attempt that broke off, unless a probe of it is under way.
    pub(super) fn probe_suspected_upstream(
        &self,
        (digest, parts): (RequestDigest, &[PartId]),
        upstream: String,
        address: SocketAddr,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        lock(&self.part_detector).suspect(parts, &upstream, now);
        if lock(&self.crash_detector).suspect(digest, &upstream) {
            out.push(Command::ProbeUpstream { upstream, address });
        }
    }

    /// Handles the result of a probe: an upstream that has ended counts as crashed by the requests
    /// that broke off there.
    pub(super) fn handle_probe_result(
        &self,
        upstream: &str,
        has_ended: bool,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        // An upstream that had announced its departure has not crashed: it exited as planned, with
        // requests still running.
        let has_crashed = has_ended && !lock(&self.directory).directory.is_leaving(upstream);
        let requests = lock(&self.crash_detector).suspect_count(upstream);
        if has_crashed {
            out.push(Command::Count(CounterName::UpstreamCrashes));
            let upstream = upstream.to_owned();
            let change = StateChange::UpstreamCrashed { upstream, requests };
            out.push(Command::LogStateChange(change));
        }
        let verdict = lock(&self.crash_detector).finish_probe(upstream, has_crashed, now);
        self.apply_verdict(verdict, None, now, out);
        let verdict = lock(&self.part_detector).finish_probe(upstream, has_crashed, now);
        self.apply_part_verdict(&verdict, None, now, out);
    }

    /// Clears the crash records of requests with `digest`, and of `parts`, one of which was answered
    /// completely.
    pub(super) fn clear_crash_suspicion(
        &self,
        digest: RequestDigest,
        parts: &[PartId],
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let verdict = lock(&self.crash_detector).record_success(digest, now);
        self.apply_verdict(verdict, None, now, out);
        let verdict = lock(&self.part_detector).record_success(parts, now);
        self.apply_part_verdict(&verdict, None, now, out);
    }

    /// Merges the crash records that the daemon on `vm` sent.
    pub(super) fn merge_crash_records(
        &self,
        records: &[CrashRecord],
        vm: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if !records.is_empty() {
            let verdict = lock(&self.crash_detector).merge(records, now);
            self.update_crash_summary();
            self.apply_verdict(verdict, Some(vm), now, out);
        }
    }

    /// Sends peers the crash records and rate limits of upstreams that they have not been sent yet.
    pub(super) fn send_new_upstream_records(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let records = UpstreamRecords {
            crashes: lock(&self.crash_detector).take_unsent(now),
            parts: lock(&self.part_detector).take_unsent(now),
            limits: self.limiter.take_unsent(now),
        };
        if !records.is_empty() {
            lock(&self.fleet).send_records_to_readers(&records, now, out);
        }
    }

    /// Drops crash records that have expired.
    pub(super) fn expire_crash_records(&self, now: MonotonicTime) {
        if lock(&self.crash_detector).remove_expired(now) {
            self.update_crash_summary();
        }
    }

    /// Remaining quarantine of a request with `digest` and the prompt `parts`, or `None` if it may be
    /// dispatched.
    pub(super) fn remaining_quarantine(
        &self,
        digest: RequestDigest,
        parts: &[PartId],
        now: MonotonicTime,
    ) -> Option<Duration> {
        let of_request = lock(&self.crash_detector).quarantine_left(digest, now);
        of_request.max(self.part_quarantine(parts, now))
    }

    /// Remaining quarantine of an attempt, or `None` if it may be sent.
    pub(super) fn slot_quarantine(
        &self,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let parts = request.demand.as_ref().map(|demand| demand.crash_parts()).unwrap_or_default();
        self.remaining_quarantine(request.digest, &parts, now)
    }

    /// Logs new and lifted quarantines, refuses the queued requests they apply to, and schedules
    /// the message to peers. `peer` is the daemon that reported the crash, if another one did.
    fn apply_verdict(
        &self,
        verdict: CrashVerdict,
        peer: Option<&str>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if verdict == CrashVerdict::default() {
            return;
        }
        self.update_crash_summary();
        if verdict.has_news {
            out.push(Command::SetTimer {
                timer: TimerKey::UpstreamRecords,
                at: now + UPSTREAM_RECORD_DELAY,
            });
        }
        for digest in verdict.lifted {
            out.push(Command::LogStateChange(StateChange::QuarantineLifted { digest }));
        }
        for digest in verdict.quarantined {
            let (ends, peer) =
                (lock(&self.crash_detector).crash_count(digest), peer.map(str::to_owned));
            out.push(Command::Count(CounterName::RequestsQuarantined));
            out.push(Command::LogStateChange(StateChange::RequestQuarantined {
                digest,
                ends,
                peer,
            }));
            self.refuse_quarantined_requests(digest, now, out);
        }
    }

    /// Refuses all queued requests with `digest`, which would only take time and batch capacity
    /// from others.
    fn refuse_quarantined_requests(
        &self,
        digest: RequestDigest,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let remaining = lock(&self.crash_detector).quarantine_left(digest, now);
        let Some(remaining) = remaining else { return };
        let mut actions = Vec::new();
        let is_quarantined = |plan: &RequestPlan| plan.digest == digest;
        self.refuse_matching_requests(is_quarantined, remaining, now, &mut actions);
        let mut dispatch_actions = Vec::new();
        lock(&self.dispatcher).fail_quarantined(digest, &mut dispatch_actions);
        self.run_dispatch_actions(dispatch_actions, now, &mut actions, out);
        self.run_actions(actions, now, out);
    }

    /// Refuses all requests that `is_quarantined` selects and of which no attempt was sent.
    pub(super) fn refuse_matching_requests(
        &self,
        is_quarantined: impl Fn(&RequestPlan) -> bool,
        remaining: Duration,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let mut queued = lock(&self.entry_backlog).take_matching(&is_quarantined);
        queued.extend(lock(&self.coordination.pending_admissions).take_matching(&is_quarantined));
        queued.extend(lock(&self.pending_streams).take_matching(&is_quarantined));
        for (call, plan) in queued {
            self.refuse_quarantined(call, &plan, remaining, actions);
        }
        for shard in &self.request_shards {
            lock(shard).end_quarantined(&is_quarantined, remaining, now, actions);
        }
    }

    /// Copies the summary of the crash records to the state that heartbeats are built from.
    fn update_crash_summary(&self) {
        let summary = lock(&self.crash_detector).summary();
        lock(&self.fleet).crash_summary = summary;
    }
}
