//! Upstreams that name how many requests a second they take from all daemons together.

use super::core_state::CoreState;
use super::crash_flow::NEWS_DELAY;
use super::{Command, StateChange, TimerKey};
use crate::identity::MonotonicTime;
use crate::pipeline::{RefusalReason, ShardAction};
use crate::rate_limiting::{LimitChange, LimitRecord, RateNotice};
use crate::sync::lock;

impl CoreState {
    /// Takes what the answer of `upstream` to a request that was sent at `sent` says of its rate.
    pub(super) fn take_rate(
        &self,
        upstream: &str,
        notice: RateNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let change = self.limiter.hear(upstream, notice, sent, now);
        if change.is_some() || self.limiter.has_untold() {
            self.follow_limits(change.map(|change| (upstream, change)), None, now, out);
        }
    }

    /// Takes what the daemon on `vm` tells.
    pub(super) fn take_limits(
        &self,
        records: &[LimitRecord],
        vm: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if records.is_empty() {
            return;
        }
        let taken = records
            .iter()
            .filter_map(|record| Some((record.upstream.as_str(), self.limiter.take(record, now)?)));
        let changes: Vec<(&str, LimitChange)> = taken.collect();
        self.follow_limits(changes, Some(vm), now, out);
    }

    /// Forgets limits of which nothing is heard any more.
    pub(super) fn forget_limits(&self, now: MonotonicTime) {
        if self.limiter.forget(now) {
            self.share_limit_digest();
        }
    }

    /// Refuses attempts that wait in vain for upstreams that name a rate.
    pub(super) fn shed_limited(&self, now: MonotonicTime, steps: &mut Vec<ShardAction>) {
        for (request, retry_after) in self.router().take_unservable(now) {
            let why = (RefusalReason::Overload, retry_after);
            self.shard(request.call.0).denied_for(request.call, why, now, steps);
        }
    }

    fn follow_limits<'a>(
        &self,
        changes: impl IntoIterator<Item = (&'a str, LimitChange)>,
        peer: Option<&str>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let mut has_ended = false;
        for (upstream, change) in changes {
            let (upstream, peer) = (upstream.to_owned(), peer.map(str::to_owned));
            has_ended |= matches!(change, LimitChange::Ended(_));
            out.push(Command::Note(match change {
                LimitChange::Limited(rate) => StateChange::UpstreamLimited { upstream, rate, peer },
                LimitChange::Ended(sent) => StateChange::UpstreamUnlimited { upstream, sent, peer },
            }));
        }
        self.share_limit_digest();
        if self.limiter.has_untold() {
            out.push(Command::SetTimer { timer: TimerKey::UpstreamNews, at: now + NEWS_DELAY });
        }
        if has_ended {
            let steps = self.run_grants(self.router().serve_all_waiting(now), now);
            self.run_steps(steps, now, out);
        }
    }

    fn share_limit_digest(&self) {
        let digest = self.limiter.digest();
        lock(&self.fleet).limit_digest = digest;
    }
}
