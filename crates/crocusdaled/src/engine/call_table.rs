use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use crocusdale_core::identity::CallId;
use crocusdale_core::pipeline::FinalAnswer;
use crocusdale_core::sync::lock;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::forwarding::RelayedAnswer;

/// Number of separately locked shards of the call table.
const SHARD_COUNT: usize = 16;

/// A message from the daemon to the task that serves an open call.
#[derive(Debug)]
pub enum CallReply {
    /// A piece of the output that the pipeline's last stage streams.
    Piece(String),
    /// The answer of an upstream, forwarded to the caller unchanged.
    Relayed(RelayedAnswer),
    /// The final answer of the call. No further reply follows it.
    Final(FinalAnswer),
}

/// Open calls, each with the channel over which it gets its replies.
#[derive(Debug, Default)]
pub struct CallTable {
    shards: [Mutex<HashMap<CallId, UnboundedSender<CallReply>>>; SHARD_COUNT],
}

impl CallTable {
    /// Registers `call` as open and returns the receiver of its replies.
    #[must_use]
    pub fn open(&self, call: CallId) -> UnboundedReceiver<CallReply> {
        let (sender, receiver) = unbounded_channel();
        self.shard(call).insert(call, sender);
        receiver
    }

    /// Sends `call` a reply that is not the final answer.
    pub fn send_reply(&self, call: CallId, reply: CallReply) {
        if let Some(sender) = self.shard(call).get(&call) {
            // A closed receiver means that the caller disconnected. `OpenCall` reports this to
            // the core when it is dropped.
            let _ = sender.send(reply);
        }
    }

    /// Sends `call` a piece of streamed output.
    pub fn send_piece(&self, call: CallId, text: String) {
        self.send_reply(call, CallReply::Piece(text));
    }

    /// Sends `call` its final answer and closes the call.
    pub fn finish(&self, call: CallId, answer: FinalAnswer) {
        if let Some(sender) = self.shard(call).remove(&call) {
            let _ = sender.send(CallReply::Final(answer));
        }
    }

    /// Closes `call` without sending an answer.
    pub fn close(&self, call: CallId) {
        self.shard(call).remove(&call);
    }

    fn shard(&self, call: CallId) -> MutexGuard<'_, HashMap<CallId, UnboundedSender<CallReply>>> {
        let index = (call.0 as usize / SHARD_COUNT) % SHARD_COUNT;
        lock(&self.shards[index])
    }
}
