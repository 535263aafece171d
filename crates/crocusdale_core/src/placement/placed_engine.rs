use std::sync::Arc;
use std::time::Duration;

use super::{EngineInfo, EngineQueue, EngineSpeed, PromptCache};
use crate::identity::{MonotonicTime, SoftwareVersion};

/// Time for which an engine that declined a request gets no more.
const DECLINED_BACKOFF: Duration = Duration::from_millis(100);
/// Number of consecutive failures from which an engine gets no requests for a while.
const EJECTION_FAILURES: u32 = 3;
/// Time for which an engine gets no requests after consecutive failures. It doubles with each
/// further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Limit on the doublings of the time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// State of one engine at its placement coordinator.
#[derive(Debug)]
pub(super) struct PlacedEngine {
    pub(super) name: Arc<str>,
    pub(super) zone: String,
    pub(super) region: Option<String>,
    pub(super) software_version: Option<SoftwareVersion>,
    pub(super) queue: EngineQueue,
    pub(super) cache: PromptCache,
    pub(super) speed: EngineSpeed,
    consecutive_failures: u32,
    excluded_until: MonotonicTime,
}

impl PlacedEngine {
    pub(super) fn new(info: EngineInfo) -> Self {
        Self {
            name: info.name.into(),
            zone: info.zone,
            region: info.region,
            software_version: info.software_version,
            queue: EngineQueue::default(),
            cache: PromptCache::default(),
            speed: EngineSpeed::default(),
            consecutive_failures: 0,
            excluded_until: MonotonicTime::default(),
        }
    }

    /// Whether the engine gets no requests because of recent failures.
    pub(super) fn is_excluded(&self, now: MonotonicTime) -> bool {
        now < self.excluded_until
    }

    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    pub(super) fn record_declined(&mut self, now: MonotonicTime) {
        self.excluded_until = self.excluded_until.max(now + DECLINED_BACKOFF);
    }

    /// Records a failure.
    ///
    /// Guards against an engine that fails fast: it always has an empty queue, and would attract
    /// the requests of all daemons.
    pub(super) fn record_failure(&mut self, now: MonotonicTime) {
        self.consecutive_failures += 1;
        if let Some(doublings) = self.consecutive_failures.checked_sub(EJECTION_FAILURES) {
            let ejection = FIRST_EJECTION * 2_u32.pow(doublings.min(MAX_EJECTION_DOUBLINGS));
            self.excluded_until = self.excluded_until.max(now + ejection);
        }
    }
}
