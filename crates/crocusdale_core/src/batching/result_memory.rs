use std::collections::HashMap;
use std::time::Duration;

use crate::configuration::BatchRules;
use crate::identity::MonotonicTime;
use crate::pipeline::ResultHandle;

/// Usable share of an upstream's memory for results. The rest is a reserve, because declared result
/// sizes are approximate.
const USABLE_SHARE: f64 = 0.9;
/// Time for which calls wait for the answer to a query of the free memory: several round trips
/// between availability zones, and a fifth of a call's duration.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Minimum time between two queries while results of other dispatchers occupy memory. These are
/// freed one by one.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);

/// Accounting of one upstream's memory for results, at the dispatcher.
///
/// Guards against calls whose results do not fit: the pieces would come back unprocessed after the
/// whole duration of the call. A dispatcher accounts for the results of its own calls, and queries
/// the upstream for the memory that results of the previous dispatcher occupy.
#[derive(Debug, Default)]
pub(super) struct ResultMemory {
    /// Memory reserved for the results of calls in flight, in bytes.
    reserved_bytes: u64,
    /// Results of this dispatcher's calls, with their size in bytes and the time at which the
    /// upstream drops them.
    own_results: HashMap<ResultHandle, (u64, MonotonicTime)>,
    /// Memory occupied by results of other dispatchers, in bytes, and the time by which all of them
    /// have expired. `None` if there are none.
    others_memory: Option<(u64, MonotonicTime)>,
    /// Whether the free memory is unknown, so that the upstream must be queried.
    is_unverified: bool,
    /// Time of the last query.
    queried_at: Option<MonotonicTime>,
}

impl ResultMemory {
    /// Memory available for new results, in bytes.
    pub(super) fn free_bytes(&self, rules: &BatchRules) -> u64 {
        let own_bytes: u64 = self.own_results.values().map(|(bytes, _)| bytes).sum();
        let others_bytes = self.others_memory.map_or(0, |(bytes, _)| bytes);
        let usable_bytes = (rules.result_bytes as f64 * USABLE_SHARE) as u64;
        usable_bytes.saturating_sub(own_bytes + self.reserved_bytes + others_bytes)
    }

    /// Reserves memory for the results of a call.
    pub(super) fn reserve(&mut self, bytes: u64) {
        self.reserved_bytes += bytes;
    }

    /// Releases the reservation of a call that has ended.
    pub(super) fn release_reservation(&mut self, bytes: u64) {
        self.reserved_bytes = self.reserved_bytes.saturating_sub(bytes);
    }

    /// Adds a result of `bytes` bytes, which occupies memory until it is freed or the upstream
    /// drops it at `expires_at`.
    pub(super) fn add_result(
        &mut self,
        result: ResultHandle,
        bytes: u64,
        expires_at: MonotonicTime,
    ) {
        self.own_results.insert(result, (bytes, expires_at));
    }

    /// Removes a result that has been freed.
    pub(super) fn remove_result(&mut self, result: &ResultHandle) {
        self.own_results.remove(result);
    }

    /// Removes results that have expired.
    pub(super) fn remove_expired(&mut self, now: MonotonicTime) {
        self.own_results.retain(|_, (_, expires_at)| now < *expires_at);
        self.others_memory = self.others_memory.filter(|(_, expires_at)| now < *expires_at);
    }

    /// Marks the free memory as unknown, because another dispatcher may have stored results at the
    /// upstream.
    pub(super) fn mark_unverified(&mut self) {
        self.is_unverified = true;
        self.queried_at = None;
    }

    /// Returns whether the upstream must be queried for its free memory now, and if so records the
    /// query.
    pub(super) fn try_start_query(&mut self, now: MonotonicTime) -> bool {
        let needs_query = self.is_unverified || self.others_memory.is_some();
        let is_due =
            self.queried_at.is_none_or(|queried_at| now.since(queried_at) >= QUERY_INTERVAL);
        if needs_query && is_due {
            self.queried_at = Some(now);
        }
        needs_query && is_due
    }

    /// Whether calls should wait for the answer to a query.
    pub(super) fn is_awaiting_answer(&self, now: MonotonicTime) -> bool {
        self.is_unverified
            && self.queried_at.is_none_or(|queried_at| now.since(queried_at) < ANSWER_TIMEOUT)
    }

    /// Records that `free_bytes` bytes are free at the upstream, or `None` if it did not answer.
    /// Without an answer, its memory counts as empty, as it did before the query.
    ///
    /// Results of other dispatchers only become fewer. A later answer that implies more has counted
    /// results of this dispatcher that were stored in the meantime.
    pub(super) fn record_free_bytes(
        &mut self,
        free_bytes: Option<u64>,
        rules: &BatchRules,
        now: MonotonicTime,
    ) {
        let is_first_answer = std::mem::take(&mut self.is_unverified);
        let Some(free_bytes) = free_bytes else { return };
        let own_bytes: u64 = self.own_results.values().map(|(bytes, _)| bytes).sum();
        // Results occupy memory from the start of their call.
        let accounted_bytes = own_bytes + self.reserved_bytes;
        let others_bytes =
            rules.result_bytes.saturating_sub(free_bytes).saturating_sub(accounted_bytes);
        self.others_memory = match self.others_memory {
            None if is_first_answer => Some((others_bytes, now + rules.result_lifetime)),
            known => known.map(|(bytes, expires_at)| (bytes.min(others_bytes), expires_at)),
        };
        self.others_memory = self.others_memory.filter(|(bytes, _)| *bytes > 0);
    }
}
