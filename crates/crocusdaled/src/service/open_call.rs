use std::sync::Arc;

use crocusdale_core::identity::{CallId, RequestKey};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::engine::{CallReply, DaemonEngine};

/// An open call; dropped before its answer, it tells the core that the caller is gone.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub(crate) engine: Arc<DaemonEngine>,
    pub(crate) call: CallId,
    replies: UnboundedReceiver<CallReply>,
    /// Whether nothing comes any more.
    pub(crate) answered: bool,
}

impl OpenCall {
    /// Opens a call about `key`.
    pub(crate) fn open(engine: &Arc<DaemonEngine>, key: &RequestKey) -> Self {
        let call = engine.core.open_call(key);
        let replies = engine.open_call(call);
        Self { engine: Arc::clone(engine), call, replies, answered: false }
    }

    /// Waits for the next reply.
    pub(crate) async fn next(&mut self) -> Option<CallReply> {
        let reply = self.replies.recv().await;
        self.answered |= matches!(reply, Some(CallReply::Final(_)) | None);
        reply
    }

    /// The caller has all that it is to get.
    pub(crate) fn finish(mut self) {
        self.answered = true;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if !self.answered {
            self.engine.abandon_call(self.call);
        }
    }
}
