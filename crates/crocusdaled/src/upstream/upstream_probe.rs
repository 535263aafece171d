use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::reachability::{LinkResult, ProbeConnection, ProbeEvidence};
use crocusdale_core::routing::CONNECT_TIMEOUT;
use tokio::net::TcpStream;

use super::test_links;
use crate::engine::DaemonEngine;
use crate::peer::request_evidence;

/// Delay before a probe. An ending process closes its sockets one after the other, so its listening
/// socket may still accept connections for a moment.
pub(super) const SOCKET_CLOSE_DELAY: Duration = Duration::from_millis(10);

/// Tests whether `upstream` still accepts connections at `address`, and reports the result to the
/// core.
///
/// Only a refused connection proves that the process has ended. A timeout may come from a network
/// fault of this daemon alone, in which case every request that it has sent seems to have failed. Such
/// a fault may also refuse connections, so that another daemon is asked if this one can't connect to
/// most others of the pool either.
pub fn probe_upstream(engine: &Arc<DaemonEngine>, upstream: String, address: SocketAddr) {
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        tokio::time::sleep(SOCKET_CLOSE_DELAY).await;
        let own = collect_evidence(&engine, &upstream, address).await;
        let has_ended = match own.verdict() {
            Some(verdict) => verdict,
            None => {
                let peer = request_evidence(&engine, &upstream, address).await;
                own.verdict_with(peer.as_ref())
            }
        };
        engine.handle_event(DaemonEvent::UpstreamProbed { upstream, has_ended });
    });
}

/// Connects to `address`, and closes the connection unused.
pub(super) async fn probe_connection(address: SocketAddr) -> ProbeConnection {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeConnection::Open,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeConnection::Refused,
        Ok(Err(_)) | Err(_) => ProbeConnection::Failed,
    }
}

/// Connects to `upstream` at `address` and, if that is refused, to others of its pool and of other
/// pools. All connections are closed unused.
pub(crate) async fn collect_evidence(
    engine: &Arc<DaemonEngine>,
    upstream: &str,
    address: SocketAddr,
) -> ProbeEvidence {
    let connection = probe_connection(address).await;
    if connection != ProbeConnection::Refused {
        return ProbeEvidence { connection, ..ProbeEvidence::default() };
    }
    let (pool, others) = engine.core.control_targets(upstream);
    let (pool_tests, is_open) = (pool.len(), |result: &LinkResult| *result == LinkResult::Open);
    let (pool, others) = tokio::join!(test_links(engine, pool), test_links(engine, others));
    let pool_open = pool.into_iter().filter(is_open).count();
    let has_open_link = pool_open > 0 || others.iter().any(is_open);
    ProbeEvidence { connection, pool_tests, pool_open, has_open_link }
}
