use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::routing::CONNECT_TIMEOUT;
use tokio::net::TcpStream;

use crate::engine::DaemonEngine;

/// Time in which a process that ends closes its sockets, one after the other.
const CLOSING: Duration = Duration::from_millis(10);

/// Finds out whether `upstream` still takes connections at `address`, and tells the core.
///
/// The connection is closed unused. Only a refusal proves an end: silence may be that of a path which
/// this daemon alone has lost, and then all that it has sent anywhere seems to have broken off.
pub fn probe_upstream(engine: &Arc<DaemonEngine>, upstream: String, address: SocketAddr) {
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        tokio::time::sleep(CLOSING).await;
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let has_ended = matches!(
            opened, Ok(Err(fault)) if fault.kind() == ErrorKind::ConnectionRefused
        );
        engine.handle_event(DaemonEvent::UpstreamProbed { upstream, has_ended });
    });
}
