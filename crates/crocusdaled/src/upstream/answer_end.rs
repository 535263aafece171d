//! Answers whose end is marked by the end of their connection.

use std::net::SocketAddr;
use std::sync::Arc;

use http::response::Parts;
use http::{StatusCode, header};

use super::upstream_probe::{SOCKET_CLOSE_DELAY, probe_connection};
use crate::engine::DaemonEngine;
use crocusdale_core::reachability::ProbeConnection;

/// Whether the end of an answer is marked by a length or by chunks, or it has no body. Otherwise the
/// answer ends with its connection.
pub(crate) fn is_framed(head: &Parts) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || head.status == StatusCode::NO_CONTENT
}

/// Whether an answer of `upstream` that has ended with its connection is whole.
///
/// Guards against a crash that is taken for the end of an answer: both close the connection, and only
/// a running process accepts another one. A process that has announced its end may end after it.
pub(crate) async fn is_whole_answer(
    engine: &Arc<DaemonEngine>,
    upstream: &str,
    address: SocketAddr,
) -> bool {
    if engine.core.is_upstream_leaving(upstream) {
        return true;
    }
    tokio::time::sleep(SOCKET_CLOSE_DELAY).await;
    probe_connection(address).await != ProbeConnection::Refused
}
