use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crocusdale_core::batching::{BatchId, BatchItem, BatchOrder, ItemOutcome};
use crocusdale_core::configuration::BatchRules;
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::pipeline::{PieceSource, ResultHandle};

/// Calls that wait at an upstream before it refuses more.
const QUEUE: usize = 2;

/// A call with the life of the daemon that sent it.
#[derive(Debug)]
pub(super) struct SentCall {
    pub(super) life: u64,
    pub(super) order: BatchOrder,
}

/// What a piece costs an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct PieceCost {
    /// Its time against the pool's.
    pub(super) work: f64,
    /// Size of its result, in bytes.
    pub(super) bytes: u64,
}

/// One upstream of a batched pool: one call at a time, and memory for results.
#[derive(Debug)]
pub(super) struct BatchModel {
    name: String,
    pub(super) zone: usize,
    rules: BatchRules,
    /// Calls; the first is worked on.
    calls: VecDeque<SentCall>,
    results: HashMap<ResultHandle, (u64, MonotonicTime)>,
    /// What becomes of the pieces of the call that is worked on.
    outcomes: Vec<ItemOutcome>,
    made: u64,
    /// Multiple of the declared times that its calls take.
    pub(super) slowness: f64,
}

impl BatchModel {
    pub(super) fn new(name: &str, zone: usize, rules: BatchRules) -> Self {
        Self {
            name: name.to_owned(),
            zone,
            rules,
            calls: VecDeque::new(),
            results: HashMap::new(),
            outcomes: Vec::new(),
            made: 0,
            slowness: 1.0,
        }
    }

    /// Takes a call, or gives it back if too many wait; says whether it is worked on at once.
    pub(super) fn take(&mut self, call: SentCall) -> Result<bool, Box<SentCall>> {
        if self.calls.len() > QUEUE {
            return Err(Box::new(call));
        }
        self.calls.push_back(call);
        Ok(self.calls.len() == 1)
    }

    /// Begins the first call: its inputs are fetched and its results take their memory now. Returns
    /// how long it takes. `has` says whether a result that a piece needs is there.
    pub(super) fn begin_call(
        &mut self,
        now: MonotonicTime,
        cost: impl Fn(&str, u32) -> PieceCost,
        has: impl Fn(&ResultHandle) -> bool,
    ) -> Option<Duration> {
        self.results.retain(|_, (_, until)| now < *until);
        let call = self.calls.front()?;
        let works = call.order.items.iter().map(|item| cost(&item.request, item.step).work);
        let pieces = self.rules.piece_time.mul_f64(works.sum());
        let time = (self.rules.call_time + pieces).mul_f64(self.slowness);
        let items = call.order.items.clone();
        for item in &items {
            let inputs = match &item.source {
                PieceSource::Caller(_) => true,
                PieceSource::Results(handles) => handles.iter().all(&has),
            };
            let bytes = cost(&item.request, item.step).bytes;
            self.outcomes.push(if !inputs {
                ItemOutcome::InputGone
            } else if now >= item.expires {
                ItemOutcome::Late
            } else if self.held() + bytes > self.rules.result_bytes {
                ItemOutcome::NoRoom
            } else {
                self.made += 1;
                let handle = ResultHandle::new(&format!("{}/{}", self.name, self.made));
                let lapses = now + time + self.rules.result_lifetime;
                self.results.insert(handle.clone(), (bytes, lapses));
                ItemOutcome::Made(handle)
            });
        }
        Some(time)
    }

    /// Pieces of the call that is worked on.
    pub(super) fn items(&self) -> &[BatchItem] {
        self.calls.front().map_or(&[], |call| &call.order.items)
    }

    /// Ends the call that is worked on.
    pub(super) fn end_call(&mut self) -> Option<(SentCall, Vec<ItemOutcome>)> {
        let call = self.calls.pop_front()?;
        Some((call, std::mem::take(&mut self.outcomes)))
    }

    /// Drops a call that waits; one that is worked on goes on.
    pub(super) fn cancel(&mut self, life: u64, batch: BatchId) {
        let mut position = 0;
        self.calls.retain(|call| {
            position += 1;
            position == 1 || (call.life, call.order.batch) != (life, batch)
        });
    }

    /// Whether a result is there.
    pub(super) fn has(&self, handle: &ResultHandle, now: MonotonicTime) -> bool {
        self.results.get(handle).is_some_and(|(_, until)| now < *until)
    }

    /// Size of a result in bytes, if it is there.
    pub(super) fn bytes_of(&self, handle: &ResultHandle) -> Option<u64> {
        self.results.get(handle).map(|(bytes, _)| *bytes)
    }

    /// Gives up a result.
    pub(super) fn free(&mut self, handle: &ResultHandle) {
        self.results.remove(handle);
    }

    /// Free memory, in bytes.
    pub(super) fn free_bytes(&self) -> u64 {
        self.rules.result_bytes.saturating_sub(self.held())
    }

    fn held(&self) -> u64 {
        self.results.values().map(|(bytes, _)| bytes).sum()
    }
}

/// Name of the upstream that holds a result.
pub(super) fn holder(handle: &ResultHandle) -> &str {
    handle.as_str().split('/').next().unwrap_or_default()
}
