//! Connections to upstreams, and tests of the links to them.

use std::net::SocketAddr;
use std::sync::Arc;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::reachability::{LinkResult, LinkTarget};
use crocusdale_core::routing::CONNECT_TIMEOUT;
use futures::future::join_all;
use tokio::net::TcpStream;

use super::{OpenConnection, SendFault};
use crate::engine::DaemonEngine;

/// Returns an idle connection to `upstream` at `address`, or opens one and reports the result to the
/// core.
///
/// # Errors
///
/// Returns why no connection could be opened. Nothing has been written in this case.
pub(crate) async fn connect_upstream(
    engine: &Arc<DaemonEngine>,
    upstream: &str,
    address: SocketAddr,
    needs_new: bool,
) -> Result<OpenConnection, SendFault> {
    let connection = engine.connections().connect(address, needs_new).await;
    let result = match &connection {
        Ok(connection) if connection.is_new() && engine.core.has_failed_links() => LinkResult::Open,
        Ok(_) => return connection,
        Err(_) => LinkResult::Failed,
    };
    engine.handle_event(DaemonEvent::LinkUsed { upstream: upstream.to_owned(), result });
    connection
}

/// Connects to each of `targets`, closes the connections unused, and reports the results to the
/// core. Returns them in the order of the targets.
pub(crate) async fn test_links(
    engine: &Arc<DaemonEngine>,
    targets: Vec<LinkTarget>,
) -> Vec<LinkResult> {
    join_all(targets.into_iter().map(|target| test_link(engine, target))).await
}

async fn test_link(engine: &Arc<DaemonEngine>, target: LinkTarget) -> LinkResult {
    let connect = TcpStream::connect(target.address);
    let result = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(_)) => LinkResult::Open,
        Ok(Err(_)) | Err(_) => LinkResult::Failed,
    };
    engine.handle_event(DaemonEvent::LinkTested { upstream: target.upstream, result });
    result
}
