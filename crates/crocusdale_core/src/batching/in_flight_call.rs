use std::net::SocketAddr;

use super::{BatchOutcome, ItemOutcome};
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::ResultHandle;

/// A call that has not ended.
#[derive(Debug)]
pub(super) struct OpenBatch {
    pub(super) upstream: String,
    pub(super) address: SocketAddr,
    /// When it began, unless this process was paused since.
    pub(super) since: Option<MonotonicTime>,
    pub(super) lost_at: MonotonicTime,
    /// Memory that is kept for the results, in bytes.
    pub(super) bytes: u64,
    /// Job and piece of each item.
    pub(super) items: Vec<(AttemptId, u32)>,
}

/// Results that a call made.
pub(super) fn made_by(outcome: BatchOutcome) -> Vec<ResultHandle> {
    let BatchOutcome::Answered(items) = outcome else { return Vec::new() };
    let made = items.into_iter().filter_map(|item| match item {
        ItemOutcome::Made(handle) => Some(handle),
        _ => None,
    });
    made.collect()
}
