//! Choice of the daemons that coordinate for the fleet.

use super::core_state::CoreState;
use crate::identity::MonotonicTime;
use crate::sync::lock;

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
