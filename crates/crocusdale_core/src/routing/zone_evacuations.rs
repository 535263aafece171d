use std::collections::BTreeMap;

use crate::identity::{MonotonicTime, StorePosition};

/// An evacuated availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// Store position at which the operator's request was written.
    pub write_position: StorePosition,
    /// Name of the availability zone.
    pub zone: String,
}

/// Availability zones whose upstreams get no new work until the operator ends the evacuation.
///
/// The store holds one item for each evacuated zone. Each reading lists all of them, so that a zone
/// that isn't listed is no longer evacuated.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneEvacuations {
    zones: BTreeMap<String, EvacuationRecord>,
}

#[derive(Clone, Debug)]
struct EvacuationRecord {
    write_position: StorePosition,
    /// Time until which the zone stays evacuated although the store, restored from an older copy,
    /// lacks its item. `None` if no time limit applies.
    expires_at: Option<MonotonicTime>,
}

impl ZoneEvacuations {
    /// Whether `zone` is evacuated.
    pub(super) fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Names of the evacuated zones, in ascending order.
    pub(super) fn names(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(String::as_str)
    }

    /// All evacuated zones, for sending to a peer.
    pub(super) fn snapshot(&self) -> Vec<ZoneEvacuation> {
        let zones = self.zones.iter();
        zones
            .map(|(zone, record)| ZoneEvacuation {
                write_position: record.write_position,
                zone: zone.clone(),
            })
            .collect()
    }

    /// Replaces the evacuated zones with the listed ones. A `grace` time is given if the store was
    /// restored from an older copy: zones that aren't listed stay evacuated until then, so that the
    /// operator's tool can write the lost items again. Returns whether a zone was added or removed.
    pub(super) fn replace(
        &mut self,
        listed: Vec<ZoneEvacuation>,
        grace: Option<MonotonicTime>,
    ) -> bool {
        let is_listed = |zone: &String| listed.iter().any(|evacuation| evacuation.zone == *zone);
        let before = self.zones.len();
        self.zones.retain(|zone, record| {
            record.expires_at = record.expires_at.or(grace);
            is_listed(zone) || record.expires_at.is_some()
        });
        let mut changed = self.zones.len() != before;
        for ZoneEvacuation { write_position, zone } in listed {
            let record = EvacuationRecord { write_position, expires_at: None };
            changed |= self.zones.insert(zone, record).is_none();
        }
        changed
    }

    /// Ends the evacuations whose time limit has passed by `now`. Returns whether there were any.
    pub(super) fn remove_expired(&mut self, now: MonotonicTime) -> bool {
        let before = self.zones.len();
        self.zones.retain(|_, record| record.expires_at.is_none_or(|expires_at| now < expires_at));
        self.zones.len() != before
    }
}
