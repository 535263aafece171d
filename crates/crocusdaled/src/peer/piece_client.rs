use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::pipeline::{AttemptEvent, PieceFault, PieceOrder};
use crocusdale_core::wire::{read_pieces_reply, read_pool_wait};
use slog::info;

use super::peer_call::{PeerCallError, call};
use crate::engine::DaemonEngine;

/// Time beyond the expiry of an order within which its dispatcher should have replied.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// Sends the pieces of `order` to the daemon on `vm`, and passes their outcome to the core.
pub(super) fn send_pieces(engine: &Arc<DaemonEngine>, vm: String, order: PieceOrder) {
    let attempt = order.attempt;
    let task_engine = Arc::clone(engine);
    let task = tokio::spawn(async move {
        let event = request_pieces(&task_engine, &vm, &order).await;
        task_engine.pieces().remove_sent(attempt);
        let event = event.unwrap_or_else(|PeerCallError| {
            // An unreachable dispatcher is reported as a failed exchange at once, so that other
            // pieces avoid it.
            task_engine.handle_event(DaemonEvent::HeartbeatFailed(vm.clone()));
            AttemptEvent::DispatcherLost(vm)
        });
        task_engine.handle_event(DaemonEvent::Attempt { attempt, event });
    });
    engine.pieces().track_sent(attempt, task.abort_handle());
}

/// Returns the outcome that the dispatcher on `vm` reports, or an error if it can't be reached.
async fn request_pieces(
    engine: &Arc<DaemonEngine>,
    vm: &str,
    order: &PieceOrder,
) -> Result<AttemptEvent, PeerCallError> {
    let request = order.to_wire(engine.now());
    let timeout = engine.clock.time_until(order.expires) + REPLY_MARGIN;
    let reply =
        call(engine, vm, timeout, |mut client| async move { client.make_pieces(request).await });
    let reply = reply.await?;
    let wait = read_pool_wait(&reply);
    let retry_after = wait.retry_after();
    engine.handle_event(DaemonEvent::PoolWaitReported {
        pool: order.pool.clone(),
        wait,
        vm: vm.to_owned(),
    });
    Ok(match read_pieces_reply(reply) {
        Ok(results) => AttemptEvent::PiecesCompleted(results),
        Err(PieceFault::DispatcherCutOff) => AttemptEvent::DispatcherLost(vm.to_owned()),
        Err(fault) => {
            info!(engine.telemetry.log, "pieces_failed";
                "request" => &order.request, "pool" => &order.pool, "dispatcher" => vm,
                "fault" => fault.to_string());
            AttemptEvent::PiecesFailed { fault, retry_after }
        }
    })
}
