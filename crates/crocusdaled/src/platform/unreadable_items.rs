use std::collections::BTreeMap;
use std::sync::Mutex;

use crocusdale_core::daemon::CounterName;
use crocusdale_core::sync::lock;
use crocusdale_platform::store::StoreError;
use slog::warn;

use crate::telemetry::Telemetry;

/// Items that are remembered, and logged, at one time: more than one wrong writer has.
const REMEMBERED: usize = 64;

/// Items of the store that can't be read, as of the last reading.
///
/// The store is read twice a second. Each fault is logged and counted once, and again only if it
/// was gone meanwhile or has become another one.
#[derive(Debug, Default)]
pub(super) struct UnreadableItems {
    known: Mutex<BTreeMap<String, String>>,
}

impl UnreadableItems {
    /// Takes all faults of one reading.
    pub(super) fn note(&self, telemetry: &Telemetry, faults: Vec<StoreError>) {
        let mut known = lock(&self.known);
        let mut now = BTreeMap::new();
        let beyond = faults.len().saturating_sub(REMEMBERED);
        for StoreError { key, cause } in faults.into_iter().take(REMEMBERED) {
            if known.get(&key) != Some(&cause) {
                telemetry.count(CounterName::StoreItemsUnreadable);
                warn!(telemetry.log, "store_item_unreadable";
                    "item" => &key, "cause" => &cause, "not_shown" => beyond);
            }
            now.insert(key, cause);
        }
        *known = now;
    }
}
