use std::net::SocketAddr;

use super::{BatchOutcome, ItemOutcome};
use crate::identity::{AttemptId, MonotonicTime};
use crate::pipeline::ResultHandle;

/// A batch call that has been sent and has not ended.
#[derive(Debug)]
pub(super) struct InFlightCall {
    /// Name of the upstream.
    pub(super) upstream: String,
    /// Address at which the upstream listens.
    pub(super) address: SocketAddr,
    /// Start of the call. `None` if this process was paused since then, because the duration of the
    /// call can no longer be measured.
    pub(super) started_at: Option<MonotonicTime>,
    /// Time at which the call counts as lost if it has not ended.
    pub(super) lost_at: MonotonicTime,
    /// Memory reserved for the results, in bytes.
    pub(super) reserved_bytes: u64,
    /// Attempt and piece index of each item, in the order of the call.
    pub(super) items: Vec<(AttemptId, u32)>,
}

/// Handles of all results that a call produced.
pub(super) fn produced_results(outcome: BatchOutcome) -> Vec<ResultHandle> {
    let BatchOutcome::Answered(items) = outcome else { return Vec::new() };
    let handles = items.into_iter().filter_map(|item| match item {
        ItemOutcome::Made(handle) => Some(handle),
        _ => None,
    });
    handles.collect()
}
