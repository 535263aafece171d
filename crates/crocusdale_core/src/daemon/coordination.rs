use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use super::core_state::CoreState;
use super::pending_admissions::PendingAdmissions;
use crate::admission::AdmissionCoordinators;
use crate::configuration::SchedulingSettings;
use crate::identity::MonotonicTime;
use crate::sync::lock;

/// Time for which a coordinator that did not answer is not asked again. Each question to it would
/// delay a request by the timeout of the call.
const COORDINATOR_BACKOFF: Duration = Duration::from_secs(1);

/// Coordinators of the fleet, as this daemon sees them.
#[derive(Debug, Default)]
pub(super) struct Coordination {
    /// Decisions that coordinators make.
    pub(super) settings: SchedulingSettings,
    /// Requests that wait for the decision of their admission coordinator.
    pub(super) pending_admissions: Mutex<PendingAdmissions>,
    /// Admission sections that this daemon coordinates.
    pub(super) admission_coordinators: Mutex<AdmissionCoordinators>,
    /// Sections of batched pools whose last report told of work.
    pub(super) reported_sections: Mutex<HashSet<String>>,
    /// Whether the timer for the next report of the batched pools is set.
    pub(super) is_status_scheduled: AtomicBool,
    /// VMs whose coordinators did not answer, with the time until which they are not asked.
    backoffs: Mutex<HashMap<String, MonotonicTime>>,
}

impl Coordination {
    pub(super) fn new(settings: SchedulingSettings) -> Self {
        let admission_coordinators = Mutex::new(AdmissionCoordinators::new(settings));
        Self { settings, admission_coordinators, ..Self::default() }
    }

    /// Records that the coordinator on `vm` did not answer.
    pub(super) fn record_failure(&self, vm: &str, now: MonotonicTime) {
        lock(&self.backoffs).insert(vm.to_owned(), now + COORDINATOR_BACKOFF);
    }

    fn is_backing_off(&self, vm: &str, now: MonotonicTime) -> bool {
        let mut backoffs = lock(&self.backoffs);
        backoffs.retain(|_, until| *until > now);
        backoffs.contains_key(vm)
    }
}

impl CoreState {
    /// Whether the fleet is large enough for coordinators.
    pub(super) fn is_coordinated(&self) -> bool {
        self.coordination.settings.is_coordinated(self.router().daemon_count())
    }

    /// VM of the coordinator with the given name. `None` if this daemon has to decide by itself,
    /// because the fleet has no coordinators or this one recently did not answer.
    pub(super) fn coordinator(&self, name: &str, now: MonotonicTime) -> Option<String> {
        if !self.is_coordinated() {
            return None;
        }
        let vm = lock(&self.fleet).coordinator(name);
        (!self.coordination.is_backing_off(&vm, now)).then_some(vm)
    }
}
