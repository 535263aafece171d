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

/// What became of pieces.
pub(super) type PieceOutcome = Result<Vec<PlacedResult>, PieceFault>;

/// What became of pieces, and how long new ones would wait.
#[derive(Debug)]
pub(super) struct PieceAnswer {
    pub(super) outcome: PieceOutcome,
    pub(super) wait: PoolWait,
}

/// Pieces that other daemons make for this one, and those that it makes for them.
#[derive(Debug, Default)]
pub struct PieceTable {
    sent: Mutex<HashMap<AttemptId, AbortHandle>>,
    taken: Mutex<HashMap<AttemptId, oneshot::Sender<PieceAnswer>>>,
}

/// Pieces that are made for another daemon; dropped before they are answered, it tells the core
/// that nobody wants them any more.
pub(super) struct TakenPieces {
    engine: Arc<DaemonEngine>,
    attempt: AttemptId,
    pool: String,
    answer: oneshot::Receiver<PieceAnswer>,
    answered: bool,
}

impl PieceTable {
    /// Keeps the call by which another daemon was asked for pieces.
    pub(super) fn sent(&self, attempt: AttemptId, call: AbortHandle) {
        lock(&self.sent).insert(attempt, call);
    }

    /// Forgets the call by which another daemon was asked for pieces.
    pub(super) fn settled(&self, attempt: AttemptId) {
        lock(&self.sent).remove(&attempt);
    }

    /// Gives up the call by which another daemon was asked for pieces.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(call) = lock(&self.sent).remove(&attempt) {
            call.abort();
        }
    }

    /// Tells another daemon what became of its pieces.
    pub fn answer(&self, attempt: AttemptId, outcome: PieceOutcome, wait: PoolWait) {
        if let Some(waiting) = lock(&self.taken).remove(&attempt) {
            // A daemon that is gone wants nothing any more; its results lapse by themselves.
            let _ = waiting.send(PieceAnswer { outcome, wait });
        }
    }
}

impl TakenPieces {
    /// Offers pieces of another daemon to the core.
    pub(super) fn offer(engine: &Arc<DaemonEngine>, order: PieceOrder) -> Self {
        let (attempt, pool) = (order.attempt, order.pool.clone());
        let (sender, answer) = oneshot::channel();
        lock(&engine.pieces().taken).insert(attempt, sender);
        let taken = Self { engine: Arc::clone(engine), attempt, pool, answer, answered: false };
        engine.handle_event(DaemonEvent::PiecesReceived(Box::new(order)));
        taken
    }

    /// Waits for what becomes of the pieces.
    pub(super) async fn outcome(mut self) -> PieceAnswer {
        let outcome = (&mut self.answer).await;
        self.answered = true;
        outcome
            .unwrap_or(PieceAnswer { outcome: Err(PieceFault::Failed), wait: PoolWait::default() })
    }
}

impl Drop for TakenPieces {
    fn drop(&mut self) {
        if !self.answered {
            lock(&self.engine.pieces().taken).remove(&self.attempt);
            let pool = std::mem::take(&mut self.pool);
            self.engine.handle_event(DaemonEvent::PiecesCancelled { attempt: self.attempt, pool });
        }
    }
}
