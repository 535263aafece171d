use std::sync::Arc;

use crocusdale_core::identity::{CallId, RequestKey};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::engine::{CallReply, DaemonEngine};

/// A call of a caller that waits for its answer.
///
/// If it is dropped before the final answer, the core is told that the caller disconnected.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub(crate) engine: Arc<DaemonEngine>,
    pub(crate) id: CallId,
    replies: UnboundedReceiver<CallReply>,
    /// Whether the final answer has arrived, so that no further reply follows.
    pub(crate) is_answered: bool,
}

impl OpenCall {
    /// Opens a call for the request with `key`.
    pub(crate) fn open(engine: &Arc<DaemonEngine>, key: &RequestKey) -> Self {
        let id = engine.core.open_call(key);
        let replies = engine.open_call(id);
        Self { engine: Arc::clone(engine), id, replies, is_answered: false }
    }

    /// Waits for the next reply. Returns `None` if the call was closed without an answer.
    pub(crate) async fn next(&mut self) -> Option<CallReply> {
        let reply = self.replies.recv().await;
        self.is_answered |= matches!(reply, Some(CallReply::Final(_)) | None);
        reply
    }

    /// Ends the call without reporting to the core that the caller disconnected.
    pub(crate) fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if !self.is_answered {
            self.engine.abandon_call(self.id);
        }
    }
}
