use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time that a report of a first event takes to arrive: reports are coalesced for 20 ms, and cross
/// the network. Before it has passed, the absence of a report says nothing about an engine.
const REPORT_DELAY: Duration = Duration::from_millis(40);
/// Limit on the ratio of an overdue engine. A lost report looks like an overdue first event until
/// the deadline of its request.
const MAX_OVERDUE_RATIO: f64 = 6.0;

/// Open requests of all daemons at one engine, in the order in which they were placed.
#[derive(Debug, Default)]
pub struct EngineQueue {
    open: BTreeMap<u64, OpenRequest>,
    /// Requests without a first event.
    prefilling: BTreeMap<u64, Prefill>,
    queued_tokens: u64,
    held_tokens: u64,
    /// Time since which the engine has processed the prompt of the first request of `prefilling`.
    prefill_since: MonotonicTime,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    placed_at: MonotonicTime,
    held_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Prefill {
    placed_at: MonotonicTime,
    tokens: u64,
    /// Expected time to the first event at an engine of usual speed, in milliseconds.
    expected_ms: f64,
}

impl EngineQueue {
    /// Adds a request with `tokens` prompt tokens to process, which holds `held_tokens` tokens of
    /// memory. Requests are numbered in ascending order.
    pub fn add(
        &mut self,
        number: u64,
        (tokens, held_tokens): (u64, u64),
        expected_ms: f64,
        now: MonotonicTime,
    ) {
        if self.prefilling.is_empty() {
            self.prefill_since = now;
        }
        self.open.insert(number, OpenRequest { placed_at: now, held_tokens });
        self.prefilling.insert(number, Prefill { placed_at: now, tokens, expected_ms });
        self.queued_tokens += tokens;
        self.held_tokens += held_tokens;
    }

    /// Records the first event of a request: the engine has processed its prompt.
    pub fn finish_prefill(&mut self, number: u64, now: MonotonicTime) {
        if let Some(prefill) = self.prefilling.remove(&number) {
            self.queued_tokens -= prefill.tokens;
            self.prefill_since = now;
        }
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, number: u64, now: MonotonicTime) {
        self.finish_prefill(number, now);
        if let Some(open) = self.open.remove(&number) {
            self.held_tokens -= open.held_tokens;
        }
    }

    /// Number of open requests.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Number of open requests whose answer has begun.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.open.len() - self.prefilling.len()
    }

    /// Tokens of memory that the open requests hold.
    #[must_use]
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// Prompt tokens that are still to be processed, if the engine needs `token_ms` milliseconds
    /// for each.
    #[must_use]
    pub fn queued_tokens(&self, token_ms: f64, now: MonotonicTime) -> f64 {
        let Some((_, first)) = self.prefilling.first_key_value() else { return 0.0 };
        let elapsed_ms = now.since(self.prefill_since).as_secs_f64() * 1e3;
        let processed = if token_ms > 0.0 { elapsed_ms / token_ms } else { 0.0 };
        self.queued_tokens as f64 - processed.min(first.tokens as f64)
    }

    /// Ratio of the time for which the first event of the oldest request has been awaited to its
    /// expected time at an engine of usual speed.
    ///
    /// Guards against an engine that has stopped: it sends no event from which its speed could be
    /// learned.
    #[must_use]
    pub fn overdue_ratio(&self, now: MonotonicTime) -> f64 {
        let Some((_, oldest)) = self.prefilling.first_key_value() else { return 0.0 };
        let awaited_since = oldest.placed_at.max(self.prefill_since);
        let awaited = now.since(awaited_since).saturating_sub(REPORT_DELAY);
        let ratio = awaited.as_secs_f64() * 1e3 / oldest.expected_ms.max(1.0);
        ratio.min(MAX_OVERDUE_RATIO)
    }

    /// Ratio of the time for which the first event of the request `number` has been awaited to its
    /// expected time at an engine of usual speed. `None` if the event has come.
    #[must_use]
    pub fn awaited_ratio(&self, number: u64, now: MonotonicTime) -> Option<f64> {
        let prefill = self.prefilling.get(&number)?;
        let awaited_ms = now.since(prefill.placed_at).as_secs_f64() * 1e3;
        Some(awaited_ms / prefill.expected_ms.max(1.0))
    }

    /// Expected wait of a new request until enough open requests have ended, in milliseconds, if
    /// each request runs for `request_ms`, and the engine has `slots` slots and `token_memory`
    /// tokens of memory. Zero if it has room for `new_tokens` more tokens now.
    #[must_use]
    pub fn wait_ms(
        &self,
        (slots, token_memory): (u32, u64),
        new_tokens: u64,
        request_ms: f64,
        now: MonotonicTime,
    ) -> f64 {
        let excess = (self.open.len() + 1).saturating_sub(slots as usize);
        let is_memory_full = self.held_tokens + new_tokens > token_memory;
        let Some((_, oldest)) = self.open.first_key_value() else { return 0.0 };
        if excess == 0 && !is_memory_full {
            return 0.0;
        }
        let elapsed_ms = now.since(oldest.placed_at).as_secs_f64() * 1e3;
        let interval_ms = request_ms / f64::from(slots.max(1));
        let first_end_ms = (request_ms - elapsed_ms).max(interval_ms);
        first_end_ms + excess.saturating_sub(1) as f64 * interval_ms
    }
}
