use super::PlacementRequest;
use super::placed_engine::PlacedEngine;
use crate::configuration::EngineRules;
use crate::identity::MonotonicTime;

/// Cost that each running request adds to the time to a first event, in prompt tokens. A running
/// request slows every decoding step by about the time to process a few prompt tokens.
const RUNNING_REQUEST_TOKENS: f64 = 128.0;
/// Shortest expected time to a first event, in milliseconds. Ratios to it stay finite.
const MIN_USUAL_MS: f64 = 1.0;
/// Cost of fetching large inputs from another availability zone, in milliseconds.
const ZONE_FETCH_MS: f64 = 60.0;
/// Size of inputs from which fetching them from another zone has that cost, in bytes.
const LARGE_INPUT_BYTES: u64 = 200_000;

/// Expected time to the first event of a request at one engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct CostEstimate {
    /// Prompt tokens of the request that the engine has to process.
    pub(super) own_tokens: u64,
    /// Tokens before and of the request, including the cost of the running requests.
    pub(super) total_tokens: f64,
    /// Time at an engine of usual speed, in milliseconds, without a wait for a slot.
    pub(super) usual_ms: f64,
    /// Learned speed of the engine.
    pub(super) speed: f64,
    /// Wait for a slot or for memory, in milliseconds.
    pub(super) wait_ms: f64,
    /// Time with all of these, and with the fetch of inputs from another zone.
    pub(super) cost_ms: f64,
}

/// Times at an engine of usual speed, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsualTimes {
    pub(super) rules: EngineRules,
    pub(super) fixed_ms: f64,
    pub(super) token_ms: f64,
    /// Duration of a whole request.
    pub(super) request_ms: f64,
    /// Recent mean ratio of the observed to the expected time to the first event.
    pub(super) mean_ratio: f64,
}

impl CostEstimate {
    /// Estimates the time to the first event of `request` at `engine`.
    pub(super) fn new(
        engine: &PlacedEngine,
        request: &PlacementRequest,
        UsualTimes { rules, fixed_ms, token_ms, request_ms, mean_ratio }: UsualTimes,
        now: MonotonicTime,
    ) -> Self {
        let speed = engine.speed.ratio(now);
        let ratio = speed.max(engine.queue.overdue_ratio(now) / mean_ratio);
        let cached = engine.cache.cached_tokens(&request.shared_parts, now);
        let own_tokens = request.prompt_tokens.saturating_sub(cached);
        let running = engine.queue.running_count() as f64 * RUNNING_REQUEST_TOKENS;
        let queued = engine.queue.queued_tokens(token_ms * ratio, now);
        let total_tokens = queued + own_tokens as f64 + running;
        let usual_ms = (fixed_ms + total_tokens * token_ms).max(MIN_USUAL_MS);
        let new_tokens = unshared_tokens(request);
        let limits = (rules.slots, rules.token_memory);
        let wait_ms = engine.queue.wait_ms(limits, new_tokens, request_ms * ratio, now);
        let is_far = request.input_bytes >= LARGE_INPUT_BYTES
            && request.input_zone.as_ref().is_some_and(|zone| *zone != engine.zone);
        let fetch_ms = if is_far { ZONE_FETCH_MS } else { 0.0 };
        let cost_ms = usual_ms * ratio + wait_ms + fetch_ms;
        Self { own_tokens, total_tokens, usual_ms, speed, wait_ms, cost_ms }
    }
}

/// Tokens of memory that a request holds in addition to the shared parts of its prompt, which the
/// engine keeps once for all requests.
pub(super) fn unshared_tokens(request: &PlacementRequest) -> u64 {
    let shared: u64 = request.shared_parts.iter().map(|part| u64::from(part.tokens)).sum();
    request.prompt_tokens.saturating_sub(shared) + request.output_tokens
}
