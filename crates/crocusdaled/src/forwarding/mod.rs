//! Callers' requests that are passed through to upstreams, and what comes back.
//!
//! The core decides by heads, the ids of events and ends; bodies stay here.

mod event_reader;
mod forward_service;
mod ready_service;
mod relay_call;
mod relay_client;

pub use forward_service::ForwardService;
pub use ready_service::ReadyService;
pub use relay_call::{RelayBody, RelayedAnswer};
pub use relay_client::RelayClient;
