//! Streams that callers take up: where they began, and who is asked for it.

use std::time::Duration;

use super::core_state::CoreState;
use super::entry_flow::refuse_unstarted;
use super::pending_requests::AskedKeepers;
use super::{Command, CounterName, DaemonCore};
use crate::configuration::{RepeatRule, StepWork};
use crate::identity::{CallId, MonotonicTime, SoftwareVersion};
use crate::pipeline::{RefusalReason, RequestPlan, ResumedStream, ShardAction};
use crate::streams::{MAX_RECORD_TIME, StreamKey, StreamOrigin, StreamRecord};
use crate::sync::lock;

/// `Retry-After` of a stream that a daemon which did not reply may know.
const UNREACHED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of a stream whose version has no upstream. An upstream that has crashed is back with
/// its version after a second or more.
const NO_VERSION_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Time after which a request stops waiting for replies, if not even the failure of the calls was
/// reported.
const MAX_REPLY_WAIT: Duration = Duration::from_millis(400);

/// Reply of a daemon that was asked where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginReply {
    /// It began there.
    Known(StreamOrigin),
    /// The daemon does not know the stream.
    Unknown,
    /// The daemon did not reply in time.
    Failed,
}

impl DaemonCore {
    /// Stores records of streams that began at another daemon.
    pub fn record_streams(&self, records: &[StreamRecord], now: MonotonicTime) {
        let mut log = lock(&self.state.stream_log);
        for record in records {
            log.record(record, now);
        }
    }

    /// Where the stream `key` began, for a daemon that is to take it up. `None` if this daemon does
    /// not know.
    #[must_use]
    pub fn find_stream(&self, key: StreamKey, now: MonotonicTime) -> Option<StreamRecord> {
        lock(&self.state.stream_log).find(key, now)
    }
}

impl CoreState {
    /// Stores where a stream of this daemon began, here and at the keepers of its section.
    pub(super) fn record_stream(
        &self,
        record: &StreamRecord,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        lock(&self.stream_log).record(record, now);
        let keepers = lock(&self.fleet).record_keepers(record.key);
        for vm in keepers.into_iter().filter(|vm| *vm != self.own_instance.vm) {
            out.push(Command::RecordStream { vm, record: Box::new(record.clone()) });
        }
    }

    /// Starts, queues or refuses a request that needs no claim. A request that takes up a stream goes
    /// on only where the stream began.
    pub(super) fn start_or_resume(
        &self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(resumed) = resumed_stream(&plan) else {
            self.start_or_queue(call, plan, now, actions);
            return;
        };
        let Some(first_attempt) = &resumed.first_attempt else {
            self.resume_unnamed(call, plan, now, actions);
            return;
        };
        let key = StreamKey::new(&plan.request.key.workspace, first_attempt);
        let known = lock(&self.stream_log).find(key, now);
        if let Some(record) = known {
            self.resume_at(call, plan, record.origin, now, actions);
            return;
        }
        let mut asked = lock(&self.fleet).asked_keepers(key);
        asked.retain(|vm| *vm != self.own_instance.vm);
        let mut pending = lock(&self.pending_streams);
        if asked.is_empty() || !pending.has_capacity() {
            drop(pending);
            self.refuse_unknown(call, &plan, !asked.is_empty(), now, actions);
            return;
        }
        let keepers = AskedKeepers { unanswered: asked.len(), has_failures: false };
        pending.insert(call, plan, keepers, now);
        drop(pending);
        for vm in asked {
            actions.push(ShardAction::Command(Command::FindStream { vm, call, key }));
        }
    }

    /// Handles the reply of a daemon that was asked where the stream of `call` began.
    pub(super) fn handle_origin_reply(
        &self,
        call: CallId,
        reply: OriginReply,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let is_failure = reply == OriginReply::Failed;
        match reply {
            OriginReply::Known(origin) => {
                let pending = lock(&self.pending_streams).remove(call);
                if let Some(pending) = pending {
                    self.resume_at(call, pending.plan, origin, now, actions);
                }
            }
            OriginReply::Unknown | OriginReply::Failed => {
                let pending = lock(&self.pending_streams).record_miss(call, is_failure);
                if let Some(pending) = pending {
                    self.refuse_unknown(
                        call,
                        &pending.plan,
                        pending.asked.has_failures,
                        now,
                        actions,
                    );
                }
            }
        }
    }

