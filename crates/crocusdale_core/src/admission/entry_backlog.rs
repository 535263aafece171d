use std::collections::BTreeMap;

use crate::identity::{CallId, MonotonicTime};
use crate::pipeline::RequestPlan;

/// Queue of requests that cannot meet their latency objective. They start once there is spare
/// capacity: by priority level, then by earliest deadline.
///
/// Guards against late requests that displace those which can still be in time. Also guards against
/// work on requests that miss their deadline anyway: in a burst longer than the deadlines, every
/// answer would be late.
#[derive(Debug, Default)]
pub struct EntryBacklog {
    waiting: BTreeMap<(u8, MonotonicTime, CallId), RequestPlan>,
    /// Requests that start at a time that their admission coordinator has set.
    scheduled: BTreeMap<(MonotonicTime, CallId), RequestPlan>,
}

/// Admission decision for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EntryVerdict {
    /// The request can meet its latency objective, so it starts.
    InTime,
    /// The request will miss its latency objective, but there is spare capacity to run it.
    #[strum(serialize = "late_with_room")]
    LateWithCapacity,
    /// The request will miss its latency objective and would delay others, so it waits.
    Late,
    /// The request cannot be answered before its deadline, so it is refused.
    Unservable,
}

impl EntryBacklog {
    /// Queues the request of `call`.
    pub fn push(&mut self, call: CallId, plan: RequestPlan) {
        self.waiting.insert((plan.level, plan.first_event_deadline, call), plan);
    }

    /// Queues the request of `call`, which starts at `start`.
    pub fn push_scheduled(&mut self, call: CallId, plan: RequestPlan, start: MonotonicTime) {
        self.scheduled.insert((start, call), plan);
    }

    /// Removes the scheduled requests whose start has come, earliest first.
    pub fn take_scheduled(&mut self, now: MonotonicTime) -> Vec<(CallId, RequestPlan)> {
        let due = self.scheduled.extract_if(.., |(start, _), _| *start <= now);
        due.map(|((_, call), plan)| (call, plan)).collect()
    }

    /// Removes the request of `call` from the queue and returns its plan, or `None` if it is not
    /// queued.
    pub fn remove(&mut self, call: CallId) -> Option<RequestPlan> {
        if let Some(key) = self.scheduled.keys().find(|(_, waiting)| *waiting == call).copied() {
            return self.scheduled.remove(&key);
        }
        let key = *self.waiting.keys().find(|(_, _, waiting)| *waiting == call)?;
        self.waiting.remove(&key)
    }

    /// Removes the requests that need not wait any longer according to `decide`, and returns each
    /// with its verdict. At most `max_late` requests with the verdict
    /// [`EntryVerdict::LateWithCapacity`] are removed.
    pub fn take_ready(
        &mut self,
        max_late: usize,
        mut decide: impl FnMut(&RequestPlan) -> EntryVerdict,
    ) -> Vec<(CallId, RequestPlan, EntryVerdict)> {
        let mut late_left = max_late;
        let mut ready = Vec::new();
        for (key, plan) in &self.waiting {
            let verdict = decide(plan);
            let is_ready = match verdict {
                EntryVerdict::InTime | EntryVerdict::Unservable => true,
                EntryVerdict::LateWithCapacity if late_left > 0 => {
                    late_left -= 1;
                    true
                }
                EntryVerdict::LateWithCapacity | EntryVerdict::Late => false,
            };
            if is_ready {
                ready.push((*key, verdict));
            }
        }
        let remove = |(key, verdict): ((u8, MonotonicTime, CallId), EntryVerdict)| {
            let plan = self.waiting.remove(&key)?;
            Some((key.2, plan, verdict))
        };
        ready.into_iter().filter_map(remove).collect()
    }

    /// Removes all requests that `is_matching` selects.
    pub fn take_matching(
        &mut self,
        is_matching: impl Fn(&RequestPlan) -> bool,
    ) -> Vec<(CallId, RequestPlan)> {
        let matching = self.waiting.extract_if(.., |_, plan| is_matching(plan));
        let matching = matching.map(|((_, _, call), plan)| (call, plan));
        let scheduled = self.scheduled.extract_if(.., |_, plan| is_matching(plan));
        matching.chain(scheduled.map(|((_, call), plan)| (call, plan))).collect()
    }

    /// Removes all requests.
    pub fn take_all(&mut self) -> Vec<(CallId, RequestPlan)> {
        let all = std::mem::take(&mut self.waiting);
        let all = all.into_iter().map(|((_, _, call), plan)| (call, plan));
        let scheduled = std::mem::take(&mut self.scheduled);
        all.chain(scheduled.into_iter().map(|((_, call), plan)| (call, plan))).collect()
    }

    /// Number of requests in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len() + self.scheduled.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.scheduled.is_empty()
    }
}
