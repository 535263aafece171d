use std::time::Duration;

use super::HomeRegions;

/// What holds for a pipeline that ends in a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardRules {
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which the answer, or the first event of a stream, should come.
    pub objective: Duration,
    /// Priority level, 0 is the most urgent; that of the workspace goes first.
    pub level: u8,
    /// Upstreams to which one request may be sent.
    pub attempts: u32,
    /// Pools that serve the request, with their shares.
    pub pools: Vec<WeightedPool>,
    /// Whether a request needs no access key.
    pub public: bool,
    /// Regions in which it may be worked on.
    pub homes: HomeRegions,
}

/// What may be repeated of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatRule {
    /// All of it: the request is idempotent.
    Idempotent,
    /// None of it: it runs at most once.
    AtMostOnce,
    /// The answer is a stream of events, and can't be taken up again.
    Stream,
    /// The answer is a stream of events, and another upstream may go on after the last event.
    ResumableStream,
}

impl RepeatRule {
    /// Whether the request may run more than once.
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

/// A pool with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedPool {
    /// The pool, which is the name of a stage.
    pub pool: String,
    /// Its share, against the sum of all shares.
    pub weight: u32,
}

/// What the upstreams of a pool are like that work on pieces of requests in shared calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchRules {
    /// Calls that one upstream works on at one time.
    pub slots: u32,
    /// Pieces that one call may hold.
    pub pieces: u32,
    /// Time that each call takes.
    pub call_time: Duration,
    /// Time that each piece adds, roughly.
    pub piece_time: Duration,
    /// Memory of one upstream for results, in bytes.
    pub result_bytes: u64,
    /// Time after which a result that nobody gave up is dropped.
    pub result_life: Duration,
}

impl BatchRules {
    /// Time that a call with `pieces` pieces should take.
    #[must_use]
    pub fn expected(&self, pieces: u32) -> Duration {
        self.call_time + self.piece_time * pieces
    }
}

/// What the model engines of a pool are like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRules {
    /// Requests that one engine runs at one time.
    pub slots: u32,
    /// Tokens that one engine holds, for running requests and cached prompt parts.
    pub token_memory: u64,
}

/// How the upstreams of a pool start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRules {
    /// Time for which an upstream is cold after its start.
    pub lasts: Duration,
    /// Requests a second that it takes meanwhile, of all daemons together.
    pub requests_per_s: f64,
}

/// How the upstreams of a pool take work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum PoolKind {
    /// One request a call.
    #[default]
    Plain,
    /// Pieces of several requests a call.
    Batch(BatchRules),
    /// Model engines, which keep prompt parts.
    Engine(EngineRules),
}
