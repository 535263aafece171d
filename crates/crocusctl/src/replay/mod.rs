//! Replay of recorded traces against their stated outcomes.

mod direct_caller;
mod replay_report;
mod replay_run;
mod replay_target;
mod trace_file;

pub(crate) use direct_caller::DirectCaller;
pub(crate) use replay_report::{ReplayReport, ReplayResult};
pub(crate) use replay_run::ReplayRun;
pub(crate) use replay_target::ReplayTarget;
pub(crate) use trace_file::{TraceFile, TraceLine};
