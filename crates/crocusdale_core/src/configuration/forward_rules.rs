use std::time::Duration;

use super::AllowedRegions;

/// Configuration of a pipeline whose last step forwards the request of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardRules {
    /// Conditions under which a failed request may be retried.
    pub repeat: RepeatRule,
    /// Maximum time until the caller gets an answer.
    pub timeout: Duration,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// Longest pause between two events of a stream for which the answer is on time. Zero if it is
    /// not declared.
    pub gap_target: Duration,
    /// Priority level of the requests, where 0 is the most urgent. A level of the workspace
    /// overrides it.
    pub level: u8,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Pools that serve the requests, with their weights.
    pub pools: Vec<WeightedPool>,
    /// Whether callers need no access key.
    pub public: bool,
    /// Regions in which the requests may be processed.
    pub allowed_regions: AllowedRegions,
}

/// Conditions under which a failed forwarded request may be sent to another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatRule {
    /// The request is idempotent and may always be repeated.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
    /// The answer is a stream of events. An interrupted stream can't be resumed.
    Stream,
    /// The answer is a stream of events. Another upstream can resume an interrupted stream after
    /// the last event.
    ResumableStream,
}

impl RepeatRule {
    /// Whether the request may be run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::ResumableStream => true,
            Self::AtMostOnce | Self::Stream => false,
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        match self {
            Self::Stream | Self::ResumableStream => true,
            Self::Idempotent | Self::AtMostOnce => false,
        }
    }
}

/// Pool and its weight in the distribution of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedPool {
    /// Name of the pool, which is also the name of a stage.
    pub pool: String,
    /// Weight of the pool relative to the sum of all weights.
    pub weight: u32,
}

/// Properties of the upstreams in a pool that computes pieces of several requests in one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchRules {
    /// Number of calls that one upstream runs concurrently.
    pub slots: u32,
    /// Maximum number of pieces in one call.
    pub pieces: u32,
    /// Fixed part of the duration of a call.
    pub call_time: Duration,
    /// Approximate time that each piece adds to the duration of a call.
    pub piece_time: Duration,
    /// Memory for results in one upstream, in bytes.
    pub result_bytes: u64,
    /// Time after which an upstream drops a result that was not released.
    pub result_lifetime: Duration,
}

impl BatchRules {
    /// Expected duration of a call with `pieces` pieces.
    #[must_use]
    pub fn expected(&self, pieces: u32) -> Duration {
        self.call_time + self.piece_time * pieces
    }
}

/// Properties of the model engines in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRules {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Number of tokens in the KV cache of one engine, for running requests and cached prompt
    /// prefixes.
    pub token_memory: u64,
}

/// Cold start of the upstreams in a pool, during which they accept fewer requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRules {
    /// Duration of the cold start.
    pub duration: Duration,
    /// Number of requests per second that an upstream accepts during its cold start, from all
    /// daemons together.
    pub requests_per_s: f64,
}

/// Kind of calls that the upstreams of a pool accept.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum PoolKind {
    /// Each call runs one request.
    #[default]
    Plain,
    /// Each call computes pieces of several requests.
    Batch(BatchRules),
    /// Each call runs one request on a model engine, which caches prompt prefixes.
    Engine(EngineRules),
}
