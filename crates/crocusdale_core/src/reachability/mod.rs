//! Which upstreams this daemon can connect to over its own network links, and which other daemon to
//! send a request through if it can't.
//!
//! A failed connection doesn't tell a failed upstream from a failed link of this VM. The difference
//! matters: a failed upstream is avoided by all daemons, while an upstream behind a failed link can
//! still be reached by others.

mod link_monitor;

pub use link_monitor::{LinkChange, LinkMonitor, LinkPath, LinkResult, LinkTarget};
