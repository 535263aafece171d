use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use super::{EngineInfo, EnginePlacer, PlacementReply, PlacementReport, PlacementRequest};
use crate::batching::PoolSection;
use crate::configuration::EngineRules;
use crate::identity::MonotonicTime;

/// Maximum number of engines of one section. Choosing an engine walks over those of its section.
const MAX_SECTION_ENGINES: usize = 256;
/// Maximum number of sections that one daemon coordinates.
const MAX_SECTIONS: usize = 256;
/// Time after which a section without requests is dropped: another daemon coordinates it.
const SECTION_LIFETIME: Duration = Duration::from_secs(60);
/// Interval between two reads of a section's engines from the daemon's own list. The daemon that
/// asks checks the engine against its own list anyway.
const ENGINE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Prefix of the names of placement coordinators.
const COORDINATOR_PREFIX: &str = "engines/";

/// Name by which the coordinator of a section is chosen among the daemons.
#[must_use]
pub fn coordinator_name(section: &str) -> String {
    format!("{COORDINATOR_PREFIX}{section}")
}

/// Section of the pool `pool` with `engines` engines that places a request with the hash `hash`.
#[must_use]
pub fn section_name(pool: &str, engines: usize, hash: u64) -> String {
    let count = engines.div_ceil(MAX_SECTION_ENGINES).max(1).next_power_of_two();
    PoolSection::new(pool, hash as usize % count, count).to_string()
}

/// Placers of all sections that this daemon coordinates.
#[derive(Debug, Default)]
pub struct EnginePlacers {
    sections: HashMap<String, PlacedSection>,
}

#[derive(Debug)]
struct PlacedSection {
    placer: EnginePlacer,
    last_request: MonotonicTime,
    refreshed_at: MonotonicTime,
}

/// Speed of one engine for the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineSpeedSummary {
    /// Section of the engine pool.
    pub section: String,
    /// Name of the upstream.
    pub engine: String,
    /// Ratio of its time to the mean of the section; 2 is half as fast.
    pub speed: f64,
    /// Number of open requests of all daemons.
    pub open: usize,
}

impl EnginePlacers {
    /// Whether the engines of `section` have to be set before a request is placed.
    #[must_use]
    pub fn needs_engines(&self, section: &str, now: MonotonicTime) -> bool {
        self.sections
            .get(section)
            .is_none_or(|section| now.since(section.refreshed_at) >= ENGINE_REFRESH_INTERVAL)
    }

    /// Sets the rules and the engines of `section`.
    pub fn set_engines(
        &mut self,
        section: &str,
        rules: EngineRules,
        engines: impl IntoIterator<Item = EngineInfo>,
        now: MonotonicTime,
    ) {
        if !self.sections.contains_key(section) && self.sections.len() >= MAX_SECTIONS {
            return;
        }
        let entry = self.sections.entry(section.to_owned()).or_insert_with(|| PlacedSection {
            placer: EnginePlacer::new(rules),
            last_request: now,
            refreshed_at: now,
        });
        entry.placer.set_engines(rules, engines);
        entry.refreshed_at = now;
    }

    /// Chooses an engine for `request`. The reply names none if the section is not known.
    pub fn place(&mut self, request: &PlacementRequest, now: MonotonicTime) -> PlacementReply {
        let Some(section) = self.sections.get_mut(&request.section) else {
            return PlacementReply::default();
        };
        section.last_request = now;
        section.placer.place(request, now)
    }

    /// Applies the reports of a daemon about requests of `section`.
    pub fn report(&mut self, section: &str, reports: &[PlacementReport], now: MonotonicTime) {
        if let Some(section) = self.sections.get_mut(section) {
            for report in reports {
                section.placer.report(report, now);
            }
        }
    }

    /// Removes requests whose deadline has passed without a report, and sections without recent
    /// requests. Returns the number of removed requests.
    pub fn expire(&mut self, now: MonotonicTime) -> usize {
        self.sections.retain(|_, section| now.since(section.last_request) < SECTION_LIFETIME);
        self.sections.values_mut().map(|section| section.placer.expire(now)).sum()
    }

    /// Speeds of the engines of all sections, slowest first.
    #[must_use]
    pub fn speeds(&self, now: MonotonicTime) -> Vec<EngineSpeedSummary> {
        let mut summaries = Vec::new();
        for (name, section) in &self.sections {
            let speeds = section.placer.speeds(now).into_iter();
            summaries.extend(speeds.map(|(engine, speed, open)| EngineSpeedSummary {
                section: name.clone(),
                engine,
                speed,
                open,
            }));
        }
        summaries.sort_by(|left, right| right.speed.total_cmp(&left.speed));
        summaries
    }
}
