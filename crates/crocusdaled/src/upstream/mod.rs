//! Calls of upstreams.

mod answer_reader;
mod upstream_client;

pub use upstream_client::UpstreamClient;
