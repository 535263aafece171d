use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::AttemptId;
use crocusdale_core::pipeline::{AttemptEvent, PieceOrder};
use crocusdale_core::wire::{read_pieces_reply, read_pool_wait};

use super::peer_call::call;
use crate::engine::DaemonEngine;

/// Time beyond that of the pieces within which their dispatcher should have answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Has the daemon on `vm` make pieces; what becomes of them goes to the core.
pub(super) fn send_pieces(engine: &Arc<DaemonEngine>, vm: String, order: PieceOrder) {
    let attempt = order.attempt;
    let task_engine = Arc::clone(engine);
    let task = tokio::spawn(async move {
        let event = make(&task_engine, &vm, &order).await;
        task_engine.pieces().settled(attempt);
        finish(&task_engine, attempt, event, vm);
    });
    engine.pieces().sent(attempt, task.abort_handle());
}

async fn make(engine: &Arc<DaemonEngine>, vm: &str, order: &PieceOrder) -> AttemptEvent {
    let request = order.to_wire(engine.now());
    let patience = engine.clock.until(order.expires) + ANSWER_MARGIN;
    let reply =
        call(engine, vm, patience, |mut client| async move { client.make_pieces(request).await });
    let reply = reply.await;
    let wait = reply.as_ref().map(read_pool_wait).unwrap_or_default();
    let retry_after = wait.retry_after();
    if reply.is_ok() {
        engine.feed(DaemonEvent::PoolWaitReported { pool: order.pool.clone(), wait });
    }
    match reply.map(read_pieces_reply) {
        Ok(Ok(results)) => AttemptEvent::PiecesCompleted(results),
        Ok(Err(fault)) => AttemptEvent::PiecesFailed { fault, retry_after },
        Err(_) => AttemptEvent::DispatcherLost(vm.to_owned()),
    }
}

fn finish(engine: &Arc<DaemonEngine>, attempt: AttemptId, event: AttemptEvent, vm: String) {
    // A dispatcher that can't be reached is doubted at once, so that other pieces pass it by.
    if matches!(event, AttemptEvent::DispatcherLost(_)) {
        engine.feed(DaemonEvent::HeartbeatFailed(vm));
    }
    engine.feed(DaemonEvent::Attempt { attempt, event });
}
