use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::reachability::LinkResult;
use crocusdale_core::routing::CONNECT_TIMEOUT;
use tokio::net::TcpStream;

use super::test_links;
use crate::engine::DaemonEngine;

/// Delay before a probe. An ending process closes its sockets one after the other, so its listening
/// socket may still accept connections for a moment.
const SOCKET_CLOSE_DELAY: Duration = Duration::from_millis(10);

/// Tests whether `upstream` still accepts connections at `address`, and reports the result to the
/// core.
///
/// The connection is closed unused. Only a refused connection proves that the process has ended. A
/// timeout may come from a network fault of this daemon alone, in which case every request that it
/// has sent seems to have failed. Such a fault may also refuse connections, so that other upstreams
/// of the pool are connected to before the result is reported.
pub fn probe_upstream(engine: &Arc<DaemonEngine>, upstream: String, address: SocketAddr) {
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        tokio::time::sleep(SOCKET_CLOSE_DELAY).await;
        let connect_result =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let has_ended = matches!(
            connect_result, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused
        );
        if has_ended {
            let result = LinkResult::Failed;
            engine.handle_event(DaemonEvent::LinkUsed { upstream: upstream.clone(), result });
            test_links(&engine, engine.core.control_targets(&upstream)).await;
        }
        engine.handle_event(DaemonEvent::UpstreamProbed { upstream, has_ended });
    });
}
