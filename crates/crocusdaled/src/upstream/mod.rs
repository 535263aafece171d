//! Calls of upstreams.

mod answer_reader;
mod engine_orders;
mod upstream_client;

pub use upstream_client::UpstreamClient;
