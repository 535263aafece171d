//! Forwarding of callers' requests to upstreams, and of the answers back to the callers.
//!
//! The core decides by the heads of requests and answers, by event ids and by how attempts end. It
//! never sees the bodies.

mod event_reader;
mod forward_service;
mod ready_service;
mod relay_call;
mod relay_client;
mod upstream_exchange;

pub use forward_service::ForwardService;
pub use ready_service::ReadyService;
pub use relay_call::{RelayBody, RelayedAnswer};
pub use relay_client::RelayClient;
