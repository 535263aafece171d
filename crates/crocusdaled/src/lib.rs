//! The daemon process that runs on every VM that accepts requests of callers.
//!
//! It passes events to the core and executes the commands that the core returns. All decisions are
//! made in the core.
//!
//! * [`engine`]: the daemon core with its clock, timers and table of open calls.
//! * [`service`]: HTTP services for callers and operators.
//! * [`forwarding`]: forwarding of callers' requests to upstreams.
//! * [`peer`]: gRPC calls between the daemons of a deployment.
//! * [`upstream`]: clients that call upstreams, and the connections that they use.
//! * [`platform`]: readers of the configuration, the VM list and the upstream directory.
//! * [`telemetry`]: logs and metrics.
//! * [`http`]: HTTP listener that the services share, and body readers.
//! * [`memory`]: memory that callers make the process hold.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod engine;
pub mod forwarding;
pub mod http;
pub mod memory;
pub mod peer;
pub mod platform;
pub mod service;
pub mod telemetry;
pub mod upstream;
