use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::reachability::{ProbeEvidence, TransitEnd};
use crocusdale_schema::peer::TestUpstreamRequest;

use super::peer_call::call;
use crate::engine::DaemonEngine;

/// Time that a peer has to connect to an upstream and, after that, to others.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks another daemon whether it can connect to `upstream` at `address`. `None` if no daemon is known
/// to reach the pool, or if it doesn't reply.
pub(crate) async fn request_evidence(
    engine: &Arc<DaemonEngine>,
    upstream: &str,
    address: SocketAddr,
) -> Option<ProbeEvidence> {
    let vm = engine.core.choose_probe_peer(upstream, engine.now())?;
    let request =
        TestUpstreamRequest { upstream: upstream.to_owned(), address: address.to_string() };
    let reply = call(engine, &vm, REPLY_TIMEOUT, |mut client| async move {
        client.test_upstream(request).await
    });
    let reply = reply.await;
    let end = if reply.is_ok() { TransitEnd::Done } else { TransitEnd::Lost };
    engine.core.finish_transit(&vm, end, engine.now());
    reply.ok().map(Into::into)
}
