//! State machine of a daemon: it consumes events and emits commands, and does no I/O itself.

mod command;
mod configuration_watch;
mod coordination;
mod core_state;
mod counter_name;
mod crash_flow;
mod daemon_core;
mod daemon_event;
mod directory_state;
mod entry_flow;
mod fleet_events;
mod fleet_state;
mod held_work;
mod limit_updates;
mod pause_detector;
mod piece_flow;
mod placement_flow;
mod placement_state;
mod reader_election;
mod request_flow;
mod staleness_bounds;
mod staleness_guard;
mod state_change;
mod state_dump;
mod timer_key;
mod upstream_notices;

pub use command::Command;
pub use core_state::{DaemonCoreBuilder, DiscoverySettings};
pub use counter_name::CounterName;
pub use daemon_core::DaemonCore;
pub use daemon_event::DaemonEvent;
pub use fleet_state::FleetState;
pub use staleness_bounds::StalenessBounds;
pub use state_change::StateChange;
pub use state_dump::StateDump;
pub use timer_key::TimerKey;
