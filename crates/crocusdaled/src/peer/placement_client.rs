use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::placement::{PlacementReply, PlacementRequest};

use super::peer_call::{PeerCallError, call};
use crate::engine::DaemonEngine;

/// Time that a placement coordinator has to reply. The caller's request waits for it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout after which the connection to a coordinator is dropped. It is never reached, because the
/// reply is given up before: a late reply does not mean that the connection is broken, and other
/// calls use it too.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Asks the placement coordinator on `vm` for the engine of a request, and passes the reply to the
/// core.
pub(super) async fn place_request(
    engine: &Arc<DaemonEngine>,
    vm: String,
    request: Box<PlacementRequest>,
) {
    let message = request.to_wire(engine.now());
    let reply = call(engine, &vm, CALL_TIMEOUT, |mut client| async move {
        let reply = tokio::time::timeout(REPLY_TIMEOUT, client.place_request(message)).await;
        reply.unwrap_or_else(|_| Err(tonic::Status::deadline_exceeded("no reply in time")))
    });
    let reply: Result<PlacementReply, PeerCallError> = reply.await.map(Into::into);
    let reply = reply.ok();
    engine.handle_event(DaemonEvent::PlacementReplied { vm, request, reply });
}
