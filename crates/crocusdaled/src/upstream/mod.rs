//! Clients that call upstreams, and the connections that they use.

mod answer_end;
mod answer_reader;
mod batch_client;
mod connection_pool;
mod engine_orders;
mod head_limit;
mod upstream_client;
mod upstream_links;
mod upstream_probe;

pub(crate) use answer_end::{is_framed, is_whole_answer};
pub use batch_client::BatchClient;
pub use connection_pool::{
    AnswerBody, BodyError, ConnectionPool, OpenConnection, SendFault, limit_silence,
};
pub use upstream_client::UpstreamClient;
pub(crate) use upstream_links::{connect_upstream, test_links};
pub(crate) use upstream_probe::collect_evidence;
pub use upstream_probe::probe_upstream;
