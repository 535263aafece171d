//! Rate limits that upstreams request: how many requests per second each accepts from all daemons
//! together.

use super::core_state::CoreState;
use super::crash_flow::UPSTREAM_RECORD_DELAY;
use super::{Command, StateChange, TimerKey};
use crate::identity::MonotonicTime;
use crate::pipeline::{RefusalReason, ShardAction};
use crate::rate_limiting::{LimitChange, LimitRecord, RateNotice};
use crate::sync::lock;

impl CoreState {
    /// Applies the rate limit in the response of `upstream` to a request that was sent at `sent`.
    pub(super) fn apply_rate_notice(
        &self,
        upstream: &str,
        notice: RateNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let change = self.limiter.record_notice(upstream, notice, sent, now);
        if change.is_some() || self.limiter.has_unsent() {
            self.apply_limit_changes(change.map(|change| (upstream, change)), None, now, out);
        }
    }

    /// Applies the rate limits of upstreams that the daemon on `vm` reported.
    pub(super) fn merge_limits(
        &self,
        records: &[LimitRecord],
        vm: &str,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        if records.is_empty() {
            return;
        }
        let applied = records.iter().filter_map(|record| {
            Some((record.upstream.as_str(), self.limiter.merge_record(record, now)?))
        });
        let changes: Vec<(&str, LimitChange)> = applied.collect();
        self.apply_limit_changes(changes, Some(vm), now, out);
    }

    /// Removes rate limits that no daemon has received from their upstreams for a long time.
    pub(super) fn expire_limits(&self, now: MonotonicTime) {
        if self.limiter.remove_expired(now) {
            self.publish_limit_digest();
        }
    }

    /// Refuses queued attempts that can't get a request slot before their deadline at the current
    /// rate limits of their upstreams.
    pub(super) fn shed_rate_limited(&self, now: MonotonicTime, actions: &mut Vec<ShardAction>) {
        for (request, retry_after) in self.router().take_unservable(now) {
            let refusal = (RefusalReason::Overload, retry_after);
            self.shard(request.call.0).handle_lasting_refusal(request.call, refusal, now, actions);
        }
    }

    /// Logs changed rate limits, schedules the message to peers, and serves queued attempts if a
    /// limit has ended. `peer` is the daemon that reported the changes, if another one did.
    fn apply_limit_changes<'a>(
        &self,
        changes: impl IntoIterator<Item = (&'a str, LimitChange)>,
        peer: Option<&str>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let mut has_limit_ended = false;
        for (upstream, change) in changes {
            let (upstream, peer) = (upstream.to_owned(), peer.map(str::to_owned));
            has_limit_ended |= matches!(change, LimitChange::Ended(_));
            out.push(Command::LogStateChange(match change {
                LimitChange::Limited(rate) => StateChange::UpstreamLimited { upstream, rate, peer },
                LimitChange::Ended(sent) => StateChange::UpstreamUnlimited { upstream, sent, peer },
            }));
        }
        self.publish_limit_digest();
        if self.limiter.has_unsent() {
            out.push(Command::SetTimer {
                timer: TimerKey::UpstreamRecords,
                at: now + UPSTREAM_RECORD_DELAY,
            });
        }
        if has_limit_ended {
            let actions = self.assign_granted_slots(self.router().serve_all_waiting(now), now);
            self.run_actions(actions, now, out);
        }
    }

    /// Copies the digest of the rate limits to the state that heartbeats are built from.
    fn publish_limit_digest(&self) {
        let digest = self.limiter.digest();
        lock(&self.fleet).limit_digest = digest;
    }
}