    /// Refuses the requests about whose streams nobody has replied.
    pub(super) fn expire_pending_streams(
        &self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let overdue = lock(&self.pending_streams).take_overdue(MAX_REPLY_WAIT, now);
        for (call, pending) in overdue {
            self.refuse_unknown(call, &pending.plan, true, now, actions);
        }
        lock(&self.stream_log).remove_expired(now);
    }

    /// Refuses the queued attempts whose streams began at versions that no upstream has any more.
    pub(super) fn refuse_gone_versions(&self, now: MonotonicTime, actions: &mut Vec<ShardAction>) {
        for request in self.router().take_without_version() {
            let refusal = (RefusalReason::NoUpstream, NO_VERSION_RETRY_AFTER);
            self.shard(request.call.0).handle_lasting_refusal(request.call, refusal, now, actions);
        }
    }

    /// Records the software versions in the list of upstreams, now and then.
    pub(super) fn record_versions(&self, now: MonotonicTime) {
        let directory = lock(&self.directory);
        let mut versions = lock(&self.versions);
        if !directory.directory.is_known() || !versions.is_due(now) {
            return;
        }
        let listed = directory.directory.entries();
        let listed = listed.map(|entry| (entry.pool.as_str(), entry.software_version.as_ref()));
        versions.record_list(listed, now);
    }

    /// Takes up a stream whose caller does not name its first attempt. It goes on if its pool has had
    /// a single version for as long as a request may last.
    fn resume_unnamed(
        &self,
        call: CallId,
        plan: RequestPlan,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let pool = forward_pool(&plan).to_owned();
        let span = plan.forward_rules().map_or(MAX_RECORD_TIME, |rules| rules.timeout);
        let listed_version = self.sole_version(&pool);
        let lasting_version = lock(&self.versions).sole_version(&pool, span, now).cloned();
        match listed_version.filter(|version| Some(version) == lasting_version.as_ref()) {
            Some(version) => {
                let origin = StreamOrigin { pool, software_version: Some(version) };
                self.resume_at(call, plan, origin, now, actions);
            }
            None => self.refuse_unknown(call, &plan, false, now, actions),
        }
    }

    /// Starts or queues a request whose stream began at `origin`, or refuses it if no upstream can go
    /// on with it.
    fn resume_at(
        &self,
        call: CallId,
        mut plan: RequestPlan,
        origin: StreamOrigin,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        plan.resume_at(origin);
        let is_servable = plan
            .stream_origin
            .as_ref()
            .is_some_and(|origin| self.router().has_version(forward_pool(&plan), &origin.into()));
        if is_servable {
            self.start_or_queue(call, plan, now, actions);
        } else {
            let refusal = (RefusalReason::NoUpstream, NO_VERSION_RETRY_AFTER);
            refuse_unstarted(call, &plan, refusal, actions);
        }
    }

    /// Refuses a request whose stream began at a version that is not known. `may_be_known` says
    /// whether a later try may find it.
    fn refuse_unknown(
        &self,
        call: CallId,
        plan: &RequestPlan,
        may_be_known: bool,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
    ) {
        let retry_after = if may_be_known { UNREACHED_RETRY_AFTER } else { plan.return_time(now) };
        actions.push(ShardAction::Command(Command::Count(CounterName::StreamsUnknown)));
        refuse_unstarted(call, plan, (RefusalReason::StreamUnknown, retry_after), actions);
    }

    /// Software version of all upstreams of `pool`. `None` if there are several or none, or if one is
    /// not known.
    fn sole_version(&self, pool: &str) -> Option<SoftwareVersion> {
        let mut versions = self.router().versions(pool);
        let directory = lock(&self.directory);
        let published = directory.directory.entries().filter(|entry| entry.pool == pool);
        versions.extend(published.map(|entry| entry.software_version.clone()));
        let version = versions.pop()?;
        versions.iter().all(|other| *other == version).then_some(version)?
    }
}

/// The stream that a request takes up, if its pipeline allows that.
fn resumed_stream(plan: &RequestPlan) -> Option<&ResumedStream> {
    let rules = plan.forward_rules()?;
    let resumed = plan.request.forward_head()?.resumed.as_ref();
    resumed.filter(|_| rules.repeat == RepeatRule::ResumableStream)
}

/// Pool of the forwarded step of a request. Empty if there is none.
fn forward_pool(plan: &RequestPlan) -> &str {
    let mut steps = plan.pipeline.plan.steps().iter();
    steps.find(|step| step.work == StepWork::Forward).map_or("", |step| step.stage.as_str())
}
