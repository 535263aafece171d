use std::collections::BTreeMap;

use crate::identity::{MonotonicTime, StorePosition};

/// An evacuated availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// Position of the request to evacuate it.
    pub written: StorePosition,
    /// Availability zone.
    pub zone: String,
}

/// Availability zones whose upstreams get no new work until the operator takes that back.
///
/// The store holds one item for each of them, so that a reading names all zones that are evacuated, and
/// a zone that it leaves out is open again.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneEvacuations {
    zones: BTreeMap<String, EvacuationRecord>,
}

#[derive(Clone, Debug)]
struct EvacuationRecord {
    written: StorePosition,
    /// End of the wait for an item that a store lacks which came back from an older copy.
    lapses: Option<MonotonicTime>,
}

impl ZoneEvacuations {
    /// Whether `zone` is evacuated.
    pub(super) fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Names of the evacuated zones, in order.
    pub(super) fn names(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(String::as_str)
    }

    /// All evacuated zones, for a peer.
    pub(super) fn snapshot(&self) -> Vec<ZoneEvacuation> {
        let zones = self.zones.iter();
        zones
            .map(|(zone, each)| ZoneEvacuation { written: each.written, zone: zone.clone() })
            .collect()
    }

    /// Takes the zones that a reading names. With `grace`, the store has come back from an older copy, and
    /// a zone that is missing stays evacuated until then: the operator writes again what the copy lacks.
    /// Returns whether a zone was added or removed.
    pub(super) fn replace(
        &mut self,
        listed: Vec<ZoneEvacuation>,
        grace: Option<MonotonicTime>,
    ) -> bool {
        let is_listed = |zone: &String| listed.iter().any(|each| each.zone == *zone);
        let before = self.zones.len();
        self.zones.retain(|zone, record| {
            record.lapses = record.lapses.or(grace);
            is_listed(zone) || record.lapses.is_some()
        });
        let mut changed = self.zones.len() != before;
        for ZoneEvacuation { written, zone } in listed {
            let record = EvacuationRecord { written, lapses: None };
            changed |= self.zones.insert(zone, record).is_none();
        }
        changed
    }

    /// Opens the zones that were waited for until `now`. Returns whether there were any.
    pub(super) fn drop_lapsed(&mut self, now: MonotonicTime) -> bool {
        let before = self.zones.len();
        self.zones.retain(|_, record| record.lapses.is_none_or(|lapses| now < lapses));
        self.zones.len() != before
    }
}
