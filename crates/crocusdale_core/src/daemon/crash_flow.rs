//! Requests that crash upstreams: suspected, counted by all daemons together, and not sent on.

use std::net::SocketAddr;
use std::time::Duration;

use super::core_state::CoreState;
use super::{Command, CounterName, StateChange, TimerKey};
use crate::identity::{MonotonicTime, RequestDigest};
use crate::quarantine::{CrashRecord, CrashVerdict};
use crate::sync::lock;

/// Time for which news of upstreams are gathered before they are told: all that broke off with one
/// upstream does so within a few milliseconds.
pub(super) const NEWS_DELAY: Duration = Duration::from_millis(20);

impl CoreState {
    /// An attempt broke off: its upstream is looked at.
    pub(super) fn suspect(
        &self,
        digest: RequestDigest,
        upstream: String,
        address: SocketAddr,
        out: &mut Vec<Command>,
    ) {
        if lock(&self.crashes).suspect(digest, &upstream) {
            out.push(Command::ProbeUpstream { upstream, address });
        }
    }

    /// An upstream under which attempts broke off was looked at.
    pub(super) fn upstream_probed(
        &self,
        upstream: &str,
        has_ended: bool,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        // What was known to leave has left, with whatever still ran there.
        let has_crashed = has_ended && !lock(&self.directory).directory.is_leaving(upstream);
        let verdict = lock(&self.crashes).probed(upstream, has_crashed, now);
        self.follow(verdict, None, now, out);
    }

    /// A request like this was answered whole.
    pub(super) fn note_success(
        &self,
        digest: RequestDigest,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let verdict = lock(&self.crashes).succeeded(digest, now);
        self.follow(verdict, None, now, out);
    }

    /// Takes what the daemon on `vm` tells.
    pub(super) fn take_crashes(
        &self,
        records: &[CrashRecord],
        vm: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if !records.is_empty() {
            let verdict = lock(&self.crashes).take(records, now);
            self.share_summary();
            self.follow(verdict, Some(vm), now, out);
        }
    }

    /// Tells others what they have not been told of upstreams.
    pub(super) fn tell_upstream_news(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let crashes = lock(&self.crashes).take_fresh(now);
        let limits = self.limiter.take_untold(now);
        if !(crashes.is_empty() && limits.is_empty()) {
            lock(&self.fleet).tell_readers(&crashes, &limits, now, out);
        }
    }

    /// Forgets what is too old to count.
    pub(super) fn forget_crashes(&self, now: MonotonicTime) {
        if lock(&self.crashes).forget(now) {
            self.share_summary();
        }
    }

    /// Time for which a request like this is still not sent on, if it is quarantined.
    pub(super) fn quarantine_left(
        &self,
        digest: RequestDigest,
        now: MonotonicTime,
    ) -> Option<Duration> {
        lock(&self.crashes).quarantine(digest, now)
    }

    fn follow(
        &self,
        verdict: CrashVerdict,
        peer: Option<&str>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if verdict == CrashVerdict::default() {
            return;
        }
        self.share_summary();
        if verdict.has_news {
            out.push(Command::SetTimer { timer: TimerKey::UpstreamNews, at: now + NEWS_DELAY });
        }
        for digest in verdict.lifted {
            out.push(Command::Note(StateChange::QuarantineLifted { digest }));
        }
        for digest in verdict.quarantined {
            let (ends, peer) = (lock(&self.crashes).ends(digest), peer.map(str::to_owned));
            out.push(Command::Count(CounterName::RequestsQuarantined));
            out.push(Command::Note(StateChange::RequestQuarantined { digest, ends, peer }));
            self.end_quarantined(digest, now, out);
        }
    }

    /// Refuses the requests that are like `digest` and have not been sent on, wherever they wait: they
    /// would only take time and pieces from others.
    fn end_quarantined(&self, digest: RequestDigest, now: MonotonicTime, out: &mut Vec<Command>) {
        let Some(left) = self.quarantine_left(digest, now) else { return };
        let mut steps = Vec::new();
        let waiting = lock(&self.backlog).take_like(digest);
        for (call, plan) in waiting {
            self.refuse_waiting(call, &plan, left, &mut steps);
        }
        for shard in &self.shards {
            lock(shard).end_quarantined(digest, left, now, &mut steps);
        }
        let mut dispatch_steps = Vec::new();
        lock(&self.dispatcher).end_quarantined(digest, &mut dispatch_steps);
        self.run_dispatch(dispatch_steps, now, &mut steps, out);
        self.run_steps(steps, now, out);
    }

    fn share_summary(&self) {
        let summary = lock(&self.crashes).summary();
        lock(&self.fleet).crash_summary = summary;
    }
}
