use std::collections::BTreeMap;
use std::sync::Mutex;

use crocusdale_core::daemon::CounterName;
use crocusdale_core::sync::lock;
use crocusdale_platform::store::StoreError;
use slog::warn;

use crate::telemetry::Telemetry;

/// Maximum number of unreadable items that are remembered and logged after one read. A single
/// faulty writer has fewer items.
const MAX_LOGGED_ITEMS: usize = 64;

/// Items of the store that could not be parsed in its last full read.
///
/// The store is read twice a second. Each fault is logged and counted once, and again only if it
/// changes or comes back after a read without it. Without this the log would fill with repeats.
#[derive(Debug, Default)]
pub(super) struct UnreadableItems {
    /// Cause of each fault by the key of its item.
    known: Mutex<BTreeMap<String, String>>,
}

impl UnreadableItems {
    /// Logs and counts the new faults among all `faults` of one full read.
    pub(super) fn log_new_faults(&self, telemetry: &Telemetry, faults: Vec<StoreError>) {
        let mut known = lock(&self.known);
        let mut current = BTreeMap::new();
        let unlogged_count = faults.len().saturating_sub(MAX_LOGGED_ITEMS);
        for StoreError { key, cause } in faults.into_iter().take(MAX_LOGGED_ITEMS) {
            if known.get(&key) != Some(&cause) {
                telemetry.count(CounterName::StoreItemsUnreadable);
                warn!(telemetry.log, "store_item_unreadable";
                    "item" => &key, "cause" => &cause, "not_shown" => unlogged_count);
            }
            current.insert(key, cause);
        }
        *known = current;
    }
}
