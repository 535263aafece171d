use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use super::pending_requests::{AskedCoordinator, PendingRequests};
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
    pub(super) pending_admissions: Mutex<PendingRequests<AskedCoordinator>>,
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

    /// Whether the coordinator on `vm` is not asked now.
    pub(super) fn is_backing_off(&self, vm: &str, now: MonotonicTime) -> bool {
        let mut backoffs = lock(&self.backoffs);
        backoffs.retain(|_, until| *until > now);
        backoffs.contains_key(vm)
    }
}
