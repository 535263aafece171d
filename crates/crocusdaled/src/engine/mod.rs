//! The daemon core with its clock, timers and table of open calls.

mod call_table;
mod daemon_engine;
mod monotonic_clock;
mod timer_service;

pub use call_table::{CallReply, CallTable};
pub use daemon_engine::DaemonEngine;
pub use monotonic_clock::MonotonicClock;
pub use timer_service::TimerService;
