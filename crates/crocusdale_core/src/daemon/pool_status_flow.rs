use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::admission_flow::batch_rules;
use super::core_state::CoreState;
use super::{Command, TimerKey};
use crate::admission::AdmissionCoordinators;
use crate::batching::PoolStatus;
use crate::identity::MonotonicTime;
use crate::sync::lock;

/// Interval between two reports of the pools that this daemon dispatches: a fraction of a call, in
/// which the waiting work changes little.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

impl CoreState {
    /// Sets the timer for the next report, if this daemon dispatches work and it isn't set.
    pub(super) fn schedule_pool_status(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        if !self.coordination.settings.chain_admission
            || self.coordination.is_status_scheduled.load(Ordering::Relaxed)
            || !self.is_coordinated()
            || lock(&self.dispatcher).is_idle()
            || self.coordination.is_status_scheduled.swap(true, Ordering::Relaxed)
        {
            return;
        }
        out.push(Command::SetTimer { timer: TimerKey::PoolStatus, at: now + REPORT_INTERVAL });
    }

    /// Reports the sections that this daemon dispatches to the admission coordinators: those with
    /// work, and once those without.
    pub(super) fn report_pool_status(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let (statuses, section_count) = {
            let dispatcher = lock(&self.dispatcher);
            (dispatcher.statuses(&self.own_instance.vm, now), dispatcher.max_section_count())
        };
        let mut reported = lock(&self.coordination.reported_sections);
        let is_due = |status: &PoolStatus, has_work| {
            if has_work { true } else { reported.contains(&status.section) }
        };
        let due: Vec<(PoolStatus, bool)> =
            statuses.into_iter().filter(|(status, has_work)| is_due(status, *has_work)).collect();
        let busy = due.iter().filter(|(_, has_work)| *has_work);
        *reported = busy.map(|(status, _)| status.section.clone()).collect();
        drop(reported);
        if due.is_empty() {
            // The mark is set during the whole report. Otherwise another thread could set a second
            // timer meanwhile, and each timer sets the next one.
            self.coordination.is_status_scheduled.store(false, Ordering::Relaxed);
            return;
        }
        let vms: BTreeSet<String> = {
            let mut fleet = lock(&self.fleet);
            let sections = AdmissionCoordinators::all_sections(section_count);
            sections.map(|section| fleet.coordinator(&section)).collect()
        };
        for (status, _) in due {
            for vm in &vms {
                if *vm == self.own_instance.vm {
                    self.record_pool_status(status.clone(), now);
                } else {
                    let (vm, status) = (vm.clone(), Box::new(status.clone()));
                    out.push(Command::ReportPoolStatus { vm, status });
                }
            }
        }
        out.push(Command::SetTimer { timer: TimerKey::PoolStatus, at: now + REPORT_INTERVAL });
    }

    /// Records the status of a section of a batched pool as an admission coordinator.
    pub(super) fn record_pool_status(&self, status: PoolStatus, now: MonotonicTime) {
        let snapshot = self.fleet_snapshot();
        let Some(declarations) = snapshot.declarations.as_ref() else { return };
        let rules_of = |pool: &str| batch_rules(declarations, pool);
        lock(&self.coordination.admission_coordinators).record_status(status, &rules_of, now);
    }
}
