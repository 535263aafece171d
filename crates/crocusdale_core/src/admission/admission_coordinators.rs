use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{AdmissionCoordinator, AdmissionDecision, AdmissionLimitsBuilder, AdmissionRequest};
use crate::batching::{PoolSection, PoolStatus};
use crate::configuration::{BatchRules, SchedulingSettings};
use crate::identity::MonotonicTime;

/// Base name of the admission sections, by whose rank their coordinators are chosen.
const SECTION_NAME: &str = "admission";
/// Maximum number of sections that one daemon coordinates. The largest fleets have fewer sections
/// in total.
const MAX_SECTIONS: usize = 256;
/// Maximum number of statuses kept for sections that this daemon may come to coordinate.
const MAX_STATUSES: usize = 1_024;
/// Time without requests after which a section is dropped. Its promises have been worked off.
const SECTION_IDLE_TIME: Duration = Duration::from_secs(30);
/// Age up to which a status is handed to a new section.
const STATUS_LIFETIME: Duration = Duration::from_secs(30);

/// Interval at which old state is dropped and dropped entries are logged.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Admission sections that this daemon coordinates.
#[derive(Debug, Default)]
pub struct AdmissionCoordinators {
    /// Coordinator of each section and the time of its last request, by name of the section.
    sections: HashMap<String, (AdmissionCoordinator, MonotonicTime)>,
    /// Last status and its time, by section of the pool and VM of the dispatcher. A section that
    /// is opened later starts with them.
    statuses: BTreeMap<(String, String), (PoolStatus, MonotonicTime)>,
    /// Rules that the sections apply.
    settings: SchedulingSettings,
    last_expiry: Option<MonotonicTime>,
}

/// What the admission sections dropped since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpiredAdmissions {
    /// Workspaces dropped because there were too many.
    pub dropped_workspaces: u64,
    /// Refused requests that were not remembered because there were too many.
    pub dropped_refusals: u64,
    /// Return slots whose callers did not come back in time.
    pub expired_slots: u64,
}

impl AdmissionCoordinators {
    /// Coordinators without sections, whose sections apply the rules that `settings` turn on.
    #[must_use]
    pub fn new(settings: SchedulingSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Name of the admission section of a request with the hash `hash`, out of `section_count`.
    #[must_use]
    pub fn section_for(hash: u64, section_count: usize) -> String {
        let index = hash as usize % section_count.max(1);
        PoolSection::new(SECTION_NAME, index, section_count).to_string()
    }

    /// Names of all admission sections.
    pub fn all_sections(section_count: usize) -> impl Iterator<Item = String> {
        PoolSection::all(SECTION_NAME, section_count.max(1)).map(|section| section.to_string())
    }

    /// Whether `name` is the name of an admission section.
    #[must_use]
    pub fn is_section_name(name: &str) -> bool {
        let section = PoolSection::from_name(name);
        section.pool == SECTION_NAME && section.to_string() == name
    }

    /// Records the status of a section of a batched pool. `rules_of` returns the declared call of a
    /// batched pool; the status of an unknown pool is ignored.
    pub fn record_status(
        &mut self,
        status: PoolStatus,
        rules_of: &impl Fn(&str) -> Option<BatchRules>,
        now: MonotonicTime,
    ) {
        let pool = PoolSection::from_name(&status.section).pool;
        let Some(rules) = rules_of(&pool) else { return };
        self.statuses.retain(|_, (_, at)| now.since(*at) < STATUS_LIFETIME);
        self.sections.retain(|_, (_, at)| now.since(*at) < SECTION_IDLE_TIME);
        for (coordinator, _) in self.sections.values_mut() {
            coordinator.record_status(&pool, rules, status.clone(), now);
        }
        let key = (status.section.clone(), status.sender.clone());
        if self.statuses.len() < MAX_STATUSES || self.statuses.contains_key(&key) {
            self.statuses.insert(key, (status, now));
        }
    }

    /// Decides on `request`. `None` if this daemon coordinates too many sections already, so that
    /// the entry daemon has to decide by itself.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest,
        rules_of: &impl Fn(&str) -> Option<BatchRules>,
        now: MonotonicTime,
    ) -> Option<AdmissionDecision> {
        if !self.sections.contains_key(&request.section) {
            self.sections.retain(|_, (_, at)| now.since(*at) < SECTION_IDLE_TIME);
            if self.sections.len() >= MAX_SECTIONS {
                return None;
            }
            let coordinator = self.open_section(&request.section, rules_of);
            self.sections.insert(request.section.clone(), (coordinator, now));
        }
        let (coordinator, last_request_at) = self.sections.get_mut(&request.section)?;
        *last_request_at = now;
        Some(coordinator.decide(request, rules_of, now))
    }

    /// Drops idle sections and old state, at most once a second. Returns what was dropped since the
    /// last call that did so, and `None` if it is too early.
    pub fn expire(&mut self, now: MonotonicTime) -> Option<ExpiredAdmissions> {
        if self.last_expiry.is_some_and(|at| now.since(at) < EXPIRY_INTERVAL) {
            return None;
        }
        self.last_expiry = Some(now);
        self.sections.retain(|_, (_, at)| now.since(*at) < SECTION_IDLE_TIME);
        let mut expired = ExpiredAdmissions::default();
        for (coordinator, _) in self.sections.values_mut() {
            coordinator.expire(&mut expired, now);
        }
        Some(expired)
    }

    fn open_section(
        &self,
        name: &str,
        rules_of: &impl Fn(&str) -> Option<BatchRules>,
    ) -> AdmissionCoordinator {
        let section_count = PoolSection::from_name(name).section_count();
        let limits = AdmissionLimitsBuilder::default().capacity_share(1.0 / section_count as f64);
        let mut coordinator = AdmissionCoordinator::new(limits.build(), self.settings);
        for (status, at) in self.statuses.values() {
            let pool = PoolSection::from_name(&status.section).pool;
            if let Some(rules) = rules_of(&pool) {
                coordinator.record_status(&pool, rules, status.clone(), *at);
            }
        }
        coordinator
    }
}
