use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use crocusdale_core::batching::PoolWait;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::AttemptId;
use crocusdale_core::pipeline::{PieceFault, PieceOrder, PlacedResult};
use crocusdale_core::sync::lock;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::engine::DaemonEngine;

/// The placed results of a group of pieces, or the fault that stopped it.
pub(super) type PieceOutcome = Result<Vec<PlacedResult>, PieceFault>;

/// The outcome of a group of pieces, and how long new pieces would wait in the same pool.
#[derive(Debug)]
pub(super) struct PieceAnswer {
    pub(super) outcome: PieceOutcome,
    pub(super) wait: PoolWait,
}

/// Open calls for pieces: those sent to other daemons, and those received from them.
#[derive(Debug, Default)]
pub struct PieceTable {
    sent: Mutex<HashMap<AttemptId, AbortHandle>>,
    received: Mutex<HashMap<AttemptId, oneshot::Sender<PieceAnswer>>>,
}

/// A call by which another daemon sent pieces to this one.
///
/// If the call is dropped before it is answered, the other daemon has given it up, and the core is
/// told that the pieces are cancelled.
pub(super) struct ReceivedPieces {
    engine: Arc<DaemonEngine>,
    attempt: AttemptId,
    pool: String,
    answer: oneshot::Receiver<PieceAnswer>,
    is_answered: bool,
}

impl PieceTable {
    /// Remembers the call that sends the pieces of `attempt` to another daemon, so that it can be
    /// cancelled.
    pub(super) fn track_sent(&self, attempt: AttemptId, call: AbortHandle) {
        lock(&self.sent).insert(attempt, call);
    }

    /// Removes the call that sent the pieces of `attempt` to another daemon, once it has ended.
    pub(super) fn remove_sent(&self, attempt: AttemptId) {
        lock(&self.sent).remove(&attempt);
    }

    /// Aborts the call that sends the pieces of `attempt` to another daemon.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(call) = lock(&self.sent).remove(&attempt) {
            call.abort();
        }
    }

    /// Answers the daemon that sent the pieces of `attempt` with their outcome.
    pub fn answer(&self, attempt: AttemptId, outcome: PieceOutcome, wait: PoolWait) {
        if let Some(reply_sender) = lock(&self.received).remove(&attempt) {
            // If the daemon has given up the call, its results expire by themselves.
            let _ = reply_sender.send(PieceAnswer { outcome, wait });
        }
    }
}

impl ReceivedPieces {
    /// Registers pieces that another daemon sent, and passes them to the core.
    pub(super) fn submit(engine: &Arc<DaemonEngine>, order: PieceOrder) -> Self {
        let (attempt, pool) = (order.attempt, order.pool.clone());
        let (sender, answer) = oneshot::channel();
        lock(&engine.pieces().received).insert(attempt, sender);
        let received =
            Self { engine: Arc::clone(engine), attempt, pool, answer, is_answered: false };
        engine.handle_event(DaemonEvent::PiecesReceived(Box::new(order)));
        received
    }

    /// Waits for the outcome of the pieces.
    pub(super) async fn outcome(mut self) -> PieceAnswer {
        let outcome = (&mut self.answer).await;
        self.is_answered = true;
        outcome
            .unwrap_or(PieceAnswer { outcome: Err(PieceFault::Failed), wait: PoolWait::default() })
    }
}

impl Drop for ReceivedPieces {
    fn drop(&mut self) {
        if !self.is_answered {
            lock(&self.engine.pieces().received).remove(&self.attempt);
            let pool = std::mem::take(&mut self.pool);
            self.engine.handle_event(DaemonEvent::PiecesCancelled { attempt: self.attempt, pool });
        }
    }
}
