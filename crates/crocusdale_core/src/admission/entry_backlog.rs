use std::collections::BTreeMap;

use crate::identity::{CallId, MonotonicTime, RequestDigest};
use crate::pipeline::RequestPlan;

/// Requests that can't be in time, in the order in which they begin once there is room: the most
/// urgent priority first, then whoever has the least time left.
///
/// Guards against late requests that take the place of those that can be in time, and against work for
/// requests that never end: in a burst that is longer than the deadlines, all answers would be late.
#[derive(Debug, Default)]
pub struct EntryBacklog {
    waiting: BTreeMap<(u8, MonotonicTime, CallId), RequestPlan>,
}

/// Whether a request may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EntryVerdict {
    /// It can be in time.
    InTime,
    /// It can only be late, and there is room for it.
    LateWithRoom,
    /// It can only be late, and would be in the way of others.
    Late,
    /// It can't be answered before its deadline.
    Unservable,
}

impl EntryBacklog {
    /// Lets the request of `call` wait.
    pub fn wait(&mut self, call: CallId, plan: RequestPlan) {
        self.waiting.insert((plan.level, plan.deadline, call), plan);
    }

    /// Takes the request of `call` out.
    pub fn withdraw(&mut self, call: CallId) -> Option<RequestPlan> {
        let rank = *self.waiting.keys().find(|(_, _, waiting)| *waiting == call)?;
        self.waiting.remove(&rank)
    }

    /// Takes out the requests that need not wait any longer by `judge`, with its verdicts. Of those
    /// that are late with room, at most `late` are taken.
    pub fn take(
        &mut self,
        late: usize,
        mut judge: impl FnMut(&RequestPlan) -> EntryVerdict,
    ) -> Vec<(CallId, RequestPlan, EntryVerdict)> {
        let mut late_left = late;
        let mut ranks = Vec::new();
        for (rank, plan) in &self.waiting {
            let verdict = judge(plan);
            let taken = match verdict {
                EntryVerdict::InTime | EntryVerdict::Unservable => true,
                EntryVerdict::LateWithRoom if late_left > 0 => {
                    late_left -= 1;
                    true
                }
                EntryVerdict::LateWithRoom | EntryVerdict::Late => false,
            };
            if taken {
                ranks.push((*rank, verdict));
            }
        }
        let take = |(rank, verdict): ((u8, MonotonicTime, CallId), EntryVerdict)| {
            let plan = self.waiting.remove(&rank)?;
            Some((rank.2, plan, verdict))
        };
        ranks.into_iter().filter_map(take).collect()
    }

    /// Takes the requests out that are like `digest`.
    pub fn take_like(&mut self, digest: RequestDigest) -> Vec<(CallId, RequestPlan)> {
        let like = self.waiting.extract_if(.., |_, plan| plan.digest == digest);
        like.map(|((_, _, call), plan)| (call, plan)).collect()
    }

    /// Takes all requests out.
    pub fn take_all(&mut self) -> Vec<(CallId, RequestPlan)> {
        let all = std::mem::take(&mut self.waiting);
        all.into_iter().map(|((_, _, call), plan)| (call, plan)).collect()
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
