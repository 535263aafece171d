//! The daemon that runs on every entry VM.
//!
//! It carries the core's commands out and brings events in; it decides nothing itself.
//!
//! * [`engine`]: the core with its clock, timers and open calls.
//! * [`service`]: what callers and operators reach over HTTP.
//! * [`forwarding`]: callers' requests that are passed through.
//! * [`peer`]: calls between daemons.
//! * [`upstream`]: calls of upstreams.
//! * [`platform`]: reads of the configuration service and the VM list.
//! * [`telemetry`]: logs and metrics.
//! * [`http`]: the accept loop under the HTTP services.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod engine;
pub mod forwarding;
pub mod http;
pub mod peer;
pub mod platform;
pub mod service;
pub mod telemetry;
pub mod upstream;
