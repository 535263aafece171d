use super::Command;
use super::fleet_state::{FleetState, UPDATE_FANOUT};
use crate::identity::MonotonicTime;
use crate::membership::ExchangeMessage;
use crate::quarantine::{CrashRecord, PartRecord};
use crate::rate_limiting::LimitRecord;

/// What is known of upstreams and other daemons don't know yet.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRecords {
    /// Requests under which upstreams crashed.
    pub crashes: Vec<CrashRecord>,
    /// Prompt parts under which upstreams crashed.
    pub parts: Vec<PartRecord>,
    /// Rate limits that upstreams have announced.
    pub limits: Vec<LimitRecord>,
}

impl UpstreamRecords {
    /// Whether there is nothing that other daemons don't know.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.parts.is_empty() && self.limits.is_empty()
    }
}

impl FleetState {
    /// Sends new crash records and rate limits of upstreams to the daemons that read the platform
    /// for others. Every other daemon queries one of those several times per second, so the records
    /// spread quickly. Without such daemons, a few random peers receive the records.
    pub fn send_records_to_readers(
        &mut self,
        records: &UpstreamRecords,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let partners = if self.needs_directory {
            self.all_directory_readers()
        } else {
            self.view.random_partners(UPDATE_FANOUT)
        };
        for vm in partners {
            let message = ExchangeMessage {
                crashes: records.crashes.clone(),
                part_crashes: records.parts.clone(),
                limits: records.limits.clone(),
                ..self.heartbeat_for(&vm, now)
            };
            out.push(Command::SendHeartbeat { vm, message: Box::new(message) });
        }
    }
}
